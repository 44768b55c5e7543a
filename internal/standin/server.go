package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// Paths of the admin endpoint.
const (
	PathHistory       = "/admin/history"
	PathTotals        = "/admin/totals"
	PathFaults        = "/admin/faults"
	PathInstanceState = "/admin/instances"
)

// InstanceStateRequest is the body of a request to set the state of an instance in the
// platform's list.
type InstanceStateRequest struct {
	ID    string         `json:"id"`
	State contract.State `json:"state"`
}

// minCompressedBytes is the smallest size in bytes of a response that is compressed.
const minCompressedBytes = 512

// gzipMiddleware returns middleware that compresses responses for clients that accept it.
func gzipMiddleware() echo.MiddlewareFunc {
	return middleware.GzipWithConfig(middleware.GzipConfig{MinLength: minCompressedBytes})
}

// Handler returns the HTTP handler of the platform's services and the admin endpoint.
func (s *System) Handler() http.Handler {
	e := echo.New()
	e.Use(gzipMiddleware())
	e.POST(platform.PathRead, s.read)
	e.POST(platform.PathScan, s.scan)
	e.POST(platform.PathCommit, s.commit)
	e.PUT(platform.PathObjects+"/:name", s.putObject)
	e.GET(platform.PathObjects+"/:name", s.getObject)
	e.DELETE(platform.PathObjects+"/:name", s.deleteObject)
	e.GET(platform.PathInstances, s.list)
	e.GET(PathHistory, func(c echo.Context) error { return c.JSON(http.StatusOK, s.History()) })
	e.GET(PathTotals, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Totals()) })
	e.POST(PathFaults, s.postFault)
	e.DELETE(PathFaults, func(c echo.Context) error {
		s.Clear()
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(PathInstanceState, s.postInstanceState)
	return e
}

func (s *System) read(c echo.Context) error {
	var req platform.ReadRequest
	if err := decode(c.Request(), &req); err != nil {
		return respondError(c, err)
	}
	row, err := s.Tables(caller(c.Request())).Read(c.Request().Context(), req.Key)
	return respond(c, row, err)
}

func (s *System) scan(c echo.Context) error {
	var req platform.ScanRequest
	if err := decode(c.Request(), &req); err != nil {
		return respondError(c, err)
	}
	rows, err := s.Tables(caller(c.Request())).Scan(c.Request().Context(), req.Table, req.From, req.To, req.Limit)
	return respond(c, platform.ScanReply{Rows: rows}, err)
}

func (s *System) commit(c echo.Context) error {
	var req platform.CommitRequest
	if err := decode(c.Request(), &req); err != nil {
		return respondError(c, err)
	}
	versions, err := s.Tables(caller(c.Request())).Commit(c.Request().Context(), req.Writes)
	return respond(c, platform.CommitReply{Versions: versions}, err)
}

func (s *System) putObject(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, platform.MaxBodyBytes))
	if err != nil {
		return respondError(c, refused(result.PlatformBadCall, err.Error()))
	}
	err = s.Objects(caller(c.Request())).Put(c.Request().Context(), objectName(c), body)
	return respondEmpty(c, err)
}

