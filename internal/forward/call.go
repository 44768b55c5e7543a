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

// Bounds of a request.
const (
	// DefaultTimeout holds where neither the caller nor the bundle names one.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout bounds what a caller may ask for.
	MaxTimeout = 30 * time.Second
	// DefaultBody and DefaultAnswer hold where the bundle names no bound.
	DefaultBody   = 1 << 20
	DefaultAnswer = 64 << 20

	maxIDBytes   = 128
	maxKeyBytes  = 256
	maxNameBytes = 128
	pathPrefix   = "/services/"
)

// call is one caller's request as it goes through the entry.
type call struct {
	id       string
	service  string
	tenant   string
	class    job.Class
	key      string
	hop      string // zone that passed it on; empty for none
	method   string
	path     string // raw, below the service
	query    string
	header   http.Header
	body     []byte
	start    time.Time
	deadline time.Time

	weight     int
	idempotent bool
	maxAnswer  int64
	retryRatio float64
	attempts   int
}

// parse reads everything but the body. The call has an id also where it
// returns an error.
func parse(r *http.Request, p *policy, now time.Time) (*call, error) {
	c := &call{method: r.Method, query: r.URL.RawQuery, header: r.Header, start: now}
	if err := c.readID(r); err != nil {
		return c, err
	}
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return c, result.Errorf(result.RequestUnsupported, "the connection cannot be upgraded")
	}
	if err := c.readPath(r.URL.EscapedPath()); err != nil {
		return c, err
	}
	if err := c.readNames(r); err != nil {
		return c, err
	}
	return c, p.apply(c, r)
}

func (c *call) readID(r *http.Request) error {
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		c.id = uuid.NewString()
		return nil
	}
	if !token(id, maxIDBytes) {
		c.id = uuid.NewString()
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderRequestID, maxIDBytes)
	}
	c.id = id
	return nil
}

func (c *call) readPath(raw string) error {
	rest, ok := strings.CutPrefix(raw, pathPrefix)
	if !ok {
		return result.Errorf(result.RequestBad, "the path does not begin with %s", pathPrefix)
	}
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || !token(service, maxNameBytes) {
		return result.Errorf(result.RequestBad, "the path names no service")
	}
	c.service, c.path = service, "/"+path
	if dotted(c.path) {
		return result.Errorf(result.RequestBad, "the path holds a dot segment")
	}
	return nil
}

// dotted reports whether the path would be above its base when resolved.
func dotted(path string) bool {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return false
	}
	for s := range strings.SplitSeq(path, "/") {
		plain, err := url.PathUnescape(s)
		if err != nil {
			return true
		}
		for part := range strings.FieldsFuncSeq(plain, func(r rune) bool { return r == '/' || r == '\\' }) {
			if part == "." || part == ".." {
				return true
			}
		}
	}
	return false
}

func (c *call) readNames(r *http.Request) error {
	c.tenant = r.Header.Get(HeaderTenant)
	if !token(c.tenant, maxNameBytes) {
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderTenant, maxNameBytes)
	}
	c.key = r.Header.Get(HeaderKey)
	if _, ok := r.Header[HeaderKey]; ok && !token(c.key, maxKeyBytes) {
		return result.Errorf(result.RequestBad, "%s is not 1 to %d visible characters", HeaderKey, maxKeyBytes)
	}
	c.hop = r.Header.Get(HeaderHop)
	switch class := job.Class(r.Header.Get(HeaderClass)); class {
	case "", job.LatencyCritical, job.BestEffort:
		c.class = class
	default:
		return result.Errorf(result.RequestBad, "%s is neither %s nor %s", HeaderClass, job.LatencyCritical, job.BestEffort)
	}
	return nil
}

// timeout returns what the caller asks for, or zero.
func timeout(r *http.Request) (time.Duration, error) {
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

// token reports whether s has 1 to most bytes, all visible ASCII.
func token(s string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// left returns the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// ticket asks the queue for a slot.
func (c *call) ticket() admission.Request {
	return admission.Request{Organisation: c.tenant, Weight: c.weight, Class: c.class, Deadline: c.deadline}
}
