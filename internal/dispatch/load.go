package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// readTimeout bounds the read of one page. The store usually responds within 10 ms.
	readTimeout = 900 * time.Millisecond
	// readRetry is the pause after a failed read.
	readRetry = 150 * time.Millisecond
)

// loadState reads the shard's rows. It must be called after the owner row was written, so
// that no earlier owner can change them any more.
func (s *Shard) loadState(ctx context.Context) error {
	release, err := s.cfg.StoreLink.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	heartbeats, _, err := s.readAll(ctx, TableHeartbeat, s.cfg.Name)
	if err != nil {
		return err
	}
	stored, err := s.readJobs(ctx, heartbeats)
	if err != nil {
		return err
	}
	estimates, _, err := s.readAll(ctx, TableInterference, s.cfg.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(estimates) > 0 {
		var e colocation.Estimates
		if err := workload.Decode(estimates[0].Value, &e); err != nil {
			s.logUnreadable(estimates[0], err)
		} else {
			s.colocation.Restore(e)
			s.colocation.RestoreCurves(e, s.now(), int64(s.storeNow()))
		}
	}
	if len(heartbeats) > 0 {
		s.restoreHeartbeat(heartbeats[0])
	}
	for _, r := range stored.accepted {
		s.restoreJob(r)
	}
	for _, r := range stored.progress {
		if record, ok := stored.records[r.Key]; ok {
			s.restoreProgress(r, record)
		}
	}
	for _, j := range s.jobs {
		s.bindInheritedRuns(j)
		if j.record.Moved != nil && !j.record.Moved.Confirmed || len(j.lentTasks()) > 0 {
			j.dirty = true // deliveries are repeated after the next commit
		}
	}
	return nil
}

// restoreHeartbeat takes over what the earlier owner stored with its last commit. If that is
// unreadable, leases may have been granted until now.
func (s *Shard) restoreHeartbeat(r fleet.Row) {
	s.heartbeatVersion = r.Version
	if err := workload.Decode(r.Value, &s.heartbeat); err != nil {
		s.logUnreadable(r, err)
		s.heartbeat = heartbeatRow{BuiltAt: int64(s.storeNow())}
	}
	s.inheritedLeaseMillis = s.heartbeat.LeaseMillis
	s.recordPublishedExpiries(s.heartbeat.LeaseExpiries)
}

// decodeAccepted decodes the row of the job with the given id and validates it.
func decodeAccepted(r fleet.Row, id string) (workload.Accepted, error) {
	var a workload.Accepted
	if err := workload.Decode(r.Value, &a); err != nil {
		return a, err
	}
	if a.Spec.ID != id {
		return a, result.Errorf(result.JournalCorrupt, "job %q", a.Spec.ID)
	}
	return a, a.Validate()
}

// restoreJob adds the job of an accepted row.
func (s *Shard) restoreJob(r fleet.Row) {
	a, err := decodeAccepted(r, r.Key)
	if err != nil {
		s.setAside(r, err)
		return
	}
	j := newJob(&a)
	j.stored, j.storedTerms = true, a.Spec.Terms
	s.jobs[r.Key] = j
	s.registerLoan(j)
}

// restoreProgress adds the progress of a job, the record in r.
func (s *Shard) restoreProgress(r fleet.Row, record workload.Record) {
	j := s.jobs[r.Key]
	if j == nil {
		if !s.unreadable[r.Key] {
			logger.WithField("job", r.Key).Warn("progress row without an accepted row")
		}
		return
	}
	if err := record.Validate(&j.spec); err != nil {
		delete(s.jobs, r.Key)
		s.unregisterLoan(j)
		s.setAside(r, err)
		return
	}
	j.record, j.durableState = record, record.State
	j.rowBytes = len(r.Value) - checkpointBytes(&record)
	for k := range j.record.Tasks {
		j.restoreTasks(k, s.now())
	}
}

// setAside excludes the job of an unreadable row: nobody knows which runs it has, and an error in
// one row must not end the owners of the shard one after the other.
func (s *Shard) setAside(r fleet.Row, err error) {
	s.unreadable[r.Key] = true
	s.logUnreadable(r, err)
}

func (s *Shard) logUnreadable(r fleet.Row, err error) {
	logger.WithField("shard", s.cfg.Name).WithField("table", r.Table).WithField("key", r.Key).WithError(err).Error("stored row is not readable")
}

// errUnreadable is the error for callers that name a job whose rows are not readable.
func errUnreadable(id string) error {
	return result.Errorf(result.JournalCorrupt, "the rows of job %s", id)
}

// bindInheritedRuns assigns the placed runs of j to their hosts, which are created if the
// registry has not listed them yet, and creates the tasks of a job that has none.
func (s *Shard) bindInheritedRuns(j *job) {
	if j.record.Begun == 0 && j.active() && !j.spec.Timed() {
		j.createTasks(0, s.now())
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Pending {
				s.inheritBound(t)
			}
			if t.Phase != workload.Placed {
				continue
			}
			h := s.hosts[t.Worker]
			if h == nil {
				h = s.addHost(fleet.Worker{ID: t.Worker, Incarnation: t.Incarnation})
				h.leasesExpireAt = s.inheritedLeaseExpiry(t.Worker)
			}
			h.tasks[t.name] = t
			s.inheritStart(t, h)
			t.stopWanted = j.record.State.Final()
		}
	}
}

