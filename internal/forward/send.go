package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
	"skylarkport/internal/route"
)

// upstreamResponse is a response whose header has arrived. finish must be called
// once, after the body was read, with the error of reading or streaming it.
type upstreamResponse struct {
	resp          *http.Response
	fromOtherZone bool // the response is from another zone's entry
	finish        func(err error)
}

// send attempts the call until it gets a response or must not be sent again. If no
// upstream of this zone is available and no attempt may have run, it forwards the
// call to another zone. The failure that it returns has notRun set only if no
// attempt may have run the request.
func (h *Handler) send(ctx context.Context, c *call) (*upstreamResponse, *failure) {
	var tried []*route.Upstream
	var maybeRan *failure // of the latest attempt that may have run the request
	s := h.serviceState(c)
	if s != nil {
		s.budget.Deposit(c.retryRatio)
	}
	for {
		u, f := h.acquire(ctx, c, s, tried)
		if f != nil && f.code == result.NoUpstream && maybeRan == nil {
			if resp, g := h.sendToOtherZone(ctx, c); resp != nil || g != nil {
				return resp, g
			}
		}
		if f != nil {
			return nil, preferMaybeRan(maybeRan, f)
		}
		resp, f := h.attemptUpstream(ctx, c, s, u)
		if f == nil {
			return resp, nil
		}
		if !f.notRun {
			maybeRan = f
		}
		if !h.mayRetry(ctx, c, s, f) {
			return nil, finalFailure(c, preferMaybeRan(maybeRan, f))
		}
		tried = append(tried, u)
	}
}

// preferMaybeRan returns the failure of an attempt that may have run the request,
// if there was one, and f otherwise.
func preferMaybeRan(maybeRan, f *failure) *failure {
	if maybeRan != nil {
		return maybeRan
	}
	return f
}

// finalFailure replaces the code of f by result.OutcomeUnknown if the request is not
// idempotent and may have run, unless the caller disconnected or the deadline
// passed.
func finalFailure(c *call, f *failure) *failure {
	if f.notRun || c.idempotent || f.code == result.CallerGone || f.code == result.TimedOut {
		return f
	}
	return &failure{code: result.OutcomeUnknown, detail: f.detail}
}

// mayRetry reports whether the call may be sent again after the failure f: it is
// idempotent or was not run, attempts are left, and the time until the deadline
// exceeds the mean time that a request takes. If so, it takes a retry from the
// budget of the service.
func (h *Handler) mayRetry(ctx context.Context, c *call, s *service, f *failure) bool {
	if !f.notRun && !c.idempotent {
		return false
	}
	if ctx.Err() != nil || c.attempts >= maxAttempts {
		return false
	}
	if holdTime, _ := s.ServiceRate(); c.remaining() <= holdTime {
		return false
	}
	return s.budget.Withdraw()
}

// serviceState returns the state of the call's service, or nil if the routing
// snapshot does not contain the service.
func (h *Handler) serviceState(c *call) *service {
	if h.cfg.Table.Current().Service(c.service) == nil {
		return nil
	}
	return h.services.get(c.service)
}

// acquire takes a slot of an upstream. A retry first tries to take one of an
// upstream that is not in tried, without waiting; otherwise the call waits in the
// queue for a slot of any upstream.
func (h *Handler) acquire(ctx context.Context, c *call, s *service, tried []*route.Upstream) (*route.Upstream, *failure) {
	if s == nil {
		return nil, h.noUpstreamFailure(c)
	}
	if len(tried) > 0 && s.queue.Waiting() == 0 {
		routes := h.cfg.Table.Current().Service(c.service)
		if routes != nil {
			if u, state := routes.Pick(h.now(), tried); state == route.Picked {
				s.recordStart(c.class)
				return u, nil
			}
		}
	}
	u, err := s.queue.Acquire(ctx, c.admissionRequest())
	if err != nil {
		return nil, toFailure(err)
	}
	return u, nil
}

