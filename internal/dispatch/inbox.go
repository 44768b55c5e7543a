package dispatch

import (
	"context"
	"strings"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// SubmitToInbox returns the write of a job to the inbox of a shard. It is not applied once the job, or its
// cancellation, is stored: the write may be carried out long after the caller has cancelled the job.
func SubmitToInbox(shard string, a workload.Accepted) fleet.Tx {
	key := InboxSubmit + a.Spec.ID
	return fleet.Tx{
		Part: shard,
		Expect: []fleet.Row{
			{Table: TableInbox, Key: key}, {Table: TableInbox, Key: InboxCancel + a.Spec.ID}, {Table: TableAccepted, Key: a.Spec.ID},
		},
		Put: []fleet.Row{{Table: TableInbox, Key: key, Value: workload.Encode(a)}},
	}
}

// CancelInInbox returns the write of a cancellation to the inbox of a shard. The shard need not have the job.
func CancelInInbox(shard, id string) fleet.Tx {
	key := InboxCancel + id
	return fleet.Tx{
		Part:   shard,
		Expect: []fleet.Row{{Table: TableInbox, Key: key}},
		Put:    []fleet.Row{{Table: TableInbox, Key: key, Value: []byte("{}")}},
	}
}

// inboxJobID returns the job id in the key of an inbox row.
func inboxJobID(key string) string {
	_, id, _ := strings.Cut(key, "/")
	return id
}

// watchInbox processes the inbox rows: jobs and cancellations that other instances stored
// while no owner responded to them.
func (s *Shard) watchInbox(ctx context.Context) error {
	version := int64(-1)
	for ctx.Err() == nil {
		if version < 0 {
			rows, v, err := s.readAll(ctx, TableInbox, s.cfg.Name)
			if err != nil {
				return err
			}
			s.applyInbox(rows)
			version = v
		}
		c, err := s.cfg.Store.Changes(ctx, TableInbox, version, inboxWait)
		switch {
		case err == fleet.ErrHistoryLost:
			version = -1
		case err != nil:
			version = -1
			pause.For(ctx, readRetry)
		default:
			s.applyInbox(c.Rows)
			version = c.Version
		}
	}
	return context.Cause(ctx)
}

// inboxWait is how long one read of the inbox waits for changes. It bounds the time until a
// broken connection is noticed.
const inboxWait = 2 * time.Second

// applyInbox applies inbox rows: first the jobs, then the cancellations, which may concern
// them.
func (s *Shard) applyInbox(rows []fleet.Row) {
	if len(rows) == 0 {
		return
	}
	for _, r := range rows {
		if r.Part == s.cfg.Name && !r.Deleted && strings.HasPrefix(r.Key, InboxSubmit) {
			s.applyInboxJob(r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Part == s.cfg.Name && !r.Deleted && strings.HasPrefix(r.Key, InboxCancel) {
			s.applyInboxCancel(r.Key)
		}
	}
	s.wakeCommitLoop()
}

// applyInboxJob admits the job of an inbox row.
func (s *Shard) applyInboxJob(r fleet.Row) {
	a, err := decodeAccepted(r, inboxJobID(r.Key))
	if err == nil && a.Loan != nil {
		err = result.Errorf(result.LoanBad, "loan of %s in the inbox", a.Loan.Task)
	}
	if err == nil && s.isUnreadable(a.Spec.ID) {
		err = errUnreadable(a.Spec.ID)
	}
	if err != nil {
		s.logUnreadable(r, err)
		return
	}
	fasterShard := s.fasterShard(&a)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[a.Spec.ID]
	if j == nil {
		j = s.admit(a, fasterShard)
	}
	j.submitInInbox = true
	s.submitWithdrawn(j)
	j.confirm()
	s.inboxToDelete[r.Key] = true
}

// applyInboxCancel cancels a job, whether it is known or not, or forwards the cancellation to the shard that
// the job has moved to. The caller holds the lock.
func (s *Shard) applyInboxCancel(key string) {
	j := s.jobs[inboxJobID(key)]
	if j != nil && j.record.Moved != nil {
		j.cancelKey = key
		s.forwardCancel(j)
		return
	}
	id := inboxJobID(key)
	if s.unreadable[id] {
		return // the row stays for an owner that can read the job
	}
	if j == nil {
		j = s.addWithdrawn(id)
	}
	s.cancelJob(j)
	j.cancelInInbox = true
	j.confirm()
	s.inboxToDelete[key] = true
}
