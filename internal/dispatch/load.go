package dispatch

import (
	"context"
	"strings"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

const (
	// readTimeout bounds one page of a read; the store answers in some 10 ms.
	readTimeout = 900 * time.Millisecond
	// readRetry is the pause after a failed read.
	readRetry = 150 * time.Millisecond
)

// load reads the shard's rows. It is called after the owner's row was written,
// so that no earlier owner can change them.
func (s *Shard) load(ctx context.Context) error {
	beats, _, err := s.readAll(ctx, TableBeat, s.cfg.Name)
	if err != nil {
		return err
	}
	accepted, _, err := s.readAll(ctx, TableAccepted, s.cfg.Name)
	if err != nil {
		return err
	}
	progress, _, err := s.readAll(ctx, TableProgress, s.cfg.Name)
	if err != nil {
		return err
	}
	books, _, err := s.readAll(ctx, TableImages, s.cfg.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(books) > 0 {
		var l Lessons
		if err := workload.Decode(books[0].Value, &l); err != nil {
			return err
		}
		s.images.restore(l)
	}
	if len(beats) > 0 {
		s.beatVer = beats[0].Version
		if err := workload.Decode(beats[0].Value, &s.beat); err != nil {
			return err
		}
		s.note(s.beat.Lapses)
	}
	for _, r := range accepted {
		var a workload.Accepted
		if err := workload.Decode(r.Value, &a); err != nil {
			return err
		}
		j := newJob(a.Spec, fleet.Clock(a.AtMillis))
		j.stored, j.arrived = true, a.Moved
		s.jobs[r.Key] = j
	}
	for _, r := range progress {
		j := s.jobs[r.Key]
		if j == nil {
			logger.WithField("job", r.Key).Warn("progress of a job without its acceptance")
			continue
		}
		if err := workload.Decode(r.Value, &j.rec); err != nil {
			return err
		}
		j.shown = j.rec.State
		for k := range j.rec.Tasks {
			j.attach(k, s.now())
		}
	}
	for _, j := range s.jobs {
		s.adopt(j)
		if j.rec.Moved != nil && !j.rec.Moved.Confirmed {
			j.dirty = true // its delivery follows the next commit
		}
	}
	return nil
}

// adopt binds the placed runs of j to their hosts, which the registry may not
// list.
func (s *Shard) adopt(j *job) {
	if len(j.rec.Tasks) == 0 && j.active() && !j.spec.Timed() {
		j.begin(0, s.now())
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase != workload.Placed {
				continue
			}
			h := s.hosts[t.Worker]
			if h == nil {
				h = newHost(fleet.Worker{ID: t.Worker, Life: t.Life})
				h.silent = s.now()
				h.lapseAt = s.inheritedLapse(t.Worker)
				s.hosts[t.Worker] = h
			}
			h.tasks[t.name] = t
			t.stopWanted = j.rec.State.Final()
		}
	}
}

// inheritedLapse is when every lease that an earlier owner gave to a worker is
// over: as that owner noted, or at the end of its promise, which counts from its
// last commit.
func (s *Shard) inheritedLapse(worker string) time.Duration {
	at, noted := s.beat.Lapses[worker]
	if !noted {
		lease := time.Duration(float64(s.cfg.Bounds.LeaseMax) * driftFactor)
		at = int64(fleet.Clock(s.beat.At).Add(Promise + lease))
	}
	left := time.Duration(at-int64(s.storeNow())) * time.Millisecond
	return s.now() + max(0, left) + clockSlack + lapseMargin
}

// clockSlack covers what two owners' estimates of the store's clock differ by. Each
// lags by at most the time that an answer took, which the timeout of a call bounds.
const clockSlack = readTimeout + 100*time.Millisecond

// readAll reads the rows of a part and the version from which changes continue.
// It tries until ctx ends.
func (s *Shard) readAll(ctx context.Context, table, part string) ([]fleet.Row, int64, error) {
	var rows []fleet.Row
	version := int64(0)
	from := ""
	for {
		tctx, cancel := context.WithTimeout(ctx, readTimeout)
		p, err := s.cfg.Store.Range(tctx, table, part, from, "")
		cancel()
		if err != nil {
			logger.WithField("shard", s.cfg.Name).WithField("table", table).WithError(err).Debug("read failed")
			if !pause.For(ctx, readRetry) {
				return nil, 0, context.Cause(ctx)
			}
			continue
		}
		s.noteClock(p.Clock)
		if version == 0 {
			version = p.Version // rows that change between pages are seen again
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, version, nil
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}

// inboxJob is the job that an inbox key names.
func inboxJob(key string) string {
	_, id, _ := strings.Cut(key, "/")
	return id
}

// watchInbox takes in what other instances wrote while no owner answered.
func (s *Shard) watchInbox(ctx context.Context) error {
	version := int64(-1)
	for ctx.Err() == nil {
		if version < 0 {
			rows, v, err := s.readAll(ctx, TableInbox, s.cfg.Name)
			if err != nil {
				return err
			}
			s.takeIn(rows)
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
			s.takeIn(c.Rows)
			version = c.Version
		}
	}
	return context.Cause(ctx)
}

// inboxWait is how long one look at the inbox waits. A connection that went
// silent is noticed after it.
const inboxWait = 2 * time.Second

// takeIn applies inbox rows: first the jobs, then the cancellations.
func (s *Shard) takeIn(rows []fleet.Row) {
	if len(rows) == 0 {
		return
	}
	for _, r := range rows {
		if r.Part == s.cfg.Name && !r.Deleted && strings.HasPrefix(r.Key, InboxSubmit) {
			s.takeInJob(r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Part == s.cfg.Name && !r.Deleted && strings.HasPrefix(r.Key, InboxCancel) {
			s.takeInCancel(r.Key)
		}
	}
	s.kick()
}

func (s *Shard) takeInJob(r fleet.Row) {
	var a workload.Accepted
	if err := workload.Decode(r.Value, &a); err != nil {
		logger.WithField("key", r.Key).WithError(err).Error("an inbox row cannot be read")
		return
	}
	better := s.better(&a)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[a.Spec.ID]
	if j == nil {
		j = s.admit(a, fleet.Clock(a.AtMillis), better)
	}
	j.kept = true
	j.answer(nil) // the inbox row is durable, and goes only with a commit that stores the job
	s.inboxGone[r.Key] = true
}

// takeInCancel applies a cancellation, or has it passed on after a moved job. The
// caller holds the lock.
func (s *Shard) takeInCancel(key string) {
	j := s.jobs[inboxJob(key)]
	if j != nil && j.rec.Moved != nil {
		j.cancelKey = key
		s.passCancel(j)
		return
	}
	if j != nil {
		s.cancelJob(j)
	}
	s.inboxGone[key] = true
}
