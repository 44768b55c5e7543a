package scheduler

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/daemon"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/operator"
	"skylarkport/internal/process"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const (
	metricsPath       = "/metrics"
	readHeaderTimeout = 5 * time.Second
)

// Check checks the settings file of a scheduler.
func Check(file string) error {
	_, err := settings.LoadScheduler(file)
	return err
}

// Run runs a scheduler process until a signal ends it. The first SIGTERM or
// SIGINT drains: no more operators' work is taken, every shard is handed over,
// and Run returns within the drain time of the settings. A second one ends the
// process at once.
func Run(file string) error {
	cfg, err := settings.LoadScheduler(file)
	if err != nil {
		return err
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	p, err := newRunning(cfg)
	if err != nil {
		return err
	}
	defer p.Client.Close()
	var g run.Group
	daemon.Actor(&g, p.Members.Run)
	daemon.Actor(&g, p.Keeper.Run)
	daemon.Actor(&g, p.meter)
	daemon.Actor(&g, p.serve)
	daemon.Actor(&g, p.work)
	daemon.Actor(&g, p.signals)
	p.logger.WithField("operator", cfg.OperatorListen).Info("started")
	if err := g.Run(); err != nil && !errors.Is(err, daemon.ErrSignal) {
		return err
	}
	p.logger.Info("stopped")
	return nil
}

// running is the parts of a running scheduler.
type running struct {
	*process.Base
	cfg     *settings.Scheduler
	logger  log.Interface
	sched   *Scheduler
	server  *http.Server
	drain   chan struct{} // closed by the first signal
	drained chan struct{} // closed when every shard is handed over
}

func newRunning(cfg *settings.Scheduler) (*running, error) {
	base, err := process.New(&cfg.Common, member.Scheduler, "skylark_scheduler")
	if err != nil {
		return nil, err
	}
	client := base.Client
	ext := Platform{Tables: client.Tables(), Objects: client.Objects(), Instances: client.Instances(), Workers: client.Workers()}
	sched := New(cfg, base.Members, ext, base.Keeper.Current, obs.Logger("shard"))
	life := bundle.NewLifecycle(client.Tables(), client.Objects(), base.Initial, base.Keeper, sched.Strands)
	api := operator.New(sched.Backend(), life)
	api.Handle(metricsPath, base.Metrics.Handler())
	p := &running{
		Base: base, cfg: cfg, logger: obs.Logger("scheduler"), sched: sched,
		server: &http.Server{Addr: cfg.OperatorListen, Handler: api, ReadHeaderTimeout: readHeaderTimeout},
		drain:  make(chan struct{}), drained: make(chan struct{}),
	}
	if p.Keys != nil {
		p.server.TLSConfig = p.Keys.HTTPConfig()
	}
	return p, nil
}

// meter hands the bytes at the sockets to the platform and the workers to the
// metrics.
func (p *running) meter(ctx context.Context) error {
	p.Client.Bytes().Report(ctx.Done(), p.Metrics.Scope().SubScope("platform"))
	return nil
}

// listen serves the operator API, over TLS with mutual authentication where the
// settings name keys.
func (p *running) listen() error {
	if p.server.TLSConfig != nil {
		return p.server.ListenAndServeTLS("", "")
	}
	return p.server.ListenAndServe()
}

// serve answers operators until the drain begins, and lets the calls that are
// under way end.
func (p *running) serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- p.listen() }()
	select {
	case err := <-failed:
		return result.Wrap(result.Internal, err, "operator API")
	case <-p.drain:
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), p.cfg.Drain.D())
	defer cancel()
	if err := p.server.Shutdown(limit); err != nil {
		p.logger.WithError(err).Warn("operators' calls were cut off")
	}
	<-ctx.Done()
	return nil
}

// work owns shards until the drain begins, and hands them over.
func (p *running) work(ctx context.Context) error {
	run, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-p.drain:
			p.Members.Leave()
			stop()
		case <-run.Done():
		}
	}()
	err := p.sched.Run(run)
	close(p.drained)
	<-ctx.Done()
	return err
}

// signals turns the first signal into a drain, and ends the group when it is
// done.
func (p *running) signals(ctx context.Context) error {
	err := daemon.WaitSignal(ctx)
	if err == nil {
		return nil
	}
	p.logger.Info("draining")
	close(p.drain)
	t := time.NewTimer(p.cfg.Drain.D())
	defer t.Stop()
	select {
	case <-p.drained:
	case <-t.C:
		p.logger.Warn("the drain took too long")
	}
	return err
}
