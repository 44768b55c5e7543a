package dispatch

import (
	"slices"
	"strings"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// settleAfter is how long a worker must answer after it has begun a run before the run counts
	// as outliving its start.
	settleAfter = time.Second
	// crashesWithin is how soon after the start a worker must fall silent to be certain evidence.
	crashesWithin = 400 * time.Millisecond
	// clearAfter is how long a run must work before earlier crashes are forgotten.
	clearAfter = 30 * time.Second
	// maxStartCrashes is how many workers in a row may crash soon after the start of a task before
	// its job fails. The last of these runs started alone, so no other task can have caused all.
	maxStartCrashes = 3
	// minCertainCrashes is how many of them must have no other explanation, the last one included.
	minCertainCrashes = 2
	// maxCrashes is the same whatever the age of the runs. The platform allows two more starts
	// after three crashes.
	maxCrashes = 5
)

// lossCause is how the owner learned that an incarnation of a worker is over.
type lossCause string

const (
	lossRestarted    lossCause = "restarted"     // it answers as a later incarnation
	lossReplaced     lossCause = "replaced"      // another worker answers at its address
	lossLeaseExpired lossCause = "lease_expired" // it left the registry, and its leases have expired
)

// maxLoggedSuspects bounds the tasks that a log line names.
const maxLoggedSuspects = 8

// recordLoss logs and counts the loss of a worker with its runs, and records whether a suspect was
// among them and how many crashes any of them had seen. The caller holds the lock.
func (s *Shard) recordLoss(h *host, cause lossCause) {
	var suspects []string
	h.lostSuspect, h.mostCrashes = false, 0
	for name, t := range h.tasks {
		h.mostCrashes = max(h.mostCrashes, t.Crashes.Total)
		if t.mayHaveCrashed() {
			suspects = append(suspects, name)
			h.lostSuspect = h.lostSuspect || t.suspect()
		}
	}
	slices.Sort(suspects)
	silent := time.Duration(0)
	if h.unreachableSince > 0 {
		silent = s.now() - h.unreachableSince
	}
	s.cfg.Metrics.WorkerLost(cause)
	logger.WithField("shard", s.cfg.Name).WithField("worker", h.ID).WithField("address", h.Address).
		WithField("cause", string(cause)).WithField("draining", h.Draining).
		WithField("silent", silent.String()).WithField("runs", len(h.tasks)).
		WithField("new_runs", len(suspects)).WithField("tasks", strings.Join(suspects[:min(len(suspects), maxLoggedSuspects)], " ")).
		Warn("worker lost")
}

// handleReplacement processes the response of another worker at the address of h: the incarnation
// that the renewal named is over, and with it every run that it had. The caller holds the lock.
func (s *Shard) handleReplacement(h *host, now time.Duration) {
	h.replaced, h.leasesExpireAt = true, now
	s.recordLoss(h, lossReplaced)
	if s.returnLostRuns(h, now) {
		s.wakeCommitLoop()
	}
}

// returnLostRuns makes the tasks pending again whose runs on h are over because its leases have
// expired or its address belongs to another worker, and reports whether there were any. The caller
// holds the lock.
func (s *Shard) returnLostRuns(h *host, now time.Duration) bool {
	lost := false
	for _, t := range h.tasks {
		if t.stage == stagePlanned || t.stage == stageSent || !s.runLost(h, t, now) {
			continue
		}
		entry := logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", h.ID).WithField("stage", int(t.stage))
		if t.stage == stageRunning && h.lastSilence > 0 {
			entry = entry.WithField("ran", (h.lastSilence - t.stageSince).String())
		}
		entry.Info("run lost with its worker")
		since := now
		if t.step.LongRunning && t.job.loan == nil {
			since = h.unreachableSince // it may have had no run since then
		}
		if h.crashed() {
			s.countCrash(t, h, h.replaced)
		}
		s.returnToPending(t, since)
		s.failIfExhausted(t)
		lost = true
	}
	return lost
}

// crashed reports whether the loss of h counts as a crash: it does not merely fail to answer this
// owner.
func (h *host) crashed() bool { return h.replaced || !h.listed }

// countCrash counts the crash of h, on which a run of t was lost. It is proven if a later
// incarnation or another worker has answered. The caller holds the lock.
func (s *Shard) countCrash(t *task, h *host, proven bool) {
	if h.Draining && t.settled {
		return // it left; a worker that drains gets no start for seconds before
	}
	alone := s.lostAlone(h)
	var counted workload.Crashes
	if !t.settled {
		counted.AtStart = 1
	}
	if alone && t.Crashes.Total >= h.mostCrashes && !(t.settled && h.lostSuspect) {
		counted.Total = 1
	}
	t.AtStart, t.Crashes.Total = t.AtStart+counted.AtStart, t.Crashes.Total+counted.Total
	certain := proven && alone && h.lostAtStartOf(t) && t.lostAt != h.Address
	if certain {
		t.certainCrashes++
	}
	t.lostAt, t.lostInRack, t.job.dirty = h.Address, h.Rack, true
	if !proven {
		s.presumeCrash(t, h, counted)
	}
	s.giveUpIfCrashing(t, certain && t.certainCrashes >= minCertainCrashes)
}

