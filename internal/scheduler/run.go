package scheduler

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/operator"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const (
	metricsPath       = "/metrics"
	readHeaderTimeout = 5 * time.Second
)

// Run runs a scheduler process until a signal ends it. The first SIGTERM or
// SIGINT drains: no more operators' work is taken, every shard is handed over,
// and Run returns within the drain time of the settings. A second one ends the
// process at once.
func Run(cfg *settings.Scheduler) error {
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	p, err := newProcess(cfg)
	if err != nil {
		return err
	}
	defer p.client.Close()
	var g run.Group
	addActor(&g, p.members.Run)
	addActor(&g, p.serve)
	addActor(&g, p.work)
	addActor(&g, p.signals)
	p.logger.WithField("operator", cfg.OperatorListen).Info("started")
	if err := g.Run(); err != nil && !errors.Is(err, errDrained) {
		return err
	}
	p.logger.Info("stopped")
	return nil
}

// errDrained ends the group after a graceful shutdown.
var errDrained = errors.New("drained")

// process is the parts of a running scheduler.
type process struct {
	cfg     *settings.Scheduler
	logger  log.Interface
	client  *platform.Client
	members *member.Members
	sched   *Scheduler
	server  *http.Server
	drain   chan struct{} // closed by the first signal
	drained chan struct{} // closed when every shard is handed over
}

func newProcess(cfg *settings.Scheduler) (*process, error) {
	client := platform.New(cfg.Platform, platform.From{Zone: cfg.Zone, Instance: cfg.Instance})
	metrics := obs.NewMetrics("skylark_scheduler")
	mc, err := member.NewConfig(&cfg.Common, member.Scheduler, client.Instances(), metrics.Scope())
	if err != nil {
		return nil, err
	}
	members, err := member.New(mc)
	if err != nil {
		return nil, err
	}
	ext := Platform{Tables: client.Tables(), Objects: client.Objects(), Instances: client.Instances(), Workers: client.Workers()}
	current := func() *bundle.Bundle { return nil }
	sched := New(cfg, members, ext, current, obs.Logger("shard"))
	api := operator.New(sched.Backend(), nil)
	api.Handle(metricsPath, metrics.Handler())
	return &process{
		cfg: cfg, logger: obs.Logger("scheduler"), client: client, members: members, sched: sched,
		server: &http.Server{Addr: cfg.OperatorListen, Handler: api, ReadHeaderTimeout: readHeaderTimeout},
		drain:  make(chan struct{}), drained: make(chan struct{}),
	}, nil
}

// addActor adds f, whose context ends when any actor of the group returns.
func addActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// serve answers operators until the drain begins, and lets the calls that are
// under way end.
func (p *process) serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- p.server.ListenAndServe() }()
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
func (p *process) work(ctx context.Context) error {
	run, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-p.drain:
			p.members.Leave()
			stop()
		case <-run.Done():
		}
	}()
	err := p.sched.Run(run)
	close(p.drained)
	<-ctx.Done()
	return err
}

// signals turns the first signal into a drain and the second into an exit.
func (p *process) signals(ctx context.Context) error {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(c)
	select {
	case <-ctx.Done():
		return nil
	case s := <-c:
		p.logger.WithField("signal", s.String()).Info("draining")
		close(p.drain)
	}
	t := time.NewTimer(p.cfg.Drain.D())
	defer t.Stop()
	select {
	case <-p.drained:
		return errDrained
	case <-t.C:
		p.logger.Warn("the drain took too long")
		return errDrained
	case s := <-c:
		return result.Errorf(result.ShuttingDown, "second signal: %s", s)
	}
}
