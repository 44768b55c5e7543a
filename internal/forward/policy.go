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

// Bundles provides the bundle (the versioned configuration) in force, or nil
// before the first one has arrived.
type Bundles interface {
	Current() *bundle.Bundle
}

// policy holds the parts of a bundle that apply to requests, indexed by name.
type policy struct {
	bundle        *bundle.Bundle
	organisations map[string]int // weight in the admission queue, by organisation
	services      map[string]*bundle.Service
}

// policyCache caches the policy made from the bundle in force, so that a bundle is
// indexed once and not for every request.
type policyCache struct {
	bundles Bundles
	current atomic.Pointer[policy]
}

// get returns the policy of the bundle in force. A request reads it once, so that
// a new bundle does not affect requests in flight.
func (p *policyCache) get() *policy {
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
		bundle:        b,
		organisations: make(map[string]int),
		services:      make(map[string]*bundle.Service),
	}
	if b == nil {
		return p
	}
	for _, org := range b.Organisations {
		p.organisations[org.Name] = max(org.Weight, 1)
	}
	for i := range b.Services {
		p.services[b.Services[i].Name] = &b.Services[i]
	}
	return p
}

// defaultService applies to a service that the bundle does not list.
var defaultService = bundle.Service{}

// apply sets the fields of the call that depend on the bundle: weight, class,
// idempotency, limits, retry ratio and deadline. It refuses an organisation that
// the bundle does not list, unless the bundle lists none.
func (p *policy) apply(c *call, r *http.Request) error {
	weight, ok := p.organisations[c.organisation]
	if len(p.organisations) > 0 && !ok {
		return result.Errorf(result.OrganisationUnknown, "organisation %s is not in the bundle", c.organisation)
	}
	c.weight = max(weight, 1)
	s := p.services[c.service]
	if s == nil {
		s = &defaultService
	}
	if c.class == "" {
		c.class = firstNonZero(s.Class, job.LatencyCritical)
	}
	c.idempotent = idempotent(s, c.method, c.path)
	c.maxResponseBytes = firstNonZero(s.MaxResponseBytes, DefaultMaxResponseBytes)
	c.retryRatio = firstNonZero(s.RetryRatio, retry.DefaultRatio)
	t, err := requestedTimeout(r)
	if err != nil {
		return err
	}
	t = firstNonZero(t, time.Duration(s.Timeout), DefaultTimeout)
	c.deadline = c.start.Add(min(t, MaxTimeout))
	if limit := firstNonZero(s.MaxBodyBytes, DefaultMaxBodyBytes); r.ContentLength > limit {
		return result.Errorf(result.RequestTooLarge, "request body is larger than %d bytes", limit)
	}
	return nil
}

// maxRequestBodyBytes returns the maximum size in bytes of a request body for
// the service.
func (p *policy) maxRequestBodyBytes(service string) int64 {
	if s := p.services[service]; s != nil && s.MaxBodyBytes > 0 {
		return s.MaxBodyBytes
	}
	return DefaultMaxBodyBytes
}

// firstNonZero returns the first value that is not zero, or zero.
func firstNonZero[T comparable](values ...T) T {
	var zero T
	for _, v := range values {
		if v != zero {
			return v
		}
	}
	return zero
}

// idempotent reports whether the request may be sent more than once. It checks
// the escaped and the decoded path, so that escaping a character does not evade a
// route of the bundle.
func idempotent(s *bundle.Service, method, path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return false
	}
	if matchesRoute(s.NotIdempotent, method, path) || matchesRoute(s.NotIdempotent, method, decoded) {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return matchesRoute(s.Idempotent, method, path) && matchesRoute(s.Idempotent, method, decoded)
}

func matchesRoute(routes []bundle.Route, method, path string) bool {
	for _, r := range routes {
		if (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return true
		}
	}
	return false
}