// noUpstreamFailure returns the failure for a service that is not in this zone's
// routing snapshot. The service counts as unknown only if the policy does not declare
// it, a list of upstreams has arrived and the call cannot be forwarded to another zone.
func (h *Handler) noUpstreamFailure(c *call) *failure {
	p := h.policyCache.get()
	switch {
	case p.services[c.service] != nil:
		return newFailure(result.NoUpstream, "no upstream of the service in this zone")
	case h.cfg.Table.Current().Version == 0:
		return newFailure(result.NotReady, "no scheduler has sent a list of upstreams yet")
	case h.cfg.Zones != nil && c.fromZone == "" && len(h.cfg.Zones.OtherZoneEntries()) > 0:
		return newFailure(result.NoUpstream, "no upstream of the service in this zone")
	}
	return newFailure(result.ServiceUnknown, "unknown service "+c.service)
}

// attemptUpstream sends the call to u once.
func (h *Handler) attemptUpstream(ctx context.Context, c *call, s *service, u *route.Upstream) (*upstreamResponse, *failure) {
	c.attempts++
	h.cfg.Recorder.RecordAttempt()
	start := time.Now()
	var a attempt
	resp, f := a.do(ctx, c, &target{baseURL: u.Base, transport: u.Worker.Transport})
	release := func() {
		s.observeHoldTime(time.Since(start))
		s.release(u, c.class)
		h.services.wake(u.Worker)
	}
	if f != nil {
		h.recordFailure(u, f)
		release()
		return nil, f
	}
	if resp.Header.Get(contract.HeaderLeaving) != "" {
		u.MarkLeaving()
	}
	finish := func(err error) {
		_ = resp.Body.Close()
		a.cancel()
		h.recordResponse(u, resp, err, time.Since(start))
		release()
	}
	return &upstreamResponse{resp: resp, finish: finish}, nil
}

// recordFailure records a failed attempt in the state of the upstream. A caller
// that disconnects and a deadline that passes before sending are not the
// upstream's failures.
func (h *Handler) recordFailure(u *route.Upstream, f *failure) {
	switch f.code {
	case result.UpstreamRefused:
		u.RecordOverload(h.now())
	case result.CallerGone, result.TooLate:
	case result.UpstreamTruncated:
		h.cfg.Recorder.RecordDiscardedResponse()
		u.RecordFailure(h.now())
	default:
		u.RecordFailure(h.now())
	}
}

// recordResponse records a response in the state of the upstream. err is the error
// of reading or streaming its body.
func (h *Handler) recordResponse(u *route.Upstream, resp *http.Response, err error, d time.Duration) {
	switch {
	case result.Of(err) == result.UpstreamTruncated:
		u.RecordFailure(h.now())
	case resp.StatusCode >= http.StatusInternalServerError:
		u.RecordFailure(h.now())
	case err == nil:
		u.RecordSuccess(h.now(), d)
	}
}

// sendToOtherZone forwards the call to a random entry of another zone. It returns
// nil and nil if there is none, if maxOtherZoneInFlight requests are in flight at
// other zones, or if the request was not run there.
func (h *Handler) sendToOtherZone(ctx context.Context, c *call) (*upstreamResponse, *failure) {
	if h.cfg.Zones == nil || c.fromZone != "" {
		return nil, nil
	}
	bases := h.cfg.Zones.OtherZoneEntries()
	if len(bases) == 0 || !h.otherZoneInFlight.TryAcquire() {
		return nil, nil
	}
	c.attempts++
	var a attempt
	resp, f := a.do(ctx, c, h.zoneTarget(c, bases[rand.IntN(len(bases))]))
	if f != nil {
		h.otherZoneInFlight.Release()
		if f.notRun {
			return nil, nil
		}
		return nil, finalFailure(c, f)
	}
	finish := func(error) {
		_ = resp.Body.Close()
		a.cancel()
		h.otherZoneInFlight.Release()
	}
	return &upstreamResponse{resp: resp, fromOtherZone: true, finish: finish}, nil
}

// zoneTarget returns the target for the call at the entry of another zone whose base
// URL is baseURL.
func (h *Handler) zoneTarget(c *call, baseURL *url.URL) *target {
	return &target{
		baseURL:   baseURL,
		prefix:    pathPrefix + url.PathEscape(c.service),
		transport: h.zoneTransport,
		fromZone:  h.cfg.Zone,
	}
}
