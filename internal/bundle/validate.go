package bundle

import (
	"crypto/ed25519"
	"fmt"
	"math"
	"strings"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/strict"
)

// Limits of the fields of a bundle.
const (
	maxNameBytes     = 64
	maxNoteBytes     = 1024
	maxWeight        = 1000
	maxOrganisations = 10_000
	maxServices      = 10_000
	maxReviewers     = 100
	maxRoutes        = 100
	maxTimeout       = 10 * time.Minute
	maxBodyBytes     = 64 << 20
	maxRetryRatio    = 1.0
	maxFactor        = 1000.0
	maxWindow        = 24 * time.Hour
	maxCount         = 1_000_000
)

// Validate returns every reason why b is not valid as a proposal.
func Validate(b *Bundle) []Reason {
	reasons := validateContents(b)
	if b.Version != b.Base+1 {
		reasons = append(reasons, Reason{"version", fmt.Sprintf("%d, one above the base", b.Base+1)})
	}
	return reasons
}

// validateContents checks every field but the version, which is 0 in the first
// bundle of a deployment.
func validateContents(b *Bundle) []Reason {
	v := &validator{}
	v.name("author", b.Author)
	v.check(len(b.Note) <= maxNoteBytes, "note", "at most %d bytes", maxNoteBytes)
	v.organisations(b.Organisations)
	v.services(b.Services)
	v.placement(&b.Placement)
	v.reviewers(b)
	return v.reasons
}

// validator collects the reasons why a bundle is not valid.
type validator struct{ reasons []Reason }

// check records a reason for path unless ok.
func (v *validator) check(ok bool, path, format string, args ...any) {
	if !ok {
		v.reasons = append(v.reasons, Reason{path, fmt.Sprintf(format, args...)})
	}
}

func (v *validator) name(path, s string) {
	bad := strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f || r == 0xfffd })
	v.check(s != "" && len(s) <= maxNameBytes && !bad, path,
		"1 to %d bytes without spaces and slashes, not %q", maxNameBytes, s)
}

// unique records a reason if name was seen already.
func (v *validator) unique(seen map[string]bool, path, name string) {
	v.check(!seen[name], path, "a unique name, %q is repeated", name)
	seen[name] = true
}

func within(x, low, high float64) bool { return !math.IsNaN(x) && x >= low && x <= high }

func (v *validator) duration(path string, d job.Duration, low, high time.Duration) {
	v.check(d.D() >= low && d.D() <= high, path, "%v to %v, not %v", low, high, d.D())
}

func (v *validator) organisations(organisations []Organisation) {
	v.check(len(organisations) <= maxOrganisations, "tenants", "at most %d", maxOrganisations)
	seen := map[string]bool{}
	for i, org := range organisations {
		path := fmt.Sprintf("tenants[%d]", i)
		v.name(strict.Join(path, "name"), org.Name)
		v.unique(seen, strict.Join(path, "name"), org.Name)
		v.check(org.Weight >= 1 && org.Weight <= maxWeight, strict.Join(path, "weight"), "1 to %d, not %d", maxWeight, org.Weight)
		v.check(org.Quota.Valid(), strict.Join(path, "quota"), "no negative amounts")
	}
}

func (v *validator) services(services []Service) {
	v.check(len(services) <= maxServices, "services", "at most %d", maxServices)
	seen := map[string]bool{}
	for i := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.unique(seen, strict.Join(path, "name"), services[i].Name)
		v.service(path, &services[i])
	}
}

