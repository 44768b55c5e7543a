package node

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// ExplainCommand is the subcommand that shows where a job would go now, without submitting it.
type ExplainCommand struct {
	Out, Err io.Writer
	control  string
	format   string
}

// Name implements subcommands.Command.
func (*ExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*ExplainCommand) Synopsis() string {
	return "show where a job would go now and why, without submitting it"
}

// Usage implements subcommands.Command.
func (*ExplainCommand) Usage() string {
	return "explain -control IP:PORT [-o text|json] FILE: show where the job in FILE would go now and why\n"
}

// SetFlags implements subcommands.Command.
func (c *ExplainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.control, "control", "", "control address of an instance")
	f.StringVar(&c.format, "o", "text", "text or json")
}

// Execute implements subcommands.Command.
func (c *ExplainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.control == "" || f.NArg() != 1 || c.format != "text" && c.format != "json" {
		fmt.Fprint(c.Err, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.explain(ctx, f.Arg(0)); err != nil {
		fmt.Fprintln(c.Err, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *ExplainCommand) explain(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	job, err := ParseJob(data)
	if err != nil {
		return err
	}
	reply, err := Explain(ctx, c.control, job)
	if err != nil {
		return err
	}
	if c.format == "json" {
		return json.NewEncoder(c.Out).Encode(reply)
	}
	_, err = fmt.Fprintf(c.Out, "home shard  %s\n%v", reply.Home, reply.Explanation)
	return err
}
