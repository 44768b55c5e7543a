package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/admission"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
	"skylarkport/internal/retry"
	"skylarkport/internal/route"
)

// Tuning of a service's estimates.
const (
	initialHeld  = 10 * time.Millisecond // before the first answer
	heldWeight   = 16                    // a sample moves the mean by one part in this many
	slotsEvery   = 20 * time.Millisecond // between two counts of the slots
	starvedFor   = time.Second           // after the last sight of it
	reservedPart = 8                     // one slot in this many is kept from batch requests
)

// service is the state of one service that outlives its sets of upstreams. It
// is the source of the service's queue.
type service struct {
	name   string
	table  *route.Table
	now    func() time.Duration
	queue  *admission.Queue[*route.Upstream]
	budget retry.Budget

	held    atomic.Int64 // mean time that a slot is held, nanoseconds
	batch   atomic.Int32 // batch requests at upstreams
	slots   atomic.Int32 // counted at counted
	counted atomic.Int64
	starved atomic.Int64 // when upstreams were last found without a slot of this entry, nanoseconds
}

// TryTake implements admission.SlotSource.
func (s *service) TryTake(class job.Class) (*route.Upstream, result.Code) {
	set := s.table.Current().Service(s.name)
	if set == nil {
		return nil, result.NoUpstream
	}
	now := s.now()
	if class == job.BestEffort && !s.batchMay(set, now) {
		return nil, result.QueueFull
	}
	u, state := set.Pick(now, nil)
	switch state {
	case route.Picked:
		s.took(class)
		return u, result.OK
	case route.NoFreeSlot:
		return nil, result.QueueFull
	}
	return nil, result.NoUpstream
}

// batchMay reports whether a batch request leaves the slots that are reserved
// for latency-critical ones.
func (s *service) batchMay(set *route.Service, now time.Duration) bool {
	slots := s.count(set, now)
	reserved := (slots + reservedPart - 1) / reservedPart
	return int(s.batch.Load()) < max(1, slots-reserved)
}

func (s *service) took(class job.Class) {
	if class == job.BestEffort {
		s.batch.Add(1)
	}
}

// release returns the slot of a request of class.
func (s *service) release(u *route.Upstream, class job.Class) {
	if class == job.BestEffort {
		s.batch.Add(-1)
	}
	u.Release()
}

// ServiceRate implements admission.SlotSource.
func (s *service) ServiceRate() (time.Duration, int) {
	held := time.Duration(s.held.Load())
	if held == 0 {
		held = initialHeld
	}
	set := s.table.Current().Service(s.name)
	if set == nil {
		return held, 0
	}
	return held, s.count(set, s.now())
}

// count returns this entry's slots, counted again every slotsEvery.
func (s *service) count(set *route.Service, now time.Duration) int {
	last := s.counted.Load()
	if last != 0 && int64(now)-last < int64(slotsEvery) {
		return int(s.slots.Load())
	}
	upstreams, slots := set.UsableCapacity(now)
	if upstreams > 0 && slots == 0 {
		s.starved.Store(int64(now))
	}
	s.slots.Store(int32(slots))
	s.counted.Store(int64(now))
	return slots
}

// observe records how long a slot was held.
func (s *service) observe(d time.Duration) {
	old := s.held.Load()
	if old == 0 {
		old = int64(d)
	}
	s.held.Store(old + (int64(d)-old)/heldWeight)
}

// services holds the service states by name. It holds only names that a
// snapshot had.
type services struct {
	table *route.Table
	now   func() time.Duration
	mu    sync.Mutex
	all   atomic.Pointer[map[string]*service]
}

// get returns the state of name.
func (s *services) get(name string) *service {
	if m := s.all.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
	}
	return s.add(name)
}

func (s *services) add(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*service)
	if m := s.all.Load(); m != nil {
		if v := (*m)[name]; v != nil {
			return v
		}
		for k, v := range *m {
			next[k] = v
		}
	}
	v := &service{name: name, table: s.table, now: s.now}
	v.queue = admission.NewQueue[*route.Upstream](v)
	next[name] = v
	s.all.Store(&next)
	return v
}

// wake hands the free slots of w to the services that wait for them.
func (s *services) wake(w *route.Worker) {
	m := s.all.Load()
	if m == nil {
		return
	}
	for _, name := range w.Services() {
		if v := (*m)[name]; v != nil {
			v.queue.Dispatch()
		}
	}
}

// wakeAll hands free slots to every service that waits, and refuses what has
// become too late.
func (s *services) wakeAll() {
	m := s.all.Load()
	if m == nil {
		return
	}
	for _, v := range *m {
		v.queue.Dispatch()
		if v.queue.Waiting() > 0 {
			v.queue.Shed()
		}
	}
}

// starved reports whether a service was lately found without any slot.
func (s *services) starved(now time.Duration) bool {
	if m := s.all.Load(); m != nil {
		for _, v := range *m {
			if at := v.starved.Load(); at != 0 && now-time.Duration(at) < starvedFor {
				return true
			}
		}
	}
	return false
}

// waiting returns the number of requests that wait for a slot.
func (s *services) waiting() int {
	n := 0
	if m := s.all.Load(); m != nil {
		for _, v := range *m {
			n += v.queue.Waiting()
		}
	}
	return n
}
