package placement

import "slices"

// failedBefore keeps a task off the worker where it failed last, unless that is
// the only worker that accepts runs, and prefers workers where it has not failed.
type failedBefore struct{}

const failedBeforeWeight = 0.5

func (failedBefore) name() string { return "FailedBefore" }

func (failedBefore) check(c *cycle, n *node, t *candidate) string {
	f := t.pending.FailedOn
	if len(f) > 0 && f[len(f)-1] == n.worker.ID && c.index.size > 1 {
		return "FailedBefore"
	}
	return ""
}

func (failedBefore) score(_ *cycle, n *node, t *candidate) float64 {
	if slices.Contains(t.pending.FailedOn, n.worker.ID) {
		return failedBeforeWeight
	}
	return 0
}
