// Command skylark-standin simulates the platform, its workers and their upstreams
// on loopback, for development and tests.
package main

import (
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/daemon"
	"skylarkport/internal/standin"
)

func main() {
	d := daemon.Daemon{
		Name: "skylark-standin", Check: standin.CheckSettings, Run: standin.RunProcess,
		Subcommands: []subcommands.Command{standin.VerifyCommand()},
	}
	os.Exit(d.Main())
}
