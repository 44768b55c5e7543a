package fleet

import (
	"time"

	"skylarkport/internal/workload"
)

// defaultAttempts is the number of attempts of a queue whose configuration states none.
const defaultAttempts = 2

// Terms returns what q promises to a job that it accepts.
func (q *Queue) Terms() *workload.Terms {
	t := &workload.Terms{
		Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Slack: q.Slack, TargetMillis: q.Target.Milliseconds(),
	}
	if t.Attempts <= 0 {
		t.Attempts = defaultAttempts
	}
	if a := q.Advice; a != nil {
		t.Advice = &workload.AdviceTerms{
			DecisionMillis: a.Decision.Milliseconds(), PerWorkerMillis: a.PerWorker.Milliseconds(), ValidityMillis: a.Validity.Milliseconds(),
		}
	}
	return t
}

// AcceptedQueue returns the queue of j as of its acceptance, or nil if its terms are not known.
func AcceptedQueue(j *workload.Spec) *Queue {
	t := j.Terms
	if t == nil {
		return nil
	}
	q := &Queue{
		Name: j.Queue, Service: t.Service, Priority: t.Priority, Attempts: t.Attempts, Slack: t.Slack, Target: millis(t.TargetMillis),
	}
	if a := t.Advice; a != nil {
		q.Advice = &AdvicePolicy{Decision: millis(a.DecisionMillis), PerWorker: millis(a.PerWorkerMillis), Validity: millis(a.ValidityMillis)}
	}
	return q
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
