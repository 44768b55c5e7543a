// Package retry limits the number of retries in proportion to the number of
// requests.
package retry

import "sync/atomic"

// Parameters of a budget.
const (
	// DefaultRatio is the number of retries per request if the configuration
	// bundle sets none. With the maxSavedRetries that may have been saved up,
	// retries are at most a tenth of any 500 or more successive requests.
	DefaultRatio    = 0.08
	retryUnit       = 1 << 16 // fixed-point representation of one retry
	maxSavedRetries = 10      // most retries that can be saved up
)

// Budget is a token bucket for the retries of one service: each request adds a
// fraction of a retry. The zero value is an empty budget. It is safe for
// concurrent use.
type Budget struct{ saved atomic.Int64 }

// Deposit adds ratio retries for a request that is sent for the first time.
func (b *Budget) Deposit(ratio float64) {
	b.add(int64(ratio * retryUnit))
}

// add adds n units, up to maxSavedRetries retries.
func (b *Budget) add(n int64) {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+n, maxSavedRetries*retryUnit)) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It returns false if less than one
// is left.
func (b *Budget) Withdraw() bool {
	for {
		old := b.saved.Load()
		if old < retryUnit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-retryUnit) {
			return true
		}
	}
}
