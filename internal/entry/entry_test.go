package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/feed"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case p.conns <- b:
		return a, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakePlatform is an in-memory platform: table rows, instance list and bundle.
type fakePlatform struct {
	mu     sync.Mutex
	rows   map[contract.Key]contract.Row
	list   []contract.Instance
	down   bool
	bundle atomic.Pointer[bundle.Bundle]
}

var errPlatformDown = &contract.CallError{Code: result.PlatformRefused}

func (p *fakePlatform) Read(_ context.Context, key contract.Key) (contract.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return contract.Row{}, errPlatformDown
	}
	r, ok := p.rows[key]
	if !ok {
		return r, &contract.CallError{Code: result.PlatformNotFound}
	}
	return r, nil
}

func (p *fakePlatform) Scan(context.Context, string, string, string, int) ([]contract.Row, error) {
	return nil, nil
}

func (p *fakePlatform) Commit(_ context.Context, writes []contract.Write) ([]uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, errPlatformDown
	}
	out := make([]uint64, len(writes))
	for i, w := range writes {
		r, ok := p.rows[w.Key]
		if w.If == contract.IfAbsent && ok || w.If == contract.IfVersion && r.Version != w.Version {
			return nil, &contract.CallError{Code: result.PlatformConflict}
		}
		out[i] = r.Version + 1
		p.rows[w.Key] = contract.Row{Key: w.Key, Version: out[i], Value: w.Value}
	}
	return out, nil
}

func (p *fakePlatform) List(context.Context) ([]contract.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, errPlatformDown
	}
	return p.list, nil
}

func (p *fakePlatform) Current() *bundle.Bundle { return p.bundle.Load() }

// cluster simulates a zone: its entries, a scheduler that publishes upstreams, and
// the upstreams.
type cluster struct {
	t           *testing.T
	platform    *fakePlatform
	upstreams   *pipeListener
	server      *http.Server
	mu          sync.Mutex
	groups      map[string]*fakeGroup
	silent      bool // the scheduler does not respond
	list        feed.ShardList
	released    chan struct{}  // upstreams respond when it is closed
	inFlight    map[string]int // requests in flight, by worker
	maxInFlight map[string]int // maximum of inFlight
	entries     []*runningEntry
}

// runningEntry is an entry of a cluster with its actors running.
type runningEntry struct {
	*Entry
	callers *pipeListener
	client  *http.Client
	stop    context.CancelFunc
	done    chan error
	metrics *obs.Metrics
}

type fakeGroup struct {
	c        *cluster
	id       string
	handlers map[string]member.Handler
}

func (g *fakeGroup) Self() member.Peer { return g.c.peer(g.id) }

func (c *cluster) peer(id string) member.Peer {
	return member.Peer{ID: member.PeerID(id, member.Entry), Instance: id, Program: member.Entry, Zone: "de", State: member.Alive}
}

func (g *fakeGroup) View() *member.View {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	v := &member.View{Peers: []member.Peer{{ID: "s/scheduler", Instance: "s", Program: member.Scheduler, Zone: "de", State: member.Alive}}}
	for id := range g.c.groups {
		if id != g.id {
			v.Peers = append(v.Peers, g.c.peer(id))
		}
	}
	return v
}

func (g *fakeGroup) Changed() <-chan struct{}                              { return nil }
func (g *fakeGroup) Handle(method string, h member.Handler)                { g.handlers[method] = h }
func (g *fakeGroup) Attach(string, func() any)                             {}
func (g *fakeGroup) OnAttached(string, func(member.Peer, json.RawMessage)) {}

func (g *fakeGroup) Call(ctx context.Context, peerID, method string, params, reply any) error {
	g.c.mu.Lock()
	list, silent := g.c.list, g.c.silent
	var to *fakeGroup
	for id, other := range g.c.groups {
		if member.PeerID(id, member.Entry) == peerID {
			to = other
		}
	}
	g.c.mu.Unlock()
	if peerID == "s/scheduler" && !silent {
		reply.(*feed.Reply).Shards = []feed.ShardList{list}
		return nil
	}
	if to == nil {
		return result.Errorf(result.PeerUnavailable, "%s", peerID)
	}
	b, _ := json.Marshal(params)
	v, err := to.handlers[method](ctx, g.Self(), b)
	if err != nil || reply == nil {
		return err
	}
	b, _ = json.Marshal(v)
	return json.Unmarshal(b, reply)
}

func newCluster(t *testing.T, workers int) *cluster {
	c := &cluster{
		t: t, platform: &fakePlatform{rows: map[contract.Key]contract.Row{}}, upstreams: newPipeListener(),
		groups: map[string]*fakeGroup{}, inFlight: map[string]int{}, maxInFlight: map[string]int{}, released: make(chan struct{}),
	}
	c.platform.bundle.Store(&bundle.Bundle{Version: 1})
	c.publish(1, workers)
	c.server = &http.Server{Handler: http.HandlerFunc(c.upstream)}
	go func() { _ = c.server.Serve(c.upstreams) }()
	return c
}

