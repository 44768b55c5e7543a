// Package entrybench measures one entry in front of a stand-in upstream in the
// same process over loopback: throughput and added latency in comparison with
// direct calls, allocations, overload, fairness, retries in a brown-out, and
// memory.
package entrybench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/entry"
	"skylarkport/internal/feed"
	"skylarkport/internal/forward"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const (
	service      = "teiki"
	zone         = "ishikari"
	loopback     = "127.0.0.1:0"
	startTimeout = 5 * time.Second
	drainTimeout = time.Second
	headerBytes  = 64 << 10
	maxInFlight  = 20000
)

// upstream is the stand-in upstream. It holds each request for a while and echoes
// its id.
type upstream struct {
	url              string
	server           *http.Server
	serviceTime      atomic.Int64                  // nanoseconds
	breakConnections atomic.Bool                   // close the connection without a response
	gate             atomic.Pointer[chan struct{}] // if not nil, requests block until it is closed
	arrived          atomic.Int64
	waiting          atomic.Int64 // at the gate
}

func newUpstream(l net.Listener) *upstream {
	u := &upstream{url: "http://" + l.Addr().String()}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: startTimeout}
	go func() { _ = u.server.Serve(l) }()
	return u
}

var okBody = []byte("ok")

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.arrived.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if u.breakConnections.Load() {
		panic(http.ErrAbortHandler)
	}
	if g := u.gate.Load(); g != nil {
		u.waiting.Add(1)
		<-*g
		u.waiting.Add(-1)
	}
	if d := u.serviceTime.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	w.Header()[contract.HeaderRequestID] = r.Header[contract.HeaderRequestID]
	_, _ = w.Write(okBody)
}

// group is a member.Group of one entry and one scheduler. The scheduler's route
// list names the upstream on a number of workers.
type group struct {
	routes   feed.ShardList
	handlers map[string]member.Handler
}

func newGroup(u *upstream, workers int) *group {
	g := &group{handlers: make(map[string]member.Handler)}
	g.routes = feed.ShardList{Shard: zone + "/0", Version: feed.Version{Epoch: 1, Change: 1}}
	for i := range workers {
		g.routes.Upstreams = append(g.routes.Upstreams, feed.Upstream{
			Service: service, Run: job.RunID{Task: job.TaskID{Job: service, Index: i}, Attempt: 1},
			Worker: "w" + strconv.Itoa(i), Zone: zone, BaseURL: u.url, Slots: 8, Conns: 64,
		})
	}
	return g
}

func (g *group) Self() member.Peer {
	return member.Peer{ID: "e1/entry", Instance: "e1", Program: member.Entry, Zone: zone, State: member.Alive}
}

func (g *group) View() *member.View { return groupView }

var groupView = &member.View{Version: 1, Peers: []member.Peer{
	{ID: "s1/scheduler", Instance: "s1", Program: member.Scheduler, Zone: zone, State: member.Alive},
}}

func (g *group) Changed() <-chan struct{}                              { return nil }
func (g *group) Handle(method string, h member.Handler)                { g.handlers[method] = h }
func (g *group) Attach(string, func() any)                             {}
func (g *group) OnAttached(string, func(member.Peer, json.RawMessage)) {}

func (g *group) Call(_ context.Context, _, method string, _, reply any) error {
	r, ok := reply.(*feed.Reply)
	if !ok || method != feed.Method {
		return result.Errorf(result.PeerUnavailable, "%s", method)
	}
	r.Shards = []feed.ShardList{g.routes}
	return nil
}

// tables is a contract.Tables that keeps rows in memory and never fails.
type tables struct {
	mu   sync.Mutex
	rows map[contract.Key]contract.Row
}

func (t *tables) Read(_ context.Context, key contract.Key) (contract.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	if !ok {
		return r, &contract.CallError{Code: result.PlatformNotFound}
	}
	return r, nil
}

func (t *tables) Scan(context.Context, string, string, string, int) ([]contract.Row, error) {
	return nil, nil
}

func (t *tables) Commit(_ context.Context, writes []contract.Write) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]uint64, len(writes))
	for i, w := range writes {
		r, ok := t.rows[w.Key]
		if w.If == contract.IfAbsent && ok || w.If == contract.IfVersion && r.Version != w.Version {
			return nil, &contract.CallError{Code: result.PlatformConflict}
		}
		out[i] = r.Version + 1
		t.rows[w.Key] = contract.Row{Key: w.Key, Version: out[i], Value: w.Value}
	}
	return out, nil
}

// List implements contract.Instances.
func (t *tables) List(context.Context) ([]contract.Instance, error) { return nil, nil }

// Current implements forward.Bundles. The bundle names no organisations, so all
// have equal weight.
func (t *tables) Current() *bundle.Bundle { return benchBundle }

var benchBundle = &bundle.Bundle{Version: 1}

// rig is an entry in front of the stand-in upstream.
type rig struct {
	upstream    *upstream
	entry       *entry.Entry
	entryURL    string // of the service at the entry
	upstreamURL string // of the upstream
	stop        func()
	stopped     chan error
}

// newRig starts an entry over loopback whose upstream is on a number of
// workers, and waits until it answers.
func newRig(workers int) (*rig, error) {
	up, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	r := startRig(workers, up, callers, nil)
	return r, r.waitReady(newClient(1, nil))
}

// startRig starts an entry that accepts connections from callers and connects
// to the upstream with dial, or over TCP if dial is nil.
func startRig(workers int, up, callers net.Listener, dial forward.Dialer) *rig {
	u := newUpstream(up)
	cfg := &settings.Entry{Listen: callers.Addr().String(), MaxHeaderBytes: headerBytes, MaxInFlight: maxInFlight, KeyRanges: 1}
	cfg.Instance, cfg.Zone, cfg.DrainTimeout = "e1", zone, job.Duration(drainTimeout)
	t := &tables{rows: make(map[contract.Key]contract.Row)}
	e := entry.New(cfg, entry.Deps{
		Group: newGroup(u, workers), Bundles: t, Tables: t, Instances: t, Metrics: obs.NewMetrics("bench"),
		Listener: callers, Dial: dial,
	})
	r := &rig{
		upstream: u, entry: e, stopped: make(chan error, 1),
		entryURL: "http://" + cfg.Listen + "/services/" + service + "/x", upstreamURL: u.url + "/x",
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	var g run.Group
	e.AddActors(&g)
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	go func() { r.stopped <- g.Run() }()
	return r
}

// waitReady waits until a request through the entry succeeds.
func (r *rig) waitReady(c *client) error {
	defer c.close()
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		if o := c.get(r.entryURL, request{organisation: "t", timeout: time.Second}); o.code == result.OK {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("entry did not answer a request within %v", startTimeout)
}

func (r *rig) close() {
	r.stop()
	<-r.stopped
	_ = r.upstream.server.Close()
}
