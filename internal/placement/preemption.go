package placement

import (
	"cmp"
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// maxCleared is how many workers are compared for a preemption.
const maxCleared = 128

// preempt makes room for an urgent or latency-critical task by throttling or,
// where that does not do, moving batch runs of lower priority, on the worker
// where that costs least. It returns false where t may not preempt or no worker can be cleared.
func (c *cycle) preempt(t *candidate) bool {
	if t.p.Spec.Kind == job.Batch && !t.p.Spec.Urgent {
		return false
	}
	if c.awaitRoom(t) || c.squeeze(t) {
		return true
	}
	var (
		found   *node
		victims []*Run
		cost    float64
	)
	c.clearable(t, func(n *node) bool {
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
		c.step(Preempt, found, r, resource.Vector{}, StagePreemption, "makes room for %s", t.p.Task)
		found.leaving = found.leaving.Add(sane(r.Commit))
		c.preempted[r] = struct{}{}
	}
	c.nominate(found, t)
	return true
}

// clearable calls f for workers that may make room for t: for maxCleared of
// them, and for more as long as f returns true.
func (c *cycle) clearable(t *candidate, f func(*node) bool) {
	start := int(startOf(t.p.Task) % uint64(max(len(c.nodes), 1)))
	more := true
	for i := range c.nodes {
		if i >= maxCleared && !more {
			return
		}
		n := c.nodes[(start+i)%len(c.nodes)]
		if n.open() && !n.busy && t.commit.Fits(sane(n.w.Capacity)) {
			more = f(n)
		}
	}
}

// awaitRoom reports whether runs that are stopping already make room for t.
func (c *cycle) awaitRoom(t *candidate) bool {
	for _, n := range c.nodes {
		if n.open() && t.commit.Fits(n.free.Add(n.leaving)) && c.admissible(n, t) && c.bearableWithout(n, t, nil) {
			c.nominate(n, t)
			return true
		}
	}
	return false
}

// stopping reports whether r is stopping, also by a decision of this cycle.
func (c *cycle) stopping(r *Run) bool {
	_, ok := c.preempted[r]
	return ok || r.Stopping
}

// admissible applies the filters that a preemption does not change.
func (c *cycle) admissible(n *node, t *candidate) bool {
	return workerProbation{}.check(c, n, t) == "" && failedBefore{}.check(c, n, t) == ""
}

// bearableWithout reports whether the services on n stand t once the runs that
// are stopping, and the victims, are gone.
func (c *cycle) bearableWithout(n *node, t *candidate, victims []*Run) bool {
	if t.p.Spec.Kind != job.Batch || c.v.Blind {
		return true
	}
	c.prepare(n)
	for i := range n.services {
		x := n.services[i]
		for k, r := range n.w.Runs {
			if r.Spec.Kind == job.Batch && (c.stopping(r) || slices.Contains(victims, r)) {
				x.remove(c.profile(r.Spec).family, c.runIntensity(n, k))
			}
		}
		if !c.bearable(&x, t) {
			return false
		}
	}
	return true
}

// nominate keeps for t what is free, and what becomes free, on n.
func (c *cycle) nominate(n *node, t *candidate) {
	now := least(t.commit, n.free)
	n.leaving = n.leaving.Sub(t.commit.Sub(now))
	c.take(n, now)
	c.charge(t)
	c.decide(Decision{
		Step: Wait, Task: t.p.Task, Worker: n.w.ID,
		Reason: Reason{Stage: StagePreemption, Detail: "room is being made on " + n.w.ID + "; now: " + t.why().Detail},
	})
}

// victims returns the runs to move off n so that t fits, and their price for
// each task of t's job that they make room for: one run where one is enough, or
// else the largest first.
func (c *cycle) victims(n *node, t *candidate) ([]*Run, float64, bool) {
	if !c.admissible(n, t) {
		return nil, 0, false
	}
	list := c.yielding(n, t)
	room := n.free.Add(n.leaving)
	if one, cost := c.single(n, t, list, room); one != nil {
		return one, cost, true
	}
	slices.SortStableFunc(list, func(a, b *Run) int { return compareSize(b, a) })
	for i, r := range list {
		room = room.Add(sane(r.Commit))
		if i > 0 && c.clears(n, t, room, list[:i+1]) {
			return list[:i+1], price(list[:i+1]) / t.served(room), true
		}
	}
	return nil, 0, false
}

// single returns the one run that makes room at the lowest price, or nil.
func (c *cycle) single(n *node, t *candidate, list []*Run, room resource.Vector) ([]*Run, float64) {
	var (
		found []*Run
		least float64
	)
	for i, r := range list {
		one, after := list[i:i+1], room.Add(sane(r.Commit))
		cost := price(one) / t.served(after)
		if (found == nil || cost < least) && c.clears(n, t, after, one) {
			found, least = one, cost
		}
	}
	return found, least
}

// served is how many tasks of t's job fit into room, at least 1 and at most
// those that wait.
func (t *candidate) served(room resource.Vector) float64 {
	n := int64(max(t.waiting, 1))
	n = min(n, room.MilliCPU/max(t.commit.MilliCPU, 1), room.MemoryMB/max(t.commit.MemoryMB, 1))
	return float64(max(n, 1))
}

// clears reports whether t fits into room and is bearable without the victims.
func (c *cycle) clears(n *node, t *candidate, room resource.Vector, victims []*Run) bool {
	return t.commit.Fits(room) && c.bearableWithout(n, t, victims)
}

// yielding returns the runs on n that make way for t, cheapest first.
func (c *cycle) yielding(n *node, t *candidate) []*Run {
	var list []*Run
	for _, r := range n.w.Runs {
		if !c.stopping(r) && r.Spec.Kind == job.Batch && c.yields(r, t) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), compareSize(a, b))
	})
	return list
}

func compareSize(a, b *Run) int { return cmp.Compare(a.Commit.MilliCPU, b.Commit.MilliCPU) }

// loss is what moving a run costs beyond the move itself, in moves.
func loss(r *Run) float64 {
	return 0.5*float64(r.Evictions) + float64(min(max(r.Spec.Priority, 0), 100))/200
}

// price is the cost of moving the runs, in moves.
func price(victims []*Run) float64 {
	sum := 0.0
	for _, r := range victims {
		sum += 1 + loss(r)
	}
	return sum
}

// yields reports whether run r makes way for t.
func (c *cycle) yields(r *Run, t *candidate) bool {
	if r.Spec.Urgent {
		return false
	}
	if t.p.Spec.Kind != job.Batch {
		return true
	}
	return r.Spec.Priority < t.p.Spec.Priority
}

// Preempting reports whether a task that waits with reason r has room being
// made for it.
func Preempting(r Reason) bool { return r.Stage == StagePreemption }
