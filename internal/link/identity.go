// Package link implements the connections between the processes of a deployment:
// JSON-RPC 2.0 over TLS 1.3 with mutual authentication. A peer that is refused gets
// a result code as the reason. The bytes at the sockets are counted.
package link

import (
	"crypto/x509"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
)

// identityScheme is the URI scheme of an Identity in a certificate.
const identityScheme = "skylark"

// Identity identifies a process or an operator. A certificate contains it as the URI
// skylark://deployment/instance/program, in the subject alternative names.
type Identity struct {
	Deployment string `json:"deployment"`
	Instance   string `json:"instance"`
	Program    string `json:"program"`
}

// URI returns the URI by which a certificate names the identity.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: i.Deployment, Path: "/" + i.Instance + "/" + i.Program}
}

// CertificateIdentity returns the identity that a certificate names, and false if it names
// none.
func CertificateIdentity(cert *x509.Certificate) (Identity, bool) {
	for _, u := range cert.URIs {
		parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
		if u.Scheme == identityScheme && len(parts) == 2 {
			return Identity{Deployment: u.Host, Instance: parts[0], Program: parts[1]}, true
		}
	}
	return Identity{}, false
}

// verify checks a peer's certificate chain at the time now and returns the peer's
// identity. Its errors are:
//   - result.PeerDeployment: the certificate is of another deployment;
//   - result.PeerExpired: it is expired or not yet valid;
//   - result.PeerRefused: it is missing, names no identity or has no known
//     authority.
func verify(chain []*x509.Certificate, roots *x509.CertPool, deployment string, now time.Time) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, result.Errorf(result.PeerRefused, "the peer sent no certificate")
	}
	leaf := chain[0]
	id, ok := CertificateIdentity(leaf)
	if !ok {
		return id, result.Errorf(result.PeerRefused, "the certificate names no deployment, instance and program")
	}
	if id.Deployment != deployment {
		return id, result.Errorf(result.PeerDeployment, "the peer belongs to deployment %q, not to %q", id.Deployment, deployment)
	}
	return id, verifyChain(chain, roots, now)
}

// verifyChain checks that the first certificate is signed by one of roots, through
// the others as intermediates, and valid at the time now.
func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		leaf := chain[0]
		return result.Errorf(result.PeerExpired, "the certificate is valid from %s to %s",
			leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return result.Wrap(result.PeerRefused, err, "the certificate is not signed by a known authority")
}
