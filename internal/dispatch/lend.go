package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// lendAfter is how long a long-running task of a started job waits for a worker before
	// it is lent to another shard. Shorter waits usually end with the next short run. The
	// platform counts a task as lost nine seconds after its last run.
	lendAfter = 1200 * time.Millisecond
	// firstContact is the time that a new owner has to reach its workers before it lends
	// tasks for which it knows no worker.
	firstContact = 2 * time.Second
	// lendRetry is the pause before a task for which no shard has capacity is considered
	// again.
	lendRetry = 500 * time.Millisecond
	// undeliveredLimit is how long a borrower is called that cannot be reached.
	undeliveredLimit = time.Second
	// maxLoansInFlight bounds the tasks on their way to borrowers, whose loads are known
	// only as of the last ping.
	maxLoansInFlight = 8
	// maxLoanOffers bounds the tasks for which a borrower is looked for at one time.
	maxLoanOffers = 32
)

// loanState is what the lender knows about the loan of a task.
type loanState struct {
	stored      bool          // the borrower has stored it
	calling     bool          // the borrower is being called
	madeAt      time.Duration // when this owner made it, 0 if an earlier owner did
	mayBeStored bool          // a call had an unknown outcome
}

// lentTask is a task and the number of its loan at some time.
type lentTask struct {
	task *task
	loan int
}

// current reports whether the loan has not been returned.
func (l lentTask) current() bool { return l.task.Phase == workload.Lent && l.task.Run == l.loan }

// lentTasks returns the tasks of j that are lent.
func (j *job) lentTasks() []*task {
	var out []*task
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Lent {
				out = append(out, t)
			}
		}
	}
	return out
}

// lendWaitingTasks lends long-running tasks that find no worker in this shard, or whose worker
// drains, to shards that have capacity, and reports whether there were any. From the commit that
// stores a loan on, this shard may not run the task until the borrower has returned it.
func (s *Shard) lendWaitingTasks(now time.Duration) bool {
	if s.cfg.OtherShards == nil {
		return false
	}
	lent := false
	offers, allowed := s.loanOffers(now)
	for _, o := range offers {
		if o.lendTo != "" {
			lent = s.lend(o.task, o.lendTo, now) || lent // it is among the loans in flight already
			continue
		}
		if allowed == 0 {
			continue
		}
		// Called without the lock: it takes the locks of shards to read their loads.
		shard, why := s.cfg.OtherShards.Borrower(&o.request)
		if shard == "" {
			s.keepWaiting(o.task, why, now)
			continue
		}
		allowed--
		lent = s.lend(o.task, shard, now) || lent
	}
	return lent
}

// loanOffer is a task that may be lent.
type loanOffer struct {
	task    *task
	request LoanRequest
	lendTo  string // the borrower, if it has been chosen already
	// priority is that of the task's queue in a closed shard, where all tasks wait, and 0 in others.
	priority int
}

// loanOffers returns the tasks that may be lent, in the order in which borrowers are looked for,
// and how many loans may follow the ones in flight. Tasks for which a borrower was looked for
// already come after the others, so that the longest waiting ones don't take all turns.
func (s *Shard) loanOffers(now time.Duration) (offers []loanOffer, allowed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := s.closed()
	if s.paused || now-s.loadedAt < firstContact && !closed {
		return nil, 0
	}
	var out []loanOffer
	inFlight := 0
	for _, j := range s.jobs {
		for _, t := range s.tasksToLend(j, now) {
			if t.Phase == workload.Lent && !t.loan.stored || t.lendTo != "" && s.reachable(t) {
				inFlight++
			}
			if leaving := s.mayLeave(t, now); leaving || s.mayLend(t, now) {
				request := LoanRequest{
					Spec: t.newLoan(s.cfg.Name).Spec, Running: leaving, Stranded: !leaving && !s.canRun(t, now), RefusedBy: slices.Clone(t.refusedBy),
				}
				out = append(out, loanOffer{t, request, t.lendTo, s.lendingPriority(j, closed)})
			}
		}
	}
	slices.SortFunc(out, func(a, b loanOffer) int {
		return cmp.Or(
			-cmp.Compare(a.lendTo, b.lendTo),        // those stopped for a loan first
			cmp.Compare(a.task.stage, b.task.stage), // those that still run last
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.task.lendAt, b.task.lendAt),
			cmp.Compare(a.task.pendingSince, b.task.pendingSince),
			cmp.Compare(a.task.name, b.task.name),
		)
	})
	maxOffers, maxInFlight := maxLoanOffers, maxLoansInFlight
	if closed {
		maxOffers, maxInFlight = maxLoansFromClosed, maxLoansFromClosed
	}
	out = out[:min(len(out), maxOffers)]
	s.markFitsLater(out, now)
	return out, max(0, maxInFlight-inFlight)
}

