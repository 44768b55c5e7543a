package placement

import (
	"fmt"
	"math"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
	"skylarkport/internal/resource"
)

// maxConsidered bounds the pending tasks for which one cycle looks for a worker.
const maxConsidered = 2048

// Names of the stages in a Reason.
const (
	StageInterference = "Interference"
	StageGrow         = "Grow"
	StageShrink       = "Shrink"
	StagePreemption   = "Preemption"
	StageReserve      = "Reserve"
	StageRetryLimit   = "RetryLimit"
	StageNeverRuns    = "NeverRuns"
	StageHeadroom     = "TenantHeadroom"
)

// node is a worker during one cycle.
type node struct {
	w        *Worker
	view     *WorkerView
	status   quarantine.Status
	free     resource.Vector // not committed
	leaving  resource.Vector // held by runs that are stopping and not yet spoken for
	over     bool            // already committed beyond its capacity
	live     int             // runs that are not stopping, with those placed in this cycle
	placed   []*Pending
	busy     bool // a step was decided for it in this cycle
	prepared bool // the fields below are filled in
	services []exposure
	bucket   int
	slot     int // position in its bucket
}

// open reports whether the worker may take new runs.
func (n *node) open() bool { return n.w.Health == Healthy && !n.over && n.status != quarantine.Held }

// cycle is the working state of one call of Decide.
type cycle struct {
	s          *Snapshot
	v          *View
	nodes      []*node
	index      *index
	largest    []resource.Vector // capacities of the workers, none of which another holds
	headroom   map[string]resource.Vector
	racks      map[string]map[string]int // runs by job and rack, of replicated jobs
	profiles   map[*job.Spec]*profile
	blocked    map[string]struct{} // jobs of which a task found no worker in this cycle
	preempted  map[*Run]struct{}   // runs that this cycle moves to make room
	plan       *Plan
	evicted    int
	considered int
	tail       float64
}

// Decide returns the decisions for one snapshot. It is pure: it reads s and v
// and changes neither, and equal arguments give equal plans.
func Decide(s *Snapshot, v *View) *Plan {
	c := newCycle(s, v)
	c.respond()
	c.grow()
	c.schedule()
	return c.plan
}

func newCycle(s *Snapshot, v *View) *cycle {
	c := &cycle{
		s:         s,
		v:         v,
		nodes:     make([]*node, 0, len(s.Workers)),
		headroom:  make(map[string]resource.Vector, len(s.Headroom)),
		profiles:  map[*job.Spec]*profile{},
		blocked:   map[string]struct{}{},
		preempted: map[*Run]struct{}{},
		plan:      &Plan{},
		evicted:   v.Evictions,
		tail:      tailShare(&v.Config),
	}
	for t, h := range s.Headroom {
		c.headroom[t] = h
	}
	backing := make([]node, len(s.Workers))
	for i, w := range s.Workers {
		n := &backing[i]
		n.w, n.view, n.status = w, v.Workers[w.ID], v.Quarantine[w.ID]
		n.count()
		c.nodes = append(c.nodes, n)
		c.addCapacity(w.Capacity)
	}
	c.index = newIndex(c.nodes)
	return c
}

// count works out what is free on the worker.
func (n *node) count() {
	capacity := sane(n.w.Capacity)
	n.free = capacity
	for _, r := range n.w.Runs {
		held := sane(r.Commit)
		n.free = n.free.Sub(held)
		if r.Stopping {
			n.leaving = n.leaving.Add(held)
		} else {
			n.live++
		}
	}
	if !n.free.Valid() || !n.w.Capacity.Valid() {
		n.over = true
		n.free = resource.Vector{}
	}
}

// take commits v on the worker. The caller has checked that it fits.
func (c *cycle) take(n *node, v resource.Vector) {
	n.free = n.free.Sub(v)
	c.index.update(n)
}

func (c *cycle) addCapacity(v resource.Vector) {
	v = sane(v)
	for _, l := range c.largest {
		if v.Fits(l) {
			return
		}
	}
	kept := c.largest[:0]
	for _, l := range c.largest {
		if !l.Fits(v) {
			kept = append(kept, l)
		}
	}
	c.largest = append(kept, v)
}

// holdable reports whether some worker could hold v if it were empty.
func (c *cycle) holdable(v resource.Vector) bool {
	for _, l := range c.largest {
		if v.Fits(l) {
			return true
		}
	}
	return false
}

func (c *cycle) decide(d Decision) { c.plan.Decisions = append(c.plan.Decisions, d) }

// step decides a step for a run. Apart from preemptions, a worker gets steps of
// one stage in a cycle.
func (c *cycle) step(s Step, n *node, r *Run, commit resource.Vector, stage, format string, args ...any) {
	n.busy = n.busy || stage != StagePreemption
	c.decide(Decision{
		Step: s, Task: r.ID.Task, Run: r.ID, Worker: n.w.ID, Commit: commit,
		Reason: Reason{Stage: stage, Detail: fmt.Sprintf(format, args...)},
	})
}

// runTime is how long a task with saved progress is expected to run.
func (c *cycle) runTime(s *job.Spec, resume int64) time.Duration {
	return c.profile(s).usage.Remaining(resume, s.RunTime.D())
}

// saturated returns a + b without overflow.
func saturated(a, b time.Duration) time.Duration {
	if b > 0 && a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
