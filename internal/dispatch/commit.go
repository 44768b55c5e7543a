package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// commitGap is the least time between commits: it gathers the changes that
	// one event causes and keeps a busy shard under 50 of the store's several
	// hundred writes a second.
	commitGap = 20 * time.Millisecond
	// beatInterval is how often an idle owner renews its beat; a successor
	// looks for a beat that stands still.
	beatInterval = 500 * time.Millisecond
	// commitTimeout bounds one try; the store answers in some 10 ms.
	commitTimeout = 600 * time.Millisecond
	// commitSlow is how long a commit may stay unanswered until jobs behind it are
	// refused; a slow store takes a quarter of a second.
	commitSlow = 450 * time.Millisecond
	// Pauses between tries of a commit.
	commitRetryMin = 40 * time.Millisecond
	commitRetryMax = 300 * time.Millisecond
	// maxBatch bounds the jobs of a commit. With two rows a job, a quarter as many
	// inbox rows, an eighth as many ended jobs and four single rows it stays under
	// the store's 100 entries a call.
	maxBatch = 36
	// maxBatchBytes keeps a commit under the store's 1 MB, which counts base64.
	maxBatchBytes = 500 << 10
	// Promise is how long after its last commit an owner may renew leases. With the
	// last lease, runs outlive outages of the store of about ten seconds; a successor
	// that cannot reach a worker waits for both.
	Promise = 5 * time.Second
)

// beatRow is the value of the beat row. Each commit renews it, so that a commit
// whose answer was lost is recognised, and no commit can be applied twice.
type beatRow struct {
	Epoch int64 `json:"e"`
	Seq   int64 `json:"n"`
	// At is the store's clock, by the owner's estimate, when the commit was built.
	// The owner's promise counts from it.
	At int64 `json:"at"`
	// Lapses names the workers that this owner cannot reach and the store's
	// clock at which every lease given to them is over.
	Lapses map[string]int64 `json:"l,omitempty"`
}

// batch is one commit and what follows from it.
type batch struct {
	tx      fleet.Tx
	jobs    []*job
	shown   []workload.State
	fresh   []*job            // jobs whose acceptance the commit makes durable
	waiters [][]chan<- error  // of jobs
	starts  []*task           // runs that may start once it is durable
	ends    map[*host]lifeEnd // ends that it makes durable
	inbox   []string
	dropped []string
	beat    beatRow
	beats   bool // the beat itself is worth a commit
	since   time.Duration
	built   time.Duration
}

// lifeEnd is the number of an end in a worker's life. Numbers begin anew in the
// next life and must not be taken for each other.
type lifeEnd struct{ life, number int64 }

// commitLoop plans, commits what changed and carries it out.
func (s *Shard) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(beatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(beatInterval)
		s.mu.Lock()
		gap := commitGap - (s.now() - s.lastCommit)
		s.mu.Unlock()
		if !pause.For(ctx, max(0, gap)) {
			return context.Cause(ctx)
		}
		s.mu.Lock()
		s.plan(s.now())
		b := s.collect()
		s.mu.Unlock()
		if b.empty() && !b.beats && s.now()-s.lastCommit < beatInterval*9/10 {
			s.carryOut(ctx, b, fleet.TxResult{})
			continue
		}
		if err := s.commit(ctx, b); err != nil {
			return err
		}
	}
}

func (b *batch) empty() bool {
	return len(b.jobs) == 0 && len(b.inbox) == 0 && len(b.dropped) == 0
}