// markFitsLater sets FitsLater of the offered tasks that find a worker of this shard once the
// short runs there have ended. Each takes its place from the later ones.
func (s *Shard) markFitsLater(offers []loanOffer, now time.Duration) {
	if len(offers) == 0 {
		return
	}
	slots := s.slots(now)
	for _, sl := range slots {
		sl.free = sl.free.Add(sl.host.finiteRunsCapacity())
	}
	cfg := s.cfg.Config()
	for i := range offers {
		t := offers[i].task
		q := queueOf(cfg, t.job)
		found := slices.IndexFunc(slots, func(sl *slot) bool { return canPlace(t, q, sl) })
		if found >= 0 {
			slots[found].reserve(t)
			offers[i].request.FitsLater = true
		}
	}
}

// mayLend reports whether t, or the gang that it represents, may be lent: it has no run and has waited for
// lendAfter, or its run was stopped for the loan.
func (s *Shard) mayLend(t *task, now time.Duration) bool {
	delay := lendAfter
	if s.closed() {
		delay = 0
	}
	if t.Phase != workload.Pending || t.lendTo == "" && (now-t.pendingSince < delay || now < t.lendAt) {
		return false
	}
	if slices.ContainsFunc(t.gang(), func(m *task) bool { return s.releaseBound(m, now) }) {
		return false // a borrower would not know the worker that may still start it
	}
	return t.lendable() || s.stranded(t, now)
}

// mayLeave reports whether the run of t may be stopped for a loan: its worker drains, no other
// worker of this shard is free for it, and the loads of other shards tell whether they can run it.
func (s *Shard) mayLeave(t *task, now time.Duration) bool {
	if t.stage != stageRunning || !t.drainKept || t.stopWanted || now < t.lendAt || !s.reachable(t) {
		return false
	}
	return s.hosts[t.Worker].Draining && !t.step.Gang && t.step.MaxPerWorker == 0 && (t.lendable() || t.returnable())
}

// reachable reports whether the worker of t answers, or t has none.
func (s *Shard) reachable(t *task) bool {
	if t.Phase != workload.Placed {
		return true
	}
	h := s.hosts[t.Worker]
	return h != nil && h.unreachableSince == 0
}

// lendable reports whether t is a long-running task that works alone, of a job that cannot move as a
// whole. A new owner knows of the runs before it only by their numbers.
func (t *task) lendable() bool {
	j := t.job
	return t.step.LongRunning && !t.step.Gang && j.stored && j.active() && j.loan == nil && !j.spec.Timed() && (j.started() || j.movedHere)
}

// returnable reports whether t is a borrowed task that this shard may still run.
func (t *task) returnable() bool { return t.job.loan != nil && t.job.stored && t.job.active() }

// newLoan returns the job that a borrower stores for t, or for the gang that it represents.
func (t *task) newLoan(lender string) workload.Accepted {
	p := *t.Progress
	gang := t.gang()
	for _, m := range gang {
		p.Merge(m.Progress)
	}
	loan := &workload.Loan{Task: t.name, Lender: lender, Run: p.Run + 1, Failures: p.Failures, FailedRuns: slices.Clone(p.FailedRuns), Checkpoint: p.Checkpoint, Crashes: p.Crashes}
	if t.Phase == workload.Lent {
		loan.Run = t.Run
	}
	step := *t.step
	step.Tasks, step.After = len(gang), nil
	return workload.Accepted{
		Spec:     workload.Spec{ID: loan.ID(), Queue: t.job.spec.Queue, Payload: t.job.spec.Payload, Steps: []workload.Step{step}, Terms: t.job.spec.Terms},
		AtMillis: int64(t.job.acceptedAt), Loan: loan,
	}
}

