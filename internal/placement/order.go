package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"skylarkport/internal/job"
)

const (
	agePerMinute  = 1.0   // priority gained by waiting
	maxAge        = 150.0 // priority gained by waiting, at most: above any declared one
	dueBoost      = 120.0 // of a task whose latest safe start is near
	dueHorizon    = 10 * time.Minute
	runTimeMargin = 1.25 // on the expected run time
	criticalBoost = 200.0
	urgentBoost   = 1000.0
	// Urgent tasks go nearly in order of arrival, so that room made for one is
	// not taken by the next.
	urgentPerSecond = 50.0
	maxUrgentAge    = 1000.0
)

// group is the tasks of one job that may start now, with their effective
// priority.
type group struct {
	id    string
	tasks []*Pending
	rank  float64
	// decided counts the first tasks that have a decision of their own.
	decided int
}

// order returns the jobs with tasks that may start now, most important first.
func (c *cycle) order() []*group {
	list := c.groups()
	for _, g := range list {
		if !slices.IsSortedFunc(g.tasks, compareTasks) {
			slices.SortFunc(g.tasks, compareTasks)
		}
		g.rank = c.rank(g.tasks[0])
	}
	slices.SortFunc(list, compareGroups)
	return list
}

func (c *cycle) groups() []*group {
	var (
		list []*group
		last *group
	)
	byJob := map[string]*group{}
	for _, p := range c.s.Pending {
		if p.NotBefore > c.s.Now {
			continue
		}
		if last == nil || last.id != p.Task.Job {
			last = byJob[p.Task.Job]
		}
		if last == nil {
			last = &group{id: p.Task.Job}
			byJob[p.Task.Job] = last
			list = append(list, last)
		}
		last.tasks = append(last.tasks, p)
	}
	return list
}

func compareGroups(a, b *group) int {
	if a.rank != b.rank {
		if a.rank > b.rank {
			return -1
		}
		return 1
	}
	if a.tasks[0].Submitted != b.tasks[0].Submitted {
		return compare(a.tasks[0].Submitted, b.tasks[0].Submitted)
	}
	return strings.Compare(a.id, b.id)
}

// compareTasks puts tasks that have run before first.
func compareTasks(a, b *Pending) int {
	if begun := (a.Resume > 0) != (b.Resume > 0); begun {
		if a.Resume > 0 {
			return -1
		}
		return 1
	}
	return a.Task.Index - b.Task.Index
}

func compare(a, b time.Duration) int {
	if a < b {
		return -1
	}
	return 1
}

// rank is the declared priority with aging, and boosts for urgent and
// latency-critical work and for batch tasks near their latest safe start.
func (c *cycle) rank(p *Pending) float64 {
	r := float64(min(max(p.Spec.Priority, 0), 100))
	waited := max(c.s.Now-p.Submitted, 0)
	r += math.Min(maxAge, waited.Minutes()*agePerMinute)
	if p.Spec.Urgent {
		r += urgentBoost + math.Min(maxUrgentAge, waited.Seconds()*urgentPerSecond)
	}
	if job.ClassOf(p.Spec.Kind) == job.LatencyCritical {
		return r + criticalBoost
	}
	return r + c.due(p)
}

// due grows from 0 to dueBoost as the latest safe start comes near. A deadline
// that can no longer be met gets half: others can still be kept.
func (c *cycle) due(p *Pending) float64 {
	if p.Spec.Deadline <= 0 {
		return 0
	}
	slack := c.slack(p)
	if slack >= dueHorizon {
		return 0
	}
	end := saturated(p.Submitted, p.Spec.Deadline.D())
	if saturated(c.s.Now, c.runTime(p.Spec, p.Resume)/2) > end {
		return dueBoost / 2
	}
	return dueBoost * (1 - math.Max(0, float64(slack)/float64(dueHorizon)))
}

// slack is the time until the latest safe start.
func (c *cycle) slack(p *Pending) time.Duration {
	need := time.Duration(runTimeMargin * float64(c.runTime(p.Spec, p.Resume)))
	return saturated(p.Submitted, p.Spec.Deadline.D()) - need - c.s.Now
}
