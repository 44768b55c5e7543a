package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/feed"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
	"skylarkport/internal/route"
)

// upstreams is a set of scripted upstreams of the service "teiki".
type upstreams struct {
	runs    atomic.Int32 // requests whose effect took place
	arrived atomic.Int32
	mu      sync.Mutex
	script  http.HandlerFunc
}

func (u *upstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.arrived.Add(1)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	u.mu.Lock()
	f := u.script
	u.mu.Unlock()
	f(w, r)
}

func (u *upstreams) set(f http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = f
}

// run counts an effect and echoes the body.
func (u *upstreams) run(w http.ResponseWriter, r *http.Request) {
	u.runs.Add(1)
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Path", r.URL.EscapedPath()+"?"+r.URL.RawQuery)
	_, _ = w.Write(append([]byte("ran "), b...))
}

// counts is a Recorder.
type counts struct {
	mu                            sync.Mutex
	results                       []result.Code
	attempts, discarded, endsLost atomic.Int32
	lastTenant, lastClass         string
}

func (c *counts) Done(tenant, class string, code result.Code, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, code)
	c.lastTenant, c.lastClass = tenant, class
}
func (c *counts) Attempt()    { c.attempts.Add(1) }
func (c *counts) Discarded()  { c.discarded.Add(1) }
func (c *counts) KeyEndLost() { c.endsLost.Add(1) }

// bundles is a fixed bundle that a test may replace.
type bundles struct{ p atomic.Pointer[bundle.Bundle] }

func (b *bundles) Current() *bundle.Bundle { return b.p.Load() }

// bench is an entry's handler with scripted upstreams.
type bench struct {
	t       *testing.T
	up      *upstreams
	hosts   []*httptest.Server
	table   *route.Table
	handler *Handler
	counts  *counts
	bundles *bundles
	entry   *httptest.Server
	slots   int
}

type option func(*bench, *Config)

func withKeys(k Keys) option { return func(_ *bench, c *Config) { c.Keys = k } }
func withSlots(n int) option { return func(b *bench, _ *Config) { b.slots = n } }
func withInFlight(n int) option {
	return func(_ *bench, c *Config) { c.MaxInFlight = n }
}

// newBench starts n upstreams and an entry in front of them.
func newBench(t *testing.T, n int, opts ...option) *bench {
	t.Helper()
	b := &bench{t: t, up: &upstreams{}, counts: &counts{}, bundles: &bundles{}, slots: 8}
	b.up.set(b.up.run)
	b.bundles.p.Store(&bundle.Bundle{Version: 1})
	b.table = route.NewTable("ishikari", func(w *route.Worker) http.RoundTripper { return NewTransport(w, DialTCP) })
	cfg := Config{Zone: "ishikari", MaxInFlight: 1000, Table: b.table, Bundles: b.bundles, Recorder: b.counts}
	for _, o := range opts {
		o(b, &cfg)
	}
	b.table.OnChange(func(s *route.Snapshot) {
		for _, w := range s.Workers {
			w.Slots.SetLimit(b.slots)
			w.Conns.SetLimit(64)
		}
	})
	b.handler = New(cfg)
	for range n {
		b.hosts = append(b.hosts, httptest.NewServer(b.up))
	}
	b.publish(1, nil)
	b.entry = httptest.NewServer(b.handler)
	t.Cleanup(b.close)
	return b
}

func (b *bench) close() {
	b.entry.Close()
	for _, h := range b.hosts {
		h.CloseClientConnections()
		h.Close()
	}
}

// publish merges a list of the upstreams, some of them leaving.
func (b *bench) publish(change uint64, leaving map[int]bool) {
	s := feed.Shard{Shard: "ishikari/0", Version: feed.Version{Epoch: 1, Change: change}}
	for i, h := range b.hosts {
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: "teiki", Run: job.RunID{Task: job.TaskID{Job: "teiki", Index: i}, Attempt: 1},
			Worker: "w" + strconv.Itoa(i), Zone: "ishikari", BaseURL: h.URL + "/runs/teiki", Leaving: leaving[i], Slots: 8, Conns: 64,
		})
	}
	b.table.Merge(feed.Reply{Shards: []feed.Shard{s}}, b.handler.Now())
}

// answerOf is what a caller saw.
type answerOf struct {
	status  int
	header  http.Header
	body    string
	problem Problem
	err     error // the connection broke
}

func (a *answerOf) code() result.Code { return result.Code(atoi(a.header.Get(HeaderResult))) }

// req is a caller's request.
type req struct {
	method, path, body string
	header             map[string]string
}

func (b *bench) do(ctx context.Context, q req) *answerOf {
	b.t.Helper()
	r, err := http.NewRequestWithContext(ctx, q.method, b.entry.URL+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set(HeaderTenant, "counter")
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	resp, err := b.entry.Client().Do(r)
	if err != nil {
		return &answerOf{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := &answerOf{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.Header.Get("Content-Type") == problemType {
		if err := json.Unmarshal(body, &a.problem); err != nil {
			b.t.Errorf("problem body %q: %v", body, err)
		}
		b.checkHonest(a)
	}
	return a
}

// checkHonest compares the parts of a refusal with each other.
func (b *bench) checkHonest(a *answerOf) {
	b.t.Helper()
	if a.problem.Code != int(a.code()) {
		b.t.Errorf("problem has code %d, the header %d", a.problem.Code, a.code())
	}
	if a.problem.NotRun != (a.header.Get(HeaderNotRun) == "true") {
		b.t.Errorf("problem has not_run %v, the header %q", a.problem.NotRun, a.header.Get(HeaderNotRun))
	}
	if a.code().Info().NotRun && !a.problem.NotRun {
		b.t.Errorf("code %d proves not run, the answer does not", a.code())
	}
}

// idle checks that no slot or request is left.
func (b *bench) idle() {
	b.t.Helper()
	for id, w := range b.table.Current().Workers {
		if n := w.Slots.Used(); n != 0 {
			b.t.Errorf("worker %s has %d slots in use at the end", id, n)
		}
	}
}
