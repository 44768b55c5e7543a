// Command 12 plays a configuration that drops a route and a later one that restores it, while a job of the route runs
// whose tasks fail twice and would succeed at the third attempt.
package main

import (
	"os"
	"time"

	"skylarkport/review/rig3"
)

const (
	job      = "00000000000000a1"
	prefix   = "/aaa/"
	attempts = 4
	failures = 2 // first runs of each task that end failed, at half of their work
	work     = 3 * time.Second
)

// trouble reports whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() { rig3.Main(run) }

func run(r *rig3.Rig) (int, error) {
	a, b := rig3.NewRoute("r-a", prefix, attempts), rig3.NewRoute("r-b", "/bbb/", attempts)
	if err := r.StartSmall(3, a, b); err != nil {
		return rig3.NotRun, err
	}
	step := &rig3.Step{Count: 2, CPU: 1000, MemMB: 256, EstimatedMs: work.Milliseconds(), Work: work, FailedRunsOf: failures}
	if r.Submit(r.Nodes[0], prefix, job, rig3.Schedule{}, step).Status != 200 {
		return rig3.NotRun, nil
	}
	time.Sleep(2 * time.Second) // the second runs work
	if trouble() {
		r.Configure(5, true, b)
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		r.Configure(9, true, a, b)
	}
	time.Sleep(14 * time.Second)
	code := rig3.Held
	for _, n := range r.Nodes {
		if state := r.State(n, prefix, job); state == "failed" {
			failed := map[string]int{}
			most := 0
			for _, e := range r.Record.Events("end", "how", "failed") {
				failed[e.Fields["task"]]++
				most = max(most, failed[e.Fields["task"]])
			}
			if most < attempts {
				r.Record.Add("broken", "rule", "LOST", "job", job, "state", state, "failed_runs", most, "attempts", attempts)
				code = rig3.Broken
			}
		}
	}
	return code, nil
}
