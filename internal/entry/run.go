package entry

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"skylarkport/internal/daemon"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/process"
	"skylarkport/internal/settings"
)

// Check reports whether the settings file of an entry is valid.
func Check(file string) error {
	_, err := settings.LoadEntry(file)
	return err
}

// Run runs an entry process until it receives a signal. The first SIGTERM or SIGINT
// starts draining: /readyz reports not ready, the requests in flight are finished
// within the drain time of the settings, and Run returns nil. A second signal ends
// the process immediately.
func Run(file string) error {
	cfg, err := settings.LoadEntry(file)
	if err != nil {
		return err
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	base, err := process.New(&cfg.Common, member.Entry, "skylark_entry")
	if err != nil {
		return err
	}
	defer base.Client.Close()
	g := group(cfg, base)
	logger.WithField("zone", cfg.Zone).Info("started")
	err = g.Run()
	if errors.Is(err, daemon.ErrSignal) {
		err = nil
	}
	logger.Info("stopped")
	return errors.CombineErrors(err, base.Metrics.Close())
}

// group assembles the actors of the process. They are interrupted in the order in
// which they are added, so the server for callers stops before the actors that
// requests depend on.
func group(cfg *settings.Entry, c *process.Components) *run.Group {
	e := New(cfg, Deps{
		Group: c.Members, Bundles: c.BundleSyncer, Tables: c.Client.Tables(), Objects: c.Client.Objects(),
		Instances: c.Client.Instances(), Metrics: c.Metrics, OnDrain: c.Members.Leave,
	})
	g := new(run.Group)
	e.AddActors(g)
	daemon.AddActor(g, c.BundleSyncer.Run)
	daemon.AddActor(g, c.Members.Run)
	daemon.AddActor(g, daemon.WaitSignal)
	return g
}
