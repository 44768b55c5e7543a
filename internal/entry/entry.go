// Package entry implements the entry process: the HTTP server for callers, the
// routing table with its sources (the schedulers' lists of upstreams and the
// platform's instance list), and the sharing of the workers' slots and connections
// between the entries of a zone.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"skylarkport/internal/contract"
	"skylarkport/internal/daemon"
	"skylarkport/internal/forward"
	"skylarkport/internal/idempotency"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/route"
	"skylarkport/internal/settings"
)

var logger = obs.Logger("entry")

// Timing of the entry's loops.
const (
	pollInterval         = 500 * time.Millisecond // interval of asking the schedulers for upstreams
	pollTimeout          = time.Second            // timeout of one poll
	instanceListInterval = time.Second            // interval of reading the instance list, and timeout of a call
	wakeInterval         = 20 * time.Millisecond  // interval of looking for free slots while requests wait
	// loadBalancerGrace is how long a draining entry still accepts connections
	// after /readyz reports that it is not ready, so that the load balancer
	// can react first.
	loadBalancerGrace = time.Second
)

// Deps holds the dependencies of an Entry.
type Deps struct {
	Group     member.Group
	Bundles   forward.Bundles
	Tables    contract.Tables
	Objects   contract.Objects
	Instances contract.Instances
	Metrics   *obs.Metrics
	Listener  net.Listener   // for callers; nil to listen on the address in the settings
	Dial      forward.Dialer // to upstreams and other zones' entries; nil for TCP
	OnDrain   func()         // called when draining begins; may be nil
}

// Entry is one entry instance.
type Entry struct {
	cfg         *settings.Entry
	deps        Deps
	table       *route.Table
	handler     *forward.Handler
	slotSharing *sharing
	zones       *zones
	keys        *idempotency.Store
	draining    atomic.Bool
}

// New returns an Entry that is not running yet. It registers the methods that peers
// call with deps.Group, so it must be called before the group runs.
func New(cfg *settings.Entry, deps Deps) *Entry {
	if deps.Dial == nil {
		deps.Dial = forward.DialTCP
	}
	e := &Entry{cfg: cfg, deps: deps}
	e.table = route.NewTable(cfg.Zone, func(w *route.Worker) http.RoundTripper {
		return forward.NewTransport(w, deps.Dial)
	})
	e.zones = newZones(cfg.Zone, cfg.Listen, deps.Group)
	e.slotSharing = newSharing(e)
	e.table.OnChange(e.slotSharing.applySnapshot)
	e.keys = idempotency.NewStore(idempotency.Config{
		Ranges: cfg.KeyRanges, Group: deps.Group, Tables: deps.Tables, Objects: deps.Objects,
	})
	e.handler = forward.New(forward.Config{
		Zone:        cfg.Zone,
		MaxInFlight: cfg.MaxInFlight,
		Table:       e.table,
		Bundles:     deps.Bundles,
		KeyStore:    e.keys,
		Zones:       e.zones,
		ZoneDial:    deps.Dial,
		Recorder:    newRecorder(deps.Metrics.Scope()),
	})
	deps.Group.Handle(api.MethodExplainRequest, e.explainRequest)
	return e
}

// AddActors adds the server and the loops of the entry to g.
func (e *Entry) AddActors(g *run.Group) {
	e.serve(g)
	for _, loop := range []func(context.Context){e.pollUpstreams, e.watchInstances, e.wakeLoop, e.slotSharing.run} {
		daemon.AddActor(g, func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	daemon.AddActor(g, e.keys.Run)
}

// Ready reports whether the load balancer may send requests: the entry is not
// draining and has a bundle and a routing snapshot.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.deps.Bundles.Current() != nil && e.table.Current().Version > 0
}

// wakeLoop gives free slots to waiting requests at an interval. It covers slots that
// become free without the end of a request, such as those of an upstream whose
// ejection has ended.
func (e *Entry) wakeLoop(ctx context.Context) {
	runEvery(ctx, wakeInterval, func() {
		if e.handler.Waiting() > 0 {
			e.handler.Wake()
		}
	})
}

// runEvery calls f immediately and then at the interval d until ctx ends.
func runEvery(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Snapshot returns the current routing snapshot.
func (e *Entry) Snapshot() *route.Snapshot { return e.table.Current() }
