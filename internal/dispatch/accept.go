package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// storeUnavailableAfter is how long commits may fail before new jobs are refused at once.
// Callers wait out shorter outages within their deadlines.
const storeUnavailableAfter = 250 * time.Millisecond

// Submit adds a new job and returns nil once it is durable.
func (s *Shard) Submit(ctx context.Context, spec workload.Spec) error {
	return s.Accept(ctx, workload.Accepted{Spec: spec})
}

// Accept adds a job, new or moved here from another shard, and returns nil once it is
// durable. A job that the shard has already is not added twice.
func (s *Shard) Accept(ctx context.Context, a workload.Accepted) error {
	if err := s.awaitLoaded(ctx); err != nil {
		return err
	}
	if err := a.Validate(); err != nil {
		return err
	}
	if !a.Moved { // another shard has stored a job that moves
		if err := s.cfg.Bounds.CheckSize(&a); err != nil {
			return err
		}
	}
	if s.isUnreadable(a.Spec.ID) {
		return errUnreadable(a.Spec.ID)
	}
	fasterShard := s.fasterShard(&a)
	if fasterShard == "" && s.refusesNew(&a) {
		return s.refuseUnlessStored(ctx, &a, result.Errorf(result.ZonesOutOfUse, "no zone is in use"))
	}
	s.mu.Lock()
	decision := s.decide(&a, s.now())
	if decision.refused() {
		fasterShard = s.shardWithRoom(&a.Spec, decision)
	}
	if j, ok := s.jobs[a.Spec.ID]; ok {
		return s.acceptAgain(ctx, j, &a)
	}
	if s.paused {
		s.mu.Unlock()
		return result.Errorf(result.NotOwner, "the shard is being handed over")
	}
	if s.storeUnavailable(s.now()) {
		s.mu.Unlock()
		return result.Errorf(result.JobRefused, "the store is unavailable")
	}
	if !a.Moved && a.Loan == nil && !s.cfg.JobMemory.hasRoom(NewJobBytes(&a.Spec)) {
		s.mu.Unlock()
		return s.refuseUnlessStored(ctx, &a, errNoJobMemory())
	}
	if decision.refused() && fasterShard == "" {
		refusal := s.refuse(a.Spec.ID, decision)
		s.mu.Unlock()
		return s.refuseUnlessStored(ctx, &a, refusal)
	}
	if a.AtMillis == 0 {
		a.AtMillis = int64(s.storeNow())
	}
	j := s.admit(a, fasterShard)
	j.recordDecision(decision)
	if a.Loan != nil && a.Loan.Cancelled {
		s.cancelJob(j)
	}
	return s.await(ctx, j, acceptedAs(&a))
}

// acceptAgain accepts a, another submission of the job j, and returns nil once j is durable. The caller holds
// the lock, which acceptAgain releases.
func (s *Shard) acceptAgain(ctx context.Context, j *job, a *workload.Accepted) error {
	if a.Loan != nil && a.Loan.Cancelled {
		s.cancelJob(j)
	}
	s.submitWithdrawn(j)
	return s.await(ctx, j, acceptedAs(a))
}

// refuseUnlessStored returns the refusal of a, unless an earlier submission of the job is stored: it is accepted
// then, and runs.
func (s *Shard) refuseUnlessStored(ctx context.Context, a *workload.Accepted, refusal error) error {
	key := InboxSubmit + a.Spec.ID
	p, err := s.cfg.Store.Range(ctx, TableInbox, s.cfg.Name, key, key+"\x00", 1)
	if err != nil {
		return result.Wrap(result.OutcomeUnknown, err, "look for an earlier submission")
	}
	s.applyInbox(p.Rows)
	s.mu.Lock()
	if j, ok := s.jobs[a.Spec.ID]; ok { // it may also have been taken from the inbox during the read
		return s.acceptAgain(ctx, j, a)
	}
	s.mu.Unlock()
	return refusal
}

// admit adds a new job. If a shard is named that can run it sooner, the job is moved there.
// The caller holds the lock.
func (s *Shard) admit(a workload.Accepted, fasterShard string) *job {
	spec := &a.Spec
	j := newJob(&a)
	s.adoptTerms(j)
	j.dirty = true
	if !spec.Timed() {
		j.createTasks(0, s.now())
	}
	s.jobs[spec.ID] = j
	s.cfg.JobMemory.add(s, NewJobBytes(spec))
	delete(s.droppedJobs, spec.ID)
	s.registerLoan(j)
	if j.loan == nil || spec.LongRunning() { // another loan is a part of a job
		s.meanWork.observe(spec.Queue, s.durationModel.expectedWork(spec, 0))
	}
	logger.WithField("job", spec.ID).WithField("shard", s.cfg.Name).WithField("queue", spec.Queue).
		WithField("steps", spec.Summary()).Info("job admitted")
	if fasterShard != "" {
		s.markMoved(j, fasterShard)
	} else {
		s.cachedLoad.Add(spec, s.serviceOf(j)) // the cached load is used until it is computed anew
	}
	return j
}
