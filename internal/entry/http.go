package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"skylarkport/internal/ingress"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

// Timeouts of the HTTP server for callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout is how long a write waits for a caller that does not read its response.
	writeTimeout = 45 * time.Second
	// leaveTimeout is the time limit of the last write to the assignment row
	// during a shutdown.
	leaveTimeout = time.Second
)

// Routes returns the HTTP handler for callers, the load balancer and monitoring.
func (e *Entry) Routes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	r.Any("/services/*", func(c echo.Context) error {
		if e.draining.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		e.handler.ServeHTTP(c.Response().Writer, c.Request())
		return nil
	})
	r.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	r.GET("/readyz", e.readyz)
	r.GET("/metrics", echo.WrapHandler(e.deps.Metrics.Handler()))
	return r
}

func (e *Entry) readyz(c echo.Context) error {
	if e.Ready() {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.String(http.StatusServiceUnavailable, "not ready\n")
}

// port returns the port for callers.
func (e *Entry) port() *ingress.Port {
	limits := ingress.Limits{
		HeaderBytes: e.cfg.MaxHeaderBytes, HeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
	}
	return ingress.New(ingress.Config{
		Name: "callers", Share: e.cfg.Machine.Size().Callers(), Limits: func() ingress.Limits { return limits },
		Scope: e.deps.Metrics.Scope(), FixedBuffers: true,
	})
}

// serve adds the HTTP server for callers to g. It stops by draining: /readyz reports
// not ready, the load balancer gets time to notice, then the requests in flight are
// finished.
func (e *Entry) serve(g *run.Group) {
	p := e.port()
	s := p.Server(e.Routes())
	drained := make(chan struct{})
	g.Add(func() error {
		l, err := e.listen()
		if err != nil {
			return result.Wrap(result.SettingsAddress, err, "listen")
		}
		logger.WithField("address", l.Addr().String()).Info("listening for callers")
		err = s.Serve(p.Listener(l))
		<-drained
		if err == http.ErrServerClosed {
			return nil
		}
		return err
	}, func(error) {
		e.drain(s)
		close(drained)
	})
}

func (e *Entry) listen() (net.Listener, error) {
	if e.deps.Listener != nil {
		return e.deps.Listener, nil
	}
	return net.Listen("tcp", e.cfg.Listen)
}

// drain stops the server within the drain time of the settings, then removes this
// entry from the assignment row.
func (e *Entry) drain(s *http.Server) {
	e.draining.Store(true)
	logger.WithField("in_flight", e.handler.InFlight()).Info("draining")
	if e.deps.OnDrain != nil {
		e.deps.OnDrain()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout.D())
	defer cancel()
	pause.For(ctx, min(loadBalancerGrace, e.cfg.DrainTimeout.D()/4))
	if err := s.Shutdown(ctx); err != nil {
		logger.WithError(err).WithField("in_flight", e.handler.InFlight()).Warn("drain time exceeded, closing requests in flight")
		_ = s.Close()
	}
	leaveCtx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	e.slotSharing.leave(leaveCtx)
}
