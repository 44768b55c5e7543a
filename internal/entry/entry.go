// Package entry assembles the entry's request path: the callers' server, the
// routing table and its sources, and the division of slots.
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
	feedEvery = 500 * time.Millisecond // between two questions to the schedulers
	feedCall  = time.Second            // of one question
	listEvery = time.Second            // between two readings of the instance list
	wakeEvery = 20 * time.Millisecond  // between two looks for free slots
	// balancerGrace is how long the entry goes on taking connections after
	// readyz has gone false.
	balancerGrace = time.Second
)

// Deps is what an entry stands on.
type Deps struct {
	Group     member.Group
	Bundles   forward.Bundles
	Tables    contract.Tables
	Objects   contract.Objects
	Instances contract.Instances
	Metrics   *obs.Metrics
	Listener  net.Listener   // for callers; nil to listen on the settings' address
	Dial      forward.Dialer // nil for TCP
	Leaving   func()         // called when the drain begins; nil for none
}

// Entry is one entry instance.
type Entry struct {
	cfg      *settings.Entry
	deps     Deps
	table    *route.Table
	handler  *forward.Handler
	shares   *sharing
	zones    *zones
	keys     *idempotency.Store
	draining atomic.Bool
}

// New returns an entry that does not run yet. It registers its methods with
// the group, so it is called before the group runs.
func New(cfg *settings.Entry, deps Deps) *Entry {
	if deps.Dial == nil {
		deps.Dial = forward.DialTCP
	}
	e := &Entry{cfg: cfg, deps: deps}
	e.table = route.NewTable(cfg.Zone, func(w *route.Worker) http.RoundTripper {
		return forward.NewTransport(w, deps.Dial)
	})
	e.zones = newZones(cfg.Zone, cfg.Listen, deps.Group)
	e.shares = newSharing(e)
	e.table.OnChange(e.shares.apply)
	e.keys = idempotency.NewStore(idempotency.Config{
		Ranges: cfg.KeyRanges, Group: deps.Group, Tables: deps.Tables, Objects: deps.Objects,
	})
	e.handler = forward.New(forward.Config{
		Zone:        cfg.Zone,
		MaxInFlight: cfg.MaxInFlight,
		Table:       e.table,
		Bundles:     deps.Bundles,
		Keys:        e.keys,
		Zones:       e.zones,
		ZoneDial:    deps.Dial,
		Recorder:    newRecorder(deps.Metrics.Scope()),
	})
	deps.Group.Handle(api.MethodExplainRequest, e.explainRequest)
	return e
}

// Add adds the entry's actors to g.
func (e *Entry) Add(g *run.Group) {
	e.serve(g)
	for _, loop := range []func(context.Context){e.pollFeeds, e.watchList, e.wake, e.shares.run} {
		daemon.Actor(g, func(ctx context.Context) error {
			loop(ctx)
			return nil
		})
	}
	daemon.Actor(g, e.keys.Run)
}

// Ready reports whether the balancer may send requests.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.deps.Bundles.Current() != nil && e.table.Current().Version > 0
}

// wake looks for free slots that no request's end announces.
func (e *Entry) wake(ctx context.Context) {
	every(ctx, wakeEvery, func() {
		if e.handler.Waiting() > 0 {
			e.handler.Wake()
		}
	})
}

// every calls f at once and then every d until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
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

// Snapshot returns the routing snapshot in force.
func (e *Entry) Snapshot() *route.Snapshot { return e.table.Current() }
