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

// mayHaveCrashed reports whether the run of t had begun and its worker has not answered for
// settleAfter since.
func (t *task) mayHaveCrashed() bool { return t.stage != stagePlanned && !t.settled }
