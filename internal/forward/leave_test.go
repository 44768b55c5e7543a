package forward

import (
	"context"
	"io"
	"net/http"
	"testing"

	"skylarkport/internal/result"
)

// TestCallerLeaves cancels requests that an upstream holds: one without a key
// ends there, one with a key goes on, and its answer is there for whoever asks
// again.
func TestCallerLeaves(t *testing.T) {
	for _, kind := range []string{"get", "post", "keyed"} {
		t.Run(kind, func(t *testing.T) {
			keys := newMemoryKeys()
			b := newBench(t, 1, withKeys(keys))
			held, let := make(chan struct{}), make(chan struct{})
			cancelled := make(chan bool, 1)
			b.up.set(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				close(held)
				select {
				case <-r.Context().Done():
					cancelled <- true
					panic(http.ErrAbortHandler)
				case <-let:
					cancelled <- false
					b.up.runs.Add(1)
					_, _ = w.Write(body)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			left := make(chan *answerOf, 1)
			q := request(kind)
			q.header[HeaderTimeout] = "20000"
			go func() { left <- b.do(ctx, q) }()
			<-held
			cancel()
			if a := <-left; a.err == nil {
				t.Fatalf("the caller that left got %d", a.status)
			}
			if kind != "keyed" {
				if !<-cancelled {
					t.Error("the upstream was not told")
				}
				return
			}
			checkCell(t, b.do(context.Background(), q), result.KeyBusy, false)
			close(let)
			if <-cancelled {
				t.Error("the keyed request was given up")
			}
			a := b.do(context.Background(), q)
			for a.code() == result.KeyBusy {
				a = b.do(context.Background(), q)
			}
			checkCell(t, a, result.OK, false)
			if a.body != q.body || b.up.runs.Load() != 1 {
				t.Errorf("answer %q after %d runs", a.body, b.up.runs.Load())
			}
			b.idle()
		})
	}
}

// TestKeyStoreFaults holds keyed requests against the key store.
func TestKeyStoreFaults(t *testing.T) {
	t.Run("away", func(t *testing.T) {
		keys := newMemoryKeys()
		keys.fail = result.Errorf(result.KeyStoreAway, "the table is away")
		b := newBench(t, 1, withKeys(keys))
		a := b.do(context.Background(), request("keyed"))
		checkCell(t, a, result.KeyStoreAway, true)
		if a.header.Get(HeaderRetryAfter) == "" || b.up.arrived.Load() != 0 {
			t.Errorf("Retry-After %q, %d sendings", a.header.Get(HeaderRetryAfter), b.up.arrived.Load())
		}
	})
	t.Run("an error of another kind is not run either", func(t *testing.T) {
		keys := newMemoryKeys()
		keys.fail = result.Errorf(result.PeerAway, "the owner")
		b := newBench(t, 1, withKeys(keys))
		checkCell(t, b.do(context.Background(), request("keyed")), result.KeyStoreAway, true)
	})
	t.Run("the end is lost", func(t *testing.T) {
		keys := newMemoryKeys()
		keys.lost = result.Errorf(result.KeyStoreAway, "the table is away")
		b := newBench(t, 1, withKeys(keys))
		checkCell(t, b.do(context.Background(), request("keyed")), result.OK, false)
		checkCell(t, b.do(context.Background(), request("keyed")), result.KeyBusy, false)
		if b.up.runs.Load() != 1 || b.counts.endsLost.Load() != 1 {
			t.Errorf("%d runs, %d ends lost", b.up.runs.Load(), b.counts.endsLost.Load())
		}
	})
	t.Run("an answer too large to keep", func(t *testing.T) {
		b := newBench(t, 1, withKeys(newMemoryKeys()))
		b.up.set(func(w http.ResponseWriter, _ *http.Request) {
			b.up.runs.Add(1)
			_, _ = w.Write(make([]byte, MaxKept+1))
		})
		a := b.do(context.Background(), request("keyed"))
		checkCell(t, a, result.OK, false)
		if len(a.body) != MaxKept+1 {
			t.Errorf("the first asker got %d bytes", len(a.body))
		}
		checkCell(t, b.do(context.Background(), request("keyed")), result.KeyAnswerTooLarge, false)
	})
}
