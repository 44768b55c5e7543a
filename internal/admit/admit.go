// Package admit decides which jobs a shard accepts when more work is submitted than its
// workers can do, and when the callers of the others should return.
package admit

import (
	"math"
	"time"
)

// Demand is accepted work that is not running yet.
type Demand struct {
	StartBy time.Duration // by when it has to start for its job to end in time, on the clock of Request.Now
	Work    float64       // core-milliseconds
}

// Forecast is what a shard knows about the work of one priority. While the shard is full, work
// starts as fast as work is completed, roughly in the order of StartBy.
type Forecast struct {
	Cores   float64  // cores' worth of work that the shard completes when it is full, as measured; 0 if unknown
	Idle    float64  // cores that stay free once the waiting tasks that could use them are placed
	Late    float64  // core-milliseconds of accepted jobs that cannot end in time; they start last
	Demands []Demand // work of the other accepted jobs, and work for which capacity is kept
	// LateLast says that the order of the queue keeps jobs that end late from delaying others.
	LateLast bool
}

// Request is a job whose caller asks for its acceptance.
type Request struct {
	Now     time.Duration
	Due     time.Duration // by when the job has to end to be in time
	LateDue time.Duration // by when it is still of use to its caller
	Chain   time.Duration // expected duration if it waits for nothing
	Slack   time.Duration // how long jobs of its queue can wait on average and still end in time
	Work    float64       // core-milliseconds
	Returns bool          // it was refused before
}

// startBy returns by when the job has to start to end in time.
func (r *Request) startBy() time.Duration { return r.Due - r.Chain }

// Verdict is the decision about a Request.
type Verdict struct {
	Accepted bool
	InTime   bool          // it would end in time if it started now
	End      time.Duration // expected time from now to its end, if it is accepted
	Pressure float64       // expected wait as a share of the longest at which the job is accepted
}

// Shares of the time that jobs can wait and still be of use.
const (
	// newShare is the share of the slack of its queue up to which a new job waits. The rest is left
	// to errors of the forecast: in a queue in which jobs may use up their slack, each ends a little
	// too late.
	newShare = 0.3
	// returnShare is the same for returning jobs, so that they go before new ones.
	returnShare = 0.4
	// ownShare is the share of its own slack up to which a job waits for those that start before it.
	ownShare = 0.8
	// lateShare is the share of its time up to which a job waits that can only end late.
	lateShare = 0.3
	// spareShare is the share of the slack up to which others may wait beside such a job. It runs
	// after all of them, and not at all while the shard stays full.
	spareShare = 0.1
	// idleShare is the idle share of the capacity at which such a job is accepted in any case.
	idleShare = 0.2
	// elsewhereShare is the share of the slack of its queue up to which a refused job waits at
	// another shard, whose figures are older.
	elsewhereShare = 0.15
)

// Decide decides about a job. It answers a load that exceeds the capacity for longer than jobs
// can wait: with everything accepted, each job ends a little too late. What counts is the wait at
// the shard and not the size of the job, so that large and small jobs have the same chance; its
// work counts for those that come after it. Where late jobs do not delay others, only a job is
// refused that would end, after all accepted work, when it is of no more use.
func (f *Forecast) Decide(r Request) Verdict {
	v := Verdict{End: f.expectedEnd(&r), InTime: r.Now <= r.startBy()}
	if f.Cores <= 0 || f.Idle > 0 && (v.InTime || f.Idle > idleShare*f.Cores) {
		v.Accepted = true
		return v
	}
	wait := share(f.Wait(), r.Slack)
	if v.InTime {
		limit := newShare
		if r.Returns {
			limit = returnShare
		}
		v.Pressure = max(wait/limit, share(f.wait(r.startBy()), r.startBy()-r.Now)/ownShare)
	} else {
		v.Pressure = max(wait/spareShare, share(f.Drained(), r.LateDue-r.Chain-r.Now)/lateShare)
	}
	v.Accepted = v.Pressure <= 1 || f.LateLast && r.Now+f.Drained()+max(r.Chain, f.timeFor(r.Work)) <= r.LateDue
	return v
}

// Elsewhere reports whether a job that its own shard refuses can end in time at another shard, at
// which it would wait for the given time.
func (r *Request) Elsewhere(wait time.Duration) bool {
	slack := r.startBy() - r.Now
	return slack >= 0 && share(wait, r.Slack) <= elsewhereShare && share(wait, slack) <= ownShare
}

// shortest bounds the ratios of times.
const shortest = 200 * time.Millisecond

func share(wait, allowed time.Duration) float64 {
	return float64(wait) / float64(max(allowed, shortest))
}

// Add takes in the work of an accepted job.
func (f *Forecast) Add(d Demand) { f.Demands = append(f.Demands, d) }

// wait returns how long the shard takes for the work that has to start by the given time.
func (f *Forecast) wait(startBy time.Duration) time.Duration {
	sum := 0.0
	for _, d := range f.Demands {
		if d.StartBy <= startBy {
			sum += d.Work
		}
	}
	return f.timeFor(sum)
}

// expectedEnd returns the expected time from now to the end of the job.
func (f *Forecast) expectedEnd(r *Request) time.Duration {
	if f.Cores <= 0 || f.Idle > 0 {
		return r.Chain
	}
	wait := f.Drained()
	if r.Now <= r.startBy() {
		wait = f.wait(r.startBy())
	}
	return wait + max(r.Chain, f.timeFor(r.Work))
}

// Wait returns how long the shard takes for the accepted work that can end in time.
func (f *Forecast) Wait() time.Duration { return f.wait(math.MaxInt64) }

// Drained returns how long the shard takes for all accepted work.
func (f *Forecast) Drained() time.Duration { return f.Wait() + f.timeFor(f.Late) }

// timeFor returns how long the shard takes for some core-milliseconds, at most an hour.
func (f *Forecast) timeFor(work float64) time.Duration {
	if f.Cores <= 0 {
		return 0
	}
	return time.Duration(min(work/f.Cores, float64(time.Hour.Milliseconds())) * float64(time.Millisecond))
}
