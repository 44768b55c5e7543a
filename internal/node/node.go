package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/daemon"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/obs"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
	"skylarkport/internal/workload"
)

const (
	tableInstances = "instances"
	// membersInterval is how often the table of instances is read; pings tell
	// of new instances sooner.
	membersInterval = 10 * time.Second
	// storeLostAfter is how long calls to the store may fail until the instance
	// says that it does not reach it.
	storeLostAfter = 500 * time.Millisecond
	// collectorPercent is the garbage collector's target: the heap is a few
	// megabytes, and its growth is priced.
	collectorPercent = 60
	// notReadyLead is how long an instance that stops still takes connections,
	// so that the balancer's two checks of a second each see it leave.
	notReadyLead = 2300 * time.Millisecond
	// closeMargin is kept of the grace period for the end of the process.
	closeMargin = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound callers until a configuration is known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	bodyTimeout   = 10 * time.Second
	headerBytes   = 16 << 10
)

// Deps are the outside systems, by their contracts.
type Deps struct {
	Store    fleet.Store
	Workers  fleet.Workers
	Registry fleet.Registry
	Configs  fleet.ConfigSource
	Adviser  fleet.Adviser // nil where there is none
	Front    func(fleet.Jobs) http.Handler
}

// Node is one instance.
type Node struct {
	settings *settings.Node
	deps     Deps
	self     Instance
	ctx      context.Context

	layout      atomic.Pointer[Layout]
	heardLayout atomic.Pointer[Layout]
	offset      atomic.Int64 // time of day less the store's clock
	leaving     atomic.Bool

	storeMu   sync.Mutex
	storeBad  time.Time // since when calls to the store fail
	storeSeen bool

	peers           *peers
	owners          *owners
	configs         *configs
	metrics         *metrics
	dispatchMetrics *dispatch.Metrics
	pendingCache    pendingCounts
}

// New returns an instance that does not run yet.
func New(ctx context.Context, s *settings.Node, deps Deps, m *obs.Metrics) *Node {
	n := &Node{
		settings: s, deps: deps, ctx: ctx,
		self: Instance{
			Name: s.Instance, Zone: s.Zone, Control: s.Control, Life: time.Now().UnixMilli(),
			Cores: s.Machine.Cores(), LinkMbps: s.Machine.LinkMbps,
		},
		metrics:         newMetrics(m.Scope()),
		dispatchMetrics: dispatch.NewMetrics(m.Scope().SubScope("shard")),
		pendingCache:    pendingCounts{byShard: map[string]pendingCount{}},
	}
	n.peers, n.owners, n.configs = newPeers(n), newOwners(n), newConfigs(n)
	return n
}

// noteStore records whether a call reached the store.
func (n *Node) noteStore(err error) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if err == nil || errors.Is(err, fleet.ErrHistoryLost) {
		if !n.storeBad.IsZero() && n.storeSeen {
			logger.WithField("away", time.Since(n.storeBad).String()).Info("store answers again")
		}
		n.storeBad, n.storeSeen = time.Time{}, true
		return
	}
	if n.storeBad.IsZero() {
		n.storeBad = time.Now()
		logger.WithError(err).Warn("store does not answer")
	}
}

// storeOK reports whether the store answers this instance.
func (n *Node) storeOK() bool {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeSeen && (n.storeBad.IsZero() || time.Since(n.storeBad) < storeLostAfter)
}

// storeNow estimates the store's clock.
func (n *Node) storeNow() fleet.Clock {
	return fleet.Clock(time.Now().UnixMilli() - n.offset.Load())
}

// tell is what this instance says of itself.
func (n *Node) tell() *Ping {
	self := n.self
	self.Offset = n.offset.Load()
	return &Ping{
		From: self, StoreOK: n.storeOK(), Leaving: n.leaving.Load(),
		ConfigVersion: n.configs.version(), Owned: n.owners.owned(), Layout: n.layout.Load(),
	}
}

// Run serves the settings file until a signal.
func Run(file string, connect func(*settings.Node) Deps) error {
	s, err := settings.LoadNode(file)
	if err != nil {
		return err
	}
	out := obs.NewQueue(os.Stdout)
	defer out.Close()
	if err := obs.Setup(out, "json", s.LogLevel); err != nil {
		return err
	}
	debug.SetGCPercent(collectorPercent)
	m := obs.NewMetrics("skylark_node")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := New(ctx, s, connect(s), m)
	logger.WithField("instance", s.Instance).WithField("zone", s.Zone).WithField("life", n.self.Life).Info("instance starts")
	err = n.serve(file, m)
	logger.WithField("instance", s.Instance).WithField("cause", obs.Cause(err)).Info("instance ends")
	if errors.Is(err, daemon.ErrSignal) {
		return nil
	}
	return err
}

// Check checks a settings file and starts nothing.
func Check(file string) error {
	_, err := settings.LoadNode(file)
	return err
}

