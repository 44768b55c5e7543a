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

// Parameters of a service's estimates and of its slot reservation.
const (
	initialHoldTime     = 10 * time.Millisecond // estimate before the first response
	holdTimeSmoothing   = 16                    // a sample has the weight 1/holdTimeSmoothing in the moving average
	slotCountInterval   = 20 * time.Millisecond // interval of recounting the slots
	starvationWindow    = time.Second           // how long a service counts as without slots after it last had none
	reservedSlotDivisor = 8                     // 1/reservedSlotDivisor of the slots is reserved for latency-critical requests
)

// service holds the state of a service that persists across routing snapshots. It
// implements admission.SlotSource for the service's queue.
type service struct {
	name   string
	table  *route.Table
	now    func() time.Duration
	queue  *admission.Queue[*route.Upstream]
	budget retry.Budget

	holdTime       atomic.Int64 // mean time for which a request holds a slot, nanoseconds
	batchInFlight  atomic.Int32 // batch requests in flight at upstreams
	slots          atomic.Int32 // slots of this entry, as counted at slotsCountedAt
	slotsCountedAt atomic.Int64 // nanoseconds on the handler's clock
	lackedSlotsAt  atomic.Int64 // when the service last had upstreams but no slot of this entry, nanoseconds; zero for never
}

// TryTake implements admission.SlotSource.
func (s *service) TryTake(class job.Class) (*route.Upstream, result.Code) {
	routes := s.table.Current().Service(s.name)
	if routes == nil {
		return nil, result.NoUpstream
	}
	now := s.now()
	if class == job.BestEffort && !s.admitsBatch(routes, now) {
		return nil, result.QueueFull
	}
	u, state := routes.Pick(now, nil)
	switch state {
	case route.Picked:
		s.recordStart(class)
		return u, result.OK
	case route.NoFreeSlot:
		return nil, result.QueueFull
	}
	return nil, result.NoUpstream
}

// admitsBatch reports whether a batch request can start without using the slots
// that are reserved for latency-critical ones. One batch request is always allowed.
func (s *service) admitsBatch(routes *route.Service, now time.Duration) bool {
	slots := s.countSlots(routes, now)
	reserved := (slots + reservedSlotDivisor - 1) / reservedSlotDivisor
	return int(s.batchInFlight.Load()) < max(1, slots-reserved)
}

// recordStart counts a request of class that has taken a slot.
func (s *service) recordStart(class job.Class) {
	if class == job.BestEffort {
		s.batchInFlight.Add(1)
	}
}

// release returns the slot that a request of class held at u.
func (s *service) release(u *route.Upstream, class job.Class) {
	if class == job.BestEffort {
		s.batchInFlight.Add(-1)
	}
	u.Release()
}

// ServiceRate implements admission.SlotSource.
func (s *service) ServiceRate() (time.Duration, int) {
	holdTime := time.Duration(s.holdTime.Load())
	if holdTime == 0 {
		holdTime = initialHoldTime
	}
	routes := s.table.Current().Service(s.name)
	if routes == nil {
		return holdTime, 0
	}
	return holdTime, s.countSlots(routes, s.now())
}

// countSlots returns the number of slots that this entry may use. It recounts them
// at most once per slotCountInterval.
func (s *service) countSlots(routes *route.Service, now time.Duration) int {
	last := s.slotsCountedAt.Load()
	if last != 0 && int64(now)-last < int64(slotCountInterval) {
		return int(s.slots.Load())
	}
	upstreams, slots := routes.UsableCapacity(now)
	if upstreams > 0 && slots == 0 {
		s.lackedSlotsAt.Store(int64(now))
	}
	s.slots.Store(int32(slots))
	s.slotsCountedAt.Store(int64(now))
	return slots
}

// observeHoldTime updates the mean time for which a request holds a slot.
func (s *service) observeHoldTime(d time.Duration) {
	old := s.holdTime.Load()
	if old == 0 {
		old = int64(d)
	}
	s.holdTime.Store(old + (int64(d)-old)/holdTimeSmoothing)
}

// services holds the states of all services by name. It contains only services
// that were in a routing snapshot, so callers cannot make it grow.
type services struct {
	table  *route.Table
	now    func() time.Duration
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*service] // copied on write
}

// get returns the state of the service name, and creates it if necessary.
func (s *services) get(name string) *service {
	if m := s.byName.Load(); m != nil {
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
	if m := s.byName.Load(); m != nil {
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
	s.byName.Store(&next)
	return v
}

// wake gives the free slots of w to the waiting requests of its services.
func (s *services) wake(w *route.Worker) {
	m := s.byName.Load()
	if m == nil {
		return
	}
	for _, name := range w.Services() {
		if v := (*m)[name]; v != nil {
			v.queue.Dispatch()
		}
	}
}

// dispatchAll gives free slots to the waiting requests of all services, and refuses
// those that can no longer be served in time.
func (s *services) dispatchAll() {
	m := s.byName.Load()
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

// lacksSlots reports whether any service had upstreams but no slots within
// starvationWindow before now.
func (s *services) lacksSlots(now time.Duration) bool {
	if m := s.byName.Load(); m != nil {
		for _, v := range *m {
			if at := v.lackedSlotsAt.Load(); at != 0 && now-time.Duration(at) < starvationWindow {
				return true
			}
		}
	}
	return false
}

// waiting returns the number of requests that wait for a slot, over all services.
func (s *services) waiting() int {
	n := 0
	if m := s.byName.Load(); m != nil {
		for _, v := range *m {
			n += v.queue.Waiting()
		}
	}
	return n
}
