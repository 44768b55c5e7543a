package placement

import "fmt"

// neverRuns is the prefilter that sets aside a task that cannot run on the present
// workers of the shard: it does not fit on any, even an empty one, or declares a
// negative amount. While the shard has no workers, the task waits instead.
type neverRuns struct{}

func (neverRuns) name() string { return StageNeverRuns }

func (neverRuns) check(c *cycle, t *candidate) (Step, string) {
	if !t.pending.Spec.Needs.Valid() {
		return SetAside, "declares a negative amount of a resource"
	}
	if c.fitsSomeWorker(t.commit) {
		return "", ""
	}
	if len(c.nodes) == 0 {
		return Wait, "the shard has no workers"
	}
	return SetAside, fmt.Sprintf("needs %d millicores, %d MiB and %d accelerators; no worker in the shard has that capacity",
		t.commit.MilliCPU, t.commit.MemoryMB, t.commit.Accelerators)
}
