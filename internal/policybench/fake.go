package policybench

import (
	"math"
	"math/rand/v2"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
)

const (
	tick               = time.Second
	reportInterval     = 5 * time.Second // a worker's measurement window
	checkpointDuration = 3 * time.Second // time that a stop with a checkpoint takes
	stopDuration       = time.Second     // time that a stop without one takes
	failAfter          = 3 * time.Second // age at which runs fail on a worker that fails everything
	reportNoiseSigma   = 0.12            // standard deviation of a reported latency's logarithm
	outlierFraction    = 0.02            // fraction of the reported latencies that are outliers
	outlierFactor      = 3.0             // by which an outlier is too high
)

// task holds the actual properties of a batch task, which the policy never sees.
type task struct {
	family   *family
	milliCPU float64
	memoryMB float64 // peak
	seconds  float64 // at full speed
}

// fakeRun is a run on a fake worker.
type fakeRun struct {
	view             *placement.Run
	truth            *task // nil for services and watches
	service          *service
	progress         float64       // seconds of work done, at full speed
	saved            float64       // progress of the last checkpoint
	stopAt           time.Duration // 0 while it is not stopping
	checkpointOnStop bool
	age              time.Duration
	slowdown         float64 // of a service: factor on its latency in this tick
	p99              float64 // of a service: seconds, in this tick
	load             float64 // of a service: 1 is the full load of a replica
	loadSkew         float64 // of a service: factor on this replica's share of the load
	sinceReport      usageSum
}

// usageSum sums up a run's measurements, one per tick, since the last report.
// memory is the peak; speed is the sum of a batch run's speed, 1 being full
// speed.
type usageSum struct {
	ticks                         int
	p99, cpu, memory, load, speed float64
}

// runEnd is the end of a run as the worker reports it.
type runEnd struct {
	run    *fakeRun
	state  contract.RunState
	reason string
}

// fakeWorker simulates a worker. A run gets no more processor time than its
// commitment, and fails when it exceeds the committed memory.
type fakeWorker struct {
	view     *placement.Worker
	runs     []*fakeRun
	dead     bool
	failsAll bool
	offset   time.Duration // shifts its reports, so that workers do not report all at once
}

// step runs the worker for one tick and returns the runs that ended.
func (w *fakeWorker) step(now time.Duration, t *truth) []runEnd {
	if w.dead {
		return nil
	}
	var out []runEnd
	kept := w.runs[:0]
	for _, r := range w.runs {
		r.age += tick
		if state, reason := w.advanceRun(r, now); state.Final() {
			out = append(out, runEnd{r, state, reason})
			continue
		}
		kept = append(kept, r)
	}
	clear(w.runs[len(kept):])
	w.runs = kept
	w.updateLatencies(t)
	return out
}

// advanceRun advances one run by a tick and returns its state.
func (w *fakeWorker) advanceRun(r *fakeRun, now time.Duration) (contract.RunState, string) {
	if r.stopAt > 0 && now >= r.stopAt {
		if r.checkpointOnStop {
			r.saved = r.progress
		}
		return contract.Stopped, "ordered"
	}
	if w.failsAll && r.age >= failAfter {
		return contract.Failed, "exit status 1"
	}
	if r.truth == nil {
		return contract.Running, ""
	}
	speed := math.Min(1, float64(r.view.Commit.MilliCPU)/r.truth.milliCPU)
	r.progress += speed * tick.Seconds()
	memory := r.memory()
	if memory > float64(r.view.Commit.MemoryMB) {
		return contract.Failed, placement.ReasonMemory
	}
	r.sinceReport.cpu += speed * r.truth.milliCPU
	r.sinceReport.memory = math.Max(r.sinceReport.memory, memory)
	r.sinceReport.speed += speed
	r.sinceReport.ticks++
	if r.progress >= r.truth.seconds {
		return contract.Finished, ""
	}
	return contract.Running, ""
}

// memory returns the memory in use: 40% of the peak at the start, growing
// linearly to the peak at 80% of the task's duration.
func (r *fakeRun) memory() float64 {
	done := math.Min(1, r.progress/(0.8*r.truth.seconds))
	return r.truth.memoryMB * (0.4 + 0.6*done)
}

// updateLatencies computes the latency of the worker's services in this tick from
// their load and the batch runs on the same worker.
func (w *fakeWorker) updateLatencies(t *truth) {
	for _, s := range w.runs {
		if s.service == nil {
			continue
		}
		s.slowdown = 1
		for _, b := range w.runs {
			if b.truth != nil {
				use := math.Min(1, float64(b.view.Commit.MilliCPU)/b.truth.milliCPU)
				s.slowdown += t.slowdown(s.service, b.truth.family, s.load) * use
			}
		}
		s.p99 = s.service.baselineP99(s.load) * s.slowdown
		s.sinceReport.p99 += s.p99
		s.sinceReport.load += s.load
		s.sinceReport.cpu += math.Min(1, s.load) * float64(s.view.Commit.MilliCPU)
		s.sinceReport.memory = s.service.memoryMB
		s.sinceReport.ticks++
	}
}

// report returns the worker's measurements since its last report and resets them.
func (w *fakeWorker) report(now time.Duration, rng *rand.Rand) []placement.RunUsage {
	out := make([]placement.RunUsage, 0, len(w.runs))
	for _, r := range w.runs {
		u := placement.RunUsage{Run: r.view.ID, Spec: r.view.Spec, Commit: r.view.Commit, Throttled: r.view.Throttled}
		if n := float64(r.sinceReport.ticks); n > 0 {
			u.MeasuredAt = now
			u.Usage = contract.Usage{
				Used:     resource.Vector{MilliCPU: int64(r.sinceReport.cpu / n), MemoryMB: int64(r.sinceReport.memory)},
				Load:     r.sinceReport.load / n,
				P99:      job.Duration(withNoise(r.sinceReport.p99/n, rng) * float64(time.Second)),
				Rate:     r.sinceReport.speed / n,
				Progress: int64(r.progress),
			}
		}
		r.sinceReport = usageSum{}
		out = append(out, u)
	}
	return out
}

// withNoise returns v with log-normal noise, and now and then an outlier.
func withNoise(v float64, rng *rand.Rand) float64 {
	v *= math.Exp(rng.NormFloat64() * reportNoiseSigma)
	if rng.Float64() < outlierFraction {
		v *= outlierFactor
	}
	return v
}
