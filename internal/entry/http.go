package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

// Bounds of the callers' server.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout is above the longest request, so that only a caller that
	// does not read its answer meets it.
	writeTimeout = 45 * time.Second
	// leaveTimeout bounds the last write of a shutdown.
	leaveTimeout = time.Second
)

// Routes returns the callers' routes.
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

// server returns the callers' server.
func (e *Entry) server() *http.Server {
	return &http.Server{
		Handler:           e.Routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    e.cfg.MaxHeaderBytes,
	}
}

// serve adds the callers' server to g. Its end is a drain: readyz goes false,
// the balancer gets time to see it, then every request in flight is finished.
func (e *Entry) serve(g *run.Group) {
	s := e.server()
	drained := make(chan struct{})
	g.Add(func() error {
		l, err := e.listen()
		if err != nil {
			return result.Wrap(result.SettingsAddress, err, "listen")
		}
		logger.WithField("address", l.Addr().String()).Info("listening for callers")
		err = s.Serve(l)
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

// drain ends the server within the time that the settings give.
func (e *Entry) drain(s *http.Server) {
	e.draining.Store(true)
	logger.WithField("in_flight", e.handler.InFlight()).Info("draining")
	if e.deps.Leaving != nil {
		e.deps.Leaving()
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Drain.D())
	defer cancel()
	pause.For(ctx, min(balancerGrace, e.cfg.Drain.D()/4))
	if err := s.Shutdown(ctx); err != nil {
		logger.WithError(err).WithField("in_flight", e.handler.InFlight()).Warn("requests cut off by the drain limit")
		_ = s.Close()
	}
	last, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	e.shares.leave(last)
}
