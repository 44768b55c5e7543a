package placement

import (
	"fmt"
	"math"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
	"skylarkport/internal/resource"
)

// maxTasksPerCycle is the number of pending tasks for which one cycle searches
// for a worker.
const maxTasksPerCycle = 2048

// Stages that set Reason.Stage.
const (
	StageInterference         = "Interference"
	StageGrow                 = "Grow"
	StageShrink               = "Shrink"
	StagePreemption           = "Preemption"
	StageReserve              = "Reserve"
	StageRetryLimit           = "RetryLimit"
	StageNeverRuns            = "NeverRuns"
	StageOrganisationHeadroom = "TenantHeadroom"
)

// node is the working state of one worker during a cycle.
type node struct {
	worker           *Worker
	view             *WorkerView
	quarantineStatus quarantine.Status
	free             resource.Vector // neither committed nor reserved in this cycle
	releasing        resource.Vector // held by stopping or throttled runs and not yet reserved for a nominated task
	overcommitted    bool            // runs hold more than the worker's capacity
	liveRuns         int             // runs that are not stopping, plus those placed in this cycle
	placed           []*Pending
	hasStep          bool // a step other than a preemption was decided for one of its runs in this cycle
	exposuresReady   bool // exposures is filled in
	exposures        []exposure
	bucket           int
	slot             int // position within the index bucket
}

// acceptsRuns reports whether the worker may take new runs.
func (n *node) acceptsRuns() bool {
	return n.worker.Health == Healthy && !n.overcommitted && n.quarantineStatus != quarantine.Quarantined
}

// cycle is the working state of one call of Decide.
type cycle struct {
	snapshot          *Snapshot
	view              *View
	nodes             []*node
	index             *index
	largestCapacities []resource.Vector // worker capacities that do not fit within another worker's capacity
	headroom          map[string]resource.Vector
	replicasByRack    map[string]map[string]int // runs by job and rack, filled in on demand for services and watches
	profiles          map[*job.Spec]*profile
	blockedJobs       map[string]struct{} // jobs with an interchangeable task that found no worker in this cycle
	preempted         map[*Run]struct{}   // runs that this cycle moves or throttles to free capacity
	plan              *Plan
	evictions         int
	tasksConsidered   int
	tailLatencyShare  float64
}

// Decide returns the decisions for one snapshot. It changes neither s nor v, and
// equal arguments give equal plans.
func Decide(s *Snapshot, v *View) *Plan {
	c := newCycle(s, v)
	c.respondToInterference()
	c.resizeRuns()
	c.schedulePending()
	return c.plan
}

// newCycle returns a cycle with the free resources of all workers computed.
func newCycle(s *Snapshot, v *View) *cycle {
	c := &cycle{
		snapshot:         s,
		view:             v,
		nodes:            make([]*node, 0, len(s.Workers)),
		headroom:         make(map[string]resource.Vector, len(s.Headroom)),
		profiles:         map[*job.Spec]*profile{},
		blockedJobs:      map[string]struct{}{},
		preempted:        map[*Run]struct{}{},
		plan:             &Plan{},
		evictions:        v.Evictions,
		tailLatencyShare: tailShare(&v.Config),
	}
	for t, h := range s.Headroom {
		c.headroom[t] = h
	}
	backing := make([]node, len(s.Workers))
	for i, w := range s.Workers {
		n := &backing[i]
		n.worker, n.view, n.quarantineStatus = w, v.Workers[w.ID], v.Quarantine[w.ID]
		n.computeFree()
		c.nodes = append(c.nodes, n)
		c.addLargestCapacity(w.Capacity)
	}
	c.index = newIndex(c.nodes)
	return c
}

// computeFree sets free, releasing, liveRuns and overcommitted from the worker's
// capacity and runs.
func (n *node) computeFree() {
	capacity := clampVector(n.worker.Capacity)
	n.free = capacity
	for _, r := range n.worker.Runs {
		held := clampVector(r.Commit)
		n.free = n.free.Sub(held)
		if r.Stopping {
			n.releasing = n.releasing.Add(held)
		} else {
			n.liveRuns++
		}
	}
	if !n.free.Valid() || !n.worker.Capacity.Valid() {
		n.overcommitted = true
		n.free = resource.Vector{}
	}
}

// allocate reserves v on the worker for the rest of the cycle. The caller has
// checked that it fits.
func (c *cycle) allocate(n *node, v resource.Vector) {
	n.free = n.free.Sub(v)
	c.index.update(n)
}

// addLargestCapacity adds v to largestCapacities unless it fits within one of them, and
// drops those that fit within v.
func (c *cycle) addLargestCapacity(v resource.Vector) {
	v = clampVector(v)
	for _, l := range c.largestCapacities {
		if v.Fits(l) {
			return
		}
	}
	kept := c.largestCapacities[:0]
	for _, l := range c.largestCapacities {
		if !l.Fits(v) {
			kept = append(kept, l)
		}
	}
	c.largestCapacities = append(kept, v)
}

// fitsSomeWorker reports whether v fits within the capacity of some worker.
func (c *cycle) fitsSomeWorker(v resource.Vector) bool {
	for _, l := range c.largestCapacities {
		if v.Fits(l) {
			return true
		}
	}
	return false
}

func (c *cycle) addDecision(d Decision) { c.plan.Decisions = append(c.plan.Decisions, d) }

// addStep adds a step for a run to the plan. Steps other than preemptions mark
// the worker, so that later stages of the cycle leave its runs alone.
func (c *cycle) addStep(s Step, n *node, r *Run, commit resource.Vector, stage, format string, args ...any) {
	n.hasStep = n.hasStep || stage != StagePreemption
	c.addDecision(Decision{
		Step: s, Task: r.ID.Task, Run: r.ID, Worker: n.worker.ID, Commit: commit,
		Reason: Reason{Stage: stage, Detail: fmt.Sprintf(format, args...)},
	})
}

// expectedRunTime returns how long a task of s is expected to run from the saved
// progress resume, in work units.
func (c *cycle) expectedRunTime(s *job.Spec, resume int64) time.Duration {
	return c.profile(s).usage.Remaining(resume, s.RunTime.D())
}

// saturatingAdd returns a + b, or the largest duration if the sum overflows.
func saturatingAdd(a, b time.Duration) time.Duration {
	if b > 0 && a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}
