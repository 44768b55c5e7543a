package dispatch

import (
	"math"

	"skylarkport/internal/workload"
)

// durations predicts how long tasks of a queue run. Declared durations are far
// from the truth; the logarithm of the true one is taken to depend linearly on
// the logarithm of the declared one, by a regression over the runs seen.
type durations struct {
	queues map[string]*regression
}

func newDurations() durations { return durations{queues: map[string]*regression{}} }

const (
	// minRuns is how many runs a queue's regression needs before it is used.
	minRuns = 12
	// maxRuns bounds the weight of the past: queues change.
	maxRuns = 500
	// leastMillis stands for declared durations of zero.
	leastMillis = 50
)

// regression holds the sums of a linear regression, decayed beyond maxRuns.
type regression struct {
	n, sumX, sumY, sumXX, sumXY float64
}

func (r *regression) add(x, y float64) {
	if r.n >= maxRuns {
		keep := (maxRuns - 1) / r.n
		r.n, r.sumX, r.sumY, r.sumXX, r.sumXY = r.n*keep, r.sumX*keep, r.sumY*keep, r.sumXX*keep, r.sumXY*keep
	}
	r.n++
	r.sumX, r.sumY = r.sumX+x, r.sumY+y
	r.sumXX, r.sumXY = r.sumXX+x*x, r.sumXY+x*y
}

// at returns the predicted y.
func (r *regression) at(x float64) float64 {
	mx, my := r.sumX/r.n, r.sumY/r.n
	variance := r.sumXX/r.n - mx*mx
	slope := 0.0
	if variance > 0 {
		slope = min(1, max(0, (r.sumXY/r.n-mx*my)/variance))
	}
	return my + slope*(x-mx)
}

func logMillis(ms int64) float64 { return math.Log(float64(max(ms, leastMillis))) }

// saw notes a whole run at full speed.
func (d *durations) saw(queue string, declared, millis int64) {
	r := d.queues[queue]
	if r == nil {
		r = &regression{}
		d.queues[queue] = r
	}
	r.add(logMillis(declared), logMillis(millis))
}

// predict returns the expected duration of a task, in milliseconds.
func (d *durations) predict(queue string, declared int64) int64 {
	r := d.queues[queue]
	if r == nil || r.n < minRuns {
		return declared
	}
	return int64(math.Exp(r.at(logMillis(declared))))
}

// chain returns, per step of j, the expected milliseconds from the step's start
// to the end of the longest chain of steps that begins with it.
func (d *durations) chain(j *job) []int64 {
	return workload.Chain(j.spec.Steps, func(i int) int64 {
		if j.seen[i] > 0 {
			return j.seen[i]
		}
		return d.predict(j.spec.Queue, j.spec.Steps[i].EstimateMillis)
	})
}

// work is the expected work of a job's steps from one on, in core-milliseconds.
func (d *durations) work(j *workload.Spec, from int) float64 {
	sum := 0.0
	for i := from; i < len(j.Steps); i++ {
		st := &j.Steps[i]
		sum += float64(st.MilliCPU()) / 1000 * float64(d.predict(j.Queue, st.EstimateMillis))
	}
	return sum
}

// sizes holds the mean work of a queue's jobs, by queue.
type sizes map[string]float64

// sizeMemory is how many jobs the mean size of a queue goes back over.
const sizeMemory = 30

// saw notes the work of a new job.
func (s sizes) saw(queue string, work float64) {
	mean, ok := s[queue]
	if !ok {
		mean = work
	}
	s[queue] = mean + (work-mean)/sizeMemory
}

// relative is work as a share of the queue's mean, or 1 where that is not known.
func (s sizes) relative(queue string, work float64) float64 {
	if mean := s[queue]; mean > 0 {
		return work / mean
	}
	return 1
}
