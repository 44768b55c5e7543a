package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"skylarkport/internal/colocation"
	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

// OtherShards gives access to the other shards of the deployment.
type OtherShards interface {
	// FasterShard names a shard that can run a job sooner than this one, if there is one. isNew
	// says that the job has just been submitted; otherwise it has been waiting for capacity
	// here.
	FasterShard(j *workload.Spec, isNew bool) (shard string, ok bool)
	// InUse reports whether another shard may have a worker in a zone in use.
	InUse() bool
	// ShardWithRoom names the shard with the shortest wait for a job of the queue, if the wait is
	// accepted.
	ShardWithRoom(j *workload.Spec, accepted func(wait time.Duration) bool) (shard string, ok bool)
	// Deliver hands the job over. It returns nil once the shard has stored it.
	Deliver(ctx context.Context, shard string, a workload.Accepted) error
	// Cancel forwards a cancellation. It returns nil once the cancellation is durable or
	// the job has ended.
	Cancel(ctx context.Context, shard, id string) error
	// InterferenceEstimates returns the interference estimates of one of the other
	// shards; successive calls go through all of them.
	InterferenceEstimates(ctx context.Context) (colocation.Estimates, error)
	// HasJob reports whether the shard still has the job.
	HasJob(ctx context.Context, shard, id string) (bool, error)
	// Borrower names a shard that probably has a worker for the task of the loan, or returns
	// "" and why there is none.
	Borrower(r *LoanRequest) (shard, why string)
	// Lend hands a loan over. It returns nil once the borrower has stored it, and an error
	// with the code LoanBad if the borrower has not stored it and never will.
	Lend(ctx context.Context, shard string, a workload.Accepted) error
	// Return gives a loan back. It returns nil once the lender has stored that.
	Return(ctx context.Context, r workload.ReturnedLoan) error
}

const (
	// moveAfter is how long a job waits for its first run before it may move to another
	// shard. A shorter wait rarely justifies a move: some runs take only a second, so the
	// shard's own capacity is freed often.
	moveAfter = 250 * time.Millisecond
	// maxMovesInFlight bounds the jobs on their way to other shards. The loads of those
	// shards are known only as of the last ping, so more moves at once could overload the
	// shard that seems least loaded.
	maxMovesInFlight = 4
	// maxLookupsInFlight bounds the concurrent requests that ask other shards whether they
	// still have a moved job.
	maxLookupsInFlight = 8
	// deliverRetry is the pause between attempts to deliver a job or a cancellation.
	deliverRetry = 200 * time.Millisecond
	// deliverTimeout bounds one attempt.
	deliverTimeout = 900 * time.Millisecond
)

// moveWaitingJobs moves jobs without a run to shards that can run them sooner, and reports
// whether there were any. A job moves only once. From the commit that names its new shard
// on, this shard may not run it; the job is delivered after that commit, so that it never
// runs in both.
func (s *Shard) moveWaitingJobs(now time.Duration) bool {
	if s.cfg.OtherShards == nil {
		return false
	}
	moved := false
	for _, j := range s.movableJobs(now) {
		// Called without the lock: it takes the locks of shards to read their loads.
		if shard, ok := s.cfg.OtherShards.FasterShard(&j.spec, false); ok {
			moved = s.tryMove(j, shard, now) || moved
		}
	}
	return moved
}

// movableJobs returns some jobs that may move, within the limit of moves in flight.
func (s *Shard) movableJobs(now time.Duration) []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*job
	for _, j := range s.jobs {
		if s.paused || s.movesInFlight+len(out) >= s.maxMoves() {
			break
		}
		if s.mayMove(j, now) {
			out = append(out, j)
		}
	}
	return out
}

// tryMove marks j to be moved, unless something has changed since it was chosen.
func (s *Shard) tryMove(j *job, shard string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayMove(j, now) {
		return false
	}
	s.markMoved(j, shard)
	return true
}

// markMoved names the new shard of j, which the next commit stores. The caller holds the
// lock.
func (s *Shard) markMoved(j *job, shard string) {
	j.record.Moved, j.dirty = &workload.Moved{Shard: shard}, true
	s.movesInFlight++
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("to", shard).Info("moving job to another shard")
}

// fasterShard names the shard that a new job is handed on to at once, or "" for none. It
// must be called without the lock, as it takes the locks of shards to read their loads.
func (s *Shard) fasterShard(a *workload.Accepted) string {
	if s.cfg.OtherShards == nil || a.Moved || a.Loan != nil || a.Spec.Timed() || s.hasJob(a.Spec.ID) {
		return ""
	}
	shard, _ := s.cfg.OtherShards.FasterShard(&a.Spec, true)
	return shard
}

// hasJob reports whether the shard has the job.
func (s *Shard) hasJob(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id] != nil
}