// serve runs all parts of the instance.
func (n *Node) serve(file string, m *obs.Metrics) error {
	var g run.Group
	control, err := net.Listen("tcp", n.settings.Control)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "control")
	}
	for _, part := range n.parts(control) {
		daemon.Actor(&g, part)
	}
	daemon.Actor(&g, func(ctx context.Context) error { return n.reload(ctx, file) })
	front := &http.Server{
		Addr: n.settings.Front, Handler: n.deps.Front(n),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	ready := &http.Server{Addr: n.settings.Ready, Handler: n.readiness(), ReadHeaderTimeout: headerTimeout}
	servers := []*http.Server{front, ready}
	if n.settings.Metrics != "" {
		servers = append(servers, &http.Server{Addr: n.settings.Metrics, Handler: m.Handler(), ReadHeaderTimeout: headerTimeout})
	}
	for _, s := range servers {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return result.Wrap(result.SettingsAddress, err, s.Addr)
		}
		addServer(&g, s, l)
	}
	daemon.Actor(&g, func(ctx context.Context) error {
		err := daemon.WaitSignal(ctx)
		if errors.Is(err, daemon.ErrSignal) {
			n.leave(front)
		}
		return err
	})
	return g.Run()
}

// parts returns what runs beside the servers for callers, until its context ends.
func (n *Node) parts(control net.Listener) []func(context.Context) error {
	return []func(context.Context) error{
		func(ctx context.Context) error { return n.listenPeers(ctx, control) },
		n.configs.followStore,
		n.configs.followPeers,
		n.peers.run,
		n.join,
	}
}

// addServer adds s to g. The start of its shutdown must not end the group: that
// would close the connections of requests in flight.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	interrupted := make(chan struct{})
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-interrupted
		}
		return err
	}, func(error) {
		close(interrupted)
		closeServer(s)
	})
}

func closeServer(s *http.Server) {
	if err := s.Close(); err != nil {
		logger.WithError(err).Debug("server closed with an error")
	}
}

// leave takes the instance out of service: no new connections, shards handed
// over, requests in flight answered.
func (n *Node) leave(front *http.Server) {
	logger.Info("instance leaves")
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.Bounds.Grace.D()-closeMargin)
	defer cancel()
	n.peers.announce(ctx)
	front.SetKeepAlivesEnabled(false)
	n.owners.leave(ctx)
	pause.For(ctx, notReadyLead)
	if err := front.Shutdown(ctx); err != nil {
		logger.WithError(err).Warn("requests were still in flight")
	}
}

// readiness answers the balancer.
func (n *Node) readiness() http.Handler {
	e := echo.New()
	e.GET("/ready", func(c echo.Context) error {
		if n.leaving.Load() || n.Config() == nil || n.layout.Load() == nil {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// join registers the instance, learns the others and the layout, and looks
// after the shards.
func (n *Node) join(ctx context.Context) error {
	n.peers.seed(ctx)
	go n.followMembers(ctx) // the ownership of shards depends on who is there
	l, err := n.readLayout(ctx)
	if err != nil {
		return nil // the instance ends
	}
	n.owners.prepare(l)
	n.layout.Store(l)
	return n.owners.run(ctx)
}

// followMembers registers the instance and reads the others' entries.
func (n *Node) followMembers(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = n.register(ctx)
		}
		if !n.readMembers(ctx) || !registered {
			pause.For(ctx, retryPause)
			continue
		}
		pause.For(ctx, membersInterval)
	}
}

func (n *Node) register(ctx context.Context) bool {
	self := n.self
	self.Offset = n.offset.Load()
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := n.deps.Store.Commit(tctx, fleet.Tx{
		Put: []fleet.Row{{Table: tableInstances, Key: self.Name, Value: workload.Encode(self)}},
	})
	n.noteStore(err)
	return err == nil
}

// readMembers learns the other instances and tells them of this one.
func (n *Node) readMembers(ctx context.Context) bool {
	list, err := n.readInstances(ctx)
	if err != nil {
		return false
	}
	for _, i := range list {
		n.peers.learn(i)
	}
	n.peers.announce(ctx)
	return true
}

// readInstances reads the entries of all instances that have registered.
func (n *Node) readInstances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := n.deps.Store.Range(ctx, tableInstances, "", "", "")
	n.noteStore(err)
	if err != nil {
		return nil, err
	}
	var list []Instance
	for _, r := range p.Rows {
		var i Instance
		if err := workload.Decode(r.Value, &i); err != nil {
			logger.WithField("key", r.Key).WithError(err).Error("an instance's entry cannot be read")
			continue
		}
		list = append(list, i)
	}
	return list, nil
}

// reload checks the settings file at each SIGHUP and takes what may change while
// the instance runs: the seeds.
func (n *Node) reload(ctx context.Context, file string) error {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c:
		}
		s, err := settings.LoadNode(file)
		if err != nil {
			logger.WithError(err).Error("settings are not valid; the old ones stay")
			continue
		}
		logger.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
	}
}
