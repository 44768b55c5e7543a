package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// tasksToLend returns the tasks of j that may be lent as far as its kind is concerned: those of a
// long-running job and, in a closed shard, of any job.
func (s *Shard) tasksToLend(j *job, closed bool) []*task {
	if j.spec.LongRunning() {
		return j.tasks[0]
	}
	if !closed && !s.stranded(j, s.now()) || !j.active() || j.loan != nil {
		return nil
	}
	var out []*task
	for k := range j.tasks {
		for step := range j.spec.Steps {
			if j.dependenciesDone(k, step) {
				out = append(out, j.stepTasks(k, step)...)
			}
		}
	}
	return out
}

// stranded reports whether no worker of this shard can run the waiting job j: the adviser has denied it
// all of them, or none is large enough and it was moved here from a closed shard and cannot move again.
func (s *Shard) stranded(j *job, now time.Duration) bool {
	if s.jobAdviceExhausted(j) {
		return true
	}
	if s.zones.bound == 0 || !j.movedHere || j.started() || len(j.tasks[0]) == 0 {
		return false
	}
	first := j.tasks[0][0]
	return now-first.pendingSince >= returnAfter && !s.holds(first)
}

// holds reports whether a worker of this shard could run t if nothing else ran there.
func (s *Shard) holds(t *task) bool {
	q := queueOf(s.cfg.Config(), t.job)
	for _, h := range s.hosts {
		if h.listed && !h.Draining && isEligible(t, q, &slot{host: h}) && t.step.Committed().Fits(h.Capacity) {
			return true
		}
	}
	return false
}

// lendableFromClosed reports whether t, a waiting task of a closed shard, may be lent although it
// ends by itself. A job without a run moves as a whole instead, if it may move. A gang waits for the
// zone: its members have to start together, and are lent one by one.
func (s *Shard) lendableFromClosed(t *task, now time.Duration) bool {
	j := t.job
	if t.step.Gang || t.step.LongRunning || !j.stored || !j.active() || j.loan != nil || now < t.notBefore {
		return false
	}
	return (j.started() || j.movedHere || j.spec.Timed() || s.adviceExhausted(t)) && j.dependenciesDone(t.id.Occurrence, t.id.Step)
}

// returnDue reports whether the waiting borrowed task t is to be returned: at once if this shard
// is closed or the adviser denies it all its workers, and otherwise once it has waited for returnAfter, if it is long-running or fits no worker
// here. Its lender can run any other task that ends by itself later than this shard at best.
func (s *Shard) returnDue(t *task, now time.Duration) bool {
	if s.closed() || s.adviceExhausted(t) {
		return true
	}
	return now-t.pendingSince >= returnAfter && (t.step.LongRunning || !s.holds(t))
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
