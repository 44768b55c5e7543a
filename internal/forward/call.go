package forward

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"skylarkport/internal/admission"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Limits and defaults of a request.
const (
	// DefaultTimeout is used if neither the caller nor the bundle sets a timeout.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout is the longest timeout of a request.
	MaxTimeout = 30 * time.Second
	// DefaultMaxBodyBytes and DefaultMaxResponseBytes are the maximum sizes of a
	// request body and a response body if the bundle sets none.
	DefaultMaxBodyBytes     = 1 << 20
	DefaultMaxResponseBytes = 64 << 20

	maxIDBytes   = 128
	maxKeyBytes  = 256
	maxNameBytes = 128
	pathPrefix   = "/services/"
)

// call is the state of one caller's request on its way through the entry.
type call struct {
	id           string
	service      string
	organisation string
	class        job.Class
	key          string
	fromZone     string // zone of the entry that forwarded the request; empty if it came from the caller
	method       string
	path         string // escaped, below the service name
	query        string
	header       http.Header
	body         []byte
	start        time.Time
	deadline     time.Time

	weight           int
	idempotent       bool
	maxResponseBytes int64
	retryRatio       float64
	attempts         int
}

// parse reads and checks everything but the body, and applies the policy. The
// returned call has a request ID even if parse fails.
func parse(r *http.Request, p *policy, now time.Time) (*call, error) {
	c := &call{method: r.Method, query: r.URL.RawQuery, header: r.Header, start: now}
	if err := c.parseRequestID(r); err != nil {
		return c, err
	}
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return c, result.Errorf(result.RequestUnsupported, "connection upgrades and CONNECT are not supported")
	}
	if err := c.parsePath(r.URL.EscapedPath()); err != nil {
		return c, err
	}
	if err := c.parseHeaders(r); err != nil {
		return c, err
	}
	return c, p.apply(c, r)
}

// parseRequestID sets the request ID to the caller's, or to a generated one if it is
// missing. An invalid ID is an error; the response then carries a generated one.
func (c *call) parseRequestID(r *http.Request) error {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		c.id = uuid.NewString()
		return nil
	}
	if !isToken(id, maxIDBytes) {
		c.id = uuid.NewString()
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderRequestID, maxIDBytes)
	}
	c.id = id
	return nil
}

// parsePath splits the escaped path into the service name and the path below it.
func (c *call) parsePath(raw string) error {
	rest, ok := strings.CutPrefix(raw, pathPrefix)
	if !ok {
		return result.Errorf(result.RequestBad, "the path does not begin with %s", pathPrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || !isToken(service, maxNameBytes) {
		return result.Errorf(result.RequestBad, "the path contains no valid service name")
	}
	c.service, c.path = service, "/"+path
	if hasDotSegment(c.path) {
		return result.Errorf(result.RequestBad, "the path contains a dot segment")
	}
	return nil
}

// hasDotSegment reports whether the path contains a "." or ".." segment, also in
// escaped form or between backslashes, with which it could leave the base path of
// the upstream when resolved. A path with an invalid escape counts as one.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		decoded, err := url.PathUnescape(segment)
		if err != nil {
			return true
		}
		for part := range strings.FieldsFuncSeq(decoded, func(r rune) bool { return r == '/' || r == '\\' }) {
			if part == "." || part == ".." {
				return true
			}
		}
	}
	return false
}

// parseHeaders reads the organisation, the idempotency key, the class and the zone
// of the forwarding entry.
func (c *call) parseHeaders(r *http.Request) error {
	c.organisation = r.Header.Get(HeaderOrganisation)
	if !isToken(c.organisation, maxNameBytes) {
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderOrganisation, maxNameBytes)
	}
	c.key = r.Header.Get(HeaderIdempotencyKey)
	if _, ok := r.Header[HeaderIdempotencyKey]; ok && !isToken(c.key, maxKeyBytes) {
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderIdempotencyKey, maxKeyBytes)
	}
	c.fromZone = r.Header.Get(HeaderZoneHop)
	switch class := job.Class(r.Header.Get(HeaderClass)); class {
	case "", job.LatencyCritical, job.BestEffort:
		c.class = class
	default:
		return result.Errorf(result.RequestBad, "%s is neither %s nor %s", HeaderClass, job.LatencyCritical, job.BestEffort)
	}
	return nil
}

// requestedTimeout returns the timeout that the caller asks for, at most
// MaxTimeout, or zero if the header is missing.
func requestedTimeout(r *http.Request) (time.Duration, error) {
	v := r.Header.Get(HeaderTimeout)
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil || ms <= 0 {
		return 0, result.Errorf(result.RequestBad, "%s is not a positive number of milliseconds", HeaderTimeout)
	}
	return min(time.Duration(ms)*time.Millisecond, MaxTimeout), nil
}

// isToken reports whether s has 1 to maxLen bytes, all of them visible ASCII.
func isToken(s string, maxLen int) bool {
	if s == "" || len(s) > maxLen {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// admissionRequest returns the request for a slot in the admission queue.
func (c *call) admissionRequest() admission.Request {
	return admission.Request{Organisation: c.organisation, Weight: c.weight, Class: c.class, Deadline: c.deadline}
}
