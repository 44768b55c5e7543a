// Package route keeps the immutable routing snapshot of an entry and chooses
// the upstream of a request.
package route

import (
	"math"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"skylarkport/internal/feed"
	"skylarkport/internal/share"
)

// Worker is a worker as this entry uses it. Its limits are this entry's part of
// the worker's slots and connections.
type Worker struct {
	ID            string
	DeclaredSlots int
	DeclaredConns int
	Slots         share.Gauge
	Conns         share.Gauge
	// Transport carries the requests to the worker's upstreams.
	Transport http.RoundTripper

	leaving  atomic.Bool
	services atomic.Pointer[[]string]
}

// Services returns the names of the services with an upstream on the worker.
func (w *Worker) Services() []string {
	if s := w.services.Load(); s != nil {
		return *s
	}
	return nil
}

// Leaving reports whether the platform's list says that the worker leaves.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// Tuning of an upstream's estimates.
const (
	latencyWeight  = 8                      // a sample moves the mean by one part in this many
	initialLatency = 10 * time.Millisecond  // before the first sample
	slowStart      = 10 * time.Second       // a new upstream's weight rises over it
	slowStartFloor = 0.1                    // weight of an upstream that is just new
	limitUnit      = 1 << 16                // fixed point of the adaptive limit
	slowFactor     = 3                      // mean latency over its floor that calls for a lower limit
	floorDrift     = 64                     // samples over which the floor rises toward the mean
	shrinkPause    = 100 * time.Millisecond // between two cuts of the adaptive limit
)

// Upstream is a run of a service and what this entry observed of it. Its
// identity does not change.
type Upstream struct {
	Feed   feed.Upstream
	Base   *url.URL
	Worker *Worker

	born     time.Duration
	leaving  atomic.Bool
	inFlight atomic.Int32
	latency  atomic.Int64 // mean, nanoseconds
	floor    atomic.Int64 // slowly rising least latency, nanoseconds
	limit    atomic.Int64 // adaptive concurrency, in 1/limitUnit
	shrunk   atomic.Int64 // when the limit was last cut, nanoseconds
	failures atomic.Int32 // in a row
	ejected  atomic.Int64 // until then, nanoseconds; 0 for never
	ejects   atomic.Int32 // in a row
	service  atomic.Pointer[Service]
}

func newUpstream(f feed.Upstream, w *Worker, now time.Duration) (*Upstream, error) {
	base, err := url.Parse(f.BaseURL)
	if err != nil {
		return nil, err
	}
	u := &Upstream{Feed: f, Base: base, Worker: w, born: now}
	u.limit.Store(int64(max(f.Slots, 1)) * limitUnit)
	return u, nil
}

// InFlight returns the number of requests of this entry at the upstream.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Latency returns the mean latency of answers.
func (u *Upstream) Latency() time.Duration {
	if l := u.latency.Load(); l > 0 {
		return time.Duration(l)
	}
	return initialLatency
}

// Limit returns the adaptive limit of concurrent requests.
func (u *Upstream) Limit() int { return int(u.limit.Load() / limitUnit) }

func (u *Upstream) setService(s *Service) { u.service.Store(s) }

// Leave takes the upstream out of use for new requests, for good.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Leaving reports whether the upstream or its worker takes no new request.
func (u *Upstream) Leaving() bool { return u.leaving.Load() || u.Worker.leaving.Load() }

func (u *Upstream) ejectedAt(now time.Duration) bool { return u.ejected.Load() > int64(now) }

// tryAcquire takes a slot of the worker within the adaptive limit.
func (u *Upstream) tryAcquire() bool {
	if int64(u.inFlight.Add(1))*limitUnit > u.limit.Load() {
		u.inFlight.Add(-1)
		return false
	}
	if u.Worker.Slots.TryAcquire() {
		return true
	}
	u.inFlight.Add(-1)
	return false
}

// Release returns the slot that Pick took.
func (u *Upstream) Release() {
	u.inFlight.Add(-1)
	u.Worker.Slots.Release()
}

// cost is the expected wait of one more request.
func (u *Upstream) cost(now time.Duration) float64 {
	return float64(u.InFlight()+1) * float64(u.Latency()) / u.weight(now)
}

func (u *Upstream) weight(now time.Duration) float64 {
	age := now - u.born
	if age >= slowStart {
		return 1
	}
	return math.Max(slowStartFloor, float64(age)/float64(slowStart))
}

// Succeeded records an answer that took d.
func (u *Upstream) Succeeded(now, d time.Duration) {
	u.failures.Store(0)
	if u.ejected.Load() <= int64(now) {
		u.ejects.Store(0)
	}
	u.observe(d)
	if u.Latency() > slowFactor*time.Duration(u.floor.Load()) && u.InFlight() > 1 {
		u.shrink(now)
		return
	}
	u.grow()
}

func (u *Upstream) observe(d time.Duration) {
	old := u.latency.Load()
	if old == 0 {
		old = int64(d)
	}
	u.latency.Store(old + (int64(d)-old)/latencyWeight)
	floor := u.floor.Load()
	if floor == 0 || int64(d) < floor {
		u.floor.Store(int64(d))
		return
	}
	u.floor.Store(floor + (u.latency.Load()-floor)/floorDrift)
}

// grow raises the adaptive limit by one per limit's worth of answers.
func (u *Upstream) grow() {
	most := int64(max(u.Feed.Slots, 1)) * limitUnit
	l := u.limit.Load()
	if l >= most {
		return
	}
	u.limit.CompareAndSwap(l, min(most, l+limitUnit*limitUnit/l))
}

// Overloaded records that the upstream refused a request for lack of room.
func (u *Upstream) Overloaded(now time.Duration) { u.shrink(now) }

// shrink cuts the adaptive limit, at most once per shrinkPause.
func (u *Upstream) shrink(now time.Duration) {
	last := u.shrunk.Load()
	if last != 0 && int64(now)-last < int64(shrinkPause) {
		return
	}
	if !u.shrunk.CompareAndSwap(last, int64(now)) {
		return
	}
	l := u.limit.Load()
	u.limit.Store(max(limitUnit, l*3/4))
}
