package dispatch

import (
	"context"
	"slices"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// request is what a caller asks of a job and waits to be stored.
type request uint8

const (
	submission   request = iota + 1 // that the job is accepted
	cancellation                    // that no run of the job follows
	change                          // what the caller has changed in the progress of the job
)

// acceptedAs returns what the caller that hands a over waits for. A cancelled loan is stored only for its
// cancellation.
func acceptedAs(a *workload.Accepted) request {
	if a.Loan != nil && a.Loan.Cancelled {
		return cancellation
	}
	return submission
}

// waiter is a caller that waits until its request is stored.
type waiter struct {
	request request
	commit  int // number of the first commit of the job that holds a change
	done    chan<- error
}

// durable is what the store is known to hold of a job. An inbox row is deleted only by a commit that stores
// its effect, so that what it holds stays stored.
type durable struct {
	submitInInbox bool
	cancelInInbox bool
	rows          bool // the accepted row and the progress row
	state         workload.State
	commit        int // number of the last commit of the rows
}

// confirms reports whether what is stored contains what w has asked for. Another write of the same job confirms
// nothing, however new it is: the next owner would not know of the request.
func (d durable) confirms(w waiter) bool {
	switch w.request {
	case submission:
		return d.submitInInbox || d.rows && d.state != workload.Withdrawn
	case cancellation:
		return d.cancelInInbox || d.rows && d.state.Final()
	case change:
		return d.rows && d.commit >= w.commit
	}
	return false
}

// durable returns what the store is known to hold of j.
func (j *job) durable() durable {
	return durable{
		submitInInbox: j.submitInInbox, cancelInInbox: j.cancelInInbox,
		rows: j.stored, state: j.durableState, commit: j.durableCommit,
	}
}

// inInbox reports whether a write of another instance has created j, so that it must not be removed.
func (j *job) inInbox() bool { return j.submitInInbox || j.cancelInInbox }

// confirm replies to the callers whose requests are stored by now.
func (j *job) confirm() {
	d := j.durable()
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if !d.confirms(w) {
			return false
		}
		w.done <- nil
		return true
	})
}

// reject gives err to all callers that wait for the job.
func (j *job) reject(err error) {
	for _, w := range j.waiters {
		w.done <- err
	}
	j.waiters = nil
}

// await returns nil once the request, which has taken effect in memory, is stored. The caller holds the lock,
// which await releases.
func (s *Shard) await(ctx context.Context, j *job, r request) error {
	done := make(chan error, 1)
	w := waiter{request: r, commit: j.commits + 1, done: done}
	if j.durable().confirms(w) {
		s.mu.Unlock()
		return nil
	}
	j.waiters = append(j.waiters, w)
	s.mu.Unlock()
	s.wakeCommitLoop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.waiters = slices.DeleteFunc(j.waiters, func(o waiter) bool { return o.done == w.done })
	if !j.sentToStore && !j.stored && !j.inInbox() && s.jobs[j.spec.ID] == j {
		s.removeUnstored(j)
		refused := result.Errorf(result.JobRefused, "the store is unavailable")
		j.reject(refused)
		return refused
	}
	return result.Errorf(result.OutcomeUnknown, "the request was not stored within the deadline")
}
