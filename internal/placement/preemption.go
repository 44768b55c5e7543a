package placement

import (
	"cmp"
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// maxPreemptionWorkers is the number of workers compared for a preemption; more
// are examined only until one is found.
const maxPreemptionWorkers = 128

// preempt frees capacity for an urgent or latency-critical task on the worker
// where that costs least: it waits for runs that are stopping already, or else
// throttles batch runs that may be preempted, or else moves them away. It returns
// false if t may not preempt or no worker can be made to fit it.
func (c *cycle) preempt(t *candidate) bool {
	if t.pending.Spec.Kind == job.Batch && !t.pending.Spec.Urgent {
		return false
	}
	if c.awaitStopping(t) || c.throttleToFit(t) {
		return true
	}
	var (
		found   *node
		victims []*Run
		cost    float64
	)
	c.visitPreemptionWorkers(t, func(n *node) bool {
		list, price, ok := c.victims(n, t)
		if ok && (found == nil || price < cost) {
			found, victims, cost = n, list, price
		}
		return found == nil
	})
	if found == nil {
		return false
	}
	for _, r := range victims {
		c.addStep(Preempt, found, r, resource.Vector{}, StagePreemption, "frees capacity for %s", t.pending.Task)
		found.releasing = found.releasing.Add(clampVector(r.Commit))
		c.preempted[r] = struct{}{}
	}
	c.nominate(found, t)
	return true
}

// visitPreemptionWorkers calls f for the workers on which t could run if they were
// empty. After maxPreemptionWorkers workers it stops if the last call of f returned
// false.
func (c *cycle) visitPreemptionWorkers(t *candidate, f func(*node) bool) {
	start := int(searchStart(t.pending.Task) % uint64(max(len(c.nodes), 1)))
	more := true
	for i := range c.nodes {
		if i >= maxPreemptionWorkers && !more {
			return
		}
		n := c.nodes[(start+i)%len(c.nodes)]
		if n.acceptsRuns() && !n.hasStep && t.commit.Fits(clampVector(n.worker.Capacity)) {
			more = f(n)
		}
	}
}

// awaitStopping nominates a worker where t fits once the runs that are stopping
// have ended, and reports whether there is one.
func (c *cycle) awaitStopping(t *candidate) bool {
	for _, n := range c.nodes {
		if n.acceptsRuns() && t.commit.Fits(n.free.Add(n.releasing)) && c.passesUnaffectedFilters(n, t) && c.withinInterferenceLimitWithout(n, t, nil) {
			c.nominate(n, t)
			return true
		}
	}
	return false
}

// isStopping reports whether r is stopping, or is moved or throttled by a
// preemption of this cycle.
func (c *cycle) isStopping(r *Run) bool {
	_, ok := c.preempted[r]
	return ok || r.Stopping
}

// passesUnaffectedFilters reports whether n passes the filters for t whose result
// does not depend on the runs that a preemption removes.
func (c *cycle) passesUnaffectedFilters(n *node, t *candidate) bool {
	return workerProbation{}.check(c, n, t) == "" && failedBefore{}.check(c, n, t) == ""
}

// withinInterferenceLimitWithout reports whether t keeps the services on n within
// their latency limits once the stopping runs and the victims are gone.
func (c *cycle) withinInterferenceLimitWithout(n *node, t *candidate, victims []*Run) bool {
	if t.pending.Spec.Kind != job.Batch || c.view.ResourceOnly {
		return true
	}
	c.prepareExposures(n)
	for i := range n.exposures {
		x := n.exposures[i]
		for k, r := range n.worker.Runs {
			if r.Spec.Kind == job.Batch && (c.isStopping(r) || slices.Contains(victims, r)) {
				x.removeNeighbour(c.profile(r.Spec).family, c.runIntensity(n, k))
			}
		}
		if !c.withinInterferenceLimit(&x, t) {
			return false
		}
	}
	return true
}

// nominate reserves free capacity on n for t, and what is still missing from the
// capacity that is being released. The task stays pending until it fits.
func (c *cycle) nominate(n *node, t *candidate) {
	allocated := minVector(t.commit, n.free)
	n.releasing = n.releasing.Sub(t.commit.Sub(allocated))
	c.allocate(n, allocated)
	c.charge(t)
	c.addDecision(Decision{
		Step: Wait, Task: t.pending.Task, Worker: n.worker.ID,
		Reason: Reason{Stage: StagePreemption, Detail: "capacity is being freed on " + n.worker.ID + "; until then: " + t.rejectionReason().Detail},
	})
}

// victims returns the runs to move off n so that t fits, and their cost divided by
// the number of tasks of t's job that then fit. It prefers a single run; if none
// suffices it takes the largest runs first.
func (c *cycle) victims(n *node, t *candidate) ([]*Run, float64, bool) {
	if !c.passesUnaffectedFilters(n, t) {
		return nil, 0, false
	}
	list := c.preemptibleRuns(n, t)
	available := n.free.Add(n.releasing)
	if one, cost := c.cheapestSingleVictim(n, t, list, available); one != nil {
		return one, cost, true
	}
	slices.SortStableFunc(list, func(a, b *Run) int { return compareProcessors(b, a) })
	for i, r := range list {
		available = available.Add(clampVector(r.Commit))
		if i > 0 && c.fitsWithout(n, t, available, list[:i+1]) {
			return list[:i+1], preemptionCost(list[:i+1]) / t.waitingTasksThatFit(available), true
		}
	}
	return nil, 0, false
}

// cheapestSingleVictim returns the single run whose move lets t fit at the lowest cost
// for each task served, or nil.
func (c *cycle) cheapestSingleVictim(n *node, t *candidate, list []*Run, available resource.Vector) ([]*Run, float64) {
	var (
		found  []*Run
		lowest float64
	)
	for i, r := range list {
		one, after := list[i:i+1], available.Add(clampVector(r.Commit))
		cost := preemptionCost(one) / t.waitingTasksThatFit(after)
		if (found == nil || cost < lowest) && c.fitsWithout(n, t, after, one) {
			found, lowest = one, cost
		}
	}
	return found, lowest
}

// waitingTasksThatFit returns how many of the waiting tasks of t's job fit into the
// available capacity, at least 1.
func (t *candidate) waitingTasksThatFit(available resource.Vector) float64 {
	n := int64(max(t.waiting, 1))
	n = min(n, available.MilliCPU/max(t.commit.MilliCPU, 1), available.MemoryMB/max(t.commit.MemoryMB, 1))
	return float64(max(n, 1))
}

// fitsWithout reports whether t fits into the available capacity and keeps the
// services on n within their latency limits once the victims are gone.
func (c *cycle) fitsWithout(n *node, t *candidate, available resource.Vector, victims []*Run) bool {
	return t.commit.Fits(available) && c.withinInterferenceLimitWithout(n, t, victims)
}

// preemptibleRuns returns the batch runs on n that t may preempt, cheapest first.
func (c *cycle) preemptibleRuns(n *node, t *candidate) []*Run {
	var list []*Run
	for _, r := range n.worker.Runs {
		if !c.isStopping(r) && r.Spec.Kind == job.Batch && c.preemptibleBy(r, t) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(preemptionPenalty(a), preemptionPenalty(b)), compareProcessors(a, b))
	})
	return list
}

