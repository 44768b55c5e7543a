// Package link holds the connections between the system's own processes:
// jsonrpc2 over TLS 1.3 with mutual authentication, refused peers with numbered
// errors, and counts of the bytes at the sockets.
package link

import (
	"crypto/x509"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// scheme is the URI scheme of the name in a certificate.
const scheme = "skylark"

// Identity names a process or an operator. In a certificate it is the URI
// skylark://deployment/instance/program.
type Identity struct {
	Deployment string `json:"deployment"`
	Instance   string `json:"instance"`
	Program    string `json:"program"`
}

// URI returns the identity's form in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.Deployment, Path: "/" + i.Instance + "/" + i.Program}
}

// IdentityOf returns the identity that a certificate names.
func IdentityOf(cert *x509.Certificate) (Identity, bool) {
	for _, u := range cert.URIs {
		parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
		if u.Scheme == scheme && len(parts) == 2 {
			return Identity{Deployment: u.Host, Instance: parts[0], Program: parts[1]}, true
		}
	}
	return Identity{}, false
}

// verify checks a peer's chain at the time now. The errors are
// result.PeerDeployment, result.PeerExpired and result.PeerRefused.
func verify(chain []*x509.Certificate, roots *x509.CertPool, deployment string, now time.Time) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, result.Errorf(result.PeerRefused, "the peer showed no certificate")
	}
	leaf := chain[0]
	id, ok := IdentityOf(leaf)
	if !ok {
		return id, result.Errorf(result.PeerRefused, "the certificate names no deployment, instance and program")
	}
	if id.Deployment != deployment {
		return id, result.Errorf(result.PeerDeployment, "the peer belongs to %q, not to %q", id.Deployment, deployment)
	}
	return id, verifyChain(chain, roots, now)
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		leaf := chain[0]
		return result.Errorf(result.PeerExpired, "the certificate holds from %s to %s",
			leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return result.Wrap(result.PeerRefused, err, "the certificate has no known authority")
}
