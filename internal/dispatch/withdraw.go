package dispatch

import (
	"context"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// withdraw stores that a job was cancelled that the shard does not have, and then returns the code JobUnknown.
// Without the row, a submission that is still on its way, as a call or as a write, would create the job after
// its caller was told that there is none. The caller holds the lock, which withdraw releases.
func (s *Shard) withdraw(ctx context.Context, id string) error {
	switch {
	case s.paused:
		s.mu.Unlock()
		return result.Errorf(result.NotOwner, "the shard is being handed over")
	case s.storeUnavailable(s.now()):
		s.mu.Unlock()
		return result.Errorf(result.NotReady, "the store is unavailable")
	case !s.cfg.JobMemory.hasRoom(WithdrawnBytes):
		s.mu.Unlock()
		return result.Errorf(result.NotReady, "the owner's memory is full")
	}
	return s.awaitWithdrawn(ctx, s.addWithdrawn(id))
}

// awaitWithdrawn returns the code JobUnknown once j, which is withdrawn, is stored. The caller holds the lock,
// which awaitWithdrawn releases.
func (s *Shard) awaitWithdrawn(ctx context.Context, j *job) error {
	if err := s.await(ctx, j, cancellation); err != nil {
		return err
	}
	return errUnknown(j.spec.ID)
}

// addWithdrawn adds a job that was cancelled before the shard has had it. The caller holds the lock.
func (s *Shard) addWithdrawn(id string) *job {
	j := newJob(&workload.Accepted{Spec: workload.Spec{ID: id, Steps: []workload.Step{{Tasks: 1}}}, AtMillis: int64(s.storeNow())})
	j.record.State, j.record.EndMillis = workload.Withdrawn, int64(s.storeNow())
	j.dirty, j.shortRow = true, true
	s.jobs[id] = j
	s.cfg.JobMemory.add(s, WithdrawnBytes)
	delete(s.droppedJobs, id)
	logger.WithField("job", id).WithField("shard", s.cfg.Name).Info("job withdrawn before it was known")
	return j
}

// submitWithdrawn records that the job j was submitted after all if it is withdrawn: from then on it is shown, as
// cancelled. The caller holds the lock.
func (s *Shard) submitWithdrawn(j *job) {
	if j.record.State == workload.Withdrawn {
		j.record.State, j.dirty = workload.Cancelled, true
	}
}

// errUnknown is the error for callers that name a job that the shard does not have.
func errUnknown(id string) error { return result.Errorf(result.JobUnknown, "no job %s", id) }
