package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// maxAvoided bounds the workers that a task avoids.
const maxAvoided = 4

// avoid makes later runs of t prefer other workers than the given one.
func (t *task) avoid(worker string) {
	if t.avoids(worker) {
		return
	}
	t.failedOn = append(t.failedOn, worker)
	if n := len(t.failedOn) - maxAvoided; n > 0 {
		t.failedOn = slices.Delete(t.failedOn, 0, n)
	}
}

// avoids reports whether t prefers other workers than the given one.
func (t *task) avoids(worker string) bool { return slices.Contains(t.failedOn, worker) }

// gang returns the members of the gang of t, or t alone if it is in none.
func (t *task) gang() []*task {
	if !t.step.Gang {
		return []*task{t}
	}
	return t.job.stepTasks(t.id.Occurrence, t.id.Step)
}

// attempts returns the progress that counts the failures of t: that of the first member of its gang. A
// run of a gang is one attempt, however many of its members fail.
func (t *task) attempts() *workload.Progress { return t.gang()[0].Progress }

// recordTaskFailure counts the failed run of t on h as an attempt, unless it was counted before. A
// long-running task may fail any number of times. The members of a gang end with it, so all of them avoid
// the worker.
func (s *Shard) recordTaskFailure(t *task, h *host, run int, now time.Duration) {
	for _, member := range t.gang() {
		member.avoid(h.ID)
	}
	if t.step.LongRunning {
		t.Failures++ // it restarts at once, before others take the capacity it left
		return
	}
	t.notBefore = now + failureBackoff
	t.attempts().CountFailure(run)
	t.attempts().FailedOn = h.ID
}

// recordLateFailure counts the failure of an earlier run of t, which a worker reports after a later run
// was placed: it was unreachable, and the run was taken for lost. The later run goes on, but none follows
// once the attempts are used up.
func (s *Shard) recordLateFailure(t *task, h *host, e fleet.EndReport) {
	if t.step.LongRunning || !t.attempts().CountFailure(e.Run) {
		return
	}
	logger.WithField("task", t.name).WithField("run", e.Run).WithField("worker", h.ID).WithField("latest_run", t.Run).
		Info("failure of an earlier run is reported late")
	t.job.dirty = true
	s.failIfExhausted(t)
}

// failIfExhausted fails the job of t if t, or its gang, has no attempt left and no run. A borrowed task is
// returned instead, also one that crashes its workers: the lender fails the job.
func (s *Shard) failIfExhausted(t *task) {
	j := t.job
	if !j.active() || t.Phase != workload.Pending {
		return
	}
	exhausted := t.exhausted()
	switch {
	case j.loan != nil && (exhausted || t.attempts().AtStart >= maxCrashes):
		j.returnLoan()
	case j.loan == nil && exhausted:
		s.finishJob(j, workload.Failed)
	}
}
