// Package route maintains the routing state of an entry, the process that
// forwards requests to services, and chooses an upstream for each request.
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

// Worker is the state that this entry keeps of a worker. The limits of Slots
// and Conns are this entry's share of the worker's slots and connections.
type Worker struct {
	ID            string
	DeclaredSlots int
	DeclaredConns int
	Slots         share.Semaphore
	Conns         share.Semaphore
	// Transport sends requests to the worker's upstreams.
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

// Leaving reports whether the worker is marked as leaving by the platform's
// list.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// Parameters of an upstream's estimates.
const (
	latencySmoothing   = 8                      // inverse weight of a sample in the moving average
	initialLatency     = 10 * time.Millisecond  // assumed mean before the first sample
	slowStartTime      = 10 * time.Second       // time over which a new upstream's weight rises to 1
	minSlowStartWeight = 0.1                    // lowest weight of a new upstream
	limitScale         = 1 << 16                // fixed-point representation of one request in the adaptive limit
	overloadRatio      = 3                      // ratio of mean latency to its floor above which the limit is lowered
	floorSmoothing     = 64                     // inverse fraction by which a sample moves the floor towards the mean
	shrinkInterval     = 100 * time.Millisecond // least time between two reductions of the adaptive limit
)

// Upstream is one running task of a service, with the state that this entry has
// measured for it. The same Upstream is used in every snapshot that lists the
// run.
type Upstream struct {
	Listing feed.Upstream
	Base    *url.URL
	Worker  *Worker

	firstListed          time.Duration // when the run first appeared in a list
	leaving              atomic.Bool
	inFlight             atomic.Int32
	meanLatency          atomic.Int64 // moving average, nanoseconds
	latencyFloor         atomic.Int64 // lowest latency, rising slowly towards the mean, nanoseconds
	limit                atomic.Int64 // adaptive concurrency limit, in units of 1/limitScale
	lastShrink           atomic.Int64 // time of the last reduction of the limit, nanoseconds
	consecutiveFailures  atomic.Int32
	ejectedUntil         atomic.Int64 // end of the last ejection, nanoseconds; 0 if never ejected
	consecutiveEjections atomic.Int32
	service              atomic.Pointer[Service]
}

func newUpstream(f feed.Upstream, w *Worker, now time.Duration) (*Upstream, error) {
	base, err := url.Parse(f.BaseURL)
	if err != nil {
		return nil, err
	}
	u := &Upstream{Listing: f, Base: base, Worker: w, firstListed: now}
	u.limit.Store(int64(max(f.Slots, 1)) * limitScale)
	return u, nil
}

// InFlight returns the number of requests that this entry has in flight at the
// upstream.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Latency returns the mean latency of successful requests.
func (u *Upstream) Latency() time.Duration {
	if l := u.meanLatency.Load(); l > 0 {
		return time.Duration(l)
	}
	return initialLatency
}

// Limit returns the adaptive limit on concurrent requests.
func (u *Upstream) Limit() int { return int(u.limit.Load() / limitScale) }

func (u *Upstream) setService(s *Service) { u.service.Store(s) }

// MarkLeaving marks the upstream as leaving. It gets no new requests from then on.
func (u *Upstream) MarkLeaving() { u.leaving.Store(true) }

// Leaving reports whether the upstream or its worker is marked as leaving.
func (u *Upstream) Leaving() bool { return u.leaving.Load() || u.Worker.leaving.Load() }

func (u *Upstream) ejectedAt(now time.Duration) bool { return u.ejectedUntil.Load() > int64(now) }

// tryAcquire takes a slot of the worker. It returns false if the adaptive limit
// is reached or the worker has no free slot.
func (u *Upstream) tryAcquire() bool {
	if int64(u.inFlight.Add(1))*limitScale > u.limit.Load() {
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

// cost returns the expected wait of one more request, higher for an upstream in
// slow start.
func (u *Upstream) cost(now time.Duration) float64 {
	return float64(u.InFlight()+1) * float64(u.Latency()) / u.slowStartWeight(now)
}

// slowStartWeight returns the share of its normal load that the upstream should
// get: it rises from minSlowStartWeight to 1 during slow start.
func (u *Upstream) slowStartWeight(now time.Duration) float64 {
	age := now - u.firstListed
	if age >= slowStartTime {
		return 1
	}
	return math.Max(minSlowStartWeight, float64(age)/float64(slowStartTime))
}

// RecordSuccess records a successful request that took d, and adapts the limit:
// down if the mean latency is far above its floor while other requests are in
// flight, and up otherwise.
func (u *Upstream) RecordSuccess(now, d time.Duration) {
	u.consecutiveFailures.Store(0)
	if u.ejectedUntil.Load() <= int64(now) {
		u.consecutiveEjections.Store(0)
	}
	u.observeLatency(d)
	if u.Latency() > overloadRatio*time.Duration(u.latencyFloor.Load()) && u.InFlight() > 1 {
		u.shrink(now)
		return
	}
	u.grow()
}

// observeLatency updates the mean latency and its floor.
func (u *Upstream) observeLatency(d time.Duration) {
	old := u.meanLatency.Load()
	if old == 0 {
		old = int64(d)
	}
	u.meanLatency.Store(old + (int64(d)-old)/latencySmoothing)
	latencyFloor := u.latencyFloor.Load()
	if latencyFloor == 0 || int64(d) < latencyFloor {
		u.latencyFloor.Store(int64(d))
		return
	}
	u.latencyFloor.Store(latencyFloor + (u.meanLatency.Load()-latencyFloor)/floorSmoothing)
}

// grow raises the adaptive limit by one for about as many responses as the limit
// allows concurrent requests, up to the upstream's slots.
func (u *Upstream) grow() {
	maxLimit := int64(max(u.Listing.Slots, 1)) * limitScale
	l := u.limit.Load()
	if l >= maxLimit {
		return
	}
	u.limit.CompareAndSwap(l, min(maxLimit, l+limitScale*limitScale/l))
}

// RecordOverload records that the upstream refused a request for lack of capacity.
func (u *Upstream) RecordOverload(now time.Duration) { u.shrink(now) }

// shrink lowers the adaptive limit by a quarter, to no less than one request,
// at most once per shrinkInterval.
func (u *Upstream) shrink(now time.Duration) {
	last := u.lastShrink.Load()
	if last != 0 && int64(now)-last < int64(shrinkInterval) {
		return
	}
	if !u.lastShrink.CompareAndSwap(last, int64(now)) {
		return
	}
	l := u.limit.Load()
	u.limit.Store(max(limitScale, l*3/4))
}
