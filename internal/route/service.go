package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Tuning of outlier ejection.
const (
	ejectFailures = 5                // failures in a row
	ejectFor      = 5 * time.Second  // the first time, then doubled
	ejectMost     = 60 * time.Second // upper bound of one ejection
	ejectPart     = 3                // at most one in this many upstreams is out
)

// Service is the set of upstreams of one service in the entry's zone. A Service
// of a snapshot does not change; a new set is a new Service.
type Service struct {
	Name      string
	Upstreams []*Upstream

	ejection *sync.Mutex // shared by the successive sets of one name
}

// State says what Pick found.
type State uint8

// The results of Pick.
const (
	Picked State = iota // the upstream's slot is taken
	Busy                // upstreams are usable, none has room
	None                // no upstream is usable
)

// Pick takes a slot of the better of two upstreams chosen at random, by expected
// wait, or of any upstream that has room. It passes over the upstreams in not.
func (s *Service) Pick(now time.Duration, not []*Upstream) (*Upstream, State) {
	n := len(s.Upstreams)
	if n == 0 {
		return nil, None
	}
	a := s.Upstreams[rand.IntN(n)]
	b := s.Upstreams[rand.IntN(n)]
	if s.prefer(b, a, now, not) {
		a, b = b, a
	}
	if usable(a, now, not) && a.tryAcquire() {
		return a, Picked
	}
	if usable(b, now, not) && b.tryAcquire() {
		return b, Picked
	}
	return s.scan(now, not)
}

func (s *Service) prefer(u, over *Upstream, now time.Duration, not []*Upstream) bool {
	if !usable(u, now, not) {
		return false
	}
	return !usable(over, now, not) || u.cost(now) < over.cost(now)
}

// scan tries every upstream from a random one on.
func (s *Service) scan(now time.Duration, not []*Upstream) (*Upstream, State) {
	state := None
	n := len(s.Upstreams)
	first := rand.IntN(n)
	for i := range n {
		u := s.Upstreams[(first+i)%n]
		if !usable(u, now, not) {
			continue
		}
		if u.tryAcquire() {
			return u, Picked
		}
		state = Busy
	}
	return nil, state
}

// Usable returns the number of upstreams that take new requests, and the sum of
// this entry's slots there.
func (s *Service) Usable(now time.Duration) (upstreams, slots int) {
	for _, u := range s.Upstreams {
		if !usable(u, now, nil) {
			continue
		}
		upstreams++
		slots += min(u.Worker.Slots.Limit(), u.Limit())
	}
	return upstreams, slots
}

func usable(u *Upstream, now time.Duration, not []*Upstream) bool {
	if u.Leaving() || u.ejectedAt(now) {
		return false
	}
	for _, n := range not {
		if n == u {
			return false
		}
	}
	return true
}

// Failed records that a request to the upstream failed. An upstream that fails
// several times in a row is ejected for a while, but never most of a set.
func (u *Upstream) Failed(now time.Duration) {
	s := u.service.Load()
	if u.failures.Add(1) < ejectFailures || s == nil {
		return
	}
	s.eject(u, now)
}

func (s *Service) eject(u *Upstream, now time.Duration) {
	s.ejection.Lock()
	defer s.ejection.Unlock()
	if u.ejectedAt(now) {
		return
	}
	out := 0
	for _, v := range s.Upstreams {
		if v.ejectedAt(now) {
			out++
		}
	}
	if (out+1)*ejectPart > len(s.Upstreams) {
		return
	}
	d := ejectFor << min(u.ejects.Add(1)-1, 4)
	u.ejected.Store(int64(now + min(d, ejectMost)))
	u.failures.Store(0)
}
