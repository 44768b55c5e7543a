// Command skylark-scheduler places tasks on workers, keeps their leases and
// serves the operator API.
package main

import (
	"os"

	"skylarkport/internal/daemon"
	"skylarkport/internal/scheduler"
)

func main() {
	d := daemon.Daemon{Name: "skylark-scheduler", Check: scheduler.Check, Run: scheduler.Run}
	os.Exit(d.Main())
}
