package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"skylarkport/internal/budget"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/daemon"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/ingress"
	"skylarkport/internal/obs"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
	"skylarkport/internal/workload"
)

const (
	tableInstances = "instances"
	// membersInterval is the interval between reads of the table of instances.
	// Pings usually announce a new instance sooner.
	membersInterval = 10 * time.Second
	// storeLostAfter is how long calls to the store may fail before the instance
	// reports the store as unreachable.
	storeLostAfter = 500 * time.Millisecond
	// gcPercent is the garbage collector's target percentage (GOGC). The heap is only a few
	// megabytes; a lower one costs an owner processor time, which delays its starts.
	gcPercent = 120
	// notReadyDelay is how long a stopping instance still accepts connections, so
	// that two of the load balancer's checks, one second apart, see it as not ready.
	notReadyDelay = 2300 * time.Millisecond
	// jobMemoryFraction is the part of the machine's memory that accepted jobs may fill.
	jobMemoryFraction = 4
	// shutdownMargin is the part of the grace period that is reserved for the exit
	// of the process.
	shutdownMargin = 500 * time.Millisecond
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes bound connections as long as no
	// configuration is in force, or if it states no bound.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
)

// Deps holds the external systems that an instance depends on.
type Deps struct {
	Store    fleet.Store
	Workers  fleet.Workers
	Registry fleet.Registry
	Configs  fleet.ConfigSource
	Zones    fleet.ZoneSource
	Adviser  fleet.Adviser // nil where there is none
	Front    func(fleet.Jobs) http.Handler
}

// Node is one instance of the batch scheduler.
type Node struct {
	settings *settings.Node
	deps     Deps
	self     Instance
	machine  budget.Machine
	ctx      context.Context

	seeds      atomic.Pointer[[]string] // control addresses of some instances
	layout     atomic.Pointer[Layout]
	peerLayout atomic.Pointer[Layout]
	storeLink  *dispatch.StoreLink
	jobMemory  *dispatch.JobMemory
	offset     atomic.Int64 // wall clock minus the store's clock, in milliseconds; 0 until measured
	leaving    atomic.Bool

	storeMu           sync.Mutex
	storeFailingSince time.Time // when calls to the store began to fail; zero while they succeed
	storeReached      bool

	peers           *peers
	owners          *owners
	configs         *configs
	metrics         *metrics
	dispatchMetrics *dispatch.Metrics
	pendingCache    pendingCounts
}

// New returns an instance that has not been started.
func New(ctx context.Context, s *settings.Node, deps Deps, m *obs.Metrics) *Node {
	machine := s.Machine.Size()
	n := &Node{
		settings: s, deps: deps, machine: machine, ctx: ctx,
		self: Instance{
			Name: s.Instance, Zone: s.Zone, Control: s.Control, Incarnation: time.Now().UnixMilli(),
			Cores: s.Machine.Cores(), LinkMbps: s.Machine.LinkMbps, Loans: true, AnyLoans: true, GangLoans: true,
		},
		metrics:         newMetrics(m.Scope()),
		dispatchMetrics: dispatch.NewMetrics(m.Scope().SubScope("shard")),
		pendingCache:    pendingCounts{byShard: map[string]pendingCount{}},
		storeLink:       dispatch.NewStoreLink(s.Machine.LinkMbps),
		jobMemory:       dispatch.NewJobMemory(machine.Memory / jobMemoryFraction),
	}
	n.seeds.Store(&s.Seeds)
	n.peers, n.owners, n.configs = newPeers(n), newOwners(n), newConfigs(n)
	return n
}

// recordStoreResult records whether a call reached the store.
func (n *Node) recordStoreResult(err error) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if err == nil || errors.Is(err, fleet.ErrHistoryLost) {
		if !n.storeFailingSince.IsZero() && n.storeReached {
			logger.WithField("away", time.Since(n.storeFailingSince).String()).Info("store answers again")
		}
		n.storeFailingSince, n.storeReached = time.Time{}, true
		return
	}
	if n.storeFailingSince.IsZero() {
		n.storeFailingSince = time.Now()
		logger.WithError(err).Warn("store does not answer")
	}
}

// storeOK reports whether the store has answered and has not failed for
// storeLostAfter.
func (n *Node) storeOK() bool {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeReached && (n.storeFailingSince.IsZero() || time.Since(n.storeFailingSince) < storeLostAfter)
}

