package forward

import (
	"context"
	"io"
	"net/http"
	"testing"

	"skylarkport/internal/result"
)

// TestCallerDisconnects cancels requests while the upstream handles them. A request
// without a key must be cancelled at the upstream. A request with a key must
// continue, and a repeated request must get its stored response.
func TestCallerDisconnects(t *testing.T) {
	for _, kind := range []string{"get", "post", "keyed"} {
		t.Run(kind, func(t *testing.T) {
			keys := newMemoryKeyStore()
			b := newTestEnv(t, 1, withKeys(keys))
			received, respond := make(chan struct{}), make(chan struct{})
			cancelled := make(chan bool, 1)
			b.upstreams.setScript(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				close(received)
				select {
				case <-r.Context().Done():
					cancelled <- true
					panic(http.ErrAbortHandler)
				case <-respond:
					cancelled <- false
					b.upstreams.runs.Add(1)
					_, _ = w.Write(body)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			abandoned := make(chan *callerResponse, 1)
			q := request(kind)
			q.header[HeaderTimeout] = "20000"
			go func() { abandoned <- b.send(ctx, q) }()
			<-received
			cancel()
			if a := <-abandoned; a.err == nil {
				t.Fatalf("the cancelled request got status %d", a.status)
			}
			if kind != "keyed" {
				if !<-cancelled {
					t.Error("the request was not cancelled at the upstream")
				}
				return
			}
			checkResponse(t, b.send(context.Background(), q), result.KeyBusy, false)
			close(respond)
			if <-cancelled {
				t.Error("the request with a key was cancelled at the upstream")
			}
			a := b.send(context.Background(), q)
			for a.code() == result.KeyBusy {
				a = b.send(context.Background(), q)
			}
			checkResponse(t, a, result.OK, false)
			if a.body != q.body || b.upstreams.runs.Load() != 1 {
				t.Errorf("answer %q after %d runs", a.body, b.upstreams.runs.Load())
			}
			b.checkIdle()
		})
	}
}

// TestKeyStoreFaults sends requests with a key while the key store fails, and a
// request whose response is too large to be stored.
func TestKeyStoreFaults(t *testing.T) {
	t.Run("away", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.claimErr = result.Errorf(result.KeyStoreUnavailable, "the table is away")
		b := newTestEnv(t, 1, withKeys(keys))
		a := b.send(context.Background(), request("keyed"))
		checkResponse(t, a, result.KeyStoreUnavailable, true)
		if a.header.Get(HeaderRetryAfter) == "" || b.upstreams.arrived.Load() != 0 {
			t.Errorf("Retry-After %q, %d requests reached the upstream", a.header.Get(HeaderRetryAfter), b.upstreams.arrived.Load())
		}
	})
	t.Run("an error of another kind is not run either", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.claimErr = result.Errorf(result.PeerUnavailable, "the owner")
		b := newTestEnv(t, 1, withKeys(keys))
		checkResponse(t, b.send(context.Background(), request("keyed")), result.KeyStoreUnavailable, true)
	})
	t.Run("the end is lost", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.finishErr = result.Errorf(result.KeyStoreUnavailable, "the table is away")
		b := newTestEnv(t, 1, withKeys(keys))
		checkResponse(t, b.send(context.Background(), request("keyed")), result.OK, false)
		checkResponse(t, b.send(context.Background(), request("keyed")), result.KeyBusy, false)
		if b.upstreams.runs.Load() != 1 || b.recorder.lostOutcomes.Load() != 1 {
			t.Errorf("%d runs, %d outcomes lost", b.upstreams.runs.Load(), b.recorder.lostOutcomes.Load())
		}
	})
	t.Run("an answer too large to keep", func(t *testing.T) {
		b := newTestEnv(t, 1, withKeys(newMemoryKeyStore()))
		b.upstreams.setScript(func(w http.ResponseWriter, _ *http.Request) {
			b.upstreams.runs.Add(1)
			_, _ = w.Write(make([]byte, MaxStoredBodyBytes+1))
		})
		a := b.send(context.Background(), request("keyed"))
		checkResponse(t, a, result.OK, false)
		if len(a.body) != MaxStoredBodyBytes+1 {
			t.Errorf("the first request got %d bytes", len(a.body))
		}
		checkResponse(t, b.send(context.Background(), request("keyed")), result.KeyAnswerTooLarge, false)
	})
}
