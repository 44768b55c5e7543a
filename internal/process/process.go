// Package process builds the components that skylark-entry and skylark-scheduler
// share: the platform's clients, the metrics, the membership and the bundle in force.
package process

import (
	"runtime/debug"

	"skylarkport/internal/bundle"
	"skylarkport/internal/link"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/platform"
	"skylarkport/internal/settings"
)

// Components holds the components of a process that has not been started. The program must
// run Members and BundleSyncer.
type Components struct {
	Client       *platform.Client
	Metrics      *obs.Metrics
	Members      *member.Membership
	BundleSyncer *bundle.Syncer
	Initial      *bundle.Bundle // first bundle of a new deployment, or nil
	Keys         *link.Keys     // nil for connections without TLS
}

// New builds the components of program from its settings, the key files and the first
// bundle, and keeps the heap to the memory of its machine. The names of its metrics begin with prefix.
func New(s *settings.Common, program member.Program, prefix string) (*Components, error) {
	debug.SetMemoryLimit(s.Machine.Size().HeapLimit())
	c := &Components{
		Client:  platform.New(s.Platform, platform.Caller{Zone: s.Zone, Instance: s.Instance}),
		Metrics: obs.NewMetrics(prefix),
	}
	cfg, err := member.NewConfig(s, program, c.Client.Instances(), c.Metrics.Scope())
	if err != nil {
		return nil, err
	}
	c.Keys = cfg.Keys
	if c.Members, err = member.New(cfg); err != nil {
		return nil, err
	}
	if c.Initial, err = bundle.LoadInitial(s.BundleFile); err != nil {
		return nil, err
	}
	c.BundleSyncer = bundle.NewSyncer(bundle.SyncerConfig{
		Tables: c.Client.Tables(), Objects: c.Client.Objects(), Group: c.Members,
		Initial: c.Initial, Scope: c.Metrics.Scope(),
	})
	return c, nil
}
