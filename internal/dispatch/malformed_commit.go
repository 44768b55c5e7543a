package dispatch

import (
	"time"

	"skylarkport/internal/result"
)

// A commit that the store rejects as malformed is not retried unchanged. Its jobs are committed in smaller
// and smaller batches until the job that causes the rejection is alone in one. That job is held back,
// and the others are not delayed by it.
const (
	// holdMin is how long a job whose rows the store has rejected is first held back. Each further time
	// in a row takes twice as long, up to holdMax.
	holdMin = time.Second
	holdMax = 30 * time.Second
	// estimatesHold is how long rejected interference estimates are not stored.
	estimatesHold = time.Minute
)

// maxBatch returns how many jobs a batch may have.
func (s *Shard) maxBatch() int {
	if s.isolatedBatch > 0 {
		return s.isolatedBatch
	}
	return maxBatchJobs
}

// growBatches lets batches grow again after a commit.
func (s *Shard) growBatches() {
	if s.isolatedBatch *= 2; s.isolatedBatch >= maxBatchJobs {
		s.isolatedBatch = 0
	}
}

// isolateMalformed prepares smaller batches after the store has rejected b as malformed.
func (s *Shard) isolateMalformed(b *batch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Metrics.CommitMalformed()
	logger.WithField("shard", s.cfg.Name).WithField("jobs", len(b.jobs)).WithField("bytes", b.size).
		WithField("estimates", b.estimates).WithError(err).Error("the store rejects a commit as malformed")
	for i := range b.jobs {
		b.requeue(i)
	}
	switch {
	case b.estimates:
		s.estimatesHeldUntil = s.now() + estimatesHold
	case len(b.jobs) > 1:
		s.isolatedBatch = max(1, len(b.jobs)/2)
	case len(b.jobs) == 1:
		s.hold(b.jobs[0], err)
	}
	s.wakeCommitLoop()
}

// hold keeps a job whose rows the store has rejected out of commits for a while. A job that was never
// stored is refused instead.
func (s *Shard) hold(j *job, err error) {
	if !j.stored && !j.inInbox() {
		s.removeUnstored(j)
		j.reject(result.Wrap(result.JobTooLarge, err, "the store rejects the rows of the job"))
		return
	}
	j.heldUntil = s.now() + min(holdMin<<j.holds, holdMax)
	j.holds = min(j.holds+1, 8)
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("row_bytes", j.rowBytes).
		WithField("for", (j.heldUntil - s.now()).String()).WithError(err).Error("job held back, as the store rejects its rows")
}
