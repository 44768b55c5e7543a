package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/forward"
	"skylarkport/internal/result"
)

// deployment is three entries with one table and one key range.
type deployment struct {
	t      *testing.T
	tables *fakeTables
	net    *network
	stores map[string]*Store
	owner  string
	others []string
}

func newDeployment(t *testing.T, ranges int) *deployment {
	d := &deployment{t: t, tables: newFake(), net: newNetwork("a", "b", "c"), stores: map[string]*Store{}}
	for id, g := range d.net.nodes {
		d.stores[id] = NewStore(Config{Ranges: ranges, Group: g, Tables: d.tables, Objects: d.tables})
	}
	time.Sleep(settleTime)
	d.owner = d.stores["a"].ownerOf(0).Instance
	for _, id := range []string{"a", "b", "c"} {
		if id != d.owner {
			d.others = append(d.others, id)
		}
	}
	return d
}

func (d *deployment) end() {
	for _, s := range d.stores {
		s.mu.Lock()
		for _, r := range s.owned {
			r.log.Close()
		}
		s.mu.Unlock()
	}
}

func request(key string) forward.Claim {
	return forward.Claim{Service: "teiki", Tenant: "counter", Key: key, Fingerprint: 7, Timeout: 10 * time.Second}
}

var ran = forward.End{Answer: &forward.Answer{Status: 200, Body: []byte("reserved")}}

// ask claims at an entry and returns the outcome as a code; OK means that the
// claim stands, and 0 that the kept answer was given.
func (d *deployment) ask(id string, c forward.Claim) (forward.Claimed, result.Code) {
	got, err := d.stores[id].Claim(context.Background(), c)
	if err == nil && got.Answer != nil {
		return got, 0
	}
	return got, result.Of(err)
}

func (d *deployment) want(what string, got, want result.Code) {
	d.t.Helper()
	if got != want {
		d.t.Errorf("%s: code %d, want %d", what, got, want)
	}
}

func (d *deployment) finish(id string, c forward.Claim, token string, e forward.End) error {
	return d.stores[id].Finish(context.Background(), c, token, e)
}

