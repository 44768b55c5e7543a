package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"

	"skylarkport/internal/result"
)

// tlsFiles names the PEM files of mutual authentication with the operator API.
type tlsFiles struct {
	ca, cert, key string
}

func (t *tlsFiles) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.ca, "ca", os.Getenv("SKYLARK_CA"), "PEM file of the authorities; default $SKYLARK_CA")
	f.StringVar(&t.cert, "cert", os.Getenv("SKYLARK_CERT"), "PEM file of the client certificate; default $SKYLARK_CERT")
	f.StringVar(&t.key, "key", os.Getenv("SKYLARK_KEY"), "PEM file of the client key; default $SKYLARK_KEY")
}

// transport returns a transport for https servers; without files it speaks
// plain HTTP only.
func (t *tlsFiles) transport() (http.RoundTripper, error) {
	if t.ca == "" {
		return &http.Transport{}, nil
	}
	pem, err := os.ReadFile(t.ca)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, "ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, result.Errorf(result.SettingsKeyFile, "%s: no certificate", t.ca)
	}
	cert, err := tls.LoadX509KeyPair(t.cert, t.key)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, "cert and key")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{cert}}
	return &http.Transport{TLSClientConfig: cfg}, nil
}
