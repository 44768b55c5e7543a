package ctl

import (
	"flag"
	"net/http"
	"os"

	"skylarkport/internal/link"
	"skylarkport/internal/settings"
)

// tlsFiles holds the paths of the PEM files for mutual TLS with the operator API
// and the deployment that the servers must belong to.
type tlsFiles struct {
	settings.TLS
	deployment string
}

func (t *tlsFiles) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.CA, "ca", os.Getenv("SKYLARK_CA"), "PEM file of the trusted certificate authorities; default $SKYLARK_CA")
	f.StringVar(&t.Cert, "cert", os.Getenv("SKYLARK_CERT"), "PEM file of the client certificate; default $SKYLARK_CERT")
	f.StringVar(&t.Key, "key", os.Getenv("SKYLARK_KEY"), "PEM file of the client key; default $SKYLARK_KEY")
	f.StringVar(&t.deployment, "deployment", os.Getenv("SKYLARK_DEPLOYMENT"), "deployment that the servers belong to; default $SKYLARK_DEPLOYMENT")
}

// transport returns a transport for servers with mutual TLS. Without files it
// presents no client certificate, which only servers without TLS accept.
func (t *tlsFiles) transport() (http.RoundTripper, error) {
	keys, err := link.LoadKeys(t.TLS, t.deployment)
	if err != nil || keys == nil {
		return &http.Transport{}, err
	}
	return &http.Transport{TLSClientConfig: keys.HTTPConfig()}, nil
}
