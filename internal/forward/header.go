package forward

import (
	"net/http"
	"net/textproto"
	"strings"

	"skylarkport/internal/contract"
)

// Headers between callers and the entry.
const (
	HeaderTenant     = "Skylark-Tenant"
	HeaderClass      = "Skylark-Class"
	HeaderTimeout    = contract.HeaderDeadline
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = contract.HeaderRequestID
	HeaderResult     = "Skylark-Result"
	HeaderNotRun     = contract.HeaderNotRun
	HeaderRetryAfter = "Retry-After"
	// HeaderHop names the zone of the entry that passed the request on. A
	// request with it goes to no third zone.
	HeaderHop = "Skylark-Zone-Hop"
)

// keyOnWire is the idempotency key's header towards upstreams. It is not in the
// canonical form because net/http sends a request again by itself when it finds
// the canonical one.
const keyOnWire = "idempotency-key"

// hopByHop are the headers that concern one connection only.
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

// copyHeader copies the end-to-end headers of src that drop does not name.
func copyHeader(dst, src http.Header, drop map[string]bool) {
	named := src["Connection"]
	for k, v := range src {
		if hopByHop[k] || drop[k] || (named != nil && nominated(named, k)) {
			continue
		}
		dst[k] = v
	}
}

// nominated reports whether a Connection header names key.
func nominated(values []string, key string) bool {
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == key {
				return true
			}
		}
	}
	return false
}

// ownRequest are the callers' headers that the entry writes anew.
var ownRequest = map[string]bool{
	HeaderTimeout:    true,
	HeaderKey:        true,
	HeaderRequestID:  true,
	HeaderHop:        true,
	"Content-Length": true,
	"Expect":         true,
	"Host":           true,
}

// ownAnswer are the upstream's headers that the entry writes anew.
var ownAnswer = map[string]bool{
	HeaderResult:           true,
	HeaderNotRun:           true,
	HeaderRequestID:        true,
	contract.HeaderLeaving: true,
	"Content-Length":       true,
}
