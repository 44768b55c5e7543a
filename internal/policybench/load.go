package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"skylarkport/internal/job"
)

const (
	tasksPerJob          = 30
	urgentJobFraction    = 0.03
	urgentPriority       = 60 // added to the priority of urgent jobs
	deadlineJobFraction  = 0.5
	noiseWaveJobFraction = 0.5  // of the jobs during a noise wave come from its family
	nightLoad            = 0.22 // services' load at night, as a fraction of full load
	noonLoad             = 0.4
	closingLoad          = 0.82
	loadJitterSigma      = 0.04 // standard deviation per tick
	loadSkewSigma        = 0.08 // standard deviation of the logarithm of a replica's skew
)

// serviceLoadAt returns the services' load at a fraction of the day: low at
// night, a small peak before noon and a high one at closing time.
func serviceLoadAt(at float64) float64 {
	peak := func(center, width float64) float64 {
		x := (at - center) / width
		return math.Exp(-x * x)
	}
	return nightLoad + (noonLoad-nightLoad)*peak(0.35, 0.1) + (closingLoad-nightLoad)*peak(0.7, 0.11)
}

// jobArrivals generates batch jobs with exponentially distributed intervals.
type jobArrivals struct {
	truth *truth
	rng   *rand.Rand
	rate  float64 // jobs per second
	next  time.Duration
	count int // jobs generated so far
}

// newArrivals returns arrivals at the rate that would keep milliCPU busy.
func newArrivals(t *truth, milliCPU float64, rng *rand.Rand) *jobArrivals {
	work := 0.0
	for _, f := range t.families[:familyCount] {
		work += f.milliCPU * f.seconds / familyCount
	}
	return &jobArrivals{truth: t, rng: rng, rate: milliCPU / (work * tasksPerJob)}
}

// batchJob is a submitted job with the actual properties of its tasks.
type batchJob struct {
	spec  *job.Spec
	tasks []*task
}

// jobsUntil returns the jobs that arrive up to now. During a noise wave part of
// them belong to the family that slows every service down.
func (a *jobArrivals) jobsUntil(now time.Duration, wave bool) []batchJob {
	var out []batchJob
	for a.next <= now {
		out = append(out, a.newJob(wave))
		a.next += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
	}
	return out
}

func (a *jobArrivals) newJob(wave bool) batchJob {
	a.count++
	f := a.truth.families[a.rng.IntN(familyCount)]
	if wave && a.rng.Float64() < noiseWaveJobFraction {
		f = a.truth.families[noiseWaveFamily]
	}
	n := 1 + a.rng.IntN(2*tasksPerJob-1)
	s := &job.Spec{
		ID:       jobName(a.count),
		Kind:     job.Batch,
		Priority: a.rng.IntN(60),
		Urgent:   a.rng.Float64() < urgentJobFraction,
		Tasks:    n, Retries: 5,
		Needs: f.declared, RunTime: job.Duration(f.declaredTime),
	}
	if s.Urgent {
		s.Priority = min(s.Priority+urgentPriority, 100)
	}
	s.Family = f.name
	s.Organisation = "workshop"
	if a.rng.Float64() < deadlineJobFraction {
		s.Deadline = job.Duration((2.5 + 5*a.rng.Float64()) * f.seconds * float64(time.Second))
	}
	b := batchJob{spec: s}
	for range n {
		b.tasks = append(b.tasks, newTask(f, a.rng))
	}
	return b
}

func jobName(i int) string { return fmt.Sprintf("job-%05d", i) }
