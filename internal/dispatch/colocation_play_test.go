package dispatch

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

const (
	serviceTail   = 4  // milliseconds, of a service without load
	serviceTarget = 18 // milliseconds
	loadPeriod    = 10 * time.Second
	reportEvery   = 500 * time.Millisecond
	heavyImage    = "f0"
)

// sharedWorkers plays services whose load swings with any phase, beside backfill runs of six images. One of
// them disturbs every service; each run does so by periods.
type sharedWorkers struct {
	*player
	phases            map[string]float64 // by job
	overTarget, total int                // reports of services, after the first period
}

// load is the own load of a service's job at a time.
func (w *sharedWorkers) load(job string, at time.Duration) float64 {
	return 0.45 + 0.21*math.Sin(2*math.Pi*at.Seconds()/loadPeriod.Seconds()+w.phases[job])
}

// full reports whether the run of a task uses all of its CPU now. Each task changes every three seconds.
func full(name string, at time.Duration) bool {
	h := fnv.New64a()
	fmt.Fprint(h, name, int(at/(3*time.Second)))
	return h.Sum64()%100 < 65
}

// pressure is what the run of t adds to the utilisation of services on h.
func pressure(t *task, h *host, at time.Duration) float64 {
	weight := 0.3
	if t.step.Image == heavyImage {
		weight = 3
	}
	if !full(t.name, at) {
		weight /= 5
	}
	return weight * cpuShare(t, h)
}

// reportAll lets each worker report, one after the other.
func (w *sharedWorkers) reportAll(at time.Duration) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(w.hosts)) {
		n++
		if (at+time.Duration(n)*playStep)%reportEvery != 0 {
			continue
		}
		h := w.hosts[id]
		added := 0.0
		for _, t := range h.tasks {
			if t.step.Backfill && t.stage == stageRunning {
				added += pressure(t, h, at)
				t.gauge = t.mayUse()
				if !full(t.name, at) {
					t.gauge *= 0.67
				}
			}
		}
		for _, t := range h.tasks {
			if !t.isService() || t.stage != stageRunning {
				continue
			}
			t.percent = startedPercent
			t.gauge = math.Round(serviceTail / (1 - min(0.98, w.load(t.job.spec.ID, at)+added)))
			if at > loadPeriod {
				w.total++
				if t.gauge > serviceTarget {
					w.overTarget++
				}
			}
		}
		w.controlTailLatencies(h, w.now)
	}
}

// playShared plays a minute on twelve workers.
func playShared(seed uint64) *sharedWorkers {
	rng := rand.New(rand.NewPCG(seed, 3))
	var arrivals []*arrival
	for i := range 11 {
		a := &arrival{spec: workload.Spec{ID: fmt.Sprintf("%016x", 1<<33+i), Queue: "short", Payload: "p", Steps: []workload.Step{{
			Tasks: 5, LongRunning: true, Image: fmt.Sprint("s", i%3), TargetMillis: serviceTarget, EstimateMillis: 500,
			Needs: resource.Vector{MilliCPU: 5000 + rng.Int64N(2000), MemoryMB: 8000},
		}}}}
		for range 5 {
			a.tasks = append(a.tasks, time.Hour)
		}
		arrivals = append(arrivals, a)
	}
	jobs := generate(seed, 50*time.Second, loadClass{
		queue: "batch", perSecond: 1.1, steps: 2, width: 8, duration: 1700 * time.Millisecond, estimateOff: 0.5,
		milliCPU: 3500, memoryMB: 5000, spread: 0.3, checkpoints: true, backfill: true,
	})
	for _, a := range jobs {
		for i := range a.spec.Steps {
			a.spec.Steps[i].Image = fmt.Sprint("f", rng.IntN(6))
		}
	}
	w := &sharedWorkers{player: newPlayer(12, resource.Vector{MilliCPU: 32000, MemoryMB: 125000}, append(arrivals, jobs...)), phases: map[string]float64{}}
	w.stop, w.cfg.Features.Order = 200*time.Millisecond, true
	w.cfg.Bounds.Stop = w.stop
	for _, a := range arrivals {
		w.phases[a.spec.ID] = 2 * math.Pi * rng.Float64()
	}
	w.report = w.reportAll
	w.play(time.Minute)
	return w
}

// TestPlayedColocation plays services with swinging loads beside more backfill work than the heavy image finds
// capacity for. Services stay within their target for 95% of the time, and the callers of jobs
// without the heavy image get them in time.
func TestPlayedColocation(t *testing.T) {
	over, total := 0, 0
	light, heavy := outcome{}, outcome{}
	for seed := range uint64(3) {
		w := playShared(seed + 1)
		over, total = over+w.overTarget, total+w.total
		hasHeavy := func(a *arrival) bool {
			return slices.ContainsFunc(a.spec.Steps, func(st workload.Step) bool { return st.Image == heavyImage })
		}
		l := w.outcomeOf(func(a *arrival) bool { return a.spec.Queue == "batch" && !hasHeavy(a) })
		h := w.outcomeOf(func(a *arrival) bool { return a.spec.Queue == "batch" && hasHeavy(a) })
		t.Logf("seed %d: over target %d of %d; light: %v; heavy: %v", seed+1, w.overTarget, w.total, l, h)
		light.jobs, light.inTime = light.jobs+l.jobs, light.inTime+l.inTime
		heavy.jobs, heavy.inTime = heavy.jobs+h.jobs, heavy.inTime+h.inTime
	}
	if 20*over > total {
		t.Errorf("services were over their target in %d of %d reports", over, total)
	}
	if light.share() < 0.9 {
		t.Errorf("%d of %d jobs without the heavy image in time", light.inTime, light.jobs)
	}
}
