package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of outlier ejection.
const (
	failuresToEject      = 5                // consecutive failures that eject an upstream
	baseEjectionTime     = 5 * time.Second  // duration of the first ejection, doubled for each one that follows
	maxEjectionTime      = 60 * time.Second // longest ejection
	upstreamsPerEjection = 3                // at most one in this many upstreams is ejected at a time
)

// Service is the set of upstreams of one service in the entry's zone. The set
// does not change; a different set is a new Service.
type Service struct {
	Name      string
	Upstreams []*Upstream

	ejectionLock *sync.Mutex // shared by the successive sets of the same service
}

// PickResult is the outcome of Pick.
type PickResult uint8

// Outcomes of Pick.
const (
	Picked           PickResult = iota // a slot of the returned upstream was taken
	NoFreeSlot                         // no usable upstream has a free slot
	NoUsableUpstream                   // no upstream is usable
)

// Pick chooses two upstreams at random and takes a slot of the one with the
// shorter expected wait. If neither has a free slot, it takes one of any
// upstream. It skips the upstreams in excluded.
func (s *Service) Pick(now time.Duration, excluded []*Upstream) (*Upstream, PickResult) {
	n := len(s.Upstreams)
	if n == 0 {
		return nil, NoUsableUpstream
	}
	a := s.Upstreams[rand.IntN(n)]
	b := s.Upstreams[rand.IntN(n)]
	if s.prefer(b, a, now, excluded) {
		a, b = b, a
	}
	if usable(a, now, excluded) && a.tryAcquire() {
		return a, Picked
	}
	if usable(b, now, excluded) && b.tryAcquire() {
		return b, Picked
	}
	return s.scan(now, excluded)
}

// prefer reports whether u is usable and either has a shorter expected wait
// than other or other is not usable.
func (s *Service) prefer(u, other *Upstream, now time.Duration, excluded []*Upstream) bool {
	if !usable(u, now, excluded) {
		return false
	}
	return !usable(other, now, excluded) || u.cost(now) < other.cost(now)
}

// scan tries every upstream, starting at a random one.
func (s *Service) scan(now time.Duration, excluded []*Upstream) (*Upstream, PickResult) {
	state := NoUsableUpstream
	n := len(s.Upstreams)
	first := rand.IntN(n)
	for i := range n {
		u := s.Upstreams[(first+i)%n]
		if !usable(u, now, excluded) {
			continue
		}
		if u.tryAcquire() {
			return u, Picked
		}
		state = NoFreeSlot
	}
	return nil, state
}

// UsableCapacity returns the number of upstreams that accept new requests, and the
// total number of slots that this entry may use there.
func (s *Service) UsableCapacity(now time.Duration) (upstreams, slots int) {
	for _, u := range s.Upstreams {
		if !usable(u, now, nil) {
			continue
		}
		upstreams++
		slots += min(u.Worker.Slots.Limit(), u.Limit())
	}
	return upstreams, slots
}

// usable reports whether u accepts new requests and is not in excluded.
func usable(u *Upstream, now time.Duration, excluded []*Upstream) bool {
	if u.Leaving() || u.ejectedAt(now) {
		return false
	}
	for _, n := range excluded {
		if n == u {
			return false
		}
	}
	return true
}

// RecordFailure records that a request to the upstream failed. After failuresToEject
// consecutive failures the upstream is ejected for a time, unless too many
// upstreams of the service are ejected already.
func (u *Upstream) RecordFailure(now time.Duration) {
	s := u.service.Load()
	if u.consecutiveFailures.Add(1) < failuresToEject || s == nil {
		return
	}
	s.eject(u, now)
}

// eject ejects u unless it is ejected already or more than one in
// upstreamsPerEjection upstreams would be. Each consecutive ejection lasts
// twice as long, up to maxEjectionTime.
func (s *Service) eject(u *Upstream, now time.Duration) {
	s.ejectionLock.Lock()
	defer s.ejectionLock.Unlock()
	if u.ejectedAt(now) {
		return
	}
	ejectedCount := 0
	for _, v := range s.Upstreams {
		if v.ejectedAt(now) {
			ejectedCount++
		}
	}
	if (ejectedCount+1)*upstreamsPerEjection > len(s.Upstreams) {
		return
	}
	d := baseEjectionTime << min(u.consecutiveEjections.Add(1)-1, 4)
	u.ejectedUntil.Store(int64(now + min(d, maxEjectionTime)))
	u.consecutiveFailures.Store(0)
}
