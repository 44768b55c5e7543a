package placement

import "fmt"

// neverRuns sets a task aside that no worker of the shard could hold if it were
// empty.
type neverRuns struct{}

func (neverRuns) name() string { return StageNeverRuns }

func (neverRuns) check(c *cycle, t *candidate) (Step, string) {
	if !t.p.Spec.Needs.Valid() {
		return SetAside, "declares a negative amount"
	}
	if c.holdable(t.commit) {
		return "", ""
	}
	if len(c.nodes) == 0 {
		return Wait, "the shard has no workers"
	}
	return SetAside, fmt.Sprintf("needs %d millicores, %d MiB and %d accelerators; no worker is that large",
		t.commit.MilliCPU, t.commit.MemoryMB, t.commit.Accelerators)
}
