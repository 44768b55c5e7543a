package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/workload"
)

// returnAfter is how long a borrowed task waits for a worker before it is returned to its
// lender, which may lend it to a third shard.
const returnAfter = 2 * time.Second

// bindLoan gives a borrowed task the name and the place that it has in the lender's job. The
// loan has been validated.
func (t *task) bindLoan(l *workload.Loan) {
	t.name = l.Task
	if id, err := workload.ParseTaskID(l.Task); err == nil { // Loan.Validate has checked it
		t.origin = id
	}
}

// registerLoan makes the task of a loan known by its name, unless a newer loan of it is.
func (s *Shard) registerLoan(j *job) {
	if j.loan == nil {
		return
	}
	if known := s.borrowed[j.loan.Task]; known == nil || known.loan.Run < j.loan.Run {
		s.borrowed[j.loan.Task] = j
	}
}

// unregisterLoan undoes registerLoan when j is removed.
func (s *Shard) unregisterLoan(j *job) {
	if j.loan != nil && s.borrowed[j.loan.Task] == j {
		delete(s.borrowed, j.loan.Task)
	}
}

// taskByName returns the task that workers know by name and its job. The task is nil if its occurrence has
// ended, and both are if the shard has no such job.
func (s *Shard) taskByName(name string) (*task, *job, error) {
	id, err := workload.ParseTaskID(name)
	if err != nil {
		return nil, nil, err
	}
	if j := s.borrowed[name]; j != nil {
		return j.findTask(workload.TaskID{}), j, nil
	}
	if j := s.jobs[id.Job]; j != nil {
		return j.findTask(id), j, nil
	}
	return nil, nil, nil
}

// returnWaitingLoans returns the borrowed tasks that have waited for returnAfter or were stopped
// for it, and reports whether there were any. From the commit that stores this on, the shard may not run
// them; the lender learns it after that commit. The caller holds the lock.
func (s *Shard) returnWaitingLoans(now time.Duration) bool {
	returned := false
	for _, j := range s.borrowed {
		t := j.findTask(workload.TaskID{})
		if s.paused || t == nil || !t.returnable() || t.Phase != workload.Pending {
			continue
		}
		if t.lendTo == "" && !s.returnDue(t, now) {
			continue
		}
		j.returnLoan()
		returned = true
		s.logWait(t, "borrowed", now)
	}
	return returned
}

// returnLoan ends the loan j here. Its lender learns it after the next commit.
func (j *job) returnLoan() {
	j.record.Moved, j.dirty = &workload.Moved{Shard: j.loan.Lender}, true
}

// deliverReturn gives a loan back to its lender, after the commit that ended it here. The
// caller holds the lock.
func (s *Shard) deliverReturn(j *job) {
	s.cfg.Metrics.Returned()
	r := workload.ReturnedLoan{Loan: *j.loan, Progress: j.record.Tasks[0][0]}
	s.retryInBackground(j, "loan not returned to its lender", func(ctx context.Context) error {
		return s.cfg.OtherShards.Return(ctx, r)
	}, s.confirmReturn)
}

// confirmReturn records that the lender has the task again.
func (s *Shard) confirmReturn(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.record.Moved.Confirmed = true
	j.record.EndMillis, j.dirty = int64(s.storeNow()), true
	s.forwardCancel(j)
	s.wakeCommitLoop()
}
