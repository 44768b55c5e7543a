// Command skylarkctl is the command line client of the operator API.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"skylarkport/internal/ctl"
)

func main() {
	env := &ctl.Env{Out: os.Stdout, Err: os.Stderr, In: os.Stdin}
	c := subcommands.NewCommander(flag.CommandLine, "skylarkctl")
	ctl.Register(c, env)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(int(c.Execute(ctx)))
}
