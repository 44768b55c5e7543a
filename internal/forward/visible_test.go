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
			b := newTestEnv(t, 1)
			checkResponse(t, b.send(context.Background(), callerRequest{"GET", "/services/teiki/warm", "", nil}), result.OK, false)
			b.upstreams.setScript(faults[fault](b.upstreams))
			b.upstreams.arrived.Store(0)
			a := b.send(context.Background(), callerRequest{"GET", "/services/teiki/x", "", nil})
			if a.err == nil {
				t.Errorf("the truncated response looked complete: %d %q", a.status, a.body)
			}
			if n := b.upstreams.arrived.Load(); n != 1 {
				t.Errorf("the request reached the upstream %d times, want once", n)
			}
			b.checkIdle()
		})
	}
}
