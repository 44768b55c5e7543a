package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"skylarkport/internal/result"
)

// Enabled reports whether TLS is configured. Without it the programs communicate in
// clear text, which is allowed only if every address is loopback.
func (t TLS) Enabled() bool { return t != TLS{} }

func checkTLS(t TLS, c *checker, addresses []string) {
	if !t.Enabled() {
		if !allLoopback(addresses) {
			c.add(result.SettingsMissing, "tls", "keys and certificates, because not every address is loopback")
		}
		return
	}
	c.caFile("tls.ca", t.CA)
	c.keyPair(t)
}

func (c *checker) caFile(path, file string) {
	if file == "" {
		c.add(result.SettingsMissing, path, "the name of a PEM file")
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		c.add(result.SettingsKeyFile, path, "a readable PEM file: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(data) {
		c.add(result.SettingsKeyFile, path, "PEM certificates of authorities in %s", file)
	}
}

func (c *checker) keyPair(t TLS) {
	if t.Cert == "" {
		c.add(result.SettingsMissing, "tls.cert", "the name of a PEM file")
	}
	if t.Key == "" {
		c.add(result.SettingsMissing, "tls.key", "the name of a PEM file")
	}
	if t.Cert == "" || t.Key == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(t.Cert, t.Key); err != nil {
		c.add(result.SettingsKeyFile, "tls.key", "a private key that matches the certificate in %s: %v", t.Cert, err)
	}
}

// allLoopback reports whether every valid address or URL is loopback. Invalid ones
// are reported elsewhere.
func allLoopback(addresses []string) bool {
	for _, a := range addresses {
		p, err := parseAddress(a)
		if err != nil {
			p, err = parseURL(a)
		}
		if err == nil && !p.Addr().IsLoopback() {
			return false
		}
	}
	return true
}
