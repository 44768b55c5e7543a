// Package forward is the HTTP proxy of an entry. It forwards a caller's request to
// an upstream and returns the complete response, or refuses the request with a
// result code. It retries within a budget, records idempotency keys, and falls back
// to the entries of other zones.
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
	maxAttempts          = 3   // per request
	maxOtherZoneInFlight = 256 // concurrent requests forwarded to other zones' entries
)

// Zones provides the base URLs of the entries of other zones.
type Zones interface {
	OtherZoneEntries() []*url.URL
}

// Recorder receives the events that the handler counts.
type Recorder interface {
	// RecordResult records a request that has ended with code after d.
	RecordResult(organisation, class string, code result.Code, d time.Duration)
	// RecordAttempt counts an attempt to send a request to an upstream.
	RecordAttempt()
	// RecordDiscardedResponse counts a response that was rejected: it belonged to
	// another request, was too large, or its end could not be determined.
	RecordDiscardedResponse()
	// RecordLostKeyOutcome counts a request with an idempotency key whose outcome
	// could not be stored.
	RecordLostKeyOutcome()
}

// Config holds the settings and dependencies of a Handler. If KeyStore is nil, requests
// with an idempotency key are refused; if Zones is nil, no request is forwarded to another
// zone.
type Config struct {
	Zone        string
	MaxInFlight int // maximum number of concurrent requests, waiting ones included
	Table       *route.Table
	Bundles     Bundles
	KeyStore    KeyStore
	Zones       Zones
	ZoneDial    Dialer // to the entries of other zones; nil for DialTCP
	Recorder    Recorder
}

// Handler is the http.Handler for callers' requests to services.
type Handler struct {
	cfg               Config
	start             time.Time
	policyCache       policyCache
	services          services
	inFlight          atomic.Int64
	otherZoneInFlight share.Semaphore
	zoneTransport     http.RoundTripper
	refusals          refusals
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg, start: time.Now()}
	h.policyCache.bundles = cfg.Bundles
	h.services = services{table: cfg.Table, now: h.now}
	h.otherZoneInFlight.SetLimit(maxOtherZoneInFlight)
	if cfg.ZoneDial == nil {
		h.cfg.ZoneDial = DialTCP
	}
	h.zoneTransport = NewZoneTransport(h.cfg.ZoneDial)
	return h
}

// now returns the time since the handler was made, on the monotonic clock. The
// routing table uses the same clock.
func (h *Handler) now() time.Duration { return time.Since(h.start) }

// Now returns the time since the handler was made, on the monotonic clock.
func (h *Handler) Now() time.Duration { return h.now() }

// Waiting returns the number of requests that wait for a slot.
func (h *Handler) Waiting() int { return h.services.waiting() }

// LacksSlots reports whether requests wait for slots, or a service had upstreams
// but no slots within the last second.
func (h *Handler) LacksSlots() bool { return h.Waiting() > 0 || h.services.lacksSlots(h.now()) }

// InFlight returns the number of requests that are being served, waiting ones
// included.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Wake gives free slots to waiting requests. It is called when slots may have
// become free for another reason than the end of a request.
func (h *Handler) Wake() { h.services.dispatchAll() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.inFlight.Add(-1)
	full := h.inFlight.Add(1) > int64(h.cfg.MaxInFlight)
	p := h.policyCache.get()
	c, err := parse(r, p, time.Now())
	w.Header()[HeaderRequestID] = []string{c.id}
	if err == nil && full {
		err = newFailure(result.QueueFull, "the entry has reached its limit of concurrent requests")
	}
	if err == nil {
		c.body, err = readBody(w, r, c, p.maxRequestBodyBytes(c.service))
	}
	if err != nil {
		h.refuse(w, c, toFailure(err))
		return
	}
	if c.key != "" {
		h.serveKeyed(w, r, c)
		return
	}
	h.serveUnkeyed(w, r, c)
}

// refuse sends the failure to the caller and records it.
func (h *Handler) refuse(w http.ResponseWriter, c *call, f *failure) {
	f.write(w)
	h.recordDone(c, f.code)
	h.refusals.add(Refusal{
		RequestID: c.id, Service: c.service, Organisation: c.organisation, Code: f.code,
		Detail: f.detail, NotRun: f.notRun, Attempts: c.attempts, At: time.Now(),
	})
}

// recordDone reports the end of the call to the recorder.
func (h *Handler) recordDone(c *call, code result.Code) {
	h.cfg.Recorder.RecordResult(c.organisation, string(c.class), code, time.Since(c.start))
}

// serveUnkeyed serves a request without an idempotency key. It streams the
// response.
func (h *Handler) serveUnkeyed(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	upstream, f := h.send(ctx, c)
	if f != nil {
		h.refuse(w, c, f)
		return
	}
	writeResponseHeader(w, c, upstream.resp, upstream.fromOtherZone)
	err := streamBody(w, c, upstream.resp)
	upstream.finish(err)
	h.finishStream(w, c, err)
}

// finishStream records how a streamed response ended. If it is incomplete, the
// caller's connection is closed, so that the response cannot be mistaken for a
// complete one. The response header is flushed before: an HTTP client that sees a
// reused connection close without receiving a byte may resend the request by
// itself.
func (h *Handler) finishStream(w http.ResponseWriter, c *call, err error) {
	switch {
	case err == nil:
		h.recordDone(c, result.OK)
		return
	case errors.Is(err, errCallerWrite):
		h.recordDone(c, result.CallerGone)
	default:
		h.recordDone(c, result.UpstreamTruncated)
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}
