package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"skylarkport/internal/obs"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// reloadInterval is how often the key files are looked at.
const reloadInterval = 5 * time.Second

// Keys is a process's certificate, key and authorities, read again when their
// files change.
type Keys struct {
	files      settings.TLS
	deployment string
	current    atomic.Pointer[keySet]
}

// keySet is one immutable reading of the files.
type keySet struct {
	ca, cert, key []byte
	roots         *x509.CertPool
	pair          tls.Certificate
}

// LoadKeys reads the key files of a process of deployment. Without files it
// returns nil: the links are then in clear.
func LoadKeys(files settings.TLS, deployment string) (*Keys, error) {
	if !files.Enabled() {
		return nil, nil
	}
	k := &Keys{files: files, deployment: deployment}
	_, err := k.Reload()
	if err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files and reports whether they changed. On an error the
// earlier keys stay in use.
func (k *Keys) Reload() (bool, error) {
	var next keySet
	for _, f := range []struct {
		name string
		data *[]byte
	}{{k.files.CA, &next.ca}, {k.files.Cert, &next.cert}, {k.files.Key, &next.key}} {
		data, err := os.ReadFile(f.name)
		if err != nil {
			return false, result.Wrap(result.SettingsKeyFile, err, f.name)
		}
		*f.data = data
	}
	if old := k.current.Load(); old != nil && old.equal(&next) {
		return false, nil
	}
	if err := next.parse(); err != nil {
		return false, result.Wrap(result.SettingsKeyFile, err, k.files.Cert)
	}
	k.current.Store(&next)
	return true, nil
}

func (s *keySet) equal(o *keySet) bool {
	return bytes.Equal(s.ca, o.ca) && bytes.Equal(s.cert, o.cert) && bytes.Equal(s.key, o.key)
}

func (s *keySet) parse() error {
	pair, err := tls.X509KeyPair(s.cert, s.key)
	if err != nil {
		return err
	}
	s.pair = pair
	s.roots = x509.NewCertPool()
	if !s.roots.AppendCertsFromPEM(s.ca) {
		return result.Errorf(result.SettingsKeyFile, "no certificate of an authority")
	}
	return nil
}

// Watch reloads the files until ctx ends and calls checked after every look, with
// whether they changed.
func (k *Keys) Watch(ctx context.Context, checked func(changed bool)) {
	logger := obs.Logger("keys")
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := k.Reload()
		if err != nil {
			logger.WithError(err).Error("the changed keys are not usable; the earlier ones stay")
		}
		if changed {
			logger.Info("the keys were read again")
		}
		checked(changed)
	}
}

// verify checks a peer's chain against the present authorities.
func (k *Keys) verify(chain []*x509.Certificate) (Identity, error) {
	return verify(chain, k.current.Load().roots, k.deployment, time.Now())
}

// peerConfig is the TLS configuration between peers. The handshake proves that
// the peer holds the key of its certificate; the certificate is verified right
// after it, so that a refused peer can be told the numbered reason.
func (k *Keys) peerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		InsecureSkipVerify:     true, // verified by Keys.verify before any message is taken
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.pair(), nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.pair(), nil },
	}
}

func (k *Keys) pair() *tls.Certificate { return &k.current.Load().pair }

// HTTPConfig is the TLS configuration of an HTTP server or client of the
// deployment, such as the operator API: both sides show a certificate of the
// deployment. A peer that is refused ends the handshake.
func (k *Keys) HTTPConfig() *tls.Config {
	c := k.peerConfig()
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, err := k.verify(s.PeerCertificates)
		return err
	}
	return c
}
