package dispatch

import (
	"math"
	"time"

	"skylarkport/internal/workload"
)

// stepStretch predicts how much longer the longest task of a step takes than the expected
// duration of a task, by queue. The chain of a job, from which its objective follows, consists of
// the longest tasks: those of a step with twenty tasks are half as long again. A nil map predicts
// no difference.
type stepStretch map[string]*stretchMean

// stretchMean is a mean of the logarithm of the ratio.
type stretchMean struct{ n, mean float64 }

const (
	// stretchWindow is the number of steps over which the ratio is smoothed.
	stretchWindow = 40
	// maxStretch bounds the factor, as few steps on slow workers could raise it far.
	maxStretch = 4.0
)

// observe takes in a step whose longest task took longest times the expected duration.
func (s stepStretch) observe(queue string, longest float64) {
	if s == nil || longest <= 0 {
		return
	}
	m := s[queue]
	if m == nil {
		m = &stretchMean{}
		s[queue] = m
	}
	m.n = min(m.n+1, stretchWindow)
	m.mean += (math.Log(longest) - m.mean) / m.n
}

// factor returns the expected ratio for a queue, 1 until some steps were observed.
func (s stepStretch) factor(queue string) float64 {
	m := s[queue]
	if m == nil || m.n < minStretchSteps {
		return 1
	}
	return min(maxStretch, max(1, math.Exp(m.mean)))
}

// minStretchSteps is how many steps a queue's factor needs before it is used.
const minStretchSteps = 5

// recordStepStretch takes in the run of t, which has just succeeded: at the end of its step, the
// longest of its runs is compared with the expected duration.
func (s *Shard) recordStepStretch(t *task, took time.Duration) {
	if s.durationModel.stretch == nil {
		return
	}
	j, step := t.job, t.id.Step
	if j.longestMillis == nil {
		j.longestMillis = make([]int64, len(j.spec.Steps))
	}
	j.longestMillis[step] = max(j.longestMillis[step], took.Milliseconds())
	for _, o := range j.stepTasks(t.id.Occurrence, step) {
		if o != t && o.Phase != workload.Done {
			return
		}
	}
	if expected := s.durationModel.predict(j.spec.Queue, t.step.EstimateMillis); expected > 0 {
		s.durationModel.stretch.observe(j.spec.Queue, float64(j.longestMillis[step])/float64(expected))
	}
}