// lend records the loan of t, or of the gang that it represents, to a shard, which the next commit stores, unless something has
// changed since t was chosen. A task that still runs on a draining worker is stopped first.
func (s *Shard) lend(t *task, shard string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayLeave(t, now) {
		s.stopForLoan(t, shard, now)
		return false
	}
	gang := t.gang()
	growth := len(gang) * (placementBytes + len(shard))
	if !s.mayLend(t, now) || !s.rowHasRoom(t.job, growth) {
		return false
	}
	t.job.rowBytes += growth
	run := t.newLoan(s.cfg.Name).Loan.Run
	for _, m := range gang {
		m.Phase, m.Run, m.Worker = workload.Lent, run, shard
		m.loan, m.lendTo, m.drainKept = loanState{madeAt: now}, "", false
	}
	t.job.setRunning()
	s.cfg.Metrics.Lent()
	logger.WithField("task", t.name).WithField("shard", s.cfg.Name).WithField("to", shard).WithField("loan", t.Run).
		WithField("waited", (now - t.pendingSince).String()).Info("task lent to another shard")
	return true
}

// stopForLoan stops the run of t on a draining worker. Once the run has ended, the task is lent to the
// shard or, if it is borrowed, returned to its lender, which runs it or lends it there.
func (s *Shard) stopForLoan(t *task, shard string, now time.Duration) {
	t.lendTo, t.stopWanted = shard, true
	s.sendStopIfDue(t, s.hosts[t.Worker], now)
}

// keepWaiting records that no shard has capacity for t, and why. Shards that returned it are
// asked again later.
func (s *Shard) keepWaiting(t *task, why string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := s.mayLend(t, now)
	if !waits && !s.mayLeave(t, now) {
		return
	}
	t.refusedBy, t.lendAt = nil, now+lendRetry
	if waits {
		s.logWait(t, why, now)
	}
}

// settleLoan continues the durable loan l: it is handed to the borrower, or cancelled there
// once its job has ended. The caller holds the lock.
func (s *Shard) settleLoan(l lentTask) {
	t := l.task
	if !l.current() || t.loan.calling || s.cfg.OtherShards == nil {
		return
	}
	shard := t.Worker
	if !t.loan.stored {
		a := t.newLoan(s.cfg.Name)
		if !t.step.LongRunning {
			a.AtMillis = int64(s.loanAcceptedAt(t))
		}
		s.callBorrower(l, "loan not delivered", func(ctx context.Context) error {
			return s.cfg.OtherShards.Lend(ctx, shard, s.withCancellation(a, t.job))
		}, s.confirmLoan)
		return
	}
	if t.job.durableState.Final() {
		id := t.newLoan(s.cfg.Name).Spec.ID
		s.callBorrower(l, "loan not cancelled", func(ctx context.Context) error {
			return s.cfg.OtherShards.Cancel(ctx, shard, id)
		}, func(l lentTask, _ error) { s.endLoan(l.task, s.now()) })
	}
}

// withCancellation returns the loan a of a task of j, marked as cancelled if j has ended.
func (s *Shard) withCancellation(a workload.Accepted, j *job) workload.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	loan := *a.Loan
	loan.Cancelled = j.durableState.Final()
	a.Loan = &loan
	return a
}

// callBorrower calls f until it succeeds, the borrower rejects the loan, or the loan is
// returned, and then done with the result while holding the lock. The caller holds the lock.
func (s *Shard) callBorrower(l lentTask, failure string, f func(context.Context) error, done func(lentTask, error)) {
	l.task.loan.calling = true
	entry := logger.WithField("task", l.task.name).WithField("to", l.task.Worker)
	s.retryCall(entry, failure, f, func(err error) bool { return s.finishCall(l, err, done) })
}

