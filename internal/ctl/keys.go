package ctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"skylarkport/internal/link"
	"skylarkport/internal/result"
)

const (
	keyPerm      = 0o600
	certPerm     = 0o644
	pemKeyType   = "PRIVATE KEY"
	caValidity   = 5 * 365 * 24 * time.Hour
	certValidity = 90 * 24 * time.Hour
	// clockSkew is subtracted from the start of a new certificate's validity, so
	// that processes whose clocks are behind accept it.
	clockSkew = 5 * time.Minute
)

// keysCommand returns the command that generates certificates and keys.
func keysCommand(e *Env) *commandGroup {
	k := &keyCommands{env: e}
	return &commandGroup{env: e, name: "keys", synopsis: "generate certificate authorities, certificates and reviewers' keys", verbs: []verb{
		{name: "ca", args: "-out PREFIX", synopsis: "generate a certificate authority: PREFIX.crt and PREFIX.key", flags: k.flags, run: k.generateCA},
		{name: "cert", args: "-authority PREFIX -for DEPLOYMENT -instance ID -program NAME -out PREFIX", synopsis: "generate a certificate for an entry, a scheduler or an operator", flags: k.flags, run: k.generateCert},
		{name: "reviewer", args: "-out PREFIX", synopsis: "generate a reviewer's private key, PREFIX.key, and print the public key for the bundle", flags: k.flags, run: k.generateReviewerKey},
	}}
}

type keyCommands struct {
	env       *Env
	authority string
	identity  link.Identity
	out       string
	validity  time.Duration
}

func (k *keyCommands) flags(f *flag.FlagSet) {
	f.StringVar(&k.authority, "authority", "", "path prefix of the certificate authority's files")
	f.StringVar(&k.identity.Deployment, "for", "", "name of the deployment")
	f.StringVar(&k.identity.Instance, "instance", "", "instance id, or the operator's name")
	f.StringVar(&k.identity.Program, "program", "", "program: entry, scheduler or operator")
	f.StringVar(&k.out, "out", "", "path prefix of the files to write")
	f.DurationVar(&k.validity, "valid", 0, "validity; 0 means 5 years for an authority and 90 days for a certificate")
}

func (k *keyCommands) validityOr(defaultValidity time.Duration) time.Duration {
	if k.validity > 0 {
		return k.validity
	}
	return defaultValidity
}

func (k *keyCommands) generateCA(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" {
		return k.env.usageError("ca: -out is required")
	}
	pair, err := link.GenerateCA(k.out, k.validityOr(caValidity))
	if err != nil {
		return k.env.fail(err)
	}
	return k.writePair(pair)
}

func (k *keyCommands) generateCert(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" || k.authority == "" || k.identity.Deployment == "" || k.identity.Instance == "" || k.identity.Program == "" {
		return k.env.usageError("cert: -authority, -for, -instance, -program and -out are required")
	}
	ca, err := readPair(k.authority)
	if err != nil {
		return k.env.fail(err)
	}
	now := time.Now()
	pair, err := link.GenerateCert(ca, k.identity, now.Add(-clockSkew), now.Add(k.validityOr(certValidity)))
	if err != nil {
		return k.env.fail(err)
	}
	return k.writePair(pair)
}

func readPair(prefix string) (link.KeyPair, error) {
	cert, err := os.ReadFile(prefix + ".crt")
	if err != nil {
		return link.KeyPair{}, result.Wrap(result.SettingsKeyFile, err, "certificate")
	}
	key, err := os.ReadFile(prefix + ".key")
	return link.KeyPair{Cert: cert, Key: key}, result.Wrap(result.SettingsKeyFile, err, "key")
}

func (k *keyCommands) writePair(p link.KeyPair) subcommands.ExitStatus {
	if err := os.WriteFile(k.out+".crt", p.Cert, certPerm); err != nil {
		return k.env.fail(err)
	}
	if err := os.WriteFile(k.out+".key", p.Key, keyPerm); err != nil {
		return k.env.fail(err)
	}
	fmt.Fprintf(k.env.Out, "wrote %s.crt and %s.key\n", k.out, k.out)
	return subcommands.ExitSuccess
}

// generateReviewerKey writes a new private key for a bundle reviewer and prints the public key.
func (k *keyCommands) generateReviewerKey(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" {
		return k.env.usageError("reviewer: -out is required")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return k.env.fail(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return k.env.fail(err)
	}
	body := pem.EncodeToMemory(&pem.Block{Type: pemKeyType, Bytes: der})
	if err := os.WriteFile(k.out+".key", body, keyPerm); err != nil {
		return k.env.fail(err)
	}
	return k.env.print(struct {
		Public []byte `json:"public"`
	}{public}, "PUBLIC", func(w io.Writer) { fmt.Fprintln(w, base64.StdEncoding.EncodeToString(public)) })
}

// readSigningKey reads an ed25519 private key that "keys reviewer" wrote.
func readSigningKey(file string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, "sign-key")
	}
	block, _ := pem.Decode(body)
	if block == nil {
		return nil, result.Errorf(result.SettingsKeyFile, "%s: no PEM block found", file)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, file)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, result.Errorf(result.SettingsKeyFile, "%s: not an ed25519 private key", file)
	}
	return private, nil
}
