// Package queueorder ranks the jobs that wait for capacity, and prices the stops of runs. It
// answers overload: when more work arrives than can run, an order by slack alone begins every job
// and finishes each slightly too late.
package queueorder

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what a waiting job can still achieve, best first.
type Standing int

const (
	Finishable Standing = iota // it can end in time, also behind the jobs that go before it
	Doubtful                   // it can end in time only if capacity is freed sooner than expected
	Late                       // it can end within LateFactor times the allowed time
	Expired                    // it only has to complete
)

const (
	// LateFactor is the multiple of its allowed time after which a job is assumed to be of no
	// use to its caller.
	LateFactor = 3
	// lateWorth is the share of its worth that a late job is assumed to keep.
	lateWorth = 0.15
	// fixedWorth is the part of the worth of a job of mean size that does not depend on its work:
	// someone waits for it, however small it is.
	fixedWorth = 0.3
	// chainMargin is the share of the remaining chain that is kept free for failed runs and for
	// tasks that last longer than expected.
	chainMargin = 0.15
	// minLeft bounds the work left from below, as a share of the mean work of the queue's jobs.
	minLeft = 0.02
)

// Job is a waiting job of the queues that share capacity. Work is in core-milliseconds.
type Job struct {
	ID       string
	Priority int           // of its queue, 0 first
	Allowed  time.Duration // from its arrival to its end
	Elapsed  time.Duration // since its arrival
	Chain    time.Duration // expected duration of the longest chain that is still to run
	Work     float64       // expected work of all its tasks
	MeanWork float64       // mean of Work over the queue's jobs, 0 if unknown
	Left     float64       // expected work that is not done yet
	Waiting  float64       // expected work of the tasks that have no run
	Begun    bool          // some task runs or has run
	Boost    float64       // factor for its density, for groups of jobs that fall behind; 0 for 1

	Standing Standing // set by Rank
	Density  float64  // set by Rank: worth per work left
}

// Rank sets the standing and the density of the jobs and sorts them in the order in which they get
// capacity. Jobs that have begun come first among those that can end in time: capacity given
// to many jobs at once finishes few of them.
func Rank(jobs []*Job, cores func(priority int) float64) {
	for _, j := range jobs {
		j.Standing, j.Density = j.alone(), 0
		j.Density = j.density()
	}
	slices.SortFunc(jobs, compare)
	doubt(jobs, cores)
	slices.SortStableFunc(jobs, compare)
}

// compare orders by priority, standing and density.
func compare(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Standing, b.Standing),
		-cmp.Compare(a.Density, b.Density),
		cmp.Compare(a.ID, b.ID),
	)
}

// alone is the standing of a job that gets capacity at once.
func (j *Job) alone() Standing {
	end := j.Elapsed + j.Chain
	switch {
	case end <= j.Allowed:
		return Finishable
	case end < LateFactor*j.Allowed:
		return Late
	}
	return Expired
}

// density is what the job earns per work that is left, relative to a job of mean size that has not
// begun.
func (j *Job) density() float64 {
	if j.MeanWork <= 0 {
		return 1
	}
	worth := fixedWorth + (1-fixedWorth)*j.Work/j.MeanWork
	if j.Standing > Doubtful {
		worth *= lateWorth
	}
	if j.Boost > 0 {
		worth *= j.Boost
	}
	return worth / max(minLeft, j.Left/j.MeanWork)
}

// doubt finds, in the order of the jobs, those that the jobs before them make late. They take no
// capacity from the jobs behind them: these are judged as if they were not there.
func doubt(jobs []*Job, cores func(priority int) float64) {
	ahead := 0.0
	for _, j := range jobs {
		if j.Standing != Finishable {
			continue
		}
		left := j.Chain
		if c := cores(j.Priority); c > 0 {
			left = max(j.Chain+atRate(ahead, c), atRate(ahead+j.Waiting, c))
		}
		margin := time.Duration(chainMargin * float64(j.Chain))
		if !j.Begun && j.Elapsed+left+margin > j.Allowed {
			j.Standing = Doubtful
			continue
		}
		ahead += j.Waiting
	}
}

// atRate is the time in which the given cores do an amount of work.
func atRate(work, cores float64) time.Duration {
	return time.Duration(work / cores * float64(time.Millisecond))
}
