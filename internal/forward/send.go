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

// answered is an answer whose head has arrived. finish is called once, after
// its body was read.
type answered struct {
	resp   *http.Response
	hop    bool // from another zone's entry
	finish func(err error)
}

// send tries the call until it is answered or must not be sent again. Its
// failure claims that the request was not run only where no attempt may have
// run it.
func (h *Handler) send(ctx context.Context, c *call) (*answered, *failure) {
	var tried []*route.Upstream
	var sent *failure // of the newest attempt that may have run
	s := h.known(c)
	if s != nil {
		s.budget.Deposit(c.retryRatio)
	}
	for {
		u, f := h.acquire(ctx, c, s, tried)
		if f != nil && f.code == result.NoUpstream && sent == nil {
			if a, g := h.sendElsewhere(ctx, c); a != nil || g != nil {
				return a, g
			}
		}
		if f != nil {
			return nil, firstFailure(sent, f)
		}
		a, f := h.try(ctx, c, s, u)
		if f == nil {
			return a, nil
		}
		if !f.notRun {
			sent = f
		}
		if !h.again(ctx, c, s, f) {
			return nil, conclude(c, firstFailure(sent, f))
		}
		tried = append(tried, u)
	}
}

func firstFailure(sent, f *failure) *failure {
	if sent != nil {
		return sent
	}
	return f
}

// conclude names the result of a request that is not idempotent and may have
// run.
func conclude(c *call, f *failure) *failure {
	if f.notRun || c.idempotent || f.code == result.CallerGone || f.code == result.TimedOut {
		return f
	}
	return &failure{code: result.OutcomeUnknown, detail: f.detail}
}

// again reports whether the call may be sent once more after f.
func (h *Handler) again(ctx context.Context, c *call, s *service, f *failure) bool {
	if !f.notRun && !c.idempotent {
		return false
	}
	if ctx.Err() != nil || c.attempts >= maxAttempts {
		return false
	}
	if held, _ := s.ServiceRate(); c.left() <= held {
		return false
	}
	return s.budget.Withdraw()
}

// known returns the state of the call's service, or nil where the snapshot does
// not have it.
func (h *Handler) known(c *call) *service {
	if h.cfg.Table.Current().Service(c.service) == nil {
		return nil
	}
	return h.services.get(c.service)
}

// acquire takes a slot of an upstream that was not tried, or of any.
func (h *Handler) acquire(ctx context.Context, c *call, s *service, tried []*route.Upstream) (*route.Upstream, *failure) {
	if s == nil {
		return nil, h.unknown(c)
	}
	if len(tried) > 0 && s.queue.Waiting() == 0 {
		set := h.cfg.Table.Current().Service(c.service)
		if set != nil {
			if u, state := set.Pick(h.now(), tried); state == route.Picked {
				s.took(c.class)
				return u, nil
			}
		}
	}
	u, err := s.queue.Acquire(ctx, c.ticket())
	if err != nil {
		return nil, failureOf(err)
	}
	return u, nil
}

// unknown says why a service has no upstream in this zone.
func (h *Handler) unknown(c *call) *failure {
	p := h.policies.get()
	switch {
	case p.services[c.service] != nil:
		return unsent(result.NoUpstream, "no upstream of the service in this zone")
	case h.cfg.Table.Current().Version == 0:
		return unsent(result.NotReady, "no list of upstreams has arrived yet")
	case h.cfg.Zones != nil && c.hop == "" && len(h.cfg.Zones.Elsewhere()) > 0:
		return unsent(result.NoUpstream, "no upstream of the service in this zone")
	}
	return unsent(result.ServiceUnknown, "service "+c.service)
}

// try sends the call to u once.
func (h *Handler) try(ctx context.Context, c *call, s *service, u *route.Upstream) (*answered, *failure) {
	c.attempts++
	h.cfg.Recorder.Attempt()
	start := time.Now()
	var a attempt
	resp, f := a.do(ctx, c, &target{base: u.Base, transport: u.Worker.Transport})
	release := func() {
		s.observe(time.Since(start))
		s.release(u, c.class)
		h.services.wake(u.Worker)
	}
	if f != nil {
		h.judge(u, f)
		release()
		return nil, f
	}
	if resp.Header.Get(contract.HeaderLeaving) != "" {
		u.MarkLeaving()
	}
	finish := func(err error) {
		_ = resp.Body.Close()
		a.cancel()
		h.ended(u, resp, err, time.Since(start))
		release()
	}
	return &answered{resp: resp, finish: finish}, nil
}

// judge records a failed attempt at its upstream.
func (h *Handler) judge(u *route.Upstream, f *failure) {
	switch f.code {
	case result.UpstreamRefused:
		u.RecordOverload(h.now())
	case result.CallerGone, result.TooLate:
	case result.UpstreamBroken:
		h.cfg.Recorder.Discarded()
		u.RecordFailure(h.now())
	default:
		u.RecordFailure(h.now())
	}
}

// ended records an answer at its upstream.
func (h *Handler) ended(u *route.Upstream, resp *http.Response, err error, d time.Duration) {
	switch {
	case result.Of(err) == result.UpstreamBroken:
		u.RecordFailure(h.now())
	case resp.StatusCode >= http.StatusInternalServerError:
		u.RecordFailure(h.now())
	case err == nil:
		u.RecordSuccess(h.now(), d)
	}
}

// sendElsewhere passes the call to an entry of another zone. It returns nil and
// nil where none can take it.
func (h *Handler) sendElsewhere(ctx context.Context, c *call) (*answered, *failure) {
	if h.cfg.Zones == nil || c.hop != "" {
		return nil, nil
	}
	bases := h.cfg.Zones.Elsewhere()
	if len(bases) == 0 || !h.elsewhere.TryAcquire() {
		return nil, nil
	}
	c.attempts++
	var a attempt
	resp, f := a.do(ctx, c, h.zoneTarget(c, bases[rand.IntN(len(bases))]))
	if f != nil {
		h.elsewhere.Release()
		if f.notRun {
			return nil, nil
		}
		return nil, conclude(c, f)
	}
	finish := func(error) {
		_ = resp.Body.Close()
		a.cancel()
		h.elsewhere.Release()
	}
	return &answered{resp: resp, hop: true, finish: finish}, nil
}

func (h *Handler) zoneTarget(c *call, base *url.URL) *target {
	return &target{
		base:      base,
		prefix:    pathPrefix + url.PathEscape(c.service),
		transport: h.zones,
		hop:       h.cfg.Zone,
	}
}
