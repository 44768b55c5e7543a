package placement

import "fmt"

// neverRuns sets aside a task that does not fit on any worker of the shard, even
// an empty one.
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