func (c *cluster) publish(change uint64, workers int) {
	s := feed.ShardList{Shard: "de/0", Version: feed.Version{Epoch: 1, Change: change}}
	for i := range workers {
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: "stocfa", Run: job.RunID{Task: job.TaskID{Job: "stocfa", Index: i}, Attempt: 1},
			Worker: "w" + strconv.Itoa(i), Zone: "de", BaseURL: "http://127.0.0.1:1/w" + strconv.Itoa(i), Slots: 8, Conns: 64,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = s
}

// upstream is the HTTP handler of all upstreams. It records the present and the highest
// number of requests in flight at each worker. It responds once released is closed or
// the request is cancelled.
func (c *cluster) upstream(w http.ResponseWriter, r *http.Request) {
	worker := r.URL.Path[1:3]
	c.mu.Lock()
	c.inFlight[worker]++
	c.maxInFlight[worker] = max(c.maxInFlight[worker], c.inFlight[worker])
	released := c.released
	c.mu.Unlock()
	select {
	case <-released:
	case <-r.Context().Done():
	}
	c.mu.Lock()
	c.inFlight[worker]--
	c.mu.Unlock()
	w.Header().Set(contract.HeaderRequestID, r.Header.Get(contract.HeaderRequestID))
	_, _ = w.Write([]byte("in stock"))
}

// start starts an entry of the zone.
func (c *cluster) start(id string) *runningEntry {
	g := &fakeGroup{c: c, id: id, handlers: map[string]member.Handler{}}
	cfg := &settings.Entry{Listen: "127.0.0.1:1", MaxHeaderBytes: 1 << 16, MaxInFlight: 1000, KeyRanges: 1}
	cfg.Instance, cfg.Zone, cfg.DrainTimeout = id, "de", job.Duration(10*time.Second)
	r := &runningEntry{callers: newPipeListener(), metrics: obs.NewMetrics("test_" + id), done: make(chan error, 1)}
	r.Entry = New(cfg, Deps{
		Group: g, Bundles: c.platform, Tables: c.platform, Instances: c.platform, Metrics: r.metrics,
		Listener: r.callers, Dial: c.upstreams.dial,
	})
	r.client = &http.Client{Transport: &http.Transport{DialContext: r.callers.dial}}
	c.mu.Lock()
	c.groups[id] = g
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	var all run.Group
	r.AddActors(&all)
	all.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	go func() { r.done <- all.Run() }()
	c.entries = append(c.entries, r)
	return r
}

func (c *cluster) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.released)
}

// stopAll stops the entries and the upstreams.
func (c *cluster) stopAll() {
	for _, r := range c.entries {
		r.stop()
	}
	for _, r := range c.entries {
		if err := <-r.done; err != nil {
			c.t.Errorf("an entry ended with %v", err)
		}
		r.client.CloseIdleConnections()
		for _, w := range r.Snapshot().Workers {
			w.Transport.(*http.Transport).CloseIdleConnections()
		}
		_ = r.metrics.Close()
	}
	_ = c.server.Close()
}

// get sends a request. The channel receives the status of the response, or 0 if the
// connection failed.
func (r *runningEntry) get(path string) <-chan int {
	got := make(chan int, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodGet, "http://entry"+path, nil)
		req.Header.Set("Skylark-Tenant", "dealer")
		req.Header.Set("Skylark-Timeout-Ms", "20000")
		resp, err := r.client.Do(req)
		if err != nil {
			got <- 0
			return
		}
		defer resp.Body.Close()
		if _, err := io.ReadAll(resp.Body); err != nil {
			got <- 0
			return
		}
		got <- resp.StatusCode
	}()
	return got
}

const settleTime = 5 * time.Second

// TestDrain stops an entry with a request in flight. /readyz must report not ready,
// and both that request and one that still arrives during the grace period must
// succeed.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		e := c.start("e1")
		time.Sleep(settleTime)
		if got := <-e.get("/readyz"); got != http.StatusOK {
			t.Fatalf("/readyz returned %d before draining", got)
		}
		inFlight := e.get("/services/stocfa/bike/7")
		synctest.Wait()
		e.stop()
		time.Sleep(loadBalancerGrace / 2)
		if got := <-e.get("/readyz"); got != http.StatusServiceUnavailable {
			t.Errorf("/readyz returned %d while draining", got)
		}
		late := e.get("/services/stocfa/bike/8")
		time.Sleep(2 * time.Second)
		c.release()
		if got := <-inFlight; got != http.StatusOK {
			t.Errorf("the request in flight got %d", got)
		}
		if got := <-late; got != http.StatusOK {
			t.Errorf("the request within the grace period got %d", got)
		}
		c.stopAll()
	})
}