// TestOnce is the matrix of faults around one keyed request.
func TestOnce(t *testing.T) {
	const kept = result.Code(0)
	tests := []struct {
		name string
		run  func(d *deployment, first, second string)
	}{
		{"second asker gets the kept answer", func(d *deployment, first, second string) {
			c, code := d.ask(first, request("k"))
			d.want("first", code, result.OK)
			_, code = d.ask(second, request("k"))
			d.want("while it runs", code, result.KeyBusy)
			_ = d.finish(first, request("k"), c.Token, ran)
			got, code := d.ask(second, request("k"))
			d.want("after the end", code, kept)
			if string(got.Answer.Body) != "reserved" {
				d.t.Errorf("kept answer %q", got.Answer.Body)
			}
		}},
		{"another request with the key", func(d *deployment, first, second string) {
			_, _ = d.ask(first, request("k"))
			other := request("k")
			other.Fingerprint = 8
			_, code := d.ask(second, other)
			d.want("other body", code, result.KeyMismatch)
		}},
		{"proved not run", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			_ = d.finish(first, request("k"), c.Token, forward.End{NotRun: true})
			_, code := d.ask(second, request("k"))
			d.want("again", code, result.OK)
		}},
		{"outcome unknown", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			_ = d.finish(first, request("k"), c.Token, forward.End{})
			_, code := d.ask(second, request("k"))
			d.want("again", code, result.OutcomeUnknown)
		}},
		{"answer too large", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			_ = d.finish(first, request("k"), c.Token, forward.End{Answer: &forward.Answer{Status: 200, TooLarge: true}})
			_, code := d.ask(second, request("k"))
			d.want("again", code, result.KeyAnswerTooLarge)
		}},
		{"the sender dies", func(d *deployment, first, second string) {
			_, _ = d.ask(first, request("k"))
			time.Sleep(request("k").Timeout)
			_, code := d.ask(second, request("k"))
			d.want("after the timeout", code, result.OutcomeUnknown)
		}},
		{"table down", func(d *deployment, first, second string) {
			d.tables.set(down)
			_, code := d.ask(first, request("k"))
			d.want("down", code, result.KeyStoreAway)
			d.tables.set(well)
			time.Sleep(time.Minute)
			_, code = d.ask(second, request("k"))
			d.want("up again", code, result.OK)
		}},
		{"the table's answer is lost", func(d *deployment, first, second string) {
			_, _ = d.ask(first, request("warm"))
			d.tables.set(lost)
			c, code := d.ask(first, request("k"))
			d.want("resolved by reading", code, result.OK)
			d.tables.set(lost)
			if err := d.finish(first, request("k"), c.Token, ran); err != nil {
				d.t.Errorf("finish: %v", err)
			}
			_, code = d.ask(second, request("k"))
			d.want("again", code, kept)
		}},
		{"table down at the end", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			d.tables.set(down)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if d.stores[first].Finish(ctx, request("k"), c.Token, ran) == nil {
				d.t.Error("the end was taken with the table down")
			}
			d.tables.set(well)
			time.Sleep(request("k").Timeout)
			_, code := d.ask(second, request("k"))
			d.want("never sent again", code, result.OutcomeUnknown)
		}},
		{"the owner dies after the claim", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			next := d.kill(d.owner)
			_, code := d.ask(next, request("k"))
			d.want("at the successor", code, result.KeyBusy)
			if err := d.finish(next, request("k"), c.Token, ran); err != nil {
				d.t.Errorf("finish at the successor: %v", err)
			}
			_, code = d.ask(next, request("k"))
			d.want("after the end", code, kept)
		}},
		{"the owner dies and no end comes", func(d *deployment, first, second string) {
			_, _ = d.ask(first, request("k"))
			next := d.kill(d.owner)
			_, _ = d.ask(next, request("k"))
			time.Sleep(request("k").Timeout)
			_, code := d.ask(next, request("k"))
			d.want("never sent again", code, result.OutcomeUnknown)
		}},
		{"the owner is cut off and deposed", func(d *deployment, first, second string) {
			c, _ := d.ask(d.owner, request("k"))
			next := d.kill(d.owner)
			_, code := d.ask(next, request("k"))
			d.want("at the successor", code, result.KeyBusy)
			_, code = d.ask(d.owner, request("new"))
			d.want("new key at the deposed owner", code, result.KeyStoreAway)
			_ = d.finish(d.owner, request("k"), c.Token, ran)
			_, code = d.ask(next, request("new"))
			d.want("new key at the successor", code, result.OK)
		}},
		{"the owner's answer is lost", func(d *deployment, first, second string) {
			if first == d.owner {
				return
			}
			d.net.mu.Lock()
			d.net.answersLost = 1
			d.net.mu.Unlock()
			_, code := d.ask(first, request("k"))
			d.want("lost", code, result.KeyStoreAway)
			time.Sleep(freeTimeout)
			_, code = d.ask(second, request("k"))
			d.want("freed, as nothing was sent", code, result.OK)
		}},
		{"kept for its time", func(d *deployment, first, second string) {
			c, _ := d.ask(first, request("k"))
			_ = d.finish(first, request("k"), c.Token, ran)
			r := d.stores[d.owner].owned[0]
			time.Sleep(Keep - time.Minute)
			_ = r.tend(context.Background())
			_, code := d.ask(second, request("k"))
			d.want("before", code, kept)
			time.Sleep(time.Minute)
			_ = r.tend(context.Background())
			if n := len(r.keys.entries); n != 0 || r.keys.bytes != 0 {
				d.t.Errorf("%d keys, %d bytes are left", n, r.keys.bytes)
			}
		}},
	}
	for _, tt := range tests {
		for _, at := range []string{"at the owner", "at another entry"} {
			t.Run(tt.name+"/"+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 1)
					defer d.end()
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

// kill cuts an entry off and takes it out of the others' views. It returns the
// range's next owner.
func (d *deployment) kill(id string) string {
	for _, other := range []string{"a", "b", "c"} {
		if other != id {
			d.net.sever(id, other)
		}
	}
	d.net.see(d.others[0], d.others...)
	d.net.see(d.others[1], d.others...)
	return d.stores[d.others[0]].ownerOf(0).Instance
}

// TestTrim checks that a successor reads the same keys after the journal was
// trimmed.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.end()
		c, _ := d.ask(d.owner, request("k"))
		_ = d.finish(d.owner, request("k"), c.Token, ran)
		r := d.stores[d.owner].owned[0]
		r.changes = trimAfter
		before := len(d.tables.rows)
		if err := r.tend(context.Background()); err != nil {
			t.Fatal(err)
		}
		if after := len(d.tables.rows); after >= before {
			t.Errorf("%d rows before the trim, %d after", before, after)
		}
		_, code := d.ask(d.kill(d.owner), request("k"))
		d.want("at the successor", code, 0)
	})
}

// TestCommits counts the commits of 300 claims a second for one second over 16
// ranges.
func TestCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 16)
		defer d.end()
		const claims = 300
		done := make(chan result.Code, claims)
		before := d.tables.commits
		for i := range claims {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / claims)
				_, code := d.ask("a", request(string(rune('a'+i%26))+time.Duration(i).String()))
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
		if most := 16 * int(time.Second/window) * 3 / 2; got > most {
			t.Errorf("%d commits, want at most %d", got, most)
		}
	})
}
