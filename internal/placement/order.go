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
)

// ranked is a pending task with its effective priority.
type ranked struct {
	p    *Pending
	rank float64
}

// order returns the tasks that may start now, most important first.
func (c *cycle) order() []*Pending {
	list := make([]ranked, 0, len(c.s.Pending))
	for _, p := range c.s.Pending {
		if p.NotBefore <= c.s.Now {
			list = append(list, ranked{p, c.rank(p)})
		}
	}
	slices.SortFunc(list, compareRanked)
	out := make([]*Pending, len(list))
	for i := range list {
		out[i] = list[i].p
	}
	return out
}

func compareRanked(a, b ranked) int {
	if a.rank != b.rank {
		if a.rank > b.rank {
			return -1
		}
		return 1
	}
	if a.p.Submitted != b.p.Submitted {
		return compare(a.p.Submitted, b.p.Submitted)
	}
	if a.p.Task.Job != b.p.Task.Job {
		return strings.Compare(a.p.Task.Job, b.p.Task.Job)
	}
	return a.p.Task.Index - b.p.Task.Index
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
		r += urgentBoost
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
