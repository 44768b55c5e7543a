package placement

import (
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// squeeze makes room for an urgent or latency-critical task by throttling batch
// runs of lower priority, where processors alone are short. Nothing is moved.
// It returns false where no worker has enough to give.
func (c *cycle) squeeze(t *candidate) bool {
	var (
		found *node
		runs  []*Run
	)
	c.clearable(t, func(n *node) bool {
		if list := c.squeezable(n, t); list != nil && (found == nil || len(list) < len(runs)) {
			found, runs = n, list
		}
		return found == nil
	})
	if found == nil {
		return false
	}
	for _, r := range runs {
		commit := throttled(r)
		c.step(Throttle, found, r, commit, StagePreemption, "makes room for %s", t.p.Task)
		found.leaving.MilliCPU += sane(r.Commit).MilliCPU - commit.MilliCPU
		c.preempted[r] = struct{}{}
	}
	c.nominate(found, t)
	return true
}

// squeezable returns the runs on n to throttle so that t fits, or nil.
func (c *cycle) squeezable(n *node, t *candidate) []*Run {
	room := n.free.Add(n.leaving)
	short := t.commit.MilliCPU - room.MilliCPU
	room.MilliCPU = t.commit.MilliCPU
	if short <= 0 || !t.commit.Fits(room) || !c.admissible(n, t) || !c.bearableWithout(n, t, nil) {
		return nil
	}
	list := c.yielding(n, t)
	slices.SortStableFunc(list, func(a, b *Run) int { return compareSize(b, a) })
	for i, r := range list {
		short -= max(0, sane(r.Commit).MilliCPU-throttled(r).MilliCPU)
		if short <= 0 {
			return list[:i+1]
		}
	}
	return nil
}

// throttled returns what r holds once it is throttled; a run that is throttled
// already gives nothing more.
func throttled(r *Run) resource.Vector {
	v := sane(r.Commit)
	if r.Throttled || r.Spec.Kind != job.Batch {
		return v
	}
	v.MilliCPU = min(v.MilliCPU, max(minMilliCPU, int64(throttleTo*float64(v.MilliCPU))))
	return v
}