// finishCall processes the result of one call to a borrower and reports whether it was the
// last.
func (s *Shard) finishCall(l lentTask, err error, done func(lentTask, error)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.current() {
		return true // returned in the meantime
	}
	if err != nil && result.Of(err) != result.LoanBad {
		return s.abandonLoan(l.task, err)
	}
	l.task.loan.calling = false
	done(l, err)
	return true
}

// abandonLoan ends a loan that its borrower has not stored for undeliveredLimit, and reports
// whether it did. The loan must be this owner's, as calls of an earlier owner may have arrived,
// and no call of it may have an unknown outcome.
func (s *Shard) abandonLoan(t *task, err error) bool {
	if t.loan.stored {
		return false
	}
	switch result.Of(err) {
	case result.NotOwner, result.PeerUnavailable, result.NotReady, result.JobRefused:
	default:
		t.loan.mayBeStored = true
	}
	if t.loan.mayBeStored || t.loan.madeAt == 0 || s.now()-t.loan.madeAt < undeliveredLimit {
		return false
	}
	logger.WithField("task", t.name).WithField("to", t.Worker).WithError(err).Info("loan abandoned, as its borrower does not answer")
	t.refusedBy = append(t.refusedBy, t.Worker)
	s.endLoan(t, t.pendingSince)
	return true
}

// confirmLoan records that the borrower has stored the loan or, with an error, that it
// rejected it and never will.
func (s *Shard) confirmLoan(l lentTask, err error) {
	t := l.task
	if err != nil {
		logger.WithField("task", t.name).WithField("to", t.Worker).WithError(err).Error("borrower rejected the loan")
		t.refusedBy = append(t.refusedBy, t.Worker)
		s.endLoan(t, s.now())
		return
	}
	t.loan.stored, t.job.hasRun = true, true
	s.settleLoan(l)
}

// endLoan makes t, or its gang, pending here again, once the borrower has no right to run it any
// more. Its wait counts from since. The caller holds the lock.
func (s *Shard) endLoan(t *task, since time.Duration) {
	for _, m := range t.gang() {
		m.loan = loanState{}
		s.returnToPending(m, since)
	}
	s.wakeCommitLoop()
}

// TakeBack ends a loan that its borrower returns. It returns nil once that is durable, and
// an error with the code JobUnknown if the owner does not have the job.
func (s *Shard) TakeBack(ctx context.Context, r workload.ReturnedLoan) error {
	if err := s.awaitLoaded(ctx); err != nil {
		return err
	}
	id, err := workload.ParseTaskID(r.Loan.Task)
	if err != nil {
		return result.Wrap(result.LoanBad, err, "returned loan")
	}
	s.mu.Lock()
	j := s.jobs[id.Job]
	if j == nil {
		s.mu.Unlock()
		return result.Errorf(result.JobUnknown, "no job %s", id.Job)
	}
	if t := j.findTask(id); t != nil && (lentTask{t, r.Loan.Run}).current() {
		s.takeBack(t, &r.Progress)
	}
	// Only a commit shows that this is still the owner: a former one may not know the loan.
	j.dirty = true
	return s.await(ctx, j, change)
}

// takeBack records the progress of a task, or of a gang by its first member, that its borrower
// returns without a run. The task may be lent again at once, to another shard.
func (s *Shard) takeBack(t *task, p *workload.Progress) {
	if !slices.Contains(t.refusedBy, t.Worker) {
		t.refusedBy = append(t.refusedBy, t.Worker)
	}
	for _, m := range t.gang() {
		m.Run, m.Checkpoint, m.Crashes = max(m.Run, p.Run), p.Checkpoint, p.Crashes
	}
	t.MergeFailures(p)
	s.endLoan(t, s.now()-lendAfter)
	if s.settleReturned(t, p) {
		return
	}
	s.giveUpIfCrashing(t, false)
	logger.WithField("task", t.name).WithField("shard", s.cfg.Name).WithField("run", t.Run).Info("loan returned")
}
