package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/bundle"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// bundleCommand returns the command for configuration bundles.
func bundleCommand(e *Env) *commandGroup {
	b := &bundleCommands{env: e}
	return &commandGroup{env: e, name: "bundle", synopsis: "propose, review, sign, accept and show configuration bundles", verbs: []verb{
		{name: "propose", args: "FILE", synopsis: "store a bundle for review; prints its hash", run: b.propose},
		{name: "review", args: "HASH", synopsis: "show a proposal's changes and the reasons why it cannot be accepted", run: b.review},
		{name: "sign", args: "HASH", synopsis: "sign off a proposal with a reviewer's key", flags: b.signFlags, run: b.sign},
		{name: "accept", args: "HASH", synopsis: "accept a proposal that has its sign-offs, which puts it in force", run: b.accept},
		{name: "status", synopsis: "show the bundle in force and the open proposals", run: b.status},
		{name: "diff", args: "FROM TO", synopsis: "show the changes between two accepted versions", run: b.diff},
		{name: "show", args: "VERSION", synopsis: "print an accepted bundle", run: b.show},
	}}
}

type bundleCommands struct {
	env      *Env
	reviewer string
	keyFile  string
}

func (b *bundleCommands) signFlags(f *flag.FlagSet) {
	f.StringVar(&b.reviewer, "reviewer", "", "name of the reviewer, as in the bundle in force")
	f.StringVar(&b.keyFile, "sign-key", "", "PEM file of the reviewer's ed25519 private key")
}

// singleArg returns the only argument, or an error that names what is expected.
func singleArg(f *flag.FlagSet, expected string) (string, error) {
	if f.NArg() != 1 {
		return "", result.Errorf(result.RequestBad, "want exactly one %s", expected)
	}
	return f.Arg(0), nil
}

func (b *bundleCommands) propose(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	file, err := singleArg(f, "file name, or - for standard input")
	if err != nil {
		return b.env.fail(err)
	}
	body, err := b.readInput(file)
	if err != nil {
		return b.env.fail(err)
	}
	var p bundle.Proposal
	err = b.env.run(ctx, func(ctx context.Context, c *Client) error { return c.PostBody(ctx, api.PathProposals, body, &p) })
	if err != nil {
		return b.env.fail(err)
	}
	return b.env.print(p, "HASH\tVERSION\tAUTHOR", func(w io.Writer) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", p.Hash, p.Version, p.Author)
	})
}

func (b *bundleCommands) readInput(file string) ([]byte, error) {
	r := b.env.In
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, result.Wrap(result.BundleBad, err, "open input file")
		}
		defer f.Close()
		r = f
	}
	body, err := io.ReadAll(io.LimitReader(r, bundle.MaxBytes+1))
	return body, result.Wrap(result.BundleBad, err, "read input")
}

func proposalPath(hash, suffix string) string {
	return api.PathProposals + "/" + url.PathEscape(hash) + suffix
}

func (b *bundleCommands) review(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	hash, err := singleArg(f, "hash")
	if err != nil {
		return b.env.fail(err)
	}
	var r bundle.Review
	err = b.env.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, proposalPath(hash, ""), nil, &r) })
	if err != nil {
		return b.env.fail(err)
	}
	header := fmt.Sprintf("version %d by %s: %d of %d sign-offs", r.Version, r.Author, len(r.SignOffs), r.RequiredSignOffs)
	return b.env.print(r, header, func(w io.Writer) {
		writeChanges(w, r.Changes)
		for _, reason := range r.Reasons {
			fmt.Fprintf(w, "against it\t%s\n", reason)
		}
	})
}

func writeChanges(w io.Writer, cs []bundle.Change) {
	for _, c := range cs {
		fmt.Fprintln(w, c)
	}
}

func (b *bundleCommands) sign(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	hash, err := singleArg(f, "hash")
	if err != nil {
		return b.env.fail(err)
	}
	key, err := readSigningKey(b.keyFile)
	if err != nil {
		return b.env.fail(err)
	}
	signOff := bundle.Sign(key, b.reviewer, hash)
	err = b.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Post(ctx, proposalPath(hash, "/sign-offs"), signOff, nil)
	})
	if err != nil {
		return b.env.fail(err)
	}
	return b.env.print(signOff, "HASH\tREVIEWER", func(w io.Writer) { fmt.Fprintf(w, "%s\t%s\n", hash, b.reviewer) })
}

func (b *bundleCommands) accept(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	hash, err := singleArg(f, "hash")
	if err != nil {
		return b.env.fail(err)
	}
	var h bundle.Head
	err = b.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Post(ctx, proposalPath(hash, "/accept"), struct{}{}, &h)
	})
	if err != nil {
		return b.env.fail(err)
	}
	return b.env.print(h, "VERSION\tHASH", func(w io.Writer) { fmt.Fprintf(w, "%d\t%s\n", h.Version, h.Hash) })
}

func (b *bundleCommands) status(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	var s bundle.Status
	err := b.env.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, api.PathBundles, nil, &s) })
	if err != nil {
		return b.env.fail(err)
	}
	return b.env.print(s, fmt.Sprintf("accepted %d, in force here %d", s.Current.Version, s.InForce.Version), func(w io.Writer) {
		fmt.Fprintln(w, "PROPOSAL\tVERSION\tAUTHOR\tNOTE")
		for _, p := range s.Proposals {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", p.Hash, p.Version, p.Author, p.Note)
		}
	})
}

func (b *bundleCommands) diff(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return b.env.usageError("diff: want two version numbers")
	}
	var d []bundle.Change
	err := b.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Get(ctx, api.PathBundleDiff, url.Values{"from": {f.Arg(0)}, "to": {f.Arg(1)}}, &d)
	})
	if err != nil {
		return b.env.fail(err)
	}
	return b.env.print(d, fmt.Sprintf("%d changes", len(d)), func(w io.Writer) { writeChanges(w, d) })
}

func (b *bundleCommands) show(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	version, err := singleArg(f, "version")
	if err != nil {
		return b.env.fail(err)
	}
	var v bundle.Bundle
	err = b.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Get(ctx, api.PathBundles+"/"+url.PathEscape(version), nil, &v)
	})
	if err != nil {
		return b.env.fail(err)
	}
	b.env.output = "json"
	return b.env.print(v, "", nil)
}
