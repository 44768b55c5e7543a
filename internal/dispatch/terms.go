package dispatch

import (
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// A job is judged by the terms of its acceptance alone: a configuration in which its queue is missing or different, or
// none at all, ends no job. How it is run is up to the configuration in force, so that operators can change that for
// accepted jobs too, and to the terms if that does not name the queue.

// configuredQueue returns the queue of that name, or nil. cfg may be nil.
func configuredQueue(cfg *fleet.Config, name string) *fleet.Queue {
	if cfg == nil {
		return nil
	}
	return cfg.QueueByName(name)
}

// QueueOf returns the queue that says how the accepted job spec is run, or nil if it is not known. cfg may be nil.
func QueueOf(cfg *fleet.Config, spec *workload.Spec) *fleet.Queue {
	if q := configuredQueue(cfg, spec.Queue); q != nil {
		return q
	}
	return fleet.AcceptedQueue(spec)
}

// queueOf is QueueOf for a job, whose accepted queue it keeps.
func queueOf(cfg *fleet.Config, j *job) *fleet.Queue {
	if q := configuredQueue(cfg, j.spec.Queue); q != nil {
		return q
	}
	if j.acceptedQueue == nil {
		j.acceptedQueue = fleet.AcceptedQueue(&j.spec)
	}
	return j.acceptedQueue
}

// exhausted reports whether t, or its gang, has failed as often as the terms of its job allow. Without terms that
// is not known; such a job has no queue either, so that none of its tasks starts.
func (t *task) exhausted() bool {
	terms := t.job.spec.Terms
	return terms != nil && !t.step.LongRunning && t.attempts().Failures >= terms.Attempts
}

// adoptTerms gives j the terms of its queue as configured if none were stored with it, and fails it if a task has
// exhausted them already. An instance of an earlier version stores none.
func (s *Shard) adoptTerms(j *job) {
	if j.spec.Terms != nil {
		return
	}
	q := s.queueByName(j.spec.Queue)
	if q == nil {
		return
	}
	j.spec.Terms, j.dirty = q.Terms(), true // the next owner may find no configuration that names the queue
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("queue", q.Name).
		WithField("attempts", j.spec.Terms.Attempts).Info("job without terms takes those of its queue")
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			s.failIfExhausted(t)
		}
	}
}

// termsRow returns the accepted row of j again if it holds other terms than j has, or nil. Terms for which the row has no
// room stay in memory.
func (s *Shard) termsRow(j *job) []byte {
	if !j.stored || j.spec.Terms == j.storedTerms || j.shortRow || !needsSpec(&j.record) {
		return nil
	}
	value := workload.Encode(j.accepted())
	if len(value) > s.cfg.Bounds.RowLimit() {
		return nil
	}
	return value
}
