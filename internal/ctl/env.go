package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"skylarkport/internal/result"
)

// Env is what the commands share.
type Env struct {
	Out io.Writer
	Err io.Writer
	In  io.Reader

	servers string
	output  string
	timeout time.Duration
	tls     tlsFiles
}

const defaultTimeout = 10 * time.Second

// SetFlags declares the flags that every command takes.
func (e *Env) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.servers, "server", os.Getenv("SKYLARK_SERVERS"), "base URLs of schedulers' operator APIs, comma-separated; default $SKYLARK_SERVERS")
	f.StringVar(&e.output, "o", "table", "output: table or json")
	f.DurationVar(&e.timeout, "timeout", defaultTimeout, "of one call to one server")
	e.tls.setFlags(f)
}

func (e *Env) client() (*Client, error) {
	c := NewClient(e.servers, e.timeout)
	tr, err := e.tls.transport()
	if err != nil {
		return nil, err
	}
	c.HTTP.Transport = tr
	return c, nil
}

// fail prints err and returns its exit code.
func (e *Env) fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(e.Err, "skylarkctl: %v\n", err)
	return exitOf(err)
}

// usage prints a fault of the command line.
func (e *Env) usage(format string, args ...any) subcommands.ExitStatus {
	return e.fail(result.Errorf(result.RequestBad, format, args...))
}

// print writes v as JSON, or as the table that rows returns.
func (e *Env) print(v any, header string, rows func(w io.Writer)) subcommands.ExitStatus {
	if e.output == "json" {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return e.fail(err)
		}
		return subcommands.ExitSuccess
	}
	w := tabwriter.NewWriter(e.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	if err := w.Flush(); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// run calls f with a client and prints its error.
func (e *Env) run(ctx context.Context, f func(ctx context.Context, c *Client) error) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	return f(ctx, c)
}

// input reads the JSON document in the named file; "-" is standard input.
func (e *Env) input(name string, v any, bad result.Code) error {
	r := e.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return result.Wrap(bad, err, "input")
		}
		defer f.Close()
		r = f
	}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return result.Wrap(bad, err, name)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.Errorf(bad, "%s: data follows the JSON object", name)
	}
	return nil
}
