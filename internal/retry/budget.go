// Package retry bounds how often requests are sent again.
package retry

import "sync/atomic"

// Bounds of a budget.
const (
	// DefaultRatio is the retries per request where the bundle names none. With
	// what is saved up it stays under a tenth of the requests.
	DefaultRatio = 0.08
	unit         = 1 << 16 // fixed point of one retry
	maxSaved     = 10      // retries that a quiet time saves up
)

// Budget allows a number of retries in proportion to the requests of a service.
// The zero value is an empty budget. It is safe for concurrent use.
type Budget struct{ saved atomic.Int64 }

// Deposit counts a request that was sent for the first time.
func (b *Budget) Deposit(ratio float64) {
	b.add(int64(ratio * unit))
}

func (b *Budget) add(n int64) {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+n, maxSaved*unit)) {
			return
		}
	}
}

// Withdraw reports whether one more retry is within the budget, and takes it.
func (b *Budget) Withdraw() bool {
	for {
		old := b.saved.Load()
		if old < unit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}
