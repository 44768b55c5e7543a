// Command skylark-entry takes callers' requests, chooses an upstream, and
// answers or refuses.
package main

import (
	"os"

	"skylarkport/internal/daemon"
	"skylarkport/internal/entry"
)

func main() {
	d := daemon.Daemon{Name: "skylark-entry", Check: entry.Check, Run: entry.Run}
	os.Exit(d.Main())
}
