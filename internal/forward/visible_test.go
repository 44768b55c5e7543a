package forward

import (
	"context"
	"testing"

	"skylarkport/internal/result"
)

// TestBreakIsVisible breaks answers off in their body on a connection that the
// caller used before. A caller's HTTP library that sees the connection end
// without a byte of the answer sends a GET, or a request with an idempotency
// key, again by itself; with the head of the answer it does not.
func TestBreakIsVisible(t *testing.T) {
	for _, fault := range []string{"dies mid-body, length", "dies mid-body, chunked"} {
		t.Run(fault, func(t *testing.T) {
			b := newBench(t, 1)
			checkCell(t, b.do(context.Background(), req{"GET", "/services/teiki/warm", "", nil}), result.OK, false)
			b.up.set(faults[fault](b.up))
			b.up.arrived.Store(0)
			a := b.do(context.Background(), req{"GET", "/services/teiki/x", "", nil})
			if a.err == nil {
				t.Errorf("the broken answer looked whole: %d %q", a.status, a.body)
			}
			if n := b.up.arrived.Load(); n != 1 {
				t.Errorf("the request arrived %d times, want once", n)
			}
			b.idle()
		})
	}
}
