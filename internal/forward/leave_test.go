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
			env := newTestEnv(t, 1, withKeys(keys))
			received, respond := make(chan struct{}), make(chan struct{})
			cancelled := make(chan bool, 1)
			env.upstreams.setScript(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				close(received)
				select {
				case <-r.Context().Done():
					cancelled <- true
					panic(http.ErrAbortHandler)
				case <-respond:
					cancelled <- false
					env.upstreams.runs.Add(1)
					_, _ = w.Write(body)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			abandoned := make(chan *callerResponse, 1)
			q := request(kind)
			q.header[HeaderTimeout] = "20000"
			go func() { abandoned <- env.send(ctx, q) }()
			<-received
			cancel()
			if resp := <-abandoned; resp.err == nil {
				t.Fatalf("the cancelled request got status %d", resp.status)
			}
			if kind != "keyed" {
				if !<-cancelled {
					t.Error("the request was not cancelled at the upstream")
				}
				return
			}
			checkResponse(t, env.send(context.Background(), q), result.KeyBusy, false)
			close(respond)
			if <-cancelled {
				t.Error("the request with a key was cancelled at the upstream")
			}
			resp := env.send(context.Background(), q)
			for resp.code() == result.KeyBusy {
				resp = env.send(context.Background(), q)
			}
			checkResponse(t, resp, result.OK, false)
			if resp.body != q.body || env.upstreams.runs.Load() != 1 {
				t.Errorf("response %q after %d runs", resp.body, env.upstreams.runs.Load())
			}
			env.checkIdle()
		})
	}
}

// TestKeyStoreFaults sends requests with a key while the key store fails, and a
// request whose response is too large to be stored.
func TestKeyStoreFaults(t *testing.T) {
	t.Run("unavailable", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.claimErr = result.Errorf(result.KeyStoreUnavailable, "the table is unavailable")
		env := newTestEnv(t, 1, withKeys(keys))
		resp := env.send(context.Background(), request("keyed"))
		checkResponse(t, resp, result.KeyStoreUnavailable, true)
		if resp.header.Get(HeaderRetryAfter) == "" || env.upstreams.arrived.Load() != 0 {
			t.Errorf("Retry-After %q, %d requests reached the upstream", resp.header.Get(HeaderRetryAfter), env.upstreams.arrived.Load())
		}
	})
	t.Run("an error of another kind is not run either", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.claimErr = result.Errorf(result.PeerUnavailable, "the owner")
		env := newTestEnv(t, 1, withKeys(keys))
		checkResponse(t, env.send(context.Background(), request("keyed")), result.KeyStoreUnavailable, true)
	})
	t.Run("the end is lost", func(t *testing.T) {
		keys := newMemoryKeyStore()
		keys.finishErr = result.Errorf(result.KeyStoreUnavailable, "the table is unavailable")
		env := newTestEnv(t, 1, withKeys(keys))
		checkResponse(t, env.send(context.Background(), request("keyed")), result.OK, false)
		checkResponse(t, env.send(context.Background(), request("keyed")), result.KeyBusy, false)
		if env.upstreams.runs.Load() != 1 || env.recorder.lostOutcomes.Load() != 1 {
			t.Errorf("%d runs, %d outcomes lost", env.upstreams.runs.Load(), env.recorder.lostOutcomes.Load())
		}
	})
	t.Run("a response too large to store", func(t *testing.T) {
		env := newTestEnv(t, 1, withKeys(newMemoryKeyStore()))
		env.upstreams.setScript(func(w http.ResponseWriter, _ *http.Request) {
			env.upstreams.runs.Add(1)
			_, _ = w.Write(make([]byte, MaxStoredBodyBytes+1))
		})
		resp := env.send(context.Background(), request("keyed"))
		checkResponse(t, resp, result.OK, false)
		if len(resp.body) != MaxStoredBodyBytes+1 {
			t.Errorf("the first request got %d bytes", len(resp.body))
		}
		checkResponse(t, env.send(context.Background(), request("keyed")), result.KeyResponseTooLarge, false)
	})
}
