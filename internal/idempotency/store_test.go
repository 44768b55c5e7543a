package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/forward"
	"skylarkport/internal/result"
)

// deployment consists of three entries with a common table.
type deployment struct {
	t      *testing.T
	tables *fakeTables
	net    *network
	stores map[string]*Store
	owner  string
	others []string
}

func newDeployment(t *testing.T, ranges int) *deployment {
	d := &deployment{t: t, tables: newFakeTables(), net: newNetwork("a", "b", "c"), stores: map[string]*Store{}}
	for id, n := range d.net.nodes {
		d.stores[id] = NewStore(Config{Ranges: ranges, Group: n, Tables: d.tables, Objects: d.tables})
	}
	time.Sleep(membershipSettleTime)
	d.owner = d.stores["a"].ownerOf(0).Instance
	for _, id := range []string{"a", "b", "c"} {
		if id != d.owner {
			d.others = append(d.others, id)
		}
	}
	return d
}

// shutdown closes the journals of all entries.
func (d *deployment) shutdown() {
	for _, s := range d.stores {
		s.mu.Lock()
		for _, r := range s.owned {
			r.log.Close()
		}
		s.mu.Unlock()
	}
}

func newClaim(key string) forward.Claim {
	return forward.Claim{Service: "teiki", Organisation: "counter", Key: key, Fingerprint: 7, Timeout: 10 * time.Second}
}

var completed = forward.Outcome{Response: &forward.StoredResponse{Status: 200, Body: []byte("reserved")}}

// claim claims a key at an entry and returns the outcome as a code: OK if the
// claim was recorded, and 0 if the stored response of the first request was
// returned.
func (d *deployment) claim(id string, c forward.Claim) (forward.ClaimResult, result.Code) {
	got, err := d.stores[id].Claim(context.Background(), c)
	if err == nil && got.Response != nil {
		return got, 0
	}
	return got, result.Of(err)
}

// want checks a result code.
func (d *deployment) want(what string, got, want result.Code) {
	d.t.Helper()
	if got != want {
		d.t.Errorf("%s: code %d, want %d", what, got, want)
	}
}

func (d *deployment) finish(id string, c forward.Claim, token string, outcome forward.Outcome) error {
	return d.stores[id].Finish(context.Background(), c, token, outcome)
}

