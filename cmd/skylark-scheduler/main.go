// Command skylark-scheduler places tasks on workers, keeps their leases and
// serves the operator API.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/scheduler"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range scheduler.Commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
