// Command skylark-entry accepts callers' requests to services, and forwards each to
// an upstream or refuses it.
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
