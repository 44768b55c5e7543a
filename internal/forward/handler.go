// Package forward carries a caller's request to an upstream and the whole
// answer back, or refuses it with a numbered result.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
	"skylarkport/internal/route"
	"skylarkport/internal/share"
)

// Limits of the handler.
const (
	maxAttempts  = 3
	maxElsewhere = 256 // requests at other zones' entries
)

// Zones gives the base URLs of entries of other zones.
type Zones interface {
	Elsewhere() []*url.URL
}

// Recorder counts what the handler did.
type Recorder interface {
	// Done counts an answered request.
	Done(tenant, class string, code result.Code, d time.Duration)
	// Attempt counts a request sent to an upstream.
	Attempt()
	// Discarded counts an answer that belonged to another request.
	Discarded()
	// KeyEndLost counts a keyed request whose end could not be recorded.
	KeyEndLost()
}

// Config is what a Handler needs. Keys and Zones may be nil.
type Config struct {
	Zone        string
	MaxInFlight int // requests, queued ones included
	Table       *route.Table
	Bundles     Bundles
	Keys        Keys
	Zones       Zones
	ZoneDial    Dialer
	Recorder    Recorder
}

// Handler serves callers' requests.
type Handler struct {
	cfg       Config
	start     time.Time
	policies  policies
	services  services
	inFlight  atomic.Int64
	elsewhere share.Semaphore
	zones     http.RoundTripper
	refusals  refusals
}

// New returns a handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, start: time.Now()}
	h.policies.bundles = cfg.Bundles
	h.services = services{table: cfg.Table, now: h.now}
	h.elsewhere.SetLimit(maxElsewhere)
	if cfg.ZoneDial == nil {
		h.cfg.ZoneDial = DialTCP
	}
	h.zones = NewZoneTransport(h.cfg.ZoneDial)
	return h
}

// now is the monotonic reading that the routing table uses.
func (h *Handler) now() time.Duration { return time.Since(h.start) }

// Now returns the handler's monotonic reading.
func (h *Handler) Now() time.Duration { return h.now() }

// Waiting returns the number of requests that wait for a slot.
func (h *Handler) Waiting() int { return h.services.waiting() }

// Pressed reports whether requests wait for slots, or were refused for want of
// any.
func (h *Handler) Pressed() bool { return h.Waiting() > 0 || h.services.starved(h.now()) }

// InFlight returns the number of requests not answered yet.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Wake hands free slots to waiting requests. It is called when slots may have
// come free without a request's end.
func (h *Handler) Wake() { h.services.wakeAll() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.inFlight.Add(-1)
	full := h.inFlight.Add(1) > int64(h.cfg.MaxInFlight)
	p := h.policies.get()
	c, err := parse(r, p, time.Now())
	w.Header()[HeaderRequestID] = []string{c.id}
	if err == nil && full {
		err = unsent(result.QueueFull, "the entry is full")
	}
	if err == nil {
		c.body, err = readBody(w, r, c, p.maxBody(c.service))
	}
	if err != nil {
		h.refuse(w, c, failureOf(err))
		return
	}
	if c.key != "" {
		h.keyed(w, r, c)
		return
	}
	h.plain(w, r, c)
}

func (h *Handler) refuse(w http.ResponseWriter, c *call, f *failure) {
	f.write(w)
	h.done(c, f.code)
	h.refusals.add(Refusal{
		RequestID: c.id, Service: c.service, Tenant: c.tenant, Code: f.code,
		Detail: f.detail, NotRun: f.notRun, Attempts: c.attempts, At: time.Now(),
	})
}

func (h *Handler) done(c *call, code result.Code) {
	h.cfg.Recorder.Done(c.tenant, string(c.class), code, time.Since(c.start))
}

// plain serves a request without an idempotency key: the answer is streamed.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, f := h.send(ctx, c)
	if f != nil {
		h.refuse(w, c, f)
		return
	}
	head(w, c, a.resp, a.hop)
	err := stream(w, c, a.resp)
	a.finish(err)
	h.end(w, c, err)
}

// end records how a streamed answer ended. A broken one ends the caller's
// connection, so that it cannot be taken for whole. Its head is sent before
// that: a caller's HTTP library that sees a used connection end without a byte
// sends the request again by itself.
func (h *Handler) end(w http.ResponseWriter, c *call, err error) {
	switch {
	case err == nil:
		h.done(c, result.OK)
		return
	case errors.Is(err, errCaller):
		h.done(c, result.CallerGone)
	default:
		h.done(c, result.UpstreamBroken)
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