// mayMove reports whether j may move: it has never had a run, has waited for moveDelay, and
// has not been moved before.
func (s *Shard) mayMove(j *job, now time.Duration) bool {
	if !j.stored || j.dirty || !j.active() || j.movedHere || j.loan != nil || j.spec.Timed() || len(j.tasks[0]) == 0 {
		return false
	}
	return !j.started() && now-j.tasks[0][0].pendingSince > s.moveDelay()
}

// deliverMoved starts the delivery of j, whose move has become durable, unless it is
// confirmed. The caller holds the lock.
func (s *Shard) deliverMoved(j *job) {
	if j.record.Moved.Confirmed || j.delivering || s.cfg.OtherShards == nil {
		return
	}
	j.delivering = true
	j.tasks = map[int][]*task{}
	if j.loan != nil {
		s.deliverReturn(j)
		return
	}
	accepted := workload.Accepted{Spec: j.spec, AtMillis: int64(j.acceptedAt), Moved: true}
	shard := j.record.Moved.Shard
	s.retryInBackground(j, "job not delivered to its new shard", func(ctx context.Context) error {
		return s.cfg.OtherShards.Deliver(ctx, shard, accepted)
	}, s.confirmDelivery)
}

// retryInBackground calls f until it succeeds and then done, unless the shard is stopped
// first. Failures are logged as failure. The caller holds the lock.
func (s *Shard) retryInBackground(j *job, failure string, f func(context.Context) error, done func(*job)) {
	entry := logger.WithField("job", j.spec.ID).WithField("to", j.record.Moved.Shard)
	s.retryCall(entry, failure, f, func(err error) bool {
		if err == nil {
			done(j)
		}
		return err == nil
	})
}

// retryCall calls f in the background until finish, which gets the result of each call,
// returns true, unless the shard is stopped first. Other results are logged as failure.
func (s *Shard) retryCall(entry *log.Entry, failure string, f func(context.Context) error, finish func(error) bool) {
	ctx := s.hostCtx
	s.hostWG.Go(func() {
		for ctx.Err() == nil {
			tctx, cancel := context.WithTimeout(ctx, deliverTimeout)
			err := f(tctx)
			cancel()
			if finish(err) {
				return
			}
			entry.WithError(err).Info(failure)
			pause.For(ctx, deliverRetry)
		}
	})
}

// confirmDelivery records that the other shard has stored j.
func (s *Shard) confirmDelivery(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.record.Moved.Confirmed = true
	j.record.Tasks, j.record.EndMillis, j.dirty = nil, int64(s.storeNow()), true
	s.movesInFlight = max(0, s.movesInFlight-1)
	s.forwardCancel(j)
	s.wakeCommitLoop()
}

// forwardCancel forwards the cancellation of a moved job to its new shard. The inbox row
// stays until that shard has stored the cancellation, so that a successor of this owner
// forwards it again. The caller holds the lock.
func (s *Shard) forwardCancel(j *job) {
	if j.cancelKey == "" || j.forwardingCancel || j.movedTo() == nil || s.cfg.OtherShards == nil {
		return
	}
	j.forwardingCancel = true
	id, shard := j.spec.ID, j.record.Moved.Shard
	s.retryInBackground(j, "cancellation not forwarded to the job's new shard", func(ctx context.Context) error {
		return s.cfg.OtherShards.Cancel(ctx, shard, id)
	}, s.confirmCancel)
}

// confirmCancel deletes the inbox row of a cancellation that the other shard has stored.
func (s *Shard) confirmCancel(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logger.WithField("job", j.spec.ID).WithField("to", j.record.Moved.Shard).Info("cancellation forwarded")
	s.inboxToDelete[j.cancelKey] = true
	j.cancelKey, j.forwardingCancel = "", false
	s.wakeCommitLoop()
}

// lookUpMoved asks the new shard of j whether it still has the job, and drops the record of
// j if not. Callers know only the home shard of a job and are redirected by the record, so
// it is kept as long as the other shard has the job. The caller holds the lock.
func (s *Shard) lookUpMoved(j *job) {
	if j.lookupInFlight || j.cancelKey != "" || s.cfg.OtherShards == nil || s.lookupsInFlight >= maxLookupsInFlight {
		return
	}
	j.lookupInFlight = true
	s.lookupsInFlight++
	id, shard := j.spec.ID, j.record.Moved.Shard
	s.hostWG.Go(func() {
		ctx, cancel := context.WithTimeout(s.hostCtx, deliverTimeout)
		defer cancel()
		known, err := s.cfg.OtherShards.HasJob(ctx, shard, id)
		s.mu.Lock()
		defer s.mu.Unlock()
		j.lookupInFlight = false
		s.lookupsInFlight--
		if err != nil {
			logger.WithField("job", id).WithField("shard", shard).WithError(err).Debug("lookup of a moved job failed")
		}
		if err != nil || known || j.cancelKey != "" {
			j.record.EndMillis = int64(s.storeNow()) // asked again later
			return
		}
		s.dropJob(j)
	})
}
