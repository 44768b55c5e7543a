package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"skylarkport/internal/job"
)

const (
	agingPerMinute  = 1.0              // priority gained per minute of waiting
	maxAging        = 150.0            // above any declared priority, which is at most 100
	deadlineBoost   = 120.0            // at the latest safe start of a batch task with a deadline
	deadlineHorizon = 10 * time.Minute // before the latest safe start, when the boost sets in
	runTimeMargin   = 1.25             // factor on the expected run time for the latest safe start
	criticalBoost   = 200.0            // of latency-critical work
	urgentBoost     = 1000.0
	// urgentAgingPerSecond and maxUrgentAging let urgent tasks age fast, so that they
	// start nearly in order of arrival and capacity freed for one is not taken by the
	// next.
	urgentAgingPerSecond = 50.0
	maxUrgentAging       = 1000.0
)

// jobGroup is the pending tasks of one job that may start now, with the effective
// priority of the first.
type jobGroup struct {
	id       string
	tasks    []*Pending
	priority float64
	// decidedTasks is the number of leading tasks that have a decision of their
	// own in this cycle.
	decidedTasks int
}

// orderJobs returns the jobs with tasks that may start now, by descending
// effective priority, then by submission time and id.
func (c *cycle) orderJobs() []*jobGroup {
	list := c.groupByJob()
	for _, g := range list {
		if !slices.IsSortedFunc(g.tasks, compareTasks) {
			slices.SortFunc(g.tasks, compareTasks)
		}
		g.priority = c.effectivePriority(g.tasks[0])
	}
	slices.SortFunc(list, compareGroups)
	return list
}

// groupByJob groups the pending tasks whose back-off is over by job.
func (c *cycle) groupByJob() []*jobGroup {
	var (
		list []*jobGroup
		last *jobGroup
	)
	byJob := map[string]*jobGroup{}
	for _, p := range c.snapshot.Pending {
		if p.NotBefore > c.snapshot.Now {
			continue
		}
		if last == nil || last.id != p.Task.Job {
			last = byJob[p.Task.Job]
		}
		if last == nil {
			last = &jobGroup{id: p.Task.Job}
			byJob[p.Task.Job] = last
			list = append(list, last)
		}
		last.tasks = append(last.tasks, p)
	}
	return list
}

func compareGroups(a, b *jobGroup) int {
	if a.priority != b.priority {
		if a.priority > b.priority {
			return -1
		}
		return 1
	}
	if a.tasks[0].Submitted != b.tasks[0].Submitted {
		return compareDurations(a.tasks[0].Submitted, b.tasks[0].Submitted)
	}
	return strings.Compare(a.id, b.id)
}

// compareTasks orders tasks with saved progress first, then by index.
func compareTasks(a, b *Pending) int {
	if onlyOneResumes := (a.Resume > 0) != (b.Resume > 0); onlyOneResumes {
		if a.Resume > 0 {
			return -1
		}
		return 1
	}
	return a.Task.Index - b.Task.Index
}

// compareDurations orders two different durations.
func compareDurations(a, b time.Duration) int {
	if a < b {
		return -1
	}
	return 1
}

// effectivePriority returns the declared priority plus aging, with boosts for
// urgent and latency-critical work and for batch tasks near their latest safe
// start.
func (c *cycle) effectivePriority(p *Pending) float64 {
	r := float64(min(max(p.Spec.Priority, 0), 100))
	waited := max(c.snapshot.Now-p.Submitted, 0)
	r += math.Min(maxAging, waited.Minutes()*agingPerMinute)
	if p.Spec.Urgent {
		r += urgentBoost + math.Min(maxUrgentAging, waited.Seconds()*urgentAgingPerSecond)
	}
	if job.ClassOf(p.Spec.Kind) == job.LatencyCritical {
		return r + criticalBoost
	}
	return r + c.deadlinePriority(p)
}

// deadlinePriority returns a boost that rises from 0 to deadlineBoost as the
// latest safe start approaches. A task that would miss its deadline even if it ran
// only half its expected run time gets half of deadlineBoost, so that tasks that can
// still meet theirs come first.
func (c *cycle) deadlinePriority(p *Pending) float64 {
	if p.Spec.Deadline <= 0 {
		return 0
	}
	slack := c.slack(p)
	if slack >= deadlineHorizon {
		return 0
	}
	end := saturatingAdd(p.Submitted, p.Spec.Deadline.D())
	if saturatingAdd(c.snapshot.Now, c.expectedRunTime(p.Spec, p.Resume)/2) > end {
		return deadlineBoost / 2
	}
	return deadlineBoost * (1 - math.Max(0, float64(slack)/float64(deadlineHorizon)))
}

// slack returns the time until the latest start at which the task is expected to
// meet its deadline; it is negative after that.
func (c *cycle) slack(p *Pending) time.Duration {
	need := time.Duration(runTimeMargin * float64(c.expectedRunTime(p.Spec, p.Resume)))
	return saturatingAdd(p.Submitted, p.Spec.Deadline.D()) - need - c.snapshot.Now
}
