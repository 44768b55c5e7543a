// Package lease computes the expiry times of the leases that keep a task from running
// twice. The owner of a shard grants each worker a short lease, under which the
// worker runs its tasks. A long lease bound in the shard's journal limits the end of
// every short lease, so that a new owner knows how long leases of its predecessor
// may be in force.
//
// All functions are pure. Times are readings of one process's monotonic clock.
// Clocks of different processes are never compared; their rates differ from real
// time by at most MaxClockDriftPPM.
package lease

import "time"

// MaxClockDriftPPM is the largest deviation of a monotonic clock's rate from real time,
// in parts per million.
const MaxClockDriftPPM = 1000

const partsPerMillion = 1_000_000

// AddDrift returns the longest time that may pass on this process's clock while d
// passes on another's.
func AddDrift(d time.Duration) time.Duration {
	// (1 + drift)^2, rounded up.
	return d + (2*d*MaxClockDriftPPM)/partsPerMillion + d/partsPerMillion + 1
}

// SubDrift returns the longest duration whose AddDrift is at most d.
func SubDrift(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	s := d - (2*d*MaxClockDriftPPM)/partsPerMillion
	for s > 0 && AddDrift(s) > d {
		s -= max(1, AddDrift(s)-d)
	}
	return max(0, s)
}

// Stamp is a timestamp from a worker's clock, and when the owner received it.
type Stamp struct {
	Worker   int64         // the worker's clock, ns
	Received time.Duration // the owner's clock
}

// LatestExpiry returns the time on the owner's clock by which the worker has stopped
// every run under a lease of the given duration that counts from s. The worker took
// the timestamp before the owner received it, so the lease ends at the latest at
// Received plus its duration with clock drift added.
func LatestExpiry(s Stamp, duration time.Duration) time.Duration {
	return s.Received + AddDrift(duration)
}

// Bound is the lease bound as its owner counts it: no lease may end after Until on
// the owner's clock.
type Bound struct {
	Until time.Duration
}

// NewBound returns the lease bound of a record of the given length whose commit was
// requested at sent. It may be used once the record is durable.
func NewBound(sent, length time.Duration) Bound { return Bound{Until: sent + length} }

// LongestLease returns the longest lease from s that ends within the bound.
func (b Bound) LongestLease(s Stamp) time.Duration { return SubDrift(b.Until - s.Received) }

// RenewalDue reports whether a bound of the given length is to be renewed, which is
// when a third of it has passed.
func (b Bound) RenewalDue(now, length time.Duration) bool { return b.Until-now <= length*2/3 }

// SuccessorExpiry returns the time by which every lease under a bound has expired, on
// the clock of a successor that read the bound's record at read. The record was
// durable before that, so its owner counts the bound from a time before read.
func SuccessorExpiry(read, length time.Duration) time.Duration { return read + AddDrift(length) }

// LeaseDuration returns the duration of a lease that counts from s: normal, or as
// long as the bound allows while the tables are unavailable, because then no task can
// be placed elsewhere and a longer lease delays nothing. Zero means that no lease may
// be granted.
func (b Bound) LeaseDuration(s Stamp, normal time.Duration, storeUnavailable bool) time.Duration {
	longest := b.LongestLease(s)
	if storeUnavailable {
		return longest
	}
	return min(normal, longest)
}
