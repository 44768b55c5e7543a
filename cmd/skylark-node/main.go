// Command skylark-node runs one instance of the batch scheduler on the users'
// platform: it accepts jobs, places their tasks on workers and renews the workers'
// leases.
package main

import (
	"net/http"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/daemon"
	"skylarkport/internal/node"
	"skylarkport/internal/settings"
	"skylarkport/platform"
)

func main() {
	d := daemon.Daemon{
		Name:        "skylark-node",
		Check:       node.Check,
		Run:         func(file string) error { return node.Run(file, connect) },
		Subcommands: []subcommands.Command{&node.ExplainCommand{Out: os.Stdout, Err: os.Stderr}},
	}
	os.Exit(d.Main())
}

// connect returns the adapters to the users' platform.
func connect(s *settings.Node) node.Deps {
	deps := node.Deps{
		Store:    platform.NewStore(s.Store),
		Workers:  platform.NewWorkers(),
		Registry: platform.Registry{},
		Configs:  platform.ConfigSource{},
		Zones:    platform.ZoneSource{},
		Front:    func(j fleet.Jobs) http.Handler { return platform.NewJobHandler(j) },
	}
	if s.Adviser != "" {
		deps.Adviser = platform.NewAdviser(s.Adviser)
	}
	return deps
}
