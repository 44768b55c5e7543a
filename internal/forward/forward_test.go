package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"skylarkport/internal/result"
)

// TestForwardsRequestUnchanged checks that path, query, body and request ID reach the upstream
// unchanged and that its response is returned.
func TestForwardsRequestUnchanged(t *testing.T) {
	env := newTestEnv(t, 2)
	tests := []struct {
		name string
		q    callerRequest
		body string
		path string
	}{
		{"get", callerRequest{"GET", "/services/teiki/stock/7?x=1&y=%2F", "", nil}, "ran ", "/runs/teiki/stock/7?x=1&y=%2F"},
		{"post", callerRequest{"POST", "/services/teiki/reserve", "tablets", nil}, "ran tablets", "/runs/teiki/reserve?"},
		{"escaped", callerRequest{"GET", "/services/teiki/a%2Fb/c", "", nil}, "ran ", "/runs/teiki/a%2Fb/c?"},
		{"root", callerRequest{"PUT", "/services/teiki", "", nil}, "ran ", "/runs/teiki/?"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.q.header = map[string]string{HeaderRequestID: "id-" + tt.name}
			resp := env.send(context.Background(), tt.q)
			if resp.err != nil || resp.status != 200 || resp.code() != result.OK || resp.body != tt.body {
				t.Fatalf("response %d %d %q %v", resp.status, resp.code(), resp.body, resp.err)
			}
			if got := resp.header.Get("X-Path"); got != tt.path {
				t.Errorf("path = %q, want %q", got, tt.path)
			}
			if got := resp.header.Get(HeaderRequestID); got != "id-"+tt.name {
				t.Errorf("request id = %q", got)
			}
		})
	}
	env.checkIdle()
}

// TestRefusedAtOnce checks that invalid requests are refused as not run, and that
// none reaches an upstream.
func TestRefusedAtOnce(t *testing.T) {
	env := newTestEnv(t, 1)
	tests := []struct {
		name   string
		method string
		path   string
		header map[string]string
		body   string
		want   result.Code
	}{
		{"no tenant", "GET", "/services/teiki/", map[string]string{HeaderOrganisation: ""}, "", result.RequestBad},
		{"class", "GET", "/services/teiki/", map[string]string{HeaderClass: "urgent"}, "", result.RequestBad},
		{"timeout", "GET", "/services/teiki/", map[string]string{HeaderTimeout: "1s"}, "", result.RequestBad},
		{"timeout zero", "GET", "/services/teiki/", map[string]string{HeaderTimeout: "0"}, "", result.RequestBad},
		{"empty key", "POST", "/services/teiki/", map[string]string{HeaderIdempotencyKey: ""}, "", result.RequestBad},
		{"long id", "GET", "/services/teiki/", map[string]string{HeaderRequestID: strings.Repeat("x", 129)}, "", result.RequestBad},
		{"dots", "GET", "/services/teiki/%2e%2e/other", nil, "", result.RequestBad},
		{"dots in escape", "GET", "/services/teiki/a%2F..%2Fb", nil, "", result.RequestBad},
		{"no service", "GET", "/services/", nil, "", result.RequestBad},
		{"unknown service", "GET", "/services/stocfa/", nil, "", result.ServiceUnknown},
		{"upgrade", "GET", "/services/teiki/", map[string]string{"Connection": "Upgrade", "Upgrade": "websocket"}, "", result.RequestUnsupported},
		{"large", "POST", "/services/teiki/", nil, strings.Repeat("x", DefaultMaxBodyBytes+1), result.RequestTooLarge},
		{"key store unavailable", "POST", "/services/teiki/", map[string]string{HeaderIdempotencyKey: "k"}, "", result.KeyStoreUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := env.send(context.Background(), callerRequest{tt.method, tt.path, tt.body, tt.header})
			if resp.err != nil || resp.code() != tt.want || resp.status != tt.want.Info().Status || !resp.problem.NotRun {
				t.Errorf("response %d, code %d, not_run %v, err %v, want code %d", resp.status, resp.code(), resp.problem.NotRun, resp.err, tt.want)
			}
			if resp.header.Get(HeaderRequestID) == "" {
				t.Error("no request id")
			}
		})
	}
	if n := env.upstreams.arrived.Load(); n != 0 {
		t.Errorf("%d requests reached an upstream", n)
	}
}

// TestHopByHop checks that hop-by-hop headers and the entry's own headers are not
// forwarded in either direction.
func TestHopByHop(t *testing.T) {
	env := newTestEnv(t, 1)
	var got http.Header
	env.upstreams.setScript(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set(HeaderNotRun, "true")
		w.Header().Set("X-Kept", "1")
		env.upstreams.run(w, r)
	})
	resp := env.send(context.Background(), callerRequest{"GET", "/services/teiki/", "", map[string]string{
		"Connection": "X-Private", "X-Private": "1", "Te": "trailers", "X-Public": "2", "Proxy-Authorization": "x",
	}})
	for _, k := range []string{"X-Private", "Te", "Proxy-Authorization", "Connection"} {
		if got.Get(k) != "" {
			t.Errorf("hop-by-hop header %s was forwarded", k)
		}
	}
	if got.Get("X-Public") != "2" || got.Get(HeaderOrganisation) != "counter" || got.Get(HeaderTimeout) == "" {
		t.Errorf("upstream headers %v", got)
	}
	if resp.header.Get("Keep-Alive") != "" || resp.header.Get(HeaderNotRun) != "" || resp.header.Get("X-Kept") != "1" {
		t.Errorf("response headers %v", resp.header)
	}
}
