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
	// clockSkew is how far back a new certificate is valid, for processes
	// whose clocks are behind.
	clockSkew = 5 * time.Minute
)

// keysCommand returns the commands that make keys.
func keysCommand(e *Env) *noun {
	k := &keys{env: e}
	return &noun{env: e, name: "keys", synopsis: "make authorities, certificates and reviewers' keys", verbs: []verb{
		{name: "ca", args: "-out PREFIX", synopsis: "make an authority: PREFIX.crt and PREFIX.key", flags: k.flags, run: k.ca},
		{name: "cert", args: "-authority PREFIX -for DEPLOYMENT -instance ID -program NAME -out PREFIX", synopsis: "make a certificate for entry, scheduler or operator", flags: k.flags, run: k.cert},
		{name: "reviewer", args: "-out PREFIX", synopsis: "make a reviewer's key: PREFIX.key; prints the public key for the bundle", flags: k.flags, run: k.reviewer},
	}}
}

type keys struct {
	env       *Env
	authority string
	id        link.Identity
	out       string
	valid     time.Duration
}

func (k *keys) flags(f *flag.FlagSet) {
	f.StringVar(&k.authority, "authority", "", "prefix of the authority's files")
	f.StringVar(&k.id.Deployment, "for", "", "deployment")
	f.StringVar(&k.id.Instance, "instance", "", "instance id, or the operator's name")
	f.StringVar(&k.id.Program, "program", "", "entry, scheduler or operator")
	f.StringVar(&k.out, "out", "", "prefix of the files to write")
	f.DurationVar(&k.valid, "valid", 0, "validity; 0 for 5 years of an authority and 90 days of a certificate")
}

func (k *keys) validity(usual time.Duration) time.Duration {
	if k.valid > 0 {
		return k.valid
	}
	return usual
}

func (k *keys) ca(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" {
		return k.env.usage("ca: want -out")
	}
	pair, err := link.GenerateCA(k.out, k.validity(caValidity))
	if err != nil {
		return k.env.fail(err)
	}
	return k.write(pair)
}

func (k *keys) cert(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" || k.authority == "" || k.id.Deployment == "" || k.id.Instance == "" || k.id.Program == "" {
		return k.env.usage("cert: want -authority, -for, -instance, -program and -out")
	}
	ca, err := readPair(k.authority)
	if err != nil {
		return k.env.fail(err)
	}
	now := time.Now()
	pair, err := link.GenerateCert(ca, k.id, now.Add(-clockSkew), now.Add(k.validity(certValidity)))
	if err != nil {
		return k.env.fail(err)
	}
	return k.write(pair)
}

func readPair(prefix string) (link.Pair, error) {
	cert, err := os.ReadFile(prefix + ".crt")
	if err != nil {
		return link.Pair{}, result.Wrap(result.SettingsKeyFile, err, "certificate")
	}
	key, err := os.ReadFile(prefix + ".key")
	return link.Pair{Cert: cert, Key: key}, result.Wrap(result.SettingsKeyFile, err, "key")
}

func (k *keys) write(p link.Pair) subcommands.ExitStatus {
	if err := os.WriteFile(k.out+".crt", p.Cert, certPerm); err != nil {
		return k.env.fail(err)
	}
	if err := os.WriteFile(k.out+".key", p.Key, keyPerm); err != nil {
		return k.env.fail(err)
	}
	fmt.Fprintf(k.env.Out, "wrote %s.crt and %s.key\n", k.out, k.out)
	return subcommands.ExitSuccess
}

func (k *keys) reviewer(context.Context, *flag.FlagSet) subcommands.ExitStatus {
	if k.out == "" {
		return k.env.usage("reviewer: want -out")
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

// readSigningKey reads an ed25519 key that reviewer wrote.
func readSigningKey(file string) (ed25519.PrivateKey, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, "sign-key")
	}
	block, _ := pem.Decode(body)
	if block == nil {
		return nil, result.Errorf(result.SettingsKeyFile, "%s: want a PEM file", file)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, result.Wrap(result.SettingsKeyFile, err, file)
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, result.Errorf(result.SettingsKeyFile, "%s: want an ed25519 key", file)
	}
	return private, nil
}
