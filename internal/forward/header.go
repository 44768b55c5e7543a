package forward

import (
	"net/http"
	"net/textproto"
	"strings"

	"skylarkport/internal/contract"
)

// Headers of the requests from callers to the entry and of its responses.
const (
	HeaderOrganisation   = "Skylark-Tenant"
	HeaderClass          = "Skylark-Class"
	HeaderTimeout        = contract.HeaderDeadline
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = contract.HeaderRequestID
	HeaderResult         = "Skylark-Result"
	HeaderNotRun         = contract.HeaderNotRun
	HeaderRetryAfter     = "Retry-After"
	// HeaderZoneHop holds the zone of the entry that forwarded the request. A request
	// with this header is not forwarded to another zone again, which prevents
	// loops.
	HeaderZoneHop = "Skylark-Zone-Hop"
)

// upstreamKeyHeader is the header with the idempotency key in requests to
// upstreams. It is not in canonical form, because net/http considers a request with
// the canonical header idempotent and may resend it by itself.
const upstreamKeyHeader = "idempotency-key"

// hopByHop holds the headers that apply to a single connection and must not be
// forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeader copies the end-to-end headers of src to dst, except those in drop.
func copyHeader(dst, src http.Header, drop map[string]bool) {
	connection := src["Connection"]
	for k, v := range src {
		if hopByHop[k] || drop[k] || (connection != nil && listedInConnection(connection, k)) {
			continue
		}
		dst[k] = v
	}
}

// listedInConnection reports whether the values of a Connection header list key.
func listedInConnection(values []string, key string) bool {
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == key {
				return true
			}
		}
	}
	return false
}

// ownRequestHeaders holds the request headers that the entry sets itself instead
// of forwarding those of the caller.
var ownRequestHeaders = map[string]bool{
	HeaderTimeout:        true,
	HeaderIdempotencyKey: true,
	HeaderRequestID:      true,
	HeaderZoneHop:        true,
	"Content-Length":     true,
	"Expect":             true,
	"Host":               true,
}

// ownResponseHeaders holds the response headers that the entry sets itself instead
// of forwarding those of the upstream.
var ownResponseHeaders = map[string]bool{
	HeaderResult:           true,
	HeaderNotRun:           true,
	HeaderRequestID:        true,
	contract.HeaderLeaving: true,
	"Content-Length":       true,
}