// storeNow estimates the store's clock from the local time and the measured offset.
func (n *Node) storeNow() fleet.Clock {
	return fleet.Clock(time.Now().UnixMilli() - n.offset.Load())
}

// selfPing returns the ping that describes this instance. The loads of its shards are left
// out unless the receiver owns shards.
func (n *Node) selfPing(toOwner bool) *Ping {
	self := n.self
	self.Offset = n.offset.Load()
	return &Ping{
		From: self, StoreOK: n.storeOK(), Leaving: n.leaving.Load(),
		ConfigVersion: n.configs.version(), OwnedShards: n.owners.ownedShards(toOwner), NeedsLayout: n.layout.Load() == nil,
	}
}

// replyToPing returns the reply to a ping.
func (n *Node) replyToPing(m *Ping) *Ping {
	reply := n.selfPing(len(m.OwnedShards) > 0)
	if m.NeedsLayout {
		reply.Layout = n.layout.Load()
	}
	return reply
}

// Run runs an instance with the settings of file until a signal stops it.
func Run(file string, connect func(*settings.Node) Deps) error {
	s, err := settings.LoadNode(file)
	if err != nil {
		return err
	}
	out := obs.NewLogQueue(os.Stdout)
	defer out.Close()
	if err := obs.Setup(out, "json", s.LogLevel); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	m := obs.NewMetrics("skylark_node")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := New(ctx, s, connect(s), m)
	debug.SetMemoryLimit(n.machine.HeapLimit())
	logger.WithField("instance", s.Instance).WithField("zone", s.Zone).WithField("life", n.self.Incarnation).Info("instance starts")
	err = n.serve(file, m)
	logger.WithField("instance", s.Instance).WithField("cause", obs.ErrorText(err)).Info("instance ends")
	if errors.Is(err, daemon.ErrSignal) {
		return nil
	}
	return err
}

// Check validates a settings file without starting an instance.
func Check(file string) error {
	_, err := settings.LoadNode(file)
	return err
}

// serve runs the servers and background loops of the instance until one of them ends.
func (n *Node) serve(file string, m *obs.Metrics) error {
	var g run.Group
	control, err := net.Listen("tcp", n.settings.Control)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "listen on the control address")
	}
	peers := ingress.New(ingress.Config{Name: "control", Share: n.machine.Peers(), Limits: peerLimits, Scope: m.Scope()})
	for _, part := range n.backgroundLoops(peers.Listener(control)) {
		daemon.AddActor(&g, part)
	}
	daemon.AddActor(&g, func(ctx context.Context) error { return n.reload(ctx, file) })
	front, err := n.addPort(&g, m, "front", n.settings.Front, n.machine.Callers(), n.deps.Front(n))
	if err != nil {
		return err
	}
	if _, err := n.addPort(&g, m, "ready", n.settings.Ready, n.machine.Probe(), n.readiness()); err != nil {
		return err
	}
	if n.settings.Metrics != "" {
		if _, err := n.addPort(&g, m, "metrics", n.settings.Metrics, n.machine.Probe(), m.Handler()); err != nil {
			return err
		}
	}
	daemon.AddActor(&g, func(ctx context.Context) error {
		err := daemon.WaitSignal(ctx)
		if errors.Is(err, daemon.ErrSignal) {
			n.leave(front)
		}
		return err
	})
	return g.Run()
}

// backgroundLoops returns the loops that run beside the HTTP servers, each until its
// context ends.
func (n *Node) backgroundLoops(control net.Listener) []func(context.Context) error {
	return []func(context.Context) error{
		func(ctx context.Context) error { return n.listenPeers(ctx, control) },
		n.configs.followStore,
		n.configs.followPeers,
		n.peers.run,
		n.join,
	}
}

// addPort adds to g an HTTP server at an address whose clients share the given resources.
func (n *Node) addPort(g *run.Group, m *obs.Metrics, name, address string, share budget.Share, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(result.SettingsAddress, err, address)
	}
	p := ingress.New(ingress.Config{Name: name, Share: share, Limits: n.limits, Scope: m.Scope(), FixedBuffers: true})
	s := p.Server(h)
	addServer(g, s, p.Listener(l))
	return s, nil
}

