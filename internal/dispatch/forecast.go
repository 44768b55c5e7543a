package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarkport/internal/resource"
)

// release is capacity of a worker that is expected to become free.
type release struct {
	at       time.Duration
	capacity resource.Vector
}

const (
	// lateQuantile is the number of standard deviations of the logarithm of a duration that
	// separate the expected duration from the late one, within which five of six runs end.
	lateQuantile = 1.0
	// defaultSpread is the standard deviation assumed while too few runs were observed.
	defaultSpread = 0.5
	// minRemaining is the least time that a run is expected to go on.
	minRemaining = 20 * time.Millisecond
	// minOverrun is the least time that a run is expected to go on once it has outlasted its
	// expected duration.
	minOverrun = 100 * time.Millisecond
)

// spread returns the standard deviation of the logarithm of real durations around the
// prediction.
func (d *durationModel) spread(queue string) float64 {
	r := d.queues[queue]
	if r == nil || r.n < minRuns {
		return defaultSpread
	}
	return r.deviation()
}

// deviation returns the standard deviation of y around the fitted line.
func (r *regression) deviation() float64 {
	mx, my := r.sumX/r.n, r.sumY/r.n
	varianceX, varianceY := r.sumXX/r.n-mx*mx, r.sumYY/r.n-my*my
	covariance := r.sumXY/r.n - mx*my
	slope := r.evaluate(mx+1) - my
	return math.Sqrt(max(0, varianceY-2*slope*covariance+slope*slope*varianceX))
}

// expectedDuration returns how long a run of t is expected to last at full speed.
func (s *Shard) expectedDuration(t *task) time.Duration {
	return time.Duration(s.durationModel.taskMillis(t.job, t.id.Step)) * time.Millisecond
}

// lateDuration returns the duration within which a run of t most probably ends.
func (s *Shard) lateDuration(t *task) time.Duration {
	return time.Duration(float64(s.expectedDuration(t)) * math.Exp(lateQuantile*s.durationModel.spread(t.job.spec.Queue)))
}

// expectedEnd returns when the run of t on a worker is expected to end, and false for a
// long-running one, which does not end by itself. A run that has outlasted its expected duration
// is expected to take as long again as it is over it.
func (s *Shard) expectedEnd(t *task, now time.Duration) (time.Duration, bool) {
	if t.stopWanted {
		since := now
		if t.stopSentAt > 0 {
			since = t.stopSentAt
		}
		return max(since+s.cfg.Bounds.Stop, now+minRemaining), true
	}
	if t.step.LongRunning {
		return 0, false
	}
	expected, ran := s.expectedDuration(t), now-t.stageSince
	if t.cpuLimit > 0 {
		expected = expected * 100 / time.Duration(t.cpuLimit)
	}
	if ran < expected {
		return now + max(expected-ran, minRemaining), true
	}
	return now + max(ran-expected, minOverrun), true
}

// releases appends the expected releases of the worker's capacity to out, the soonest first.
func (s *Shard) releases(out []release, h *host, now time.Duration) []release {
	first := len(out)
	for _, t := range h.tasks {
		if at, ends := s.expectedEnd(t, now); ends {
			out = append(out, release{at, t.step.Committed()})
		}
	}
	slices.SortFunc(out[first:], func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return out
}

// earliestFit returns when need is expected to fit into the free capacity and the releases.
func earliestFit(need, free resource.Vector, releases []release, now time.Duration) (time.Duration, bool) {
	at := now
	for _, r := range releases {
		if need.Fits(free) {
			return at, true
		}
		free, at = free.Add(r.capacity), r.at
	}
	return at, need.Fits(free)
}

// freeAt returns the free capacity expected at a time.
func freeAt(free resource.Vector, releases []release, at time.Duration) resource.Vector {
	for _, r := range releases {
		if r.at > at {
			break
		}
		free = free.Add(r.capacity)
	}
	return free
}
