package placement

import "slices"

// failedBefore keeps a task off the worker of its last failure, and prefers
// workers on which it did not fail.
type failedBefore struct{}

const failedWeight = 0.5

func (failedBefore) name() string { return "FailedBefore" }

func (failedBefore) check(c *cycle, n *node, t *candidate) string {
	f := t.p.FailedOn
	if len(f) > 0 && f[len(f)-1] == n.w.ID && c.index.size > 1 {
		return "FailedBefore"
	}
	return ""
}

func (failedBefore) score(_ *cycle, n *node, t *candidate) float64 {
	if slices.Contains(t.p.FailedOn, n.w.ID) {
		return failedWeight
	}
	return 0
}