// collect builds the commit of what is dirty. The caller holds the lock.
func (s *Shard) collect() *batch {
	b := &batch{
		beats: s.renounce(),
		beat:  beatRow{Epoch: s.cfg.Epoch, Seq: s.beat.Seq + 1, At: int64(s.storeNow()), Lapses: s.lapses()},
		built: s.now(), ends: map[*host]lifeEnd{},
		tx: fleet.Tx{Part: s.cfg.Name, Expect: []fleet.Row{
			{Table: TableOwner, Key: KeyOwner, Version: s.cfg.OwnerRow},
			{Table: TableBeat, Key: KeyBeat, Version: s.beatVer},
		}},
	}
	b.put(TableBeat, KeyBeat, b.beat)
	s.note(b.beat.Lapses)
	if now := s.now(); len(s.images.quiet) > 0 && now-s.bookAt > bookInterval {
		s.bookAt = now
		b.put(TableImages, KeyImages, s.images.lessons())
	}
	size, full := 0, false
	for _, j := range s.jobs {
		if !j.dirty {
			continue
		}
		if len(b.jobs) >= maxBatch || size > maxBatchBytes {
			full = true
			break
		}
		size += s.collectJob(b, j)
	}
	for key := range s.inboxGone {
		if id := inboxJob(key); s.jobs[id] != nil && s.jobs[id].dirty || len(b.inbox) >= maxBatch/4 {
			full = true
			continue // the row goes with or after the commit that stores its effect
		}
		b.tx.Delete = append(b.tx.Delete, fleet.Row{Table: TableInbox, Key: key})
		b.inbox = append(b.inbox, key)
	}
	for id := range s.dropped {
		if len(b.dropped) >= maxBatch/8 {
			break
		}
		b.tx.Delete = append(b.tx.Delete, fleet.Row{Table: TableAccepted, Key: id}, fleet.Row{Table: TableProgress, Key: id})
		b.dropped = append(b.dropped, id)
	}
	// Ends are durable with the commit that stores the last job they changed.
	if !full {
		for _, h := range s.hosts {
			b.ends[h] = lifeEnd{h.Life, h.applied}
		}
	} else {
		s.kick()
	}
	return b
}

// collectJob adds the rows of j and returns their size.
func (s *Shard) collectJob(b *batch, j *job) int {
	size := 0
	if !j.stored {
		size += b.put(TableAccepted, j.spec.ID, workload.Accepted{Spec: j.spec, AtMillis: int64(j.at), Moved: j.arrived})
		b.fresh = append(b.fresh, j)
		j.sent = true
	}
	size += b.put(TableProgress, j.spec.ID, j.rec)
	j.dirty = false
	b.jobs = append(b.jobs, j)
	b.shown = append(b.shown, j.rec.State)
	b.waiters = append(b.waiters, j.waiters)
	j.waiters = nil
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.stage == stagePlanned {
				b.starts = append(b.starts, t)
			}
		}
	}
	return size
}

func (b *batch) put(table, key string, v any) int {
	value := workload.Encode(v)
	b.tx.Put = append(b.tx.Put, fleet.Row{Table: table, Key: key, Value: value})
	return len(value)
}

// note adds to the workers whose lapse the store may know. Until a beat without
// them is durable they get no lease: a successor would not know of it.
func (s *Shard) note(lapses map[string]int64) {
	for id := range lapses {
		s.noted[id] = true
	}
}

// renounce reports whether a worker that answers again is still noted as lapsing.
func (s *Shard) renounce() bool {
	for id := range s.noted {
		if h := s.hosts[id]; h == nil || h.silent == 0 || len(h.tasks) == 0 {
			return true
		}
	}
	return false
}

