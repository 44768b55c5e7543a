package placement

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	enoughFeasible     = 16                     // workers scored for a batch task before the best is taken
	maxExplainedTasks  = 256                    // waiting tasks that get a Wait decision of their own in a cycle
	explainRotation    = 100 * time.Millisecond // interval after which explainWaiting begins at the next job
	maxExaminedWorkers = 96                     // workers examined for a batch task before a search with a feasible one ends
)

// prefilters check a task before any worker is examined.
var prefilters = []prefilter{retryLimit{}, neverRuns{}, organisationHeadroom{}}

// filters select the workers that may take a task; scorers rank them.
var (
	filters = []filter{nodeResourcesFit{}, workerProbation{}, failedBefore{}, interferenceLimit{}}
	scorers = []scorer{nodeResourcesFit{}, failedBefore{}, rackSpread{}, interferenceLimit{}}
)

// prefilter checks a task without regard to single workers.
type prefilter interface {
	name() string
	// check returns the step that settles the task and the reason, or "" if the
	// task may be placed.
	check(c *cycle, t *candidate) (Step, string)
}

// filter excludes workers for a task.
type filter interface {
	name() string
	// check returns the reason why n may not take the task, or "".
	check(c *cycle, n *node, t *candidate) string
}

// scorer computes a score of a worker for a task. The feasible worker with the lowest
// sum of all scores is chosen.
type scorer interface {
	score(c *cycle, n *node, t *candidate) float64
}

// candidate is a pending task with the values computed for it in this cycle.
type candidate struct {
	pending    *Pending
	waiting    int // pending tasks of the job from this one on
	family     string
	commit     resource.Vector
	rejections map[string]int // number of workers by the filter that excluded them
}

// schedulePending places the pending tasks in the order of their jobs, and adds
// the reasons of those that wait.
func (c *cycle) schedulePending() {
	list := c.orderJobs()
	c.placeJobs(list)
	c.explainWaiting(list)
}

// placeJobs decides on the tasks of each job in turn, for at most
// maxTasksPerCycle tasks.
func (c *cycle) placeJobs(list []*jobGroup) {
	for _, g := range list {
		for i, p := range g.tasks {
			if c.tasksConsidered == maxTasksPerCycle {
				return
			}
			c.placeTask(p, len(g.tasks)-i)
			if _, blocked := c.blockedJobs[g.id]; !blocked {
				g.decidedTasks = i + 1
			}
		}
	}
}

// explainWaiting adds a Wait decision with the job's reason for up to
// maxExplainedTasks tasks of waiting jobs. It begins at another job every
// explainRotation, so that each task gets its reason in time.
func (c *cycle) explainWaiting(list []*jobGroup) {
	if len(list) == 0 || len(c.plan.Waiting) == 0 {
		return
	}
	why := make(map[string]Reason, len(c.plan.Waiting))
	for _, w := range c.plan.Waiting {
		why[w.Job] = w.Reason
	}
	left := maxExplainedTasks
	first := int(c.snapshot.Now/explainRotation) % len(list)
	for i := range list {
		g := list[(first+i)%len(list)]
		r, ok := why[g.id]
		if !ok {
			continue
		}
		for _, p := range g.tasks[g.decidedTasks:] {
			if left == 0 {
				return
			}
			if c.interchangeable(p) {
				left--
				c.addDecision(Decision{Step: Wait, Task: p.Task, Reason: r})
			}
		}
	}
}

// placeTask decides on one task. It does not search for a worker if an
// interchangeable task of the job found none in this cycle. waiting is the number
// of pending tasks of the job from p on.
func (c *cycle) placeTask(p *Pending, waiting int) {
	if _, blocked := c.blockedJobs[p.Task.Job]; blocked && c.interchangeable(p) {
		return
	}
	c.tasksConsidered++
	t := &candidate{pending: p, waiting: waiting, family: c.profile(p.Spec).family, commit: c.commitment(p.Spec, p.Task)}
	for _, f := range prefilters {
		if step, why := f.check(c, t); step != "" {
			c.recordUnplaced(t, step, Reason{Stage: f.name(), Detail: why})
			return
		}
	}
	if n, score := c.bestWorker(t); n != nil {
		c.reserve(n, t, score)
		return
	}
	if c.preempt(t) {
		return
	}
	c.recordUnplaced(t, Wait, t.rejectionReason())
}

