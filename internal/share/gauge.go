// Package share divides the slots and connections of the workers of an
// availability zone among the zone's entries without a coordinator.
package share

import "sync/atomic"

// Gauge counts what is in use against a limit. Both are in one word, so that
// nothing is taken under a limit that was already lowered. The zero value has
// the limit zero.
type Gauge struct {
	word atomic.Uint64 // limit in the high half, used in the low half
}

const half = 32

// TryAcquire takes one where the limit leaves one.
func (g *Gauge) TryAcquire() bool {
	for {
		w := g.word.Load()
		if uint32(w) >= uint32(w>>half) {
			return false
		}
		if g.word.CompareAndSwap(w, w+1) {
			return true
		}
	}
}

// Release returns one that TryAcquire took.
func (g *Gauge) Release() { g.word.Add(^uint64(0)) }

// SetLimit sets the limit and reports whether what is in use is within it.
// What is in use over a lowered limit stays in use until it is released.
func (g *Gauge) SetLimit(limit int) bool {
	for {
		w := g.word.Load()
		if g.word.CompareAndSwap(w, uint64(limit)<<half|uint64(uint32(w))) {
			return int(uint32(w)) <= limit
		}
	}
}

// Limit returns the limit.
func (g *Gauge) Limit() int { return int(g.word.Load() >> half) }

// Used returns how many are in use.
func (g *Gauge) Used() int { return int(uint32(g.word.Load())) }
