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
	wantFeasible = 16                     // workers that are scored for a batch task
	maxExplained = 256                    // waiting tasks that get a decision of their own in a cycle
	explainStep  = 100 * time.Millisecond // after which explain begins one job further on
	maxExamined  = 96                     // workers that are looked at for them
)

// prefilters judge a task before any worker is looked at.
var prefilters = []prefilter{retryLimit{}, neverRuns{}, tenantHeadroom{}}

// filters say which workers may take a task; scores rank those that may.
var (
	filters = []filter{nodeResourcesFit{}, workerProbation{}, failedBefore{}, interferenceLimit{}}
	scores  = []scorer{nodeResourcesFit{}, failedBefore{}, rackSpread{}, interferenceLimit{}}
)

// prefilter judges a task by itself.
type prefilter interface {
	name() string
	// check returns the step that the task gets at once, or "" to go on.
	check(c *cycle, t *candidate) (Step, string)
}

// filter excludes workers.
type filter interface {
	name() string
	// check returns why n may not take the task, or "".
	check(c *cycle, n *node, t *candidate) string
}

// scorer ranks workers; lower is better.
type scorer interface {
	score(c *cycle, n *node, t *candidate) float64
}

// candidate is a pending task with what the stages worked out for it.
type candidate struct {
	p       *Pending
	waiting int // tasks of the job that are still to be placed, with this one
	family  string
	commit  resource.Vector
	reject  map[string]int // workers by the filter that excluded them
}

// schedule places the pending tasks in queue order.
func (c *cycle) schedule() {
	list := c.order()
	c.placeAll(list)
	c.explain(list)
}

func (c *cycle) placeAll(list []*group) {
	for _, g := range list {
		for i, p := range g.tasks {
			if c.considered == maxConsidered {
				return
			}
			c.place(p, len(g.tasks)-i)
			if _, blocked := c.blocked[g.id]; !blocked {
				g.decided = i + 1
			}
		}
	}
}

// explain repeats the reason of waiting jobs for some of their tasks, beginning
// with another job in each cycle, so that each task gets its reason in time.
func (c *cycle) explain(list []*group) {
	if len(list) == 0 || len(c.plan.Waiting) == 0 {
		return
	}
	why := make(map[string]Reason, len(c.plan.Waiting))
	for _, w := range c.plan.Waiting {
		why[w.Job] = w.Reason
	}
	left := maxExplained
	first := int(c.s.Now/explainStep) % len(list)
	for i := range list {
		g := list[(first+i)%len(list)]
		r, ok := why[g.id]
		if !ok {
			continue
		}
		for _, p := range g.tasks[g.decided:] {
			if left == 0 {
				return
			}
			if c.plain(p) {
				left--
				c.decide(Decision{Step: Wait, Task: p.Task, Reason: r})
			}
		}
	}
}

// place decides on one task. Where an equal task of its job found no worker in
// this cycle, none is looked for. waiting counts the tasks of the job from p on.
func (c *cycle) place(p *Pending, waiting int) {
	if _, blocked := c.blocked[p.Task.Job]; blocked && c.plain(p) {
		return
	}
	c.considered++
	t := &candidate{p: p, waiting: waiting, family: c.profile(p.Spec).family, commit: c.commitment(p.Spec, p.Task)}
	for _, f := range prefilters {
		if step, why := f.check(c, t); step != "" {
			c.refuse(t, step, Reason{Stage: f.name(), Detail: why})
			return
		}
	}
	if n, score := c.best(t); n != nil {
		c.reserve(n, t, score)
		return
	}
	if c.preempt(t) {
		return
	}
	c.refuse(t, Wait, t.why())
}

// plain reports whether p is as every new task of its job.
func (c *cycle) plain(p *Pending) bool {
	_, floor := c.v.Floors[p.Task]
	return len(p.FailedOn) == 0 && !floor
}

func (c *cycle) refuse(t *candidate, step Step, r Reason) {
	if step == Wait && c.plain(t.p) {
		c.blocked[t.p.Task.Job] = struct{}{}
		c.plan.Waiting = append(c.plan.Waiting, Waiting{Job: t.p.Task.Job, Reason: r})
		return
	}
	c.decide(Decision{Step: step, Task: t.p.Task, Reason: r})
}

// best returns the best worker for t, or nil.
func (c *cycle) best(t *candidate) (*node, float64) {
	var (
		found              *node
		least              float64
		feasible, examined int
	)
	c.index.visit(t.commit.MilliCPU, startOf(t.p.Task), func(n *node) bool {
		examined++
		if f := c.excluded(n, t); f != "" {
			t.rejected(f)
			return feasible == 0 || examined < maxExamined
		}
		feasible++
		if s := c.score(n, t); found == nil || s < least || s == least && n.w.ID < found.w.ID {
			found, least = n, s
		}
		if t.p.Spec.Kind != job.Batch {
			return true
		}
		return feasible < wantFeasible && examined < maxExamined
	})
	return found, least
}

func (c *cycle) excluded(n *node, t *candidate) string {
	for _, f := range filters {
		if why := f.check(c, n, t); why != "" {
			return why
		}
	}
	return ""
}

func (c *cycle) score(n *node, t *candidate) float64 {
	sum := 0.0
	for _, s := range scores {
		sum += s.score(c, n, t)
	}
	return sum
}

// reserve commits t on n for the rest of the cycle.
func (c *cycle) reserve(n *node, t *candidate, score float64) {
	c.take(n, t.commit)
	n.live++
	n.placed = append(n.placed, t.p)
	c.charge(t)
	c.countReplica(n, t.p.Spec)
	c.expose(n, t)
	c.decide(Decision{
		Step: Place, Task: t.p.Task, Worker: n.w.ID, Commit: t.commit, Resume: t.p.Resume,
		Reason: Reason{Stage: StageReserve, Detail: "best of the workers that fit", Score: score},
	})
}

// expose adds t to what the services on n suffer.
func (c *cycle) expose(n *node, t *candidate) {
	if t.p.Spec.Kind != job.Batch {
		n.prepared = false
		n.services = nil
		return
	}
	for i := range n.services {
		n.services[i].add(t.family, 1)
	}
}

func (t *candidate) rejected(by string) {
	if t.reject == nil {
		t.reject = map[string]int{}
	}
	t.reject[by]++
}

// why sums up which filters left no worker.
func (t *candidate) why() Reason {
	top, n := "", 0
	for by, k := range t.reject {
		if k > n || k == n && by < top {
			top, n = by, k
		}
	}
	if top == "" {
		return Reason{Stage: nodeResourcesFit{}.name(), Detail: fmt.Sprintf("no open worker has %d millicores free", t.commit.MilliCPU)}
	}
	return Reason{Stage: "Filter", Detail: top + " on " + strconv.Itoa(n) + " workers"}
}

// startOf spreads the searches of different tasks over the workers.
func startOf(t job.TaskID) uint64 {
	return xxhash.Sum64String(t.Job) + uint64(t.Index)*0x9E3779B97F4A7C15
}
