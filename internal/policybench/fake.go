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
	tick         = time.Second
	reportEvery  = 5 * time.Second // a worker's measurement window
	checkpointIn = 3 * time.Second // time that a stop with a checkpoint takes
	stopIn       = time.Second     // time that a stop without one takes
	failAfter    = 3 * time.Second // on a worker that fails everything
	reportNoise  = 0.12            // of the logarithm of a reported latency
	spikeShare   = 0.02            // of reports that are far off
	spikeFactor  = 3.0
)

// task is the truth about one task; the policy never sees it.
type task struct {
	family   *family
	milliCPU float64
	memoryMB float64 // peak
	seconds  float64 // at full speed
}

// fakeRun is a run on a fake worker.
type fakeRun struct {
	owner    *placement.Run
	truth    *task // nil for services and watches
	service  *service
	progress float64 // seconds of full speed done
	saved    float64
	stopAt   time.Duration // 0 while it is not stopping
	save     bool
	age      time.Duration
	slowdown float64 // service: factor in this tick
	p99      float64 // service: seconds, in this tick
	load     float64
	skew     float64
	sum      window
}

// window sums a run's measurements since the last report.
type window struct {
	ticks                     int
	p99, cpu, memory, load, w float64
}

// ended is a run's end as the worker reports it.
type ended struct {
	run    *fakeRun
	state  contract.RunState
	reason string
}

// fakeWorker runs tasks. Its guards hold every run to its commitment.
type fakeWorker struct {
	owner    *placement.Worker
	runs     []*fakeRun
	dead     bool
	failsAll bool
	offset   time.Duration // of its reports
}

// step runs the worker for one tick and returns the runs that ended.
func (w *fakeWorker) step(now time.Duration, t *truth) []ended {
	if w.dead {
		return nil
	}
	var out []ended
	kept := w.runs[:0]
	for _, r := range w.runs {
		r.age += tick
		if state, reason := w.advance(r, now); state.Final() {
			out = append(out, ended{r, state, reason})
			continue
		}
		kept = append(kept, r)
	}
	clear(w.runs[len(kept):])
	w.runs = kept
	w.serve(t)
	return out
}

// advance moves one run on by a tick.
func (w *fakeWorker) advance(r *fakeRun, now time.Duration) (contract.RunState, string) {
	if r.stopAt > 0 && now >= r.stopAt {
		if r.save {
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
	speed := math.Min(1, float64(r.owner.Commit.MilliCPU)/r.truth.milliCPU)
	r.progress += speed * tick.Seconds()
	memory := r.memory()
	if memory > float64(r.owner.Commit.MemoryMB) {
		return contract.Failed, placement.ReasonMemory
	}
	r.sum.cpu += speed * r.truth.milliCPU
	r.sum.memory = math.Max(r.sum.memory, memory)
	r.sum.w += speed
	r.sum.ticks++
	if r.progress >= r.truth.seconds {
		return contract.Finished, ""
	}
	return contract.Running, ""
}

// memory grows with progress up to the peak.
func (r *fakeRun) memory() float64 {
	done := math.Min(1, r.progress/(0.8*r.truth.seconds))
	return r.truth.memoryMB * (0.4 + 0.6*done)
}

// serve works out the latency of the worker's services in this tick.
func (w *fakeWorker) serve(t *truth) {
	for _, s := range w.runs {
		if s.service == nil {
			continue
		}
		s.slowdown = 1
		for _, b := range w.runs {
			if b.truth != nil {
				use := math.Min(1, float64(b.owner.Commit.MilliCPU)/b.truth.milliCPU)
				s.slowdown += t.slowdown(s.service, b.truth.family, s.load) * use
			}
		}
		s.p99 = s.service.quiet(s.load) * s.slowdown
		s.sum.p99 += s.p99
		s.sum.load += s.load
		s.sum.cpu += math.Min(1, s.load) * float64(s.owner.Commit.MilliCPU)
		s.sum.memory = s.service.memoryMB
		s.sum.ticks++
	}
}

// report returns the worker's measurements of the last window.
func (w *fakeWorker) report(now time.Duration, rng *rand.Rand) []placement.RunUsage {
	out := make([]placement.RunUsage, 0, len(w.runs))
	for _, r := range w.runs {
		u := placement.RunUsage{Run: r.owner.ID, Spec: r.owner.Spec, Commit: r.owner.Commit, Throttled: r.owner.Throttled}
		if n := float64(r.sum.ticks); n > 0 {
			u.MeasuredAt = now
			u.Usage = contract.Usage{
				Used:     resource.Vector{MilliCPU: int64(r.sum.cpu / n), MemoryMB: int64(r.sum.memory)},
				Load:     r.sum.load / n,
				P99:      job.Duration(noisy(r.sum.p99/n, rng) * float64(time.Second)),
				Rate:     r.sum.w / n,
				Progress: int64(r.progress),
			}
		}
		r.sum = window{}
		out = append(out, u)
	}
	return out
}

func noisy(v float64, rng *rand.Rand) float64 {
	v *= math.Exp(rng.NormFloat64() * reportNoise)
	if rng.Float64() < spikeShare {
		v *= spikeFactor
	}
	return v
}