// TestPartitionBorrowing checks that two entries own equal numbers of slots, that the loaded one
// borrows slots of the idle one, and that no worker ever gets more requests than it
// has slots.
func TestPartitionBorrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		a := c.start("a")
		time.Sleep(settleTime)
		b := c.start("b")
		time.Sleep(settleTime)
		for id, w := range a.Snapshot().Workers {
			other := b.Snapshot().Workers[id]
			if slotsA, slotsB := w.Slots.Limit(), other.Slots.Limit(); slotsA != 4 || slotsB != 4 {
				t.Errorf("worker %s: %d and %d slots, want 4 and 4", id, slotsA, slotsB)
			}
		}
		var waiting []<-chan int
		for range 16 {
			waiting = append(waiting, a.get("/services/stocfa/bike/7"))
		}
		time.Sleep(time.Second)
		if got := a.slots(); got < 12 {
			t.Errorf("the loaded entry uses %d of 16 slots after a second", got)
		}
		for range 16 {
			waiting = append(waiting, b.get("/services/stocfa/bike/8"))
		}
		time.Sleep(time.Second)
		c.release()
		for _, w := range waiting {
			if got := <-w; got != http.StatusOK {
				t.Errorf("status %d", got)
			}
		}
		for worker, n := range c.maxInFlight {
			if n > 8 {
				t.Errorf("worker %s had %d requests in flight, want at most 8", worker, n)
			}
		}
		c.stopAll()
	})
}

func (r *runningEntry) slots() int {
	n := 0
	for _, w := range r.Snapshot().Workers {
		n += w.Slots.Used()
	}
	return n
}

// TestSourcesUnavailable makes the scheduler, the table and the instance list unavailable.
// The entry must go on serving requests with what it knows.
func TestSourcesUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		e := c.start("e1")
		c.release()
		time.Sleep(settleTime)
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		c.platform.mu.Lock()
		c.platform.down = true
		c.platform.mu.Unlock()
		time.Sleep(time.Hour)
		if got := <-e.get("/services/stocfa/bike/7"); got != http.StatusOK {
			t.Errorf("status %d after an hour without the platform", got)
		}
		c.stopAll()
	})
}

// TestBundleMidRequest replaces the bundle while a request is in flight. The new
// bundle must apply to later requests only.
func TestBundleMidRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		e := c.start("e1")
		time.Sleep(settleTime)
		inFlight := e.get("/services/stocfa/bike/7")
		synctest.Wait()
		c.platform.bundle.Store(&bundle.Bundle{Version: 2, Organisations: []bundle.Organisation{{Name: "another", Weight: 1}}})
		c.release()
		if got := <-inFlight; got != http.StatusOK {
			t.Errorf("the request in flight got %d", got)
		}
		if got, want := <-e.get("/services/stocfa/bike/7"), result.OrganisationUnknown.Info().Status; got != want {
			t.Errorf("status %d under the new bundle, want %d", got, want)
		}
		c.stopAll()
	})
}

// TestDrainingWorker marks the only worker as leaving in the platform's list. The request in
// flight must succeed and a later one be refused.
func TestDrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		e := c.start("e1")
		time.Sleep(settleTime)
		inFlight := e.get("/services/stocfa/bike/7")
		synctest.Wait()
		c.platform.mu.Lock()
		c.platform.list = []contract.Instance{{ID: "w0", Role: contract.WorkerRole, State: contract.Leaving}}
		c.platform.mu.Unlock()
		time.Sleep(3 * time.Second)
		if got := <-e.get("/services/stocfa/bike/8"); got != http.StatusServiceUnavailable {
			t.Errorf("status %d from a worker that has been leaving for 3 s", got)
		}
		c.release()
		if got := <-inFlight; got != http.StatusOK {
			t.Errorf("the request in flight got %d", got)
		}
		c.stopAll()
	})
}

// TestRemovedMember removes an entry from the platform's list. Its partitions must be
// taken over only if it is also silent and the list contains the entry that reads
// it.
func TestRemovedMember(t *testing.T) {
	instance := func(id string) contract.Instance {
		return contract.Instance{ID: id, Role: contract.EntryRole, State: contract.Live, Zone: "de"}
	}
	tests := []struct {
		name  string
		alive bool // whether the member's heartbeats still arrive
		list  []contract.Instance
		want  int // slots of the only worker at the entry that stays, after two minutes
	}{
		{"dropped and silent", false, []contract.Instance{instance("a")}, 8},
		{"silent but listed", false, []contract.Instance{instance("a"), instance("b")}, 4},
		{"dropped but not silent", true, []contract.Instance{instance("a")}, 4},
		{"a list without the reader", false, []contract.Instance{instance("c")}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				c.platform.list = []contract.Instance{instance("a"), instance("b")}
				a := c.start("a")
				time.Sleep(settleTime)
				c.start("b")
				time.Sleep(settleTime)
				c.platform.mu.Lock()
				c.platform.list = tt.list
				c.platform.mu.Unlock()
				if !tt.alive {
					c.mu.Lock()
					delete(c.groups, "b")
					c.mu.Unlock()
				}
				time.Sleep(2 * time.Minute)
				if got := a.Snapshot().Workers["w0"].Slots.Limit(); got != tt.want {
					t.Errorf("%d slots, want %d", got, tt.want)
				}
				c.release()
				c.stopAll()
			})
		})
	}
}
