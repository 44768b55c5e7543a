// Command skylark-standin runs a stand-in for the platform, its workers and
// their upstreams on loopback, for development and tests.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/standin"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range standin.Commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
