package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"skylarkport/internal/job"
)

const (
	tasksPerJob    = 30
	urgentShare    = 0.03
	urgentPriority = 60 // added to the priority of urgent jobs
	dueShare       = 0.5
	waveShare      = 0.5 // of the jobs during a noise wave
	calmLoad       = 0.22
	noonLoad       = 0.4
	closingLoad    = 0.82
	loadJitter     = 0.04
	skewOfLoad     = 0.08
)

// dayLoad is the services' load at a fraction of the day: calm at night, a
// small peak before noon, a high one at closing time.
func dayLoad(at float64) float64 {
	hump := func(center, width float64) float64 {
		x := (at - center) / width
		return math.Exp(-x * x)
	}
	return calmLoad + (noonLoad-calmLoad)*hump(0.35, 0.1) + (closingLoad-calmLoad)*hump(0.7, 0.11)
}

// arrivals makes the batch jobs.
type arrivals struct {
	t     *truth
	rng   *rand.Rand
	rate  float64 // jobs per second
	next  time.Duration
	count int
}

// newArrivals offers as much work as would keep milliCPU busy.
func newArrivals(t *truth, milliCPU float64, rng *rand.Rand) *arrivals {
	work := 0.0
	for _, f := range t.families[:families] {
		work += f.milliCPU * f.seconds / families
	}
	return &arrivals{t: t, rng: rng, rate: milliCPU / (work * tasksPerJob)}
}

// batchJob is a submitted job with the truth about its tasks.
type batchJob struct {
	spec  *job.Spec
	tasks []*task
}

// due returns the jobs that arrive up to now.
func (a *arrivals) due(now time.Duration, wave bool) []batchJob {
	var out []batchJob
	for a.next <= now {
		out = append(out, a.job(wave))
		a.next += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
	}
	return out
}

func (a *arrivals) job(wave bool) batchJob {
	a.count++
	f := a.t.families[a.rng.IntN(families)]
	if wave && a.rng.Float64() < waveShare {
		f = a.t.families[waveFamily]
	}
	n := 1 + a.rng.IntN(2*tasksPerJob-1)
	s := &job.Spec{
		ID:       jobName(a.count),
		Kind:     job.Batch,
		Priority: a.rng.IntN(60),
		Urgent:   a.rng.Float64() < urgentShare,
		Tasks:    n, Retries: 5,
		Needs: f.declared, RunTime: job.Duration(f.declaredTime),
	}
	if s.Urgent {
		s.Priority = min(s.Priority+urgentPriority, 100)
	}
	s.Family = f.name
	s.Organisation = "workshop"
	if a.rng.Float64() < dueShare {
		s.Deadline = job.Duration((2.5 + 5*a.rng.Float64()) * f.seconds * float64(time.Second))
	}
	b := batchJob{spec: s}
	for range n {
		b.tasks = append(b.tasks, newTask(f, a.rng))
	}
	return b
}

func jobName(i int) string { return fmt.Sprintf("job-%05d", i) }
