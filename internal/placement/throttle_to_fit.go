package placement

import (
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// throttleToFit frees processors for an urgent or latency-critical task by
// throttling batch runs that it may preempt, on the worker where the fewest need
// it. It returns false if no worker lacks only processors and could free enough.
func (c *cycle) throttleToFit(t *candidate) bool {
	var (
		found *node
		runs  []*Run
	)
	c.visitPreemptionWorkers(t, func(n *node) bool {
		if list := c.runsToThrottle(n, t); list != nil && (found == nil || len(list) < len(runs)) {
			found, runs = n, list
		}
		return found == nil
	})
	if found == nil {
		return false
	}
	for _, r := range runs {
		commit := throttledCommit(r)
		c.addStep(Throttle, found, r, commit, StagePreemption, "frees capacity for %s", t.pending.Task)
		found.releasing.MilliCPU += clampVector(r.Commit).MilliCPU - commit.MilliCPU
		c.preempted[r] = struct{}{}
	}
	c.nominate(found, t)
	return true
}

// runsToThrottle returns the runs on n to throttle so that t fits, the largest
// first, or nil if throttling does not help.
func (c *cycle) runsToThrottle(n *node, t *candidate) []*Run {
	available := n.free.Add(n.releasing)
	short := t.commit.MilliCPU - available.MilliCPU
	available.MilliCPU = t.commit.MilliCPU
	if short <= 0 || !t.commit.Fits(available) || !c.passesUnaffectedFilters(n, t) || !c.withinInterferenceLimitWithout(n, t, nil) {
		return nil
	}
	list := c.preemptibleRuns(n, t)
	slices.SortStableFunc(list, func(a, b *Run) int { return compareProcessors(b, a) })
	for i, r := range list {
		short -= max(0, clampVector(r.Commit).MilliCPU-throttledCommit(r).MilliCPU)
		if short <= 0 {
			return list[:i+1]
		}
	}
	return nil
}

// throttledCommit returns the commitment of r once it is throttled. A run that is
// throttled already keeps its commitment.
func throttledCommit(r *Run) resource.Vector {
	v := clampVector(r.Commit)
	if r.Throttled || r.Spec.Kind != job.Batch {
		return v
	}
	v.MilliCPU = min(v.MilliCPU, max(minMilliCPU, int64(throttledFraction*float64(v.MilliCPU))))
	return v
}