// TestRequestIsSentOnce checks that a request with a key is never sent twice, whichever
// fault occurs around it. Each case runs at the range's owner and at another
// entry.
func TestRequestIsSentOnce(t *testing.T) {
	const kept = result.Code(0)
	tests := []struct {
		name string
		run  func(d *deployment, first, second string)
	}{
		{"a repeated request gets the stored response", func(d *deployment, first, second string) {
			c, code := d.claim(first, newClaim("k"))
			d.want("first", code, result.OK)
			_, code = d.claim(second, newClaim("k"))
			d.want("while it runs", code, result.KeyBusy)
			_ = d.finish(first, newClaim("k"), c.Token, completed)
			got, code := d.claim(second, newClaim("k"))
			d.want("after the end", code, kept)
			if string(got.Response.Body) != "reserved" {
				d.t.Errorf("stored response %q", got.Response.Body)
			}
		}},
		{"another request with the same key", func(d *deployment, first, second string) {
			_, _ = d.claim(first, newClaim("k"))
			other := newClaim("k")
			other.Fingerprint = 8
			_, code := d.claim(second, other)
			d.want("other body", code, result.KeyMismatch)
		}},
		{"request not run", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			_ = d.finish(first, newClaim("k"), c.Token, forward.Outcome{NotRun: true})
			_, code := d.claim(second, newClaim("k"))
			d.want("again", code, result.OK)
		}},
		{"outcome unknown", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			_ = d.finish(first, newClaim("k"), c.Token, forward.Outcome{})
			_, code := d.claim(second, newClaim("k"))
			d.want("again", code, result.OutcomeUnknown)
		}},
		{"response too large", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			_ = d.finish(first, newClaim("k"), c.Token, forward.Outcome{Response: &forward.StoredResponse{Status: 200, TooLarge: true}})
			_, code := d.claim(second, newClaim("k"))
			d.want("again", code, result.KeyResponseTooLarge)
		}},
		{"the sending entry dies", func(d *deployment, first, second string) {
			_, _ = d.claim(first, newClaim("k"))
			time.Sleep(newClaim("k").Timeout)
			_, code := d.claim(second, newClaim("k"))
			d.want("after the timeout", code, result.OutcomeUnknown)
		}},
		{"table unavailable", func(d *deployment, first, second string) {
			d.tables.setFault(unavailable)
			_, code := d.claim(first, newClaim("k"))
			d.want("while unavailable", code, result.KeyStoreUnavailable)
			d.tables.setFault(noFault)
			time.Sleep(time.Minute)
			_, code = d.claim(second, newClaim("k"))
			d.want("available again", code, result.OK)
		}},
		{"the table's response is lost", func(d *deployment, first, second string) {
			_, _ = d.claim(first, newClaim("warm"))
			d.tables.setFault(responseLost)
			c, code := d.claim(first, newClaim("k"))
			d.want("resolved by reading", code, result.OK)
			d.tables.setFault(responseLost)
			if err := d.finish(first, newClaim("k"), c.Token, completed); err != nil {
				d.t.Errorf("finish: %v", err)
			}
			_, code = d.claim(second, newClaim("k"))
			d.want("again", code, kept)
		}},
		{"table unavailable at the end of the request", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			d.tables.setFault(unavailable)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if d.stores[first].Finish(ctx, newClaim("k"), c.Token, completed) == nil {
				d.t.Error("Finish succeeded with the table unavailable")
			}
			d.tables.setFault(noFault)
			time.Sleep(newClaim("k").Timeout)
			_, code := d.claim(second, newClaim("k"))
			d.want("never sent again", code, result.OutcomeUnknown)
		}},
		{"the owner dies after the claim", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			next := d.isolate(d.owner)
			_, code := d.claim(next, newClaim("k"))
			d.want("at the successor", code, result.KeyBusy)
			if err := d.finish(next, newClaim("k"), c.Token, completed); err != nil {
				d.t.Errorf("finish at the successor: %v", err)
			}
			_, code = d.claim(next, newClaim("k"))
			d.want("after the end", code, kept)
		}},
		{"the owner dies and no end comes", func(d *deployment, first, second string) {
			_, _ = d.claim(first, newClaim("k"))
			next := d.isolate(d.owner)
			_, _ = d.claim(next, newClaim("k"))
			time.Sleep(newClaim("k").Timeout)
			_, code := d.claim(next, newClaim("k"))
			d.want("never sent again", code, result.OutcomeUnknown)
		}},
		{"the owner is disconnected and loses ownership", func(d *deployment, first, second string) {
			c, _ := d.claim(d.owner, newClaim("k"))
			next := d.isolate(d.owner)
			_, code := d.claim(next, newClaim("k"))
			d.want("at the successor", code, result.KeyBusy)
			_, code = d.claim(d.owner, newClaim("new"))
			d.want("new key at the former owner", code, result.KeyStoreUnavailable)
			_ = d.finish(d.owner, newClaim("k"), c.Token, completed)
			_, code = d.claim(next, newClaim("new"))
			d.want("new key at the successor", code, result.OK)
		}},
		{"the owner's response is lost", func(d *deployment, first, second string) {
			if first == d.owner {
				return
			}
			d.net.mu.Lock()
			d.net.responsesToLose = 1
			d.net.mu.Unlock()
			_, code := d.claim(first, newClaim("k"))
			d.want("response lost", code, result.KeyStoreUnavailable)
			time.Sleep(freeTimeout)
			_, code = d.claim(second, newClaim("k"))
			d.want("claim removed, as nothing was sent", code, result.OK)
		}},
		{"key is kept until it expires", func(d *deployment, first, second string) {
			c, _ := d.claim(first, newClaim("k"))
			_ = d.finish(first, newClaim("k"), c.Token, completed)
			r := d.stores[d.owner].owned[0]
			time.Sleep(Retention - time.Minute)
			_ = r.maintain(context.Background())
			_, code := d.claim(second, newClaim("k"))
			d.want("before it expires", code, kept)
			time.Sleep(time.Minute)
			_ = r.maintain(context.Background())
			if n := len(r.keys.entries); n != 0 || r.keys.bytes != 0 {
				d.t.Errorf("%d keys, %d bytes are left, want none", n, r.keys.bytes)
			}
		}},
	}
	for _, tt := range tests {
		for _, at := range []string{"at the owner", "at another entry"} {
			t.Run(tt.name+"/"+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 1)
					defer d.shutdown()
					first, second := d.owner, d.others[0]
					if at == "at another entry" {
						first, second = d.others[0], d.others[1]
					}
					tt.run(d, first, second)
				})
			})
		}
	}
}

// isolate disconnects an entry and removes it from the views of the others. It
// returns the instance that these views give as the owner of key range 0.
func (d *deployment) isolate(id string) string {
	for _, other := range []string{"a", "b", "c"} {
		if other != id {
			d.net.disconnect(id, other)
		}
	}
	d.net.setView(d.others[0], d.others...)
	d.net.setView(d.others[1], d.others...)
	return d.stores[d.others[0]].ownerOf(0).Instance
}

// TestTrim checks that the next owner restores the keys from the snapshot after
// the journal was trimmed.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.shutdown()
		c, _ := d.claim(d.owner, newClaim("k"))
		_ = d.finish(d.owner, newClaim("k"), c.Token, completed)
		r := d.stores[d.owner].owned[0]
		r.changes = changesPerSnapshot
		before := len(d.tables.rows)
		if err := r.maintain(context.Background()); err != nil {
			t.Fatal(err)
		}
		if after := len(d.tables.rows); after >= before {
			t.Errorf("%d rows before the trim, %d after", before, after)
		}
		_, code := d.claim(d.isolate(d.owner), newClaim("k"))
		d.want("at the successor", code, 0)
	})
}

// TestCommits checks that claims are committed in groups: 300 claims in one second
// over 16 ranges need at most one and a half commits per range and commitWindow.
func TestCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 16)
		defer d.shutdown()
		const claims = 300
		done := make(chan result.Code, claims)
		before := d.tables.commits
		for i := range claims {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / claims)
				_, code := d.claim("a", newClaim(string(rune('a'+i%26))+time.Duration(i).String()))
				done <- code
			}()
		}
		for range claims {
			if code := <-done; code != result.OK {
				t.Fatalf("claim: code %d", code)
			}
		}
		takeovers := 16
		got := d.tables.commits - before - takeovers
		t.Logf("%d claims in one second over 16 ranges: %d commits", claims, got)
		if most := 16 * int(time.Second/commitWindow) * 3 / 2; got > most {
			t.Errorf("%d commits, want at most %d", got, most)
		}
	})
}
