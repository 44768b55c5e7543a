package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"
)

// serialBits is the size of a certificate's random serial number.
const serialBits = 127

// KeyPair is a certificate and its private key in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// GenerateCA returns a self-signed certificate authority that is valid from now for
// the duration validity.
func GenerateCA(name string, validity time.Duration) (KeyPair, error) {
	now := time.Now()
	template, err := newTemplate(name, now, now.Add(validity))
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	return sign(template, template, key, key)
}

// GenerateCert returns a certificate for id, signed by ca and valid from
// notBefore to notAfter.
func GenerateCert(ca KeyPair, id Identity, notBefore, notAfter time.Time) (KeyPair, error) {
	authority, err := tls.X509KeyPair(ca.Cert, ca.Key)
	if err != nil {
		return KeyPair{}, err
	}
	template, err := newTemplate(id.Instance+"/"+id.Program, notBefore, notAfter)
	if err != nil {
		return KeyPair{}, err
	}
	template.URIs = []*url.URL{id.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	return sign(template, authority.Leaf, key, authority.PrivateKey)
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(name string, notBefore, notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
	}, nil
}

// sign returns the certificate of key, signed by the parent with signer, and the key.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
