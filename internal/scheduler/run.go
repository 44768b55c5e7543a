package scheduler

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"skylarkport/internal/bundle"
	"skylarkport/internal/daemon"
	"skylarkport/internal/ingress"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/operator"
	"skylarkport/internal/process"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const (
	metricsPath = "/metrics"
	// headerBytes, headerTimeout and idleTimeout bound the connections of the operator API.
	headerBytes   = 64 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

func operatorLimits() ingress.Limits {
	return ingress.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: idleTimeout}
}

// Check loads and validates the settings file of a scheduler.
func Check(file string) error {
	_, err := settings.LoadScheduler(file)
	return err
}

// Run runs a scheduler process until a signal ends it. The first SIGTERM or
// SIGINT starts a drain: the operator API accepts no further calls, every shard
// is handed over to another instance, and Run returns within the drain time of
// the settings. A second signal ends the process at once.
func Run(file string) error {
	cfg, err := settings.LoadScheduler(file)
	if err != nil {
		return err
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	p, err := newSchedulerProcess(cfg)
	if err != nil {
		return err
	}
	defer p.Client.Close()
	var g run.Group
	daemon.AddActor(&g, p.Members.Run)
	daemon.AddActor(&g, p.BundleSyncer.Run)
	daemon.AddActor(&g, p.reportPlatformBytes)
	daemon.AddActor(&g, p.serveOperatorAPI)
	daemon.AddActor(&g, p.runShards)
	daemon.AddActor(&g, p.drainOnSignal)
	p.logger.WithField("operator", cfg.OperatorListen).Info("started")
	if err := g.Run(); err != nil && !errors.Is(err, daemon.ErrSignal) {
		return err
	}
	p.logger.Info("stopped")
	return nil
}

// schedulerProcess holds the components of a running scheduler process.
type schedulerProcess struct {
	*process.Components
	cfg     *settings.Scheduler
	logger  log.Interface
	sched   *Scheduler
	port    *ingress.Port
	server  *http.Server
	drain   chan struct{} // closed by the first signal
	drained chan struct{} // closed when every shard is handed over
}

func newSchedulerProcess(cfg *settings.Scheduler) (*schedulerProcess, error) {
	base, err := process.New(&cfg.Common, member.Scheduler, "skylark_scheduler")
	if err != nil {
		return nil, err
	}
	client := base.Client
	platform := Platform{Tables: client.Tables(), Objects: client.Objects(), Instances: client.Instances(), Workers: client.Workers()}
	sched := New(cfg, base.Members, platform, base.BundleSyncer.Current, obs.Logger("shard"))
	lifecycle := bundle.NewLifecycle(client.Tables(), client.Objects(), base.Initial, base.BundleSyncer, sched.StrandedWork)
	api := operator.New(sched.Backend(), lifecycle)
	api.Handle(metricsPath, base.Metrics.Handler())
	port := ingress.New(ingress.Config{
		Name: "operator", Share: cfg.Machine.Size().Callers(), Limits: operatorLimits, Scope: base.Metrics.Scope(),
		FixedBuffers: true, JSONBodies: true,
	})
	p := &schedulerProcess{
		Components: base, cfg: cfg, logger: obs.Logger("scheduler"), sched: sched, port: port, server: port.Server(api),
		drain: make(chan struct{}), drained: make(chan struct{}),
	}
	if p.Keys != nil {
		p.server.TLSConfig = p.Keys.HTTPConfig()
	}
	return p, nil
}

// reportPlatformBytes reports the bytes sent and received on the connections to
// the platform and the workers as metrics.
func (p *schedulerProcess) reportPlatformBytes(ctx context.Context) error {
	p.Client.Bytes().Report(ctx.Done(), p.Metrics.Scope().SubScope("platform"))
	return nil
}

// listen serves the operator API, over TLS with mutual authentication if the
// settings name key files.
func (p *schedulerProcess) listen() error {
	l, err := net.Listen("tcp", p.cfg.OperatorListen)
	if err != nil {
		return err
	}
	if p.server.TLSConfig != nil {
		return p.server.ServeTLS(p.port.Listener(l), "", "")
	}
	return p.server.Serve(p.port.Listener(l))
}

// serveOperatorAPI serves the operator API until the drain begins, then waits up
// to the drain time for the calls in progress.
func (p *schedulerProcess) serveOperatorAPI(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- p.listen() }()
	select {
	case err := <-failed:
		return result.Wrap(result.Internal, err, "operator API")
	case <-p.drain:
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), p.cfg.DrainTimeout.D())
	defer cancel()
	if err := p.server.Shutdown(shutdownCtx); err != nil {
		p.logger.WithError(err).Warn("operator API shutdown timed out, calls in progress were aborted")
	}
	<-ctx.Done()
	return nil
}

// runShards owns shards until the drain begins, then announces to the peers that
// this process leaves and hands its shards over.
func (p *schedulerProcess) runShards(ctx context.Context) error {
	shardCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-p.drain:
			p.Members.Leave()
			stop()
		case <-shardCtx.Done():
		}
	}()
	err := p.sched.Run(shardCtx)
	close(p.drained)
	<-ctx.Done()
	return err
}

// drainOnSignal starts the drain at the first signal and returns, which ends the
// run group, when every shard is handed over or the drain time has passed.
func (p *schedulerProcess) drainOnSignal(ctx context.Context) error {
	err := daemon.WaitSignal(ctx)
	if err == nil {
		return nil
	}
	p.logger.Info("draining")
	close(p.drain)
	t := time.NewTimer(p.cfg.DrainTimeout.D())
	defer t.Stop()
	select {
	case <-p.drained:
	case <-t.C:
		p.logger.Warn("drain timed out before every shard was handed over")
	}
	return err
}
