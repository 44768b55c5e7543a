package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// tasksToLend returns the tasks of j that are lent or may be lent as far as their kind is concerned:
// long-running ones, and those that wait although no worker of this shard can run them. The first member
// of a gang represents it.
func (s *Shard) tasksToLend(j *job, now time.Duration) []*task {
	var out []*task
	for k := range j.tasks {
		for step := range j.spec.Steps {
			tasks := j.stepTasks(k, step)
			if len(tasks) == 0 || !tasks[0].step.LongRunning && !s.hasLeaving(tasks, now) {
				continue
			}
			if tasks[0].step.Gang {
				tasks = tasks[:1]
			}
			out = append(out, tasks...)
		}
	}
	return out
}

// hasLeaving reports whether one of the tasks of a step is lent, or waits although no worker of this shard
// can run it.
func (s *Shard) hasLeaving(tasks []*task, now time.Duration) bool {
	in := func(phase workload.Phase) int {
		return slices.IndexFunc(tasks, func(t *task) bool { return t.Phase == phase })
	}
	waits := in(workload.Pending)
	return in(workload.Lent) >= 0 || waits >= 0 && !s.canRun(tasks[waits], now)
}

// stranded reports whether t, or the gang that it represents, waits although no worker of this shard can
// run it, and its job cannot move as a whole. Work never waits for a worker in a shard that has none for it.
func (s *Shard) stranded(t *task, now time.Duration) bool {
	j := t.job
	if !j.stored || !j.active() || j.loan != nil || !j.dependenciesDone(t.id.Occurrence, t.id.Step) {
		return false
	}
	if s.canRun(t, now) || !j.started() && !j.movedHere && !j.spec.Timed() && !s.adviceExhausted(t) {
		return false
	}
	gang := t.gang()
	return t == gang[0] && !slices.ContainsFunc(gang, func(m *task) bool { return m.Phase != workload.Pending || now < m.notBefore })
}

// returnDue reports whether the waiting borrowed task t is to be returned: at once if this shard is
// closed or the adviser denies it all its workers, and otherwise once it has waited for returnAfter, if
// it is long-running or no worker here can run it. Its lender can run any other task that ends by
// itself later than this shard at best.
func (s *Shard) returnDue(t *task, now time.Duration) bool {
	if s.closed() || s.adviceExhausted(t) {
		return true
	}
	return now-t.pendingSince >= returnAfter && (t.step.LongRunning || !s.canRun(t, now))
}

// settleReturned records what a returned loan says about the end of t, which ends by itself, and
// reports whether that settles the task: it is done, or has failed for the last time.
func (s *Shard) settleReturned(t *task, p *workload.Progress) bool {
	if t.step.LongRunning {
		return false
	}
	if p.Phase == workload.Done {
		s.completeTask(t)
		return true
	}
	ended := t.job.record.State.Final()
	s.failIfExhausted(t)
	return t.job.record.State.Final() && !ended
}

// lendingPriority returns the priority of the job's queue in a closed shard, and 0 in others.
func (s *Shard) lendingPriority(j *job, closed bool) int {
	if q := queueOf(s.cfg.Config(), j); closed && q != nil {
		return q.Priority
	}
	return 0
}

// loanAcceptedAt returns the time that the borrower takes for the acceptance of the job of t, which
// ends by itself. The borrower knows only the step of t: the time that the job is allowed for
// the steps before it is added, so that the task is as urgent there as here.
func (s *Shard) loanAcceptedAt(t *task) fleet.Clock {
	slackFactor := defaultSlack
	if q := queueOf(s.cfg.Config(), t.job); q != nil {
		slackFactor = q.Slack
	}
	paths := s.durationModel.criticalPaths(t.job)
	before := time.Duration(slackFactor*float64(slices.Max(paths)-paths[t.id.Step])) * time.Millisecond
	return s.storeNow().Add(before - s.occurrenceAge(t.job, t.id.Occurrence))
}
