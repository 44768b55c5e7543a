package dispatch

import (
	"math"

	"skylarkport/internal/workload"
)

// durationModel predicts how long tasks of a queue run. Declared durations are far from the
// real ones. The logarithm of the real duration is modelled as a linear function of the
// logarithm of the declared one, fitted for each queue to the runs observed.
type durationModel struct {
	queues  map[string]*regression
	stretch stepStretch // nil where the chains of jobs are predicted without it
}

func newDurationModel() durationModel { return durationModel{queues: map[string]*regression{}} }

const (
	// minRuns is how many runs a queue's regression needs before it is used.
	minRuns = 12
	// maxRuns bounds the weight of old runs, as the behaviour of a queue changes with time.
	maxRuns = 500
	// minMillis replaces shorter durations, whose logarithm would be undefined or dominate
	// the fit.
	minMillis = 50
)

// regression holds the sums of a linear regression. Beyond maxRuns samples, old ones decay
// exponentially.
type regression struct {
	n, sumX, sumY, sumXX, sumXY, sumYY float64
}

// add takes in one sample.
func (r *regression) add(x, y float64) {
	if r.n >= maxRuns {
		keep := (maxRuns - 1) / r.n
		r.n, r.sumX, r.sumY, r.sumXX, r.sumXY, r.sumYY = r.n*keep, r.sumX*keep, r.sumY*keep, r.sumXX*keep, r.sumXY*keep, r.sumYY*keep
	}
	r.n++
	r.sumX, r.sumY = r.sumX+x, r.sumY+y
	r.sumXX, r.sumXY, r.sumYY = r.sumXX+x*x, r.sumXY+x*y, r.sumYY+y*y
}

// evaluate returns the expected y at x. The slope is kept between 0 (the declared duration
// says nothing) and 1 (the real duration is proportional to it).
func (r *regression) evaluate(x float64) float64 {
	mx, my := r.sumX/r.n, r.sumY/r.n
	variance := r.sumXX/r.n - mx*mx
	slope := 0.0
	if variance > 0 {
		slope = min(1, max(0, (r.sumXY/r.n-mx*my)/variance))
	}
	return my + slope*(x-mx)
}

func logMillis(ms int64) float64 { return math.Log(float64(max(ms, minMillis))) }

// observe records a run that was neither throttled nor resumed from a checkpoint.
func (d *durationModel) observe(queue string, declared, millis int64) {
	r := d.queues[queue]
	if r == nil {
		r = &regression{}
		d.queues[queue] = r
	}
	r.add(logMillis(declared), logMillis(millis))
}

// predict returns the expected duration of a task in milliseconds: the declared one while
// too few runs of the queue were observed.
func (d *durationModel) predict(queue string, declared int64) int64 {
	r := d.queues[queue]
	if r == nil || r.n < minRuns {
		return declared
	}
	return int64(math.Exp(r.evaluate(logMillis(declared))))
}

// criticalPaths returns, for each step of j, the expected milliseconds from its start to
// the end of the longest chain of dependent steps that begins with it.
func (d *durationModel) criticalPaths(j *job) []int64 {
	stretch := d.stretch.factor(j.spec.Queue)
	return workload.CriticalPaths(j.spec.Steps, func(i int) int64 {
		return int64(float64(d.taskMillis(j, i)) * stretch)
	})
}

// taskMillis returns the expected milliseconds of a task of a step of j: those that another task
// of the step took, if there is one.
func (d *durationModel) taskMillis(j *job, step int) int64 {
	if j.observedMillis[step] > 0 {
		return j.observedMillis[step]
	}
	return d.predict(j.spec.Queue, j.spec.Steps[step].EstimateMillis)
}

// expectedWork is the expected work of a job's steps from the given one on, in
// core-milliseconds.
func (d *durationModel) expectedWork(j *workload.Spec, from int) float64 {
	sum := 0.0
	for i := from; i < len(j.Steps); i++ {
		st := &j.Steps[i]
		sum += float64(st.MilliCPU()) / 1000 * float64(d.predict(j.Queue, st.EstimateMillis))
	}
	return sum
}

// meanWork holds the mean work of the jobs of each queue, in core-milliseconds.
type meanWork map[string]float64

// meanWorkWindow is the number of jobs over which the mean is smoothed exponentially.
const meanWorkWindow = 30

// observe takes in the work of a new job.
func (s meanWork) observe(queue string, work float64) {
	mean, ok := s[queue]
	if !ok {
		mean = work
	}
	s[queue] = mean + (work-mean)/meanWorkWindow
}

// relative returns work as a multiple of the queue's mean, or 1 while the mean is unknown.
func (s meanWork) relative(queue string, work float64) float64 {
	if mean := s[queue]; mean > 0 {
		return work / mean
	}
	return 1
}