// inheritedLeaseExpiry returns when every lease that an earlier owner granted to a worker
// has expired: at the time which that owner stored in its heartbeat row, or else one full
// lease after the last renewal that its last commit permitted.
func (s *Shard) inheritedLeaseExpiry(worker string) time.Duration {
	at, published := s.heartbeat.LeaseExpiries[worker]
	if !published {
		lease := time.Duration(float64(s.inheritedLease()) * clockDriftFactor)
		at = int64(fleet.Clock(s.heartbeat.BuiltAt).Add(LeaseRenewalWindow + lease))
	}
	left := time.Duration(at-int64(s.storeNow())) * time.Millisecond
	return s.now() + max(0, left) + storeClockError + expiryMargin
}

// storeClockError covers the difference between two owners' estimates of the store's clock.
// Each lags by at most the duration of the call that read it, which its timeout bounds.
const storeClockError = readTimeout + 100*time.Millisecond

// errSlowClock is the error of a read that took too long to show the store's clock, which is not
// known yet.
var errSlowClock = errors.New("the read took too long to show the store's clock")

// recordStoreClock records the store's clock as read by a call that took that long, unless
// storeClockError does not cover its age. It reports whether a reading is known.
func (s *Shard) recordStoreClock(c fleet.Clock, took time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took <= readTimeout {
		s.setStoreClockLocked(c)
	}
	return s.storeClock > 0
}

// readAll reads all rows of a part of a table, and the version from which the changes
// continue. It retries until ctx ends.
func (s *Shard) readAll(ctx context.Context, table, part string) ([]fleet.Row, int64, error) {
	return s.readRange(ctx, table, part, span{})
}

// readRange is readAll for the rows of a span; one without an end has no upper bound.
func (s *Shard) readRange(ctx context.Context, table, part string, sp span) ([]fleet.Row, int64, error) {
	var rows []fleet.Row
	version := int64(0)
	from := sp.from
	pages := pageReader{link: s.cfg.StoreLink}
	for {
		limit, timeout := pages.next()
		tctx, cancel := context.WithTimeout(ctx, timeout)
		began := s.now()
		p, err := s.cfg.Store.Range(tctx, table, part, from, sp.to, limit)
		timedOut := tctx.Err() != nil
		cancel()
		took := s.now() - began
		if err == nil && !s.recordStoreClock(p.Clock, took) {
			err = errSlowClock
		}
		if err != nil {
			logger.WithField("shard", s.cfg.Name).WithField("table", table).WithError(err).Debug("read failed")
			if !pause.For(ctx, pages.failed(timedOut)) {
				return nil, 0, context.Cause(ctx)
			}
			continue
		}
		pages.arrived(p.Rows, took)
		if version == 0 {
			version = p.Version // rows that change between pages are reported as changes
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, version, nil
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
