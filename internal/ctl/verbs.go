package ctl

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// verb is one action of a command group, such as "create" of "service".
type verb struct {
	name     string
	args     string // the arguments in the usage line
	synopsis string
	flags    func(f *flag.FlagSet)
	run      func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus
}

// commandGroup is a command whose first argument selects one of its verbs, for example
// "skylarkctl service create".
type commandGroup struct {
	env      *Env
	name     string
	synopsis string
	verbs    []verb
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s VERB [flags] [arguments]: %s\n", g.name, g.synopsis)
	for _, v := range g.verbs {
		fmt.Fprintf(&b, "  %s %s %s\n      %s\n", g.name, v.name, v.args, v.synopsis)
	}
	return b.String()
}

// SetFlags implements subcommands.Command. The flags belong to the verbs.
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command. It runs the verb that the first argument names.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for _, v := range g.verbs {
		if v.name == f.Arg(0) {
			return g.execute(ctx, v, f.Args()[1:])
		}
	}
	fmt.Fprint(g.env.Err, g.Usage())
	return ExitUsage
}

func (g *commandGroup) execute(ctx context.Context, v verb, args []string) subcommands.ExitStatus {
	vf := flag.NewFlagSet(g.name+" "+v.name, flag.ContinueOnError)
	vf.SetOutput(g.env.Err)
	g.env.SetFlags(vf)
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
