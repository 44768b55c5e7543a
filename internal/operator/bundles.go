package operator

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"skylarkport/internal/bundle"
	"skylarkport/internal/link"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// Bundles takes a configuration bundle from its proposal through review and sign-off to
// acceptance, and reads and compares accepted versions. bundle.Lifecycle implements it.
type Bundles interface {
	Propose(ctx context.Context, data []byte, by string) (bundle.Proposal, error)
	Review(ctx context.Context, hash string) (bundle.Review, error)
	Sign(ctx context.Context, sign bundle.SignOff) error
	Accept(ctx context.Context, hash string) (bundle.Head, error)
	Status(ctx context.Context) (bundle.Status, error)
	Version(ctx context.Context, version uint64) (*bundle.Bundle, error)
	Diff(ctx context.Context, from, to uint64) ([]bundle.Change, error)
}

func (s *Server) registerBundleRoutes() {
	if s.bundles == nil {
		return
	}
	s.echo.GET(api.PathBundles, s.bundleStatus)
	s.echo.GET(api.PathBundles+"/:version", s.bundleVersion)
	s.echo.GET(api.PathBundleDiff, s.bundleDiff)
	s.echo.POST(api.PathProposals, s.propose)
	s.echo.GET(api.PathProposals+"/:hash", s.review)
	s.echo.POST(api.PathProposals+"/:hash/sign-offs", s.sign)
	s.echo.POST(api.PathProposals+"/:hash/accept", s.accept)
}

func (s *Server) bundleStatus(c echo.Context) error {
	st, err := s.bundles.Status(c.Request().Context())
	return writeJSON(c, st, err)
}

func (s *Server) bundleVersion(c echo.Context) error {
	v, err := parseVersion(c.Param("version"), "version")
	if err != nil {
		return err
	}
	b, err := s.bundles.Version(c.Request().Context(), v)
	return writeJSON(c, b, err)
}

func (s *Server) bundleDiff(c echo.Context) error {
	from, err := parseVersion(c.QueryParam("from"), "from")
	if err != nil {
		return err
	}
	to, err := parseVersion(c.QueryParam("to"), "to")
	if err != nil {
		return err
	}
	changes, err := s.bundles.Diff(c.Request().Context(), from, to)
	return writeJSON(c, changes, err)
}

func parseVersion(text, field string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	return v, result.Wrap(result.RequestBad, err, field+": want a version number")
}

func (s *Server) propose(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, bundle.MaxBytes))
	if err != nil {
		return decodeError(err, result.BundleBad)
	}
	p, err := s.bundles.Propose(c.Request().Context(), body, operatorName(c.Request()))
	return writeJSON(c, p, err)
}

// operatorName returns the name in the client's certificate, or "" if the
// connection has no client certificate.
func operatorName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	id, _ := link.CertificateIdentity(r.TLS.PeerCertificates[0])
	return id.Instance
}

func (s *Server) review(c echo.Context) error {
	r, err := s.bundles.Review(c.Request().Context(), c.Param("hash"))
	return writeJSON(c, r, err)
}

func (s *Server) sign(c echo.Context) error {
	var signOff bundle.SignOff
	if err := decode(c, &signOff, result.RequestBad); err != nil {
		return err
	}
	if signOff.Hash != c.Param("hash") {
		return result.Errorf(result.RequestBad, "hash: does not match the hash in the path")
	}
	err := s.bundles.Sign(c.Request().Context(), signOff)
	return writeJSON(c, signOff, err)
}

func (s *Server) accept(c echo.Context) error {
	h, err := s.bundles.Accept(c.Request().Context(), c.Param("hash"))
	return writeJSON(c, h, err)
}
