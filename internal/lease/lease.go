// Package lease holds the arithmetic of the two leases that keep a task from
// running twice: the short grant from a shard's owner to a worker, and the long
// promise in the shard's journal that bounds every grant.
//
// All functions are pure. Times are readings of one process's monotonic clock.
// Clocks of different processes are never compared; their rates differ from real
// time by at most DriftPPM.
package lease

import "time"

// DriftPPM is the largest deviation of a monotonic clock's rate from real time,
// in parts per million.
const DriftPPM = 1000

const million = 1_000_000

// Stretch returns how long d of another process's clock may last on this one's.
func Stretch(d time.Duration) time.Duration {
	// (1 + drift)^2, rounded up.
	return d + (2*d*DriftPPM)/million + d/million + 1
}

// Shrink returns the longest duration whose Stretch is at most d.
func Shrink(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	s := d - (2*d*DriftPPM)/million
	for s > 0 && Stretch(s) > d {
		s -= max(1, Stretch(s)-d)
	}
	return max(0, s)
}

// Stamp is a reading of a worker's clock and when it arrived at the owner.
type Stamp struct {
	Worker   int64         // the worker's clock, ns
	Received time.Duration // the owner's clock
}

// Bound returns when, on the owner's clock, the worker has surely stopped every
// run under a grant that counts from s. The worker took the stamp before the
// owner received it, so the grant cannot outlast Received plus its stretched
// length.
func Bound(s Stamp, grant time.Duration) time.Duration {
	return s.Received + Stretch(grant)
}

// Promise is the owner's right to grant up to Until on its own clock.
type Promise struct {
	Until time.Duration
}

// Promised returns the promise of a record of the given length whose commit was
// requested at sent. It holds once the record is durable.
func Promised(sent, length time.Duration) Promise { return Promise{Until: sent + length} }

// Longest returns the longest grant from s that ends within the promise.
func (p Promise) Longest(s Stamp) time.Duration { return Shrink(p.Until - s.Received) }

// Due reports whether a promise of the given length is to be renewed: a third
// of it is spent.
func (p Promise) Due(now, length time.Duration) bool { return p.Until-now <= length*2/3 }

// Spent returns when, on the clock of a successor that read the promise at
// read, every grant under it has surely lapsed. The record was durable before
// it was read, so no owner counts it from later than read.
func Spent(read, length time.Duration) time.Duration { return read + Stretch(length) }

// Choose returns the grant for an exchange: the usual one, or as long as the
// promise allows while the table is away, because then nothing can be placed
// again and a longer grant costs nothing. Zero means that nothing may be granted.
func (p Promise) Choose(s Stamp, usual time.Duration, away bool) time.Duration {
	longest := p.Longest(s)
	if away {
		return longest
	}
	return min(usual, longest)
}