func (s *System) getObject(c echo.Context) error {
	body, err := s.Objects(caller(c.Request())).Get(c.Request().Context(), objectName(c))
	if err != nil {
		return respondError(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (s *System) deleteObject(c echo.Context) error {
	return respondEmpty(c, s.Objects(caller(c.Request())).Delete(c.Request().Context(), objectName(c)))
}

func (s *System) list(c echo.Context) error {
	list, err := s.Instances(caller(c.Request())).List(c.Request().Context())
	if err != nil {
		return respondError(c, err)
	}
	body, err := json.Marshal(platform.ListReply{Instances: list})
	if err != nil {
		return err
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}

func (s *System) postFault(c echo.Context) error {
	var f Fault
	if err := decode(c.Request(), &f); err != nil {
		return respondError(c, err)
	}
	return respondEmpty(c, s.Inject(f))
}

func (s *System) postInstanceState(c echo.Context) error {
	var m InstanceStateRequest
	if err := decode(c.Request(), &m); err != nil {
		return respondError(c, err)
	}
	return respondEmpty(c, s.SetInstanceState(m.ID, m.State))
}

// controlHandler returns the handler of the worker's control interface.
func (w *worker) controlHandler() http.Handler {
	e := echo.New()
	e.Use(gzipMiddleware())
	e.POST(platform.PathExchange, func(c echo.Context) error {
		var req contract.ExchangeRequest
		if err := decode(c.Request(), &req); err != nil {
			return respondError(c, err)
		}
		reply, err := w.sendExchange(c.Request().Context(), caller(c.Request()), req)
		return respond(c, reply, err)
	})
	return e
}

// caller returns the calling instance that the headers of r name.
func caller(r *http.Request) platform.Caller {
	return platform.Caller{
		Zone:     r.Header.Get(platform.HeaderCallerZone),
		Instance: r.Header.Get(platform.HeaderCallerInstance),
	}
}

// objectName returns the object name in the path, which clients escape as one segment.
func objectName(c echo.Context) string {
	name, err := url.PathUnescape(c.Param("name"))
	if err != nil {
		return c.Param("name")
	}
	return name
}

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, platform.MaxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return refused(result.PlatformBadCall, err.Error())
	}
	return nil
}

// respond responds with v, or with err if it is not nil.
func respond(c echo.Context, v any, err error) error {
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

// respondEmpty responds with status 204, or with err if it is not nil.
func respondEmpty(c echo.Context, err error) error {
	if err != nil {
		return respondError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// respondError responds with err. If the effect of the call is unknown, it closes the
// connection without a response.
func respondError(c echo.Context, err error) error {
	var e *contract.CallError
	if !errors.As(err, &e) {
		return err
	}
	if e.Outcome == contract.Unknown {
		panic(http.ErrAbortHandler)
	}
	status := e.Code.Info().Status
	if e.Code == result.PlatformLimited {
		status = http.StatusTooManyRequests
	}
	return c.JSON(status, platform.ErrorResponse{Code: e.Code, Name: e.Code.String(), Detail: e.Detail, Row: e.Row})
}

// Serve serves the platform and all workers until ctx ends.
func (s *System) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "listen")
	}
	for _, w := range s.workers {
		if err := w.startListening(); err != nil {
			_ = l.Close()
			s.stopListening()
			return err
		}
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: s.cfg.CallTimeout.D(), Protocols: bothProtocols()}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	defer s.stopListening()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stopListening closes the listeners of all workers.
func (s *System) stopListening() {
	for _, w := range s.workers {
		w.mu.Lock()
		set := w.setListening
		w.mu.Unlock()
		if set != nil {
			set(false)
		}
	}
}

// startListening opens the listeners of the worker, and registers a function that closes
// them when the worker dies and opens them again when it restarts.
func (w *worker) startListening() error {
	var mu sync.Mutex
	var servers []*http.Server
	openListeners := func() error {
		control, err := listen(w.inst.Address, w.controlHandler(), nil)
		if err != nil {
			return err
		}
		data, err := listen(w.dataAddr, w.upstreamHandler(), w.limitConns)
		if err != nil {
			_ = control.Close()
			return err
		}
		servers = []*http.Server{control, data}
		return nil
	}
	w.mu.Lock()
	w.setListening = func(up bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range servers {
			_ = s.Close()
		}
		servers = nil
		if up {
			_ = openListeners()
		}
	}
	w.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	return openListeners()
}

// bothProtocols accepts HTTP/1.1 and unencrypted HTTP/2.
func bothProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// listen serves h at addr. If state is set, it is called for every change of a connection,
// and only HTTP/1.1 is accepted, so that a connection carries one request at a time.
func listen(addr string, h http.Handler, state func(net.Conn, http.ConnState)) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, result.Wrap(result.SettingsAddress, err, "listen")
	}
	srv := &http.Server{Handler: h, ConnState: state}
	if state == nil {
		srv.Protocols = bothProtocols()
	}
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

// limitConns enforces the worker's limit of connections: it closes every connection beyond
// it.
func (w *worker) limitConns(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		over := w.conns > w.inst.Conns
		n := min(w.conns, w.inst.Conns)
		w.sys.events.updatePeaks(w.inst.ID, func(p *history.WorkerPeaks) {
			p.Conns = max(p.Conns, n)
			if over {
				p.ConnsRefused++
			}
		})
		if over {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		w.conns--
	}
}