// compareProcessors orders runs by ascending committed processors.
func compareProcessors(a, b *Run) int { return cmp.Compare(a.Commit.MilliCPU, b.Commit.MilliCPU) }

// preemptionPenalty returns the cost of moving a run beyond the move itself, in
// units of one move. Runs evicted before and runs of high priority cost more.
func preemptionPenalty(r *Run) float64 {
	return 0.5*float64(r.Evictions) + float64(min(max(r.Spec.Priority, 0), 100))/200
}

// preemptionCost returns the cost of moving the runs, in units of one move.
func preemptionCost(victims []*Run) float64 {
	sum := 0.0
	for _, r := range victims {
		sum += 1 + preemptionPenalty(r)
	}
	return sum
}

// preemptibleBy reports whether t may preempt the batch run r. Urgent runs are
// never preempted; services and watches preempt any other, and urgent batch tasks
// those of lower declared priority.
func (c *cycle) preemptibleBy(r *Run, t *candidate) bool {
	if r.Spec.Urgent {
		return false
	}
	if t.pending.Spec.Kind != job.Batch {
		return true
	}
	return r.Spec.Priority < t.pending.Spec.Priority
}

// Preempting reports whether r is the reason of a task for which a preemption is
// freeing capacity.
func Preempting(r Reason) bool { return r.Stage == StagePreemption }
