package entry

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/daemon"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/platform"
	"skylarkport/internal/settings"
)

// Check checks the settings file of an entry.
func Check(file string) error {
	_, err := settings.LoadEntry(file)
	return err
}

// Run runs an entry process until a signal ends it. The first SIGTERM or SIGINT
// drains: readyz goes false, every request in flight is finished within the
// drain time of the settings, and Run returns nil. A second signal ends the
// process at once.
func Run(file string) error {
	cfg, err := settings.LoadEntry(file)
	if err != nil {
		return err
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	client := platform.New(cfg.Platform, platform.From{Zone: cfg.Zone, Instance: cfg.Instance})
	defer client.Close()
	metrics := obs.NewMetrics("skylark_entry")
	g, err := group(cfg, client, metrics)
	if err != nil {
		return err
	}
	logger.WithField("zone", cfg.Zone).Info("started")
	err = g.Run()
	if errors.Is(err, daemon.ErrSignal) {
		err = nil
	}
	logger.Info("stopped")
	return errors.CombineErrors(err, metrics.Close())
}

// group assembles the actors. They are interrupted in the order in which they
// are added, so that what a request needs outlives the callers' server.
func group(cfg *settings.Entry, client *platform.Client, metrics *obs.Metrics) (*run.Group, error) {
	mc, err := member.NewConfig(&cfg.Common, member.Entry, client.Instances(), metrics.Scope())
	if err != nil {
		return nil, err
	}
	members, err := member.New(mc)
	if err != nil {
		return nil, err
	}
	initial, err := bundle.LoadInitial(cfg.BundleFile)
	if err != nil {
		return nil, err
	}
	keeper := bundle.NewKeeper(bundle.KeeperConfig{
		Tables: client.Tables(), Objects: client.Objects(), Group: members, Initial: initial, Scope: metrics.Scope(),
	})
	e := New(cfg, Deps{
		Group: members, Bundles: keeper, Tables: client.Tables(), Objects: client.Objects(),
		Instances: client.Instances(), Metrics: metrics, Leaving: members.Leave,
	})
	g := new(run.Group)
	e.Add(g)
	daemon.Actor(g, keeper.Run)
	daemon.Actor(g, members.Run)
	daemon.Actor(g, daemon.WaitSignal)
	return g, nil
}
