package dispatch

import (
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// failureBackoff delays the restart of a failed task, so that a worker on which every run
// fails is quarantined before the task has used up its attempts.
const failureBackoff = 30 * time.Millisecond

// applyEnd records how a run ended. The end is acknowledged to the worker only after its
// effect is committed.
func (s *Shard) applyEnd(h *host, e fleet.EndReport) {
	t, j, err := s.taskByName(e.Task)
	if err != nil {
		logger.WithField("worker", h.ID).WithError(err).Error("run end has an invalid task id")
		return
	}
	if j != nil {
		// Also an end that changes nothing may confirm what is not stored yet, like that of a further
		// member of a gang that is done.
		j.recordUnstoredEnd(h, incarnationEnd{h.Incarnation, e.Number})
	}
	if t == nil || t.Phase == workload.Done || t.Run != e.Run && !t.acceptsLateSuccess(e) {
		s.removeRun(h, e)
		if t != nil && e.Kind == fleet.EndFailed && e.Run < t.Run {
			s.recordLateFailure(t, h, e)
		}
		return
	}
	now := s.now()
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	s.cfg.Metrics.RunEnded(e.Kind)
	logger.WithField("task", e.Task).WithField("run", e.Run).WithField("worker", h.ID).WithField("how", string(e.Kind)).Debug("run ended")
	s.updateWorkerHealth(h, t, e.Kind, now)
	t.job.hasRun = true
	wasPlaced := t.Phase == workload.Placed
	s.recordRunEnd(t, e.Kind, now)
	if e.Kind == fleet.EndDone && t.uninterrupted && t.stage == stageRunning {
		s.recordDuration(t, now)
	}
	s.returnToPending(t, now)
	switch e.Kind {
	case fleet.EndDone:
		if !t.step.LongRunning {
			s.completeTask(t)
		}
	case fleet.EndFailed:
		if wasPlaced || t.attempts().ListsFailures() {
			s.recordTaskFailure(t, h, e.Run, now)
		}
		fallthrough
	default:
		s.failIfExhausted(t)
	}
}

// acceptsLateSuccess reports whether e, the success of an earlier run of t, completes the
// task. It does while no newer run has been started: the work is done and must not be
// repeated. Such a success arrives late from a worker that was unreachable until its leases
// had expired.
func (t *task) acceptsLateSuccess(e fleet.EndReport) bool {
	if e.Kind != fleet.EndDone || e.Run > t.Run || t.step.Gang || t.step.LongRunning {
		return false
	}
	return t.Phase == workload.Pending || t.stage == stagePlanned
}

// recordDuration records how long an uninterrupted run took.
func (s *Shard) recordDuration(t *task, now time.Duration) {
	if h := s.hosts[t.Worker]; h != nil && t.stageSince < h.coldUntil {
		return // it says little of a warm worker
	}
	millis := (now - t.stageSince).Milliseconds()
	s.durationModel.observe(t.job.spec.Queue, t.step.EstimateMillis, millis)
	t.job.observedMillis[t.id.Step] = millis
	s.recordStepStretch(t, now-t.stageSince)
}

// removeRun removes a run that has ended from its host, if it is still the newest run of
// its task there.
func (s *Shard) removeRun(h *host, e fleet.EndReport) {
	if t := h.tasks[e.Task]; t != nil && t.Run == e.Run {
		delete(h.tasks, e.Task)
	}
}

// completeTask records the success of t and, for a gang, of all its members.
func (s *Shard) completeTask(t *task) {
	j, k := t.job, t.id.Occurrence
	for _, member := range t.gang() {
		if h := s.hosts[member.Worker]; h != nil {
			delete(h.tasks, member.name)
		}
		member.Phase, member.stage, member.Checkpoint, member.Worker = workload.Done, stageNone, "", ""
	}
	if j.loan != nil {
		if j.active() {
			j.returnLoan() // the lender has the job
		}
		return
	}
	j.closeOccurrence(k)
	if !j.record.State.Final() && j.complete() {
		s.finishJob(j, workload.Completed)
	}
}

const (
	// quarantineFailures is how many consecutive failures, by different jobs, quarantine a
	// worker. One in twenty tasks fails by its own fault, so three in a row occur by chance
	// about once a day at some thousand tasks a day.
	quarantineFailures = 3
	// quarantineMin is the length of the first quarantine. Each further one without a
	// success in between is twice as long, up to quarantineMax.
	quarantineMin = 3 * time.Second
	quarantineMax = 12 * time.Second
)

// updateWorkerHealth counts consecutive failed runs on a worker. A further failure by the
// same job or of a task that failed before is not counted, as the job itself is the
// likelier cause.
func (s *Shard) updateWorkerHealth(h *host, t *task, kind fleet.EndKind, now time.Duration) {
	switch kind {
	case fleet.EndDone:
		h.failureStreak, h.quarantineCount, h.lastFailedJob = 0, 0, ""
	case fleet.EndFailed:
		if h.lastFailedJob == t.job.spec.ID || t.attempts().FailedBefore(t.Run) {
			return
		}
		h.lastFailedJob = t.job.spec.ID
		s.recordWorkerFailure(h, now, "failures of distinct jobs")
	}
}

// recordWorkerFailure counts a failure of a worker and quarantines it after
// quarantineFailures in a row.
func (s *Shard) recordWorkerFailure(h *host, now time.Duration, reason string) {
	h.failureStreak++
	if h.failureStreak < quarantineFailures {
		return
	}
	h.failureStreak = quarantineFailures - 1 // one more failure after the quarantine starts another
	h.quarantinedUntil = now + min(quarantineMin<<h.quarantineCount, quarantineMax)
	h.quarantineCount = min(h.quarantineCount+1, 3)
	s.cfg.Metrics.Quarantined()
	logger.WithField("worker", h.ID).WithField("why", reason).WithField("for", (h.quarantinedUntil - now).String()).Warn("worker quarantined")
}
