package dispatch

import (
	"context"
	"slices"
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
		id.Index += t.id.Index
		t.name, t.origin = id.String(), id
	}
}

// registerLoan makes the tasks of a loan known by their names, unless a newer loan of them is.
func (s *Shard) registerLoan(j *job) {
	if j.loan == nil {
		return
	}
	for _, name := range j.loan.Tasks(&j.spec) {
		if known := s.borrowed[name]; known == nil || known.loan.Run < j.loan.Run {
			s.borrowed[name] = j
		}
	}
}

// unregisterLoan undoes registerLoan when j is removed.
func (s *Shard) unregisterLoan(j *job) {
	if j.loan == nil {
		return
	}
	for _, name := range j.loan.Tasks(&j.spec) {
		if s.borrowed[name] == j {
			delete(s.borrowed, name)
		}
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
		return j.borrowedTask(name), j, nil
	}
	if j := s.jobs[id.Job]; j != nil {
		return j.findTask(id), j, nil
	}
	return nil, nil, nil
}

// borrowedTask returns the task that the lender of the loan j knows by name, or nil.
func (j *job) borrowedTask(name string) *task {
	if i := slices.Index(j.loan.Tasks(&j.spec), name); i >= 0 {
		return j.findTask(workload.TaskID{Index: i})
	}
	return nil
}

// returnWaitingLoans returns the borrowed tasks that have waited for returnAfter or were stopped
// for it, and reports whether there were any. From the commit that stores this on, the shard may not run
// them; the lender learns it after that commit. The caller holds the lock.
func (s *Shard) returnWaitingLoans(now time.Duration) bool {
	returned := false
	for name, j := range s.borrowed {
		if s.paused || name != j.loan.Task {
			continue // a gang is known by several names
		}
		t := j.findTask(workload.TaskID{})
		if t == nil || !t.returnable() || j.placed() > 0 || t.Phase != workload.Pending {
			continue
		}
		if slices.ContainsFunc(t.gang(), func(m *task) bool { return s.releaseBound(m, now) }) {
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

// returnLoan ends the loan j here, unless runs of it may exist. Its lender learns it after the next commit.
func (j *job) returnLoan() {
	if j.placed() > 0 {
		return // the other members of a gang end with the one that has ended
	}
	j.record.Moved, j.dirty = &workload.Moved{Shard: j.loan.Lender}, true
}

// returnedProgress returns what the lender of the loan j learns of its tasks: of a gang, the first member
// stands for all.
func (j *job) returnedProgress() workload.Progress {
	tasks := j.record.Tasks[0]
	p := tasks[0]
	for i := range tasks[1:] {
		p.Merge(&tasks[1+i])
	}
	return p
}

// deliverReturn gives a loan back to its lender, after the commit that ended it here. The
// caller holds the lock.
func (s *Shard) deliverReturn(j *job) {
	s.cfg.Metrics.Returned()
	r := workload.ReturnedLoan{Loan: *j.loan, Progress: j.returnedProgress()}
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