// limits returns the bounds of the configuration in force on a connection.
func (n *Node) limits() ingress.Limits {
	l := ingress.Limits{
		HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout, WriteTimeout: defaultIdleTimeout,
	}
	c := n.Config()
	if c == nil {
		return l
	}
	if c.Limits.HeaderBytes > 0 {
		l.HeaderBytes = c.Limits.HeaderBytes
	}
	if c.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		l.IdleTimeout, l.WriteTimeout = c.Limits.IdleTimeout, c.Limits.IdleTimeout
	}
	return l
}

// addServer adds s to g. Serve returns as soon as a shutdown of s begins; the
// actor then waits to be interrupted, because its return would end the group and
// close the connections of requests in flight.
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

// leave takes the instance out of service: it reports itself as leaving, hands its
// shards over and shuts the server down after the requests in flight are answered.
func (n *Node) leave(front *http.Server) {
	logger.Info("instance draining")
	n.leaving.Store(true)
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.Bounds.Grace.D()-shutdownMargin)
	defer cancel()
	n.peers.announce(ctx)
	front.SetKeepAlivesEnabled(false)
	n.owners.leave(ctx)
	pause.For(ctx, notReadyDelay)
	if err := front.Shutdown(ctx); err != nil {
		logger.WithError(err).Warn("shutdown ended with requests in flight")
	}
}

// readiness returns the handler for the load balancer's readiness checks.
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

// join registers the instance, discovers its peers and the layout, and then
// maintains the ownership of the shards until ctx ends.
func (n *Node) join(ctx context.Context) error {
	n.peers.pingSeeds(ctx)
	go n.followMembers(ctx) // the ranking of a shard's candidates needs the live instances
	l, err := n.readLayout(ctx)
	if err != nil {
		return nil // readLayout fails only when ctx has ended
	}
	n.owners.addShards(l)
	n.layout.Store(l)
	return n.owners.run(ctx)
}

// followMembers registers the instance and reads the table of instances repeatedly.
func (n *Node) followMembers(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = n.register(ctx)
		}
		listed, ok := n.readMembers(ctx)
		registered = registered && (listed || !ok)
		if !ok || !registered {
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
	n.recordStoreResult(err)
	return err == nil
}

// readMembers reads the table of instances, adds them as peers, forgets those that are long gone and pings
// the others. It reports whether this instance is listed, and whether the table was read.
func (n *Node) readMembers(ctx context.Context) (listed, ok bool) {
	rows, err := n.readTable(ctx, tableInstances)
	if err != nil {
		return false, false
	}
	for _, i := range decodeInstances(rows) {
		listed = listed || i.Name == n.self.Name
		n.peers.update(i)
	}
	n.forgetGone(ctx, rows)
	n.peers.announce(ctx)
	return listed, true
}

// readInstances reads the entries of all registered instances.
func (n *Node) readInstances(ctx context.Context) ([]Instance, error) {
	rows, err := n.readTable(ctx, tableInstances)
	return decodeInstances(rows), err
}

func decodeInstances(rows []fleet.Row) []Instance {
	var list []Instance
	for _, r := range rows {
		var i Instance
		if err := workload.Decode(r.Value, &i); err != nil {
			logger.WithField("key", r.Key).WithError(err).Error("cannot decode an instance's entry")
			continue
		}
		list = append(list, i)
	}
	return list
}

// reload reads and validates the settings file at each SIGHUP and logs the result.
// The running instance keeps the settings that it was started with.
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
		if err == nil {
			err = n.applySettings(s)
		}
		if err != nil {
			logger.WithError(err).Error("invalid settings file; the previous settings stay in force")
		}
	}
}

// applySettings puts the seeds and the log level of s in force. All other settings are read
// at the start only.
func (n *Node) applySettings(s *settings.Node) error {
	if err := obs.SetLevel(s.LogLevel); err != nil {
		return err
	}
	n.seeds.Store(&s.Seeds)
	fixed, inForce := *s, *n.settings
	fixed.Seeds, fixed.LogLevel, inForce.Seeds, inForce.LogLevel = nil, "", nil, ""
	logger.WithField("seeds", len(s.Seeds)).WithField("log_level", s.LogLevel).
		WithField("restart_needed", !reflect.DeepEqual(fixed, inForce)).Info("settings reloaded")
	return nil
}
