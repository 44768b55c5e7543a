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

// Env holds the input, output and flags that all commands share.
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
	f.StringVar(&e.servers, "server", os.Getenv("SKYLARK_SERVERS"), "base URLs of the schedulers' operator APIs, comma-separated; default $SKYLARK_SERVERS")
	f.StringVar(&e.output, "o", "table", "output format: table or json")
	f.DurationVar(&e.timeout, "timeout", defaultTimeout, "timeout of one call to one server")
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
	return exitCode(err)
}

// usageError prints an error in the command line and returns its exit code.
func (e *Env) usageError(format string, args ...any) subcommands.ExitStatus {
	return e.fail(result.Errorf(result.RequestBad, format, args...))
}

// print writes v as JSON, or header and the lines that rows writes as a table.
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

// run calls f with a client for the servers that the flags name.
func (e *Env) run(ctx context.Context, f func(ctx context.Context, c *Client) error) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	return f(ctx, c)
}

// decodeInput decodes the JSON object in the named file into v; "-" is standard
// input. Unknown fields and trailing data are errors. Errors have the given
// code.
func (e *Env) decodeInput(name string, v any, code result.Code) error {
	r := e.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return result.Wrap(code, err, "open input file")
		}
		defer f.Close()
		r = f
	}
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return result.Wrap(code, err, name)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.Errorf(code, "%s: data follows the JSON object", name)
	}
	return nil
}
