package dispatch

import (
	"slices"
	"strings"
	"time"
)

// settleAfter is how long a worker must answer after it has begun a run before the run is no
// suspect of a later crash.
const settleAfter = time.Second

// lossCause is how the owner learned that an incarnation of a worker is over.
type lossCause string

const (
	lossRestarted    lossCause = "restarted"     // it answers as a later incarnation
	lossReplaced     lossCause = "replaced"      // another worker answers at its address
	lossLeaseExpired lossCause = "lease_expired" // it left the registry, and its leases have expired
)

// maxLoggedSuspects bounds the tasks that a log line names.
const maxLoggedSuspects = 8

// logLoss logs and counts the loss of a worker with its runs. The caller holds the lock.
func (s *Shard) logLoss(h *host, cause lossCause) {
	var suspects []string
	for name, t := range h.tasks {
		if t.mayHaveCrashed() {
			suspects = append(suspects, name)
		}
	}
	slices.Sort(suspects)
	s.cfg.Metrics.WorkerLost(cause)
	logger.WithField("shard", s.cfg.Name).WithField("worker", h.ID).WithField("address", h.Address).
		WithField("cause", string(cause)).WithField("draining", h.Draining).
		WithField("silent", (s.now()-h.unreachableSince).String()).WithField("runs", len(h.tasks)).
		WithField("new_runs", len(suspects)).WithField("tasks", strings.Join(suspects[:min(len(suspects), maxLoggedSuspects)], " ")).
		Warn("worker lost")
}

// handleReplacement processes the response of another worker at the address of h: the incarnation
// that the renewal named is over, and with it every run that it had. The caller holds the lock.
func (s *Shard) handleReplacement(h *host, now time.Duration) {
	h.replaced, h.leasesExpireAt = true, now
	s.logLoss(h, lossReplaced)
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
		if t.stage == stagePlanned || t.stage == stageSent || !h.runLost(t, now) {
			continue
		}
		logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", h.ID).Info("run lost with its worker")
		since := now
		if t.step.LongRunning && t.job.loan == nil {
			since = h.unreachableSince // it may have had no run since then
		}
		s.returnToPending(t, since)
		lost = true
	}
	return lost
}

// mayHaveCrashed reports whether the run of t had begun and its worker has not answered for
// settleAfter since.
func (t *task) mayHaveCrashed() bool { return t.stage != stagePlanned && !t.settled }