// interchangeable reports whether p is placed like any other new task of its job:
// it has no failures that exclude workers and no raised commitment.
func (c *cycle) interchangeable(p *Pending) bool {
	_, raised := c.view.MinCommitments[p.Task]
	return len(p.FailedOn) == 0 && !raised
}

// recordUnplaced adds the decision for a task that was not placed. A waiting
// interchangeable task blocks its whole job for the rest of the cycle.
func (c *cycle) recordUnplaced(t *candidate, step Step, r Reason) {
	if step == Wait && c.interchangeable(t.pending) {
		c.blockedJobs[t.pending.Task.Job] = struct{}{}
		c.plan.Waiting = append(c.plan.Waiting, Waiting{Job: t.pending.Task.Job, Reason: r})
		return
	}
	c.addDecision(Decision{Step: step, Task: t.pending.Task, Reason: r})
}

// bestWorker returns the feasible worker with the lowest score for t and that
// score, or nil. For a batch task it scores at most enoughFeasible workers, and
// examines at most maxExaminedWorkers once one was feasible. For a service or watch
// it examines all workers with enough free processors, so that replicas are spread well.
func (c *cycle) bestWorker(t *candidate) (*node, float64) {
	var (
		found              *node
		lowest             float64
		feasible, examined int
	)
	c.index.visit(t.commit.MilliCPU, searchStart(t.pending.Task), func(n *node) bool {
		examined++
		if f := c.excludedBy(n, t); f != "" {
			t.countRejection(f)
			return feasible == 0 || t.pending.Spec.Kind != job.Batch || examined < maxExaminedWorkers
		}
		feasible++
		if s := c.score(n, t); found == nil || s < lowest || s == lowest && n.worker.ID < found.worker.ID {
			found, lowest = n, s
		}
		if t.pending.Spec.Kind != job.Batch {
			return true
		}
		return feasible < enoughFeasible && examined < maxExaminedWorkers
	})
	return found, lowest
}

// excludedBy returns the reason of the first filter that excludes n for t, or "".
func (c *cycle) excludedBy(n *node, t *candidate) string {
	for _, f := range filters {
		if why := f.check(c, n, t); why != "" {
			return why
		}
	}
	return ""
}

func (c *cycle) score(n *node, t *candidate) float64 {
	sum := 0.0
	for _, s := range scorers {
		sum += s.score(c, n, t)
	}
	return sum
}

// reserve places t on n and allocates its commitment for the rest of the cycle.
func (c *cycle) reserve(n *node, t *candidate, score float64) {
	c.allocate(n, t.commit)
	n.liveRuns++
	n.placed = append(n.placed, t.pending)
	c.charge(t)
	c.countReplicaInRack(n, t.pending.Spec)
	c.addToExposures(n, t)
	c.addDecision(Decision{
		Step: Place, Task: t.pending.Task, Worker: n.worker.ID, Commit: t.commit, Resume: t.pending.Resume,
		Reason: Reason{Stage: StageReserve, Detail: "lowest score of the workers considered", Score: score},
	})
}

// addToExposures adds the expected slowdown by t to the services on n. A service
// or watch placed on n invalidates the exposures instead.
func (c *cycle) addToExposures(n *node, t *candidate) {
	if t.pending.Spec.Kind != job.Batch {
		n.exposuresReady = false
		n.exposures = nil
		return
	}
	for i := range n.exposures {
		n.exposures[i].addNeighbour(t.family, 1)
	}
}

// countRejection counts a worker that the named filter excluded.
func (t *candidate) countRejection(by string) {
	if t.rejections == nil {
		t.rejections = map[string]int{}
	}
	t.rejections[by]++
}

// rejectionReason returns why no worker was found for t: the filter that excluded the
// most workers, or NodeResourcesFit if no filter excluded any, because the search only
// visits workers that may have enough free processors.
func (t *candidate) rejectionReason() Reason {
	top, n := "", 0
	for by, k := range t.rejections {
		if k > n || k == n && by < top {
			top, n = by, k
		}
	}
	if top == "" {
		return Reason{Stage: nodeResourcesFit{}.name(), Detail: fmt.Sprintf("no open worker has %d millicores free", t.commit.MilliCPU)}
	}
	return Reason{Stage: "Filter", Detail: top + " on " + strconv.Itoa(n) + " workers"}
}

// searchStart returns a number that determines where the search for a worker for t
// begins, so that the searches of different tasks spread over the workers.
func searchStart(t job.TaskID) uint64 {
	return xxhash.Sum64String(t.Job) + uint64(t.Index)*0x9E3779B97F4A7C15
}
