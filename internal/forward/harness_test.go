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

// scriptedUpstreams handles the requests to all upstreams of the service "teiki"
// with a replaceable script.
type scriptedUpstreams struct {
	runs    atomic.Int32 // requests that had their effect
	arrived atomic.Int32 // requests that were received
	mu      sync.Mutex
	script  http.HandlerFunc
}

func (u *scriptedUpstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.arrived.Add(1)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	u.mu.Lock()
	f := u.script
	u.mu.Unlock()
	f(w, r)
}

func (u *scriptedUpstreams) setScript(f http.HandlerFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = f
}

// run is the script of a healthy upstream: it counts the request as run and echoes
// the body.
func (u *scriptedUpstreams) run(w http.ResponseWriter, r *http.Request) {
	u.runs.Add(1)
	b, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Path", r.URL.EscapedPath()+"?"+r.URL.RawQuery)
	_, _ = w.Write(append([]byte("ran "), b...))
}

// recorder is a Recorder that keeps what it receives.
type recorder struct {
	mu                                sync.Mutex
	results                           []result.Code
	attempts, discarded, lostOutcomes atomic.Int32
	lastOrganisation, lastClass       string
}

func (r *recorder) RecordResult(organisation, class string, code result.Code, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, code)
	r.lastOrganisation, r.lastClass = organisation, class
}
func (r *recorder) RecordAttempt()           { r.attempts.Add(1) }
func (r *recorder) RecordDiscardedResponse() { r.discarded.Add(1) }
func (r *recorder) RecordLostKeyOutcome()    { r.lostOutcomes.Add(1) }

// bundles provides a bundle that a test may replace.
type bundles struct{ p atomic.Pointer[bundle.Bundle] }

func (b *bundles) Current() *bundle.Bundle { return b.p.Load() }

// testEnv is a Handler behind an HTTP server, with scripted upstreams.
type testEnv struct {
	t         *testing.T
	upstreams *scriptedUpstreams
	servers   []*httptest.Server
	table     *route.Table
	handler   *Handler
	recorder  *recorder
	bundles   *bundles
	entry     *httptest.Server
	slots     int
}

type option func(*testEnv, *Config)

func withKeys(k KeyStore) option { return func(_ *testEnv, c *Config) { c.KeyStore = k } }
func withSlots(n int) option     { return func(env *testEnv, _ *Config) { env.slots = n } }
func withInFlight(n int) option {
	return func(_ *testEnv, c *Config) { c.MaxInFlight = n }
}

// newTestEnv starts n upstreams and a Handler in front of them.
func newTestEnv(t *testing.T, n int, opts ...option) *testEnv {
	t.Helper()
	env := &testEnv{t: t, upstreams: &scriptedUpstreams{}, recorder: &recorder{}, bundles: &bundles{}, slots: 8}
	env.upstreams.setScript(env.upstreams.run)
	env.bundles.p.Store(&bundle.Bundle{Version: 1})
	env.table = route.NewTable("ishikari", func(w *route.Worker) http.RoundTripper { return NewTransport(w, DialTCP) })
	cfg := Config{Zone: "ishikari", MaxInFlight: 1000, Table: env.table, Bundles: env.bundles, Recorder: env.recorder}
	for _, o := range opts {
		o(env, &cfg)
	}
	env.table.OnChange(func(s *route.Snapshot) {
		for _, w := range s.Workers {
			w.Slots.SetLimit(env.slots)
			w.Conns.SetLimit(64)
		}
	})
	env.handler = New(cfg)
	for range n {
		env.servers = append(env.servers, httptest.NewServer(env.upstreams))
	}
	env.publish(1, nil)
	env.entry = httptest.NewServer(env.handler)
	t.Cleanup(env.close)
	return env
}

func (env *testEnv) close() {
	env.entry.Close()
	for _, h := range env.servers {
		h.CloseClientConnections()
		h.Close()
	}
}

// publish merges a new list of the upstreams into the routing table. Those whose
// index is in leaving are marked as leaving.
func (env *testEnv) publish(change uint64, leaving map[int]bool) {
	s := feed.ShardList{Shard: "ishikari/0", Version: feed.Version{Epoch: 1, Change: change}}
	for i, h := range env.servers {
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: "teiki", Run: job.RunID{Task: job.TaskID{Job: "teiki", Index: i}, Attempt: 1},
			Worker: "w" + strconv.Itoa(i), Zone: "ishikari", BaseURL: h.URL + "/runs/teiki", Leaving: leaving[i], Slots: 8, Conns: 64,
		})
	}
	env.table.Merge(feed.Reply{Shards: []feed.ShardList{s}}, env.handler.Now())
}

// callerResponse is the response as the caller received it.
type callerResponse struct {
	status  int
	header  http.Header
	body    string
	problem Problem
	err     error // the connection was closed before the end of the response
}

func (r *callerResponse) code() result.Code { return result.Code(atoi(r.header.Get(HeaderResult))) }

// callerRequest is a request of a caller.
type callerRequest struct {
	method, path, body string
	header             map[string]string
}

func (env *testEnv) send(ctx context.Context, q callerRequest) *callerResponse {
	env.t.Helper()
	r, err := http.NewRequestWithContext(ctx, q.method, env.entry.URL+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Header.Set(HeaderOrganisation, "counter")
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	resp, err := env.entry.Client().Do(r)
	if err != nil {
		return &callerResponse{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	response := &callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.Header.Get("Content-Type") == problemType {
		if err := json.Unmarshal(body, &response.problem); err != nil {
			env.t.Errorf("problem body %q: %v", body, err)
		}
		env.checkConsistent(response)
	}
	return response
}

// checkConsistent checks that the body of a refusal, its headers and its result
// code agree.
func (env *testEnv) checkConsistent(resp *callerResponse) {
	env.t.Helper()
	if resp.problem.Code != int(resp.code()) {
		env.t.Errorf("problem has code %d, the header %d", resp.problem.Code, resp.code())
	}
	if resp.problem.NotRun != (resp.header.Get(HeaderNotRun) == "true") {
		env.t.Errorf("problem has not_run %v, the header %q", resp.problem.NotRun, resp.header.Get(HeaderNotRun))
	}
	if resp.code().Info().NotRun && !resp.problem.NotRun {
		env.t.Errorf("code %d implies not run, but not_run is false", resp.code())
	}
}

// checkIdle checks that no slot is in use.
func (env *testEnv) checkIdle() {
	env.t.Helper()
	for id, w := range env.table.Current().Workers {
		if n := w.Slots.Used(); n != 0 {
			env.t.Errorf("worker %s has %d slots in use at the end", id, n)
		}
	}
}
