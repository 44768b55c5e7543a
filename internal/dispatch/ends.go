package dispatch

import (
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// defaultAttempts is used for jobs of a queue that the configuration no longer
// names; it is the smallest number seen in the users' configurations.
const defaultAttempts = 2

// failedPause keeps a task that failed from starting again at once, so that a
// worker which fails everything is noticed before the attempts are used up.
const failedPause = 30 * time.Millisecond

// applyEnd records how a run ended. The end is acknowledged only after the
// commit of what it changes.
func (s *Shard) applyEnd(h *host, e fleet.EndReport) {
	id, err := workload.ParseTaskID(e.Task)
	if err != nil {
		logger.WithField("worker", h.ID).WithError(err).Error("an end cannot be read")
		return
	}
	j := s.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.find(id)
	if t == nil || t.Phase == workload.Done || t.Run != e.Run && !t.unbegun(e) {
		s.clear(h, e)
		return
	}
	now := s.now()
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	s.cfg.Metrics.RunEnded(e.Kind)
	logger.WithField("task", e.Task).WithField("run", e.Run).WithField("worker", h.ID).WithField("how", string(e.Kind)).Debug("run ended")
	s.judge(h, t, e.Kind, now)
	j.begun = true
	wasPlaced := t.Phase == workload.Placed
	if e.Kind == fleet.EndDone && t.whole && t.stage == stageRunning {
		s.sawDuration(t, now)
	}
	s.release(t, now)
	switch e.Kind {
	case fleet.EndDone:
		if !t.step.Lasting {
			s.taskDone(t)
		}
	case fleet.EndFailed:
		if wasPlaced {
			s.taskFailed(t, h, now)
		}
	}
}

// unbegun reports whether e is the success of an earlier run of t while the newest one
// was not begun. It comes late from a worker that was out of reach until its leases
// were over.
func (t *task) unbegun(e fleet.EndReport) bool {
	if e.Kind != fleet.EndDone || e.Run > t.Run || t.step.Gang || t.step.Lasting {
		return false
	}
	return t.Phase == workload.Pending || t.stage == stagePlanned
}

// sawDuration notes how long a whole run took.
func (s *Shard) sawDuration(t *task, now time.Duration) {
	millis := (now - t.since).Milliseconds()
	s.durations.saw(t.job.spec.Queue, t.step.EstimateMillis, millis)
	t.job.seen[t.id.Step] = millis
}

// clear forgets a run that no longer matters on its host.
func (s *Shard) clear(h *host, e fleet.EndReport) {
	if t := h.tasks[e.Task]; t != nil && t.Run == e.Run {
		delete(h.tasks, e.Task)
	}
}

// taskDone records the success of t, and of its gang.
func (s *Shard) taskDone(t *task) {
	t.Phase, t.Checkpoint = workload.Done, ""
	j, k := t.job, t.id.Occurrence
	if t.step.Gang {
		for _, m := range j.stepTasks(k, t.id.Step) {
			if h := s.hosts[m.Worker]; h != nil {
				delete(h.tasks, m.name)
			}
			m.Phase, m.stage, m.Checkpoint, m.Worker = workload.Done, stageNone, "", ""
		}
	}
	j.closeOccurrence(k)
	if !j.rec.State.Final() && j.complete() {
		s.finish(j, workload.Completed)
	}
}

// taskFailed counts a failure of t and ends the job after its last attempt.
func (s *Shard) taskFailed(t *task, h *host, now time.Duration) {
	t.avoid = h.ID
	if !t.step.Lasting {
		t.notBefore = now + failedPause // a lasting task needs the room that it left
	}
	first := t
	if t.step.Gang {
		first = t.job.stepTasks(t.id.Occurrence, t.id.Step)[0]
	}
	first.Failures++
	if t.step.Lasting || t.job.rec.State.Final() {
		return
	}
	if first.Failures >= s.attempts(t.job) {
		s.finish(t.job, workload.Failed)
	}
}

// attempts is how many failures of a task end its job.
func (s *Shard) attempts(j *job) int {
	cfg := s.cfg.Config()
	if cfg == nil {
		return defaultAttempts
	}
	if q := cfg.ByName(j.spec.Queue); q != nil && q.Attempts > 0 {
		return q.Attempts
	}
	return defaultAttempts
}

const (
	// strikeLimit is how many failures in a row, by different jobs, set a worker
	// aside: one in twenty tasks fails by its own fault, so that three in a row
	// are seen about once in a day of some thousand tasks.
	strikeLimit = 3
	// Time that a worker is set aside for, doubled with each repetition.
	quarantineMin = 3 * time.Second
	quarantineMax = 12 * time.Second
)

// judge counts failures of a worker by different jobs in a row.
func (s *Shard) judge(h *host, t *task, kind fleet.EndKind, now time.Duration) {
	switch kind {
	case fleet.EndDone:
		h.strikes, h.quarantines, h.strikeJob = 0, 0, ""
	case fleet.EndFailed:
		if h.strikeJob == t.job.spec.ID || t.Failures > 0 {
			return // more likely the job's own fault
		}
		h.strikeJob = t.job.spec.ID
		s.strike(h, now, "failures of different jobs")
	}
}

// strike sets a worker aside after strikeLimit strikes.
func (s *Shard) strike(h *host, now time.Duration, why string) {
	h.strikes++
	if h.strikes < strikeLimit {
		return
	}
	h.strikes = strikeLimit - 1 // one more after the return is enough
	h.quarantine = now + min(quarantineMin<<h.quarantines, quarantineMax)
	h.quarantines = min(h.quarantines+1, 3)
	s.cfg.Metrics.Quarantined()
	logger.WithField("worker", h.ID).WithField("why", why).WithField("for", (h.quarantine - now).String()).Warn("worker set aside")
}