// lapses returns the lapse of each worker that is out of reach, on the store's
// clock.
func (s *Shard) lapses() map[string]int64 {
	var out map[string]int64
	for id, h := range s.hosts {
		if h.silent == 0 || len(h.tasks) == 0 {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[id] = int64(s.storeNow().Add(h.lapseAt - s.now()))
	}
	return out
}

// commit tries b until it is known to be applied. Every try is the same
// transaction, whose conditions hold at most once.
func (s *Shard) commit(ctx context.Context, b *batch) error {
	uncertain := false
	wait := commitRetryMin
	b.since = s.now()
	s.setCommitting(b.since)
	defer s.setCommitting(0)
	for {
		tctx, cancel := context.WithTimeout(ctx, commitTimeout)
		res, err := s.cfg.Store.Commit(tctx, b.tx)
		cancel()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err == nil {
			ver, how := s.outcome(b, res)
			if how != "" {
				s.depose(how)
				return ErrDeposed
			}
			res.Version = ver
			s.carryOut(ctx, b, res)
			return nil
		}
		s.cfg.Metrics.CommitFailed(err)
		if contract.OutcomeOf(err) != contract.Refused {
			uncertain = true
		}
		s.commitFailed(b, err, !uncertain)
		if !uncertain && len(b.fresh) > 0 {
			return nil // nothing was done: the next batch is built without the refused jobs
		}
		if !pause.For(ctx, wait/2+rand.N(wait/2)) {
			return context.Cause(ctx)
		}
		wait = min(wait*2, commitRetryMax)
	}
}

// setCommitting notes since when a commit is under way, 0 for none.
func (s *Shard) setCommitting(since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = since
}

// storeAway reports whether a new job could not be stored soon: commits fail, or
// one stays unanswered. The caller holds the lock.
func (s *Shard) storeAway(now time.Duration) bool {
	return s.storeLost > 0 && now-s.storeLost > storeAwayAfter || s.committing > 0 && now-s.committing > commitSlow
}

// refuseUnsent refuses the jobs that no commit has carried, so that their callers
// learn at once that they did not run. The caller holds the lock.
func (s *Shard) refuseUnsent() {
	for _, j := range s.jobs {
		if j.stored || j.sent || j.kept || len(j.waiters) == 0 {
			continue
		}
		s.forget(j)
		j.answer(result.Errorf(result.JobNotStored, "the store is away"))
	}
}

// outcome returns the beat row's version if b is applied, else how the shard
// lost its ownership.
func (s *Shard) outcome(b *batch, res fleet.TxResult) (int64, string) {
	if res.Applied {
		return res.Version, ""
	}
	for _, r := range res.Current {
		if r.Table == TableOwner && r.Version != s.cfg.OwnerRow {
			return 0, "the owner's row has changed"
		}
		if r.Table == TableBeat {
			var have beatRow
			if err := workload.Decode(r.Value, &have); err != nil {
				return 0, err.Error()
			}
			if have.Epoch == b.beat.Epoch && have.Seq == b.beat.Seq {
				return r.Version, ""
			}
		}
	}
	return 0, "the beat row has changed"
}

// commitFailed notes a failed try. Where nothing was done, the batch's new jobs
// are refused and everything else is dirty again.
func (s *Shard) commitFailed(b *batch, err error, nothingDone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeLost == 0 {
		s.storeLost = s.now()
		logger.WithField("shard", s.cfg.Name).WithError(err).Warn("commit failed")
	}
	if !nothingDone || len(b.fresh) == 0 {
		return
	}
	fresh := map[*job]bool{}
	for _, j := range b.fresh {
		j.sent = false
		if j.kept {
			continue
		}
		fresh[j] = true
		s.forget(j)
	}
	for i, j := range b.jobs {
		if fresh[j] {
			j.waiters = append(j.waiters, b.waiters[i]...)
			j.answer(result.Errorf(result.JobNotStored, "the store refused the job"))
			continue
		}
		j.dirty = true
		j.waiters = append(j.waiters, b.waiters[i]...)
	}
	s.kick()
}

// forget drops a job that was never stored.
func (s *Shard) forget(j *job) {
	delete(s.jobs, j.spec.ID)
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if h := s.hosts[t.Worker]; h != nil {
				delete(h.tasks, t.name)
			}
		}
	}
}

// carryOut does what a durable batch allows: answers, starts, acknowledged ends.
func (s *Shard) carryOut(ctx context.Context, b *batch, res fleet.TxResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Version > 0 {
		s.beat, s.beatVer = b.beat, res.Version
		clear(s.noted)
		s.note(b.beat.Lapses)
		s.lastCommit, s.promised = s.now(), b.built
		s.cfg.Metrics.Committed(s.lastCommit-b.since, len(b.jobs))
		s.sawClock(res.Clock)
		if s.storeLost > 0 {
			logger.WithField("shard", s.cfg.Name).WithField("away", (s.now() - s.storeLost).String()).Info("commits succeed again")
			s.storeLost = 0
		}
	}
	for i, j := range b.jobs {
		j.stored, j.shown = true, b.shown[i]
		for _, w := range b.waiters[i] {
			w <- nil
		}
		s.deliverMoved(j)
		if !j.dirty {
			j.answer(nil) // callers that came while the commit was under way
		}
		if j.shown.Final() && !j.dirty && j.placed() == 0 {
			j.tasks = map[int][]*task{} // nothing of it is left to run
		}
	}
	for _, key := range b.inbox {
		delete(s.inboxGone, key)
	}
	for _, id := range b.dropped {
		delete(s.dropped, id)
	}
	for _, t := range b.starts {
		s.start(ctx, t)
	}
	for h, e := range b.ends {
		if e.life == h.Life && e.number > h.durable {
			h.durable = e.number
			h.kick()
		}
	}
	close(s.idle)
	s.idle = make(chan struct{})
}
