// Command skylark-entry takes callers' requests, chooses an upstream, and
// answers or refuses.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/entry"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range entry.Commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
