// Command skylark-scheduler places tasks on workers, renews the workers' leases and
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
