package ctl

import (
	"flag"
	"net/http"
	"os"

	"skylarkport/internal/link"
	"skylarkport/internal/settings"
)

// tlsFiles names the PEM files of mutual authentication with the operator API.
type tlsFiles struct {
	settings.TLS
	deployment string
}

func (t *tlsFiles) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.CA, "ca", os.Getenv("SKYLARK_CA"), "PEM file of the authorities; default $SKYLARK_CA")
	f.StringVar(&t.Cert, "cert", os.Getenv("SKYLARK_CERT"), "PEM file of the client certificate; default $SKYLARK_CERT")
	f.StringVar(&t.Key, "key", os.Getenv("SKYLARK_KEY"), "PEM file of the client key; default $SKYLARK_KEY")
	f.StringVar(&t.deployment, "deployment", os.Getenv("SKYLARK_DEPLOYMENT"), "deployment that the servers belong to; default $SKYLARK_DEPLOYMENT")
}

// transport returns a transport for https servers; without files it speaks
// plain HTTP only.
func (t *tlsFiles) transport() (http.RoundTripper, error) {
	keys, err := link.LoadKeys(t.TLS, t.deployment)
	if err != nil || keys == nil {
		return &http.Transport{}, err
	}
	return &http.Transport{TLSClientConfig: keys.HTTPConfig()}, nil
}
