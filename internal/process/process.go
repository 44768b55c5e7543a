// Package process joins the parts that both programs of an instance stand on:
// the platform's clients, the metrics, the membership and the bundle in force.
package process

import (
	"skylarkport/internal/bundle"
	"skylarkport/internal/link"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/platform"
	"skylarkport/internal/settings"
)

// Base is the parts of a process that does not run yet. Members and Keeper are
// run by the program.
type Base struct {
	Client  *platform.Client
	Metrics *obs.Metrics
	Members *member.Members
	Keeper  *bundle.Keeper
	Initial *bundle.Bundle // first bundle of a new deployment, or nil
	Keys    *link.Keys     // nil for links in clear
}

// New joins the parts of program. The names of its metrics begin with prefix. It
// reads the key files and the first bundle.
func New(s *settings.Common, program member.Program, prefix string) (*Base, error) {
	b := &Base{
		Client:  platform.New(s.Platform, platform.From{Zone: s.Zone, Instance: s.Instance}),
		Metrics: obs.NewMetrics(prefix),
	}
	cfg, err := member.NewConfig(s, program, b.Client.Instances(), b.Metrics.Scope())
	if err != nil {
		return nil, err
	}
	b.Keys = cfg.Keys
	if b.Members, err = member.New(cfg); err != nil {
		return nil, err
	}
	if b.Initial, err = bundle.LoadInitial(s.BundleFile); err != nil {
		return nil, err
	}
	b.Keeper = bundle.NewKeeper(bundle.KeeperConfig{
		Tables: b.Client.Tables(), Objects: b.Client.Objects(), Group: b.Members,
		Initial: b.Initial, Scope: b.Metrics.Scope(),
	})
	return b, nil
}
