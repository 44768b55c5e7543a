package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// verb is one action of a noun, such as "create" of "job".
type verb struct {
	name     string
	args     string // the arguments in the usage line
	synopsis string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus
}

// noun is a command whose first argument is a verb.
type noun struct {
	env      *Env
	name     string
	synopsis string
	verbs    []verb
}

// Name implements subcommands.Command.
func (n *noun) Name() string { return n.name }

// Synopsis implements subcommands.Command.
func (n *noun) Synopsis() string { return n.synopsis }

// Usage implements subcommands.Command.
func (n *noun) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s VERB [flags] [arguments]: %s\n", n.name, n.synopsis)
	for _, v := range n.verbs {
		fmt.Fprintf(&b, "  %s %s %s\n      %s\n", n.name, v.name, v.args, v.synopsis)
	}
	return b.String()
}

// SetFlags implements subcommands.Command. The flags belong to the verbs.
func (n *noun) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (n *noun) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, v := range n.verbs {
		if v.name == f.Arg(0) {
			return n.execute(ctx, v, f.Args()[1:])
		}
	}
	fmt.Fprint(n.env.Err, n.Usage())
	return ExitUsage
}

func (n *noun) execute(ctx context.Context, v verb, args []string) subcommands.ExitStatus {
	vf := flag.NewFlagSet(n.name+" "+v.name, flag.ContinueOnError)
	vf.SetOutput(n.env.Err)
	n.env.SetFlags(vf)
	if v.flags != nil {
		v.flags(vf)
	}
	if err := vf.Parse(args); err != nil {
		return ExitUsage
	}
	return v.run(ctx, vf)
}

// simpleCommand is a command without verbs.
type simpleCommand struct {
	env *Env
	verb
}

// Name implements subcommands.Command.
func (s *simpleCommand) Name() string { return s.name }

// Synopsis implements subcommands.Command.
func (s *simpleCommand) Synopsis() string { return s.synopsis }

// Usage implements subcommands.Command.
func (s *simpleCommand) Usage() string {
	return fmt.Sprintf("%s [flags] %s: %s\n", s.name, s.args, s.synopsis)
}

// SetFlags implements subcommands.Command.
func (s *simpleCommand) SetFlags(f *flag.FlagSet) { s.env.SetFlags(f) }

// Execute implements subcommands.Command.
func (s *simpleCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return s.run(ctx, f)
}