func (v *validator) service(path string, s *Service) {
	v.name(strict.Join(path, "name"), s.Name)
	v.duration(strict.Join(path, "target"), s.LatencyTarget, 0, maxTimeout)
	v.duration(strict.Join(path, "timeout"), s.Timeout, time.Millisecond, maxTimeout)
	v.check(s.LatencyTarget <= s.Timeout, strict.Join(path, "target"), "at most the timeout of %v", s.Timeout.D())
	v.check(s.Class == job.LatencyCritical || s.Class == job.BestEffort, strict.Join(path, "class"),
		"%q or %q, not %q", job.LatencyCritical, job.BestEffort, s.Class)
	v.check(s.MaxBodyBytes >= 0 && s.MaxBodyBytes <= maxBodyBytes, strict.Join(path, "max_body_bytes"), "0 to %d", maxBodyBytes)
	v.check(s.MaxResponseBytes >= 0 && s.MaxResponseBytes <= maxBodyBytes, strict.Join(path, "max_answer_bytes"), "0 to %d", maxBodyBytes)
	v.check(within(s.RetryRatio, 0, maxRetryRatio), strict.Join(path, "retry_ratio"), "0 to %v", maxRetryRatio)
	v.routes(strict.Join(path, "idempotent"), s.Idempotent)
	v.routes(strict.Join(path, "not_idempotent"), s.NotIdempotent)
}

func (v *validator) routes(path string, routes []Route) {
	v.check(len(routes) <= maxRoutes, path, "at most %d", maxRoutes)
	for i, r := range routes {
		routePath := fmt.Sprintf("%s[%d]", path, i)
		v.check(r.Method == strings.ToUpper(r.Method) && !strings.ContainsAny(r.Method, " \t/"), strict.Join(routePath, "method"),
			"an HTTP method in capitals or none, not %q", r.Method)
		v.check(strings.HasPrefix(r.Prefix, "/"), strict.Join(routePath, "prefix"), "a path that starts with /, not %q", r.Prefix)
	}
}

// placement checks the placement policy. Zero is allowed in every field and selects
// the default.
func (v *validator) placement(p *Placement) {
	for _, f := range []struct {
		name  string
		value float64
		high  float64
	}{
		{"tail_weight", p.TailLatencyWeight, maxFactor},
		{"throughput_weight", p.ThroughputWeight, maxFactor},
		{"eviction_weight", p.EvictionWeight, maxFactor},
		{"usage_percentile", p.UsagePercentile, 1},
		{"processor_margin", p.CPUMargin, maxFactor},
		{"memory_margin", p.MemoryMargin, maxFactor},
		{"slowdown_threshold", p.SlowdownThreshold, maxFactor},
		{"quarantine_fraction", p.MaxQuarantineFraction, 1},
	} {
		v.check(within(f.value, 0, f.high), strict.Join("placement", f.name), "0 to %v, not %v", f.high, f.value)
	}
	v.check(p.SlowdownThreshold == 0 || p.SlowdownThreshold >= 1, "placement.slowdown_threshold", "0 or at least 1, not %v", p.SlowdownThreshold)
	v.duration("placement.window", p.Window, 0, maxWindow)
	v.duration("placement.cooldown", p.Cooldown, 0, maxWindow)
	v.duration("placement.quarantine_for", p.QuarantineDuration, 0, maxWindow)
	for _, f := range []struct {
		name  string
		value int
	}{
		{"evictions_per_job", p.MaxEvictionsPerTask},
		{"evictions_per_hour", p.MaxEvictionsPerHour},
		{"quarantine_failures", p.QuarantineFailedJobs},
	} {
		v.check(f.value >= 0 && f.value <= maxCount, strict.Join("placement", f.name), "0 to %d, not %d", maxCount, f.value)
	}
}

// reviewers checks the names and keys of the reviewers, and that there are enough of
// them to sign off the next bundle.
func (v *validator) reviewers(b *Bundle) {
	v.check(len(b.Reviewers) <= maxReviewers, "reviewers", "at most %d", maxReviewers)
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, k := range b.Reviewers {
		path := fmt.Sprintf("reviewers[%d]", i)
		v.name(strict.Join(path, "name"), k.Name)
		v.unique(seen, strict.Join(path, "name"), k.Name)
		v.check(len(k.Public) == ed25519.PublicKeySize, strict.Join(path, "public"), "%d bytes in base64", ed25519.PublicKeySize)
		v.check(!keys[string(k.Public)], strict.Join(path, "public"), "a public key that no other reviewer has")
		keys[string(k.Public)] = true
	}
	v.check(b.RequiredSignOffs >= 0 && b.RequiredSignOffs <= len(b.Reviewers), "sign_offs", "0 to the number of reviewers, %d", len(b.Reviewers))
}
