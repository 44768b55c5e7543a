package forward

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
	"skylarkport/internal/retry"
)

// Bundles gives the bundle in force, or nil before the first one.
type Bundles interface {
	Current() *bundle.Bundle
}

// policy is the part of a bundle that governs requests, by name.
type policy struct {
	bundle   *bundle.Bundle
	tenants  map[string]int // weight
	services map[string]*bundle.Service
}

// policies keeps the policy of the bundle in force.
type policies struct {
	bundles Bundles
	current atomic.Pointer[policy]
}

// get returns the policy of the bundle in force. A request reads it once.
func (p *policies) get() *policy {
	b := p.bundles.Current()
	if c := p.current.Load(); c != nil && c.bundle == b {
		return c
	}
	n := newPolicy(b)
	p.current.Store(n)
	return n
}

func newPolicy(b *bundle.Bundle) *policy {
	p := &policy{
		bundle:   b,
		tenants:  make(map[string]int),
		services: make(map[string]*bundle.Service),
	}
	if b == nil {
		return p
	}
	for _, t := range b.Tenants {
		p.tenants[t.Name] = max(t.Weight, 1)
	}
	for i := range b.Services {
		p.services[b.Services[i].Name] = &b.Services[i]
	}
	return p
}

// defaults govern a service without a contract in the bundle.
var defaults = bundle.Service{}

// apply sets what the bundle says of the call.
func (p *policy) apply(c *call, r *http.Request) error {
	weight, ok := p.tenants[c.tenant]
	if len(p.tenants) > 0 && !ok {
		return result.Errorf(result.TenantUnknown, "tenant %s", c.tenant)
	}
	c.weight = max(weight, 1)
	s := p.services[c.service]
	if s == nil {
		s = &defaults
	}
	if c.class == "" {
		c.class = firstOf(s.Class, job.LatencyCritical)
	}
	c.idempotent = idempotent(s, c.method, c.path)
	c.maxAnswer = firstOf(s.MaxAnswerBytes, DefaultAnswer)
	c.retryRatio = firstOf(s.RetryRatio, retry.DefaultRatio)
	t, err := timeout(r)
	if err != nil {
		return err
	}
	t = firstOf(t, time.Duration(s.Timeout), DefaultTimeout)
	c.deadline = c.start.Add(min(t, MaxTimeout))
	if limit := firstOf(s.MaxBodyBytes, DefaultBody); r.ContentLength > limit {
		return result.Errorf(result.RequestTooLarge, "body over %d bytes", limit)
	}
	return nil
}

// maxBody returns the bound of a request's body in bytes.
func (p *policy) maxBody(service string) int64 {
	if s := p.services[service]; s != nil && s.MaxBodyBytes > 0 {
		return s.MaxBodyBytes
	}
	return DefaultBody
}

func firstOf[T comparable](values ...T) T {
	var zero T
	for _, v := range values {
		if v != zero {
			return v
		}
	}
	return zero
}

// idempotent reports whether the request may be sent again. The decoded path
// counts too, so that an escaped character hides no route.
func idempotent(s *bundle.Service, method, path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return false
	}
	if matches(s.NotIdempotent, method, path) || matches(s.NotIdempotent, method, plain) {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return matches(s.Idempotent, method, path) && matches(s.Idempotent, method, plain)
}

func matches(routes []bundle.Route, method, path string) bool {
	for _, r := range routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return true
		}
	}
	return false
}
