package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// maxBodyBytes bounds the JSON body of a call. A proposed bundle has its own
// limit, bundle.MaxBytes.
const maxBodyBytes = 1 << 20

// Server serves the operator API.
type Server struct {
	backend Backend
	bundles Bundles
	echo    *echo.Echo
}

// New returns a server of the operator API that is backed by b. If bundles is
// nil, the paths for bundles are not served.
func New(b Backend, bundles Bundles) *Server {
	s := &Server{backend: b, bundles: bundles, echo: echo.New()}
	s.echo.HTTPErrorHandler = writeError
	s.echo.POST(api.PathJobs, s.submit)
	s.echo.GET(api.PathJobs, s.list)
	s.echo.GET(api.PathJobs+"/:id", s.show)
	s.echo.POST(api.PathCancel, s.cancel)
	s.echo.GET(api.PathWorkers, s.workers)
	s.echo.GET(api.PathStatus, s.status)
	s.echo.GET(api.PathExplain, s.explain)
	s.registerBundleRoutes()
	return s
}

// Handle registers a handler for GET requests to a path outside the API, such as
// the metrics.
func (s *Server) Handle(path string, h http.Handler) { s.echo.GET(path, echo.WrapHandler(h)) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) submit(c echo.Context) error {
	var spec job.Spec
	if err := decode(c, &spec, result.JobBad); err != nil {
		return err
	}
	if err := spec.Validate(); err != nil {
		return err
	}
	created, err := s.backend.Submit(c.Request().Context(), spec)
	if err != nil {
		return err
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	return c.JSON(status, spec)
}

func (s *Server) list(c echo.Context) error {
	kind := job.Kind(c.QueryParam("kind"))
	if kind != "" && !kind.Valid() {
		return result.Errorf(result.RequestBad, "kind %q: want service, batch or watch", kind)
	}
	l, err := s.backend.List(c.Request().Context(), kind)
	return writeJSON(c, l, err)
}

func (s *Server) show(c echo.Context) error {
	j, err := s.backend.Show(c.Request().Context(), c.Param("id"))
	return writeJSON(c, j, err)
}

func (s *Server) cancel(c echo.Context) error {
	var req api.CancelRequest
	if err := decode(c, &req, result.RequestBad); err != nil {
		return err
	}
	if len(req.IDs) == 0 {
		return result.Errorf(result.RequestBad, "ids: want at least one job id")
	}
	reply, err := s.backend.Cancel(c.Request().Context(), req.IDs)
	return writeJSON(c, reply, err)
}

func (s *Server) workers(c echo.Context) error {
	l, err := s.backend.Workers(c.Request().Context())
	return writeJSON(c, l, err)
}

func (s *Server) status(c echo.Context) error {
	st, err := s.backend.Status(c.Request().Context())
	return writeJSON(c, st, err)
}

func (s *Server) explain(c echo.Context) error {
	subject := c.QueryParam("subject")
	if subject == "" {
		return result.Errorf(result.RequestBad, "subject: want a task, job or request id")
	}
	e, err := s.backend.Explain(c.Request().Context(), subject)
	return writeJSON(c, e, err)
}
