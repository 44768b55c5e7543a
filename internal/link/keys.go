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

// reloadInterval is the interval at which the key files are read.
const reloadInterval = 5 * time.Second

// Keys holds a process's certificate, private key and certificate authorities, and
// reloads them when their files change.
type Keys struct {
	files      settings.TLS
	deployment string
	current    atomic.Pointer[keySet]
}

// keySet is the immutable content of the files as read at one time.
type keySet struct {
	ca, cert, key []byte
	roots         *x509.CertPool
	pair          tls.Certificate
}

// LoadKeys reads the key files of a process of deployment. Where the settings name no
// files it returns nil: the connections then have no TLS.
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

// Reload reads the files and reports whether their content changed. On an error the
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
		return result.Errorf(result.SettingsKeyFile, "the CA file contains no certificate")
	}
	return nil
}

// Watch reloads the files every reloadInterval until ctx ends. It calls onCheck after
// every attempt, with whether the keys changed.
func (k *Keys) Watch(ctx context.Context, onCheck func(changed bool)) {
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
			logger.WithError(err).Error("cannot load the changed key files; the earlier keys stay in use")
		}
		if changed {
			logger.Info("key files reloaded")
		}
		onCheck(changed)
	}
}

// verify checks a peer's certificate chain against the current authorities.
func (k *Keys) verify(chain []*x509.Certificate) (Identity, error) {
	return verify(chain, k.current.Load().roots, k.deployment, time.Now())
}

// peerConfig returns the TLS configuration of the connections between peers. The
// handshake proves only that the peer has the key of its certificate. Keys.verify
// checks the certificate after it, so that a refused peer can be sent a result code
// as the reason; TLS alone would only report a bad certificate.
func (k *Keys) peerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		InsecureSkipVerify:     true, // Keys.verify runs before any other message is handled
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.pair(), nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.pair(), nil },
	}
}

// pair returns the current certificate and key.
func (k *Keys) pair() *tls.Certificate { return &k.current.Load().pair }

// HTTPConfig returns the TLS configuration of an HTTP server or client of the
// deployment, such as the operator API. Both sides must have a certificate of the
// deployment; otherwise the handshake fails.
func (k *Keys) HTTPConfig() *tls.Config {
	c := k.peerConfig()
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, err := k.verify(s.PeerCertificates)
		return err
	}
	return c
}