const (
	// noticedTogether is how far apart an owner notices that two connections broke together.
	noticedTogether = 150 * time.Millisecond
	// silentTogether is the same if a call had to time out.
	silentTogether = renewalWait + renewalMargin
)

// lostAlone reports whether no other worker of its rack fell silent at about the time when h did.
// The loss of a rack is hardly caused by one task.
func (s *Shard) lostAlone(h *host) bool {
	for _, o := range s.hosts {
		if o == h || o.Rack != h.Rack || o.lastSilence == 0 {
			continue
		}
		apart := noticedTogether
		if o.silenceTimedOut || h.silenceTimedOut {
			apart = silentTogether
		}
		if (o.lastSilence - h.lastSilence).Abs() <= apart {
			return false
		}
	}
	return true
}

// presumedCrash is a worker that was silent until it had left the registry and its leases had
// expired.
type presumedCrash struct {
	incarnation int64
	at          time.Duration
	tasks       []presumedLoss
}

// presumedLoss is a run that was lost with such a worker.
type presumedLoss struct {
	task    *task
	counted workload.Crashes // what its loss has added to the counts of the task
}

// presumedCrashMemory is how long a silent worker may take to prove that it had not crashed.
const presumedCrashMemory = 2 * time.Minute

// presumeCrash remembers that t was lost on h without a proof that h has crashed.
func (s *Shard) presumeCrash(t *task, h *host, counted workload.Crashes) {
	c := s.presumedCrashes[h.ID]
	if c == nil || c.incarnation != h.Incarnation {
		c = &presumedCrash{incarnation: h.Incarnation, at: s.now()}
		s.presumedCrashes[h.ID] = c
	}
	c.tasks = append(c.tasks, presumedLoss{t, counted})
}

// withdrawCrash corrects the counts of the tasks whose worker was presumed to have crashed, but is
// in the registry again.
func (s *Shard) withdrawCrash(w fleet.Worker) {
	c := s.presumedCrashes[w.ID]
	if c == nil || c.incarnation != w.Incarnation {
		return
	}
	delete(s.presumedCrashes, w.ID)
	for _, l := range c.tasks {
		t := l.task
		t.Crashes.Total, t.AtStart = max(0, t.Crashes.Total-l.counted.Total), max(0, t.AtStart-l.counted.AtStart)
		t.job.dirty = true
	}
	logger.WithField("worker", w.ID).WithField("tasks", len(c.tasks)).Info("lost worker is back in the same incarnation")
}

// forgetPresumedCrashes drops the presumed crashes that are older than presumedCrashMemory.
func (s *Shard) forgetPresumedCrashes(now time.Duration) {
	for id, c := range s.presumedCrashes {
		if now-c.at > presumedCrashMemory {
			delete(s.presumedCrashes, id)
		}
	}
}

// giveUpIfCrashing fails the job of t if too many workers have crashed with its runs. A borrowed
// task is returned to its lender, which has the job. Unless certain, the last worker may have been
// silent, dead before the start, the cause itself, or lost together with others, and more have to
// follow. The caller holds the lock.
func (s *Shard) giveUpIfCrashing(t *task, certain bool) {
	j := t.job
	limit := maxCrashes
	if certain {
		limit = maxStartCrashes
	}
	if t.AtStart < limit && t.Crashes.Total < maxCrashes || !j.active() {
		return
	}
	if j.loan != nil {
		t.attempts().AtStart = maxCrashes // the lender cannot tell how certain the cause is
		j.returnLoan()
		return
	}
	err := result.Errorf(result.TaskCrashesWorkers, "%d workers lost with its runs, %d of them soon after the start", t.Crashes.Total, t.AtStart)
	logger.WithField("task", t.name).WithField("run", t.Run).WithField("shard", s.cfg.Name).WithError(err).Error("task given up")
	s.cfg.Metrics.TaskGivenUp()
	s.finishJob(j, workload.Failed)
}

// observeSurvival records that the worker of t answered a request of the time sent: a run that has
// outlived its start, or has worked for long, clears the task of earlier crashes.
func (s *Shard) observeSurvival(t *task, sent time.Duration) {
	age := sent - t.stageSince
	if !t.settled && age >= settleAfter {
		t.settled = true
		if t.AtStart > 0 {
			t.AtStart, t.certainCrashes, t.job.dirty = 0, 0, true
			s.wakeCommitLoop() // its worker takes starts again
		}
	}
	if t.Crashes.Total > 0 && age >= clearAfter {
		t.Crashes.Total, t.job.dirty = 0, true
	}
}

// lostAtStartOf reports whether this owner saw that h was alive at the start of t and, as far as it
// can tell, fell silent right after it.
func (h *host) lostAtStartOf(t *task) bool {
	if t.stage != stageRunning {
		return t.stage == stageUnconfirmed && !t.startTimedOut
	}
	silentFrom := h.lastSilence
	if h.silenceTimedOut {
		silentFrom = h.clockAt // its last response
	}
	return silentFrom-t.stageSince <= crashesWithin
}

// mayHaveCrashed reports whether the run of t had begun and its worker has not answered for
// settleAfter since.
func (t *task) mayHaveCrashed() bool { return t.stage != stagePlanned && !t.settled }
