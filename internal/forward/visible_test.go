package forward

import (
	"context"
	"testing"

	"skylarkport/internal/result"
)

// TestBrokenConnectionIsVisible truncates responses in their body on a connection that the
// caller reuses. An HTTP client whose reused connection is closed before the first
// byte of the response resends a GET, or a request with an idempotency key, by
// itself. The entry must send the response header first, which prevents that.
func TestBrokenConnectionIsVisible(t *testing.T) {
	for _, fault := range []string{"dies mid-body, length", "dies mid-body, chunked"} {
		t.Run(fault, func(t *testing.T) {
			env := newTestEnv(t, 1)
			checkResponse(t, env.send(context.Background(), callerRequest{"GET", "/services/teiki/warm", "", nil}), result.OK, false)
			env.upstreams.setScript(faults[fault](env.upstreams))
			env.upstreams.arrived.Store(0)
			resp := env.send(context.Background(), callerRequest{"GET", "/services/teiki/x", "", nil})
			if resp.err == nil {
				t.Errorf("the truncated response looked complete: %d %q", resp.status, resp.body)
			}
			if n := env.upstreams.arrived.Load(); n != 1 {
				t.Errorf("the request reached the upstream %d times, want once", n)
			}
			env.checkIdle()
		})
	}
}
