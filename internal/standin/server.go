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
	PathHistory = "/admin/history"
	PathTotals  = "/admin/totals"
	PathFaults  = "/admin/faults"
	PathMark    = "/admin/instances"
)

// MarkRequest is the body of a change to the platform's list.
type MarkRequest struct {
	ID    string         `json:"id"`
	State contract.State `json:"state"`
}

// compressMin is the least size of an answer that is sent compressed, in bytes.
const compressMin = 512

// compressed compresses answers for clients that accept it.
func compressed() echo.MiddlewareFunc {
	return middleware.GzipWithConfig(middleware.GzipConfig{MinLength: compressMin})
}

// Handler returns the platform's services and the admin endpoint.
func (s *System) Handler() http.Handler {
	e := echo.New()
	e.Use(compressed())
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
	e.POST(PathMark, s.postMark)
	return e
}

func (s *System) read(c echo.Context) error {
	var req platform.ReadRequest
	if err := decode(c.Request(), &req); err != nil {
		return fail(c, err)
	}
	row, err := s.Tables(caller(c.Request())).Read(c.Request().Context(), req.Key)
	return answer(c, row, err)
}

func (s *System) scan(c echo.Context) error {
	var req platform.ScanRequest
	if err := decode(c.Request(), &req); err != nil {
		return fail(c, err)
	}
	rows, err := s.Tables(caller(c.Request())).Scan(c.Request().Context(), req.Table, req.From, req.To, req.Limit)
	return answer(c, platform.ScanReply{Rows: rows}, err)
}

func (s *System) commit(c echo.Context) error {
	var req platform.CommitRequest
	if err := decode(c.Request(), &req); err != nil {
		return fail(c, err)
	}
	versions, err := s.Tables(caller(c.Request())).Commit(c.Request().Context(), req.Writes)
	return answer(c, platform.CommitReply{Versions: versions}, err)
}

func (s *System) putObject(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, platform.MaxBodyBytes))
	if err != nil {
		return fail(c, refused(result.PlatformBad, err.Error()))
	}
	err = s.Objects(caller(c.Request())).Put(c.Request().Context(), objectName(c), body)
	return empty(c, err)
}

func (s *System) getObject(c echo.Context) error {
	body, err := s.Objects(caller(c.Request())).Get(c.Request().Context(), objectName(c))
	if err != nil {
		return fail(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (s *System) deleteObject(c echo.Context) error {
	return empty(c, s.Objects(caller(c.Request())).Delete(c.Request().Context(), objectName(c)))
}

func (s *System) list(c echo.Context) error {
	list, err := s.Instances(caller(c.Request())).List(c.Request().Context())
	if err != nil {
		return fail(c, err)
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
		return fail(c, err)
	}
	return empty(c, s.Inject(f))
}

func (s *System) postMark(c echo.Context) error {
	var m MarkRequest
	if err := decode(c.Request(), &m); err != nil {
		return fail(c, err)
	}
	return empty(c, s.Mark(m.ID, m.State))
}

// control returns the handler of the worker's control interface.
func (w *worker) control() http.Handler {
	e := echo.New()
	e.Use(compressed())
	e.POST(platform.PathExchange, func(c echo.Context) error {
		var req contract.ExchangeRequest
		if err := decode(c.Request(), &req); err != nil {
			return fail(c, err)
		}
		reply, err := w.call(c.Request().Context(), caller(c.Request()), req)
		return answer(c, reply, err)
	})
	return e
}

func caller(r *http.Request) platform.From {
	return platform.From{
		Zone:     r.Header.Get(platform.HeaderFromZone),
		Instance: r.Header.Get(platform.HeaderFromInstance),
	}
}

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
		return refused(result.PlatformBad, err.Error())
	}
	return nil
}

func answer(c echo.Context, v any, err error) error {
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, v)
}

func empty(c echo.Context, err error) error {
	if err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// fail answers with a refusal. A call whose effect is unknown gets no answer.
func fail(c echo.Context, err error) error {
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
	return c.JSON(status, platform.Failure{Code: e.Code, Name: e.Code.String(), Detail: e.Detail, Row: e.Row})
}

// Serve runs the listeners until ctx ends.
func (s *System) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return result.Wrap(result.SettingsAddress, err, "listen")
	}
	for _, w := range s.workers {
		if err := w.powerOn(); err != nil {
			_ = l.Close()
			s.powerOff()
			return err
		}
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: s.cfg.CallTimeout.D(), Protocols: bothProtocols()}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	defer s.powerOff()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *System) powerOff() {
	for _, w := range s.workers {
		w.mu.Lock()
		power := w.onPower
		w.mu.Unlock()
		if power != nil {
			power(false)
		}
	}
}

// powerOn opens the listeners of the worker. They close when the worker dies
// and open again when it restarts.
func (w *worker) powerOn() error {
	var mu sync.Mutex
	var open []*http.Server
	on := func() error {
		control, err := listen(w.inst.Address, w.control(), nil)
		if err != nil {
			return err
		}
		data, err := listen(w.dataAddr, w.data(), w.countConn)
		if err != nil {
			_ = control.Close()
			return err
		}
		open = []*http.Server{control, data}
		return nil
	}
	w.mu.Lock()
	w.onPower = func(up bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range open {
			_ = s.Close()
		}
		open = nil
		if up {
			_ = on()
		}
	}
	w.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	return on()
}

// bothProtocols lets a client choose HTTP/1.1 or HTTP/2 in clear.
func bothProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// listen serves h. Connections that are counted carry one request at a time.
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

// countConn holds the worker to its connections: one too many is closed.
func (w *worker) countConn(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		over := w.conns > w.inst.Conns
		n := min(w.conns, w.inst.Conns)
		w.sys.hist.mark(w.inst.ID, func(m *history.WorkerMarks) {
			m.Conns = max(m.Conns, n)
			if over {
				m.ConnsRefused++
			}
		})
		if over {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		w.conns--
	}
}
