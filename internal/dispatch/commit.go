package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// minCommitInterval is the least time between commits. It batches the changes that one
	// event causes, and keeps a busy shard under 50 writes a second; the store takes
	// several hundred from all shards.
	minCommitInterval = 20 * time.Millisecond
	// heartbeatInterval is how often an idle owner renews its heartbeat row. Other
	// instances take an unchanged row as a sign that the owner has failed.
	heartbeatInterval = 500 * time.Millisecond
	// commitTimeout bounds one attempt, the first one on a thin link, unless commits take long. The store usually responds
	// within 10 ms.
	commitTimeout = 600 * time.Millisecond
	// commitStallLimit is how long a commit may stay unanswered before jobs that wait for
	// the next one are refused, unless commits take long.
	commitStallLimit = 450 * time.Millisecond
	// commitRetryMin and commitRetryMax bound the pause between attempts of a commit.
	commitRetryMin = 40 * time.Millisecond
	commitRetryMax = 300 * time.Millisecond
	// maxBatchJobs bounds the jobs of a commit. With two rows a job, a quarter as many
	// inbox rows, an eighth as many ended jobs (two rows each) and four single rows, a
	// commit stays within the store's limit of 100 entries a call: 36 jobs give at most 93.
	maxBatchJobs = 36
	// maxBatchBytes bounds the rows of the jobs in a commit. With the heartbeat and the estimates it stays
	// under the store's limit of 1 MB, which counts base64.
	maxBatchBytes = 500 << 10
	// maxPublishedExpiries bounds the lease expiries in the heartbeat row, which take less than 200 bytes
	// each.
	maxPublishedExpiries = 256
	// LeaseRenewalWindow is how long an owner may renew leases after it built its last
	// durable commit. With the last lease, which ends later, runs survive store outages of
	// about ten seconds. A successor that cannot reach a worker waits until both are over
	// before it restarts the worker's tasks.
	LeaseRenewalWindow = 5 * time.Second
)

// heartbeatRow is the value of the heartbeat row. Every commit replaces it on the condition
// that its version is unchanged. So no commit is applied twice, and a commit whose response
// was lost is recognised by its epoch and sequence number.
type heartbeatRow struct {
	Epoch int64 `json:"e"`
	Seq   int64 `json:"n"`
	// BuiltAt is the owner's estimate of the store's clock, in milliseconds, when the
	// commit was built. The owner renews leases for LeaseRenewalWindow after it.
	BuiltAt int64 `json:"at"`
	// LeaseMillis is the length of the leases that the owner grants.
	LeaseMillis int64 `json:"lease,omitempty"`
	// LeaseExpiries names the workers that this owner cannot reach, with the time on the
	// store's clock, in milliseconds, by which every lease given to them has expired. A
	// successor may then restart their tasks without waiting for the full lease bound.
	LeaseExpiries map[string]int64 `json:"l,omitempty"`
	// Starts are those that may still be carried out; nil if an earlier version wrote the row.
	Starts *publishedStarts `json:"late,omitempty"`
}

// batch is one commit and the actions that follow once it is durable.
type batch struct {
	tx           fleet.Tx
	size         int                        // bytes of the rows of the jobs
	estimates    bool                       // it stores the interference estimates
	jobs         []*job                     // jobs whose progress it stores
	ends         []map[*host]incarnationEnd // the unstored run ends of each of jobs
	states       []workload.State           // the state of each of jobs that it stores
	commits      []int                      // the number of this commit among those of each of jobs
	newJobs      []*job                     // jobs that it stores for the first time
	accepted     []*job                     // jobs whose accepted row it stores in full
	starts       []*task                    // runs to start
	appliedEnds  map[*host]incarnationEnd   // the last run end of each worker that it includes
	inboxKeys    []string                   // keys of the inbox rows that it deletes
	droppedJobs  []string                   // ids of the jobs whose rows it deletes
	moved        []*job                     // jobs that it stores as moved
	lent         []lentTask                 // tasks that it stores as lent
	heartbeat    heartbeatRow
	heartbeatDue bool          // the heartbeat alone needs a commit now
	startedAt    time.Duration // when the first attempt was made
	builtAt      time.Duration // when it was built
}

// incarnationEnd is the number of a run end of one incarnation of a worker. Each
// incarnation numbers its ends from 1, so a number alone is ambiguous.
type incarnationEnd struct{ incarnation, number int64 }

// commitLoop places tasks, commits the changes and carries out the decisions until ctx ends
// or the ownership is lost.
func (s *Shard) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(heartbeatInterval)
		s.mu.Lock()
		gap := minCommitInterval - (s.now() - s.lastCommit)
		s.mu.Unlock()
		if !pause.For(ctx, max(0, gap)) {
			return context.Cause(ctx)
		}
		s.mu.Lock()
		if s.suspended {
			s.mu.Unlock()
			continue
		}
		s.plan(s.now())
		b := s.buildBatch()
		s.committing = true
		s.mu.Unlock()
		if b.empty() && !b.heartbeatDue && s.now()-s.lastCommitBuiltAt < heartbeatInterval*9/10 {
			s.applyCommitted(ctx, b, fleet.TxResult{})
			s.endCycle()
			continue
		}
		if err := s.commit(ctx, b); err != nil {
			return err
		}
		s.endCycle()
	}
}

// endCycle records that no commit is in flight.
func (s *Shard) endCycle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = false
	close(s.cycleDone)
	s.cycleDone = make(chan struct{})
}

// empty reports whether the batch changes nothing but the heartbeat.
func (b *batch) empty() bool {
	return len(b.jobs) == 0 && len(b.inboxKeys) == 0 && len(b.droppedJobs) == 0
}

// buildBatch builds a commit of the uncommitted changes, as far as they fit into one. The
// caller holds the lock.
func (s *Shard) buildBatch() *batch {
	b := &batch{
		heartbeatDue: s.expiryWithdrawalDue(),
		heartbeat:    heartbeatRow{Epoch: s.cfg.Epoch, Seq: s.heartbeat.Seq + 1, BuiltAt: int64(s.storeNow()), LeaseMillis: s.lease().Milliseconds(), LeaseExpiries: s.leaseExpiries()},
		builtAt:      s.now(), appliedEnds: map[*host]incarnationEnd{},
		tx: fleet.Tx{Part: s.cfg.Name, Expect: []fleet.Row{
			{Table: TableOwner, Key: KeyOwner, Version: s.cfg.OwnerRow},
			{Table: TableHeartbeat, Key: KeyHeartbeat, Version: s.heartbeatVersion},
		}},
	}
	s.publishStarts(&b.heartbeat)
	b.put(TableHeartbeat, KeyHeartbeat, b.heartbeat)
	s.recordPublishedExpiries(b.heartbeat.LeaseExpiries)
	if now := s.now(); s.colocation.Known() && now-s.estimatesStoredAt > estimatesStoreInterval && now >= s.estimatesHeldUntil {
		s.estimatesStoredAt = now
		b.put(TableInterference, KeyInterference, s.colocation.EstimatesToStore(now, int64(s.storeNow()), s.cfg.Bounds.RowLimit()))
		b.estimates = true
	}
	full := s.addJobsToBatch(b)
	for key := range s.inboxToDelete {
		if j := s.jobs[inboxJobID(key)]; j != nil && j.dirty {
			full = full || s.now() >= j.heldUntil
			continue // the row is deleted by the commit that stores its effect, or a later one
		}
		if len(b.inboxKeys) >= maxBatchJobs/4 {
			full = true
			break
		}
		b.tx.Delete = append(b.tx.Delete, fleet.Row{Table: TableInbox, Key: key})
		b.inboxKeys = append(b.inboxKeys, key)
	}
	for id := range s.droppedJobs {
		if len(b.droppedJobs) >= maxBatchJobs/8 {
			break
		}
		b.tx.Delete = append(b.tx.Delete, fleet.Row{Table: TableAccepted, Key: id}, fleet.Row{Table: TableProgress, Key: id})
		b.droppedJobs = append(b.droppedJobs, id)
	}
	s.setAppliedEnds(b)
	if full {
		s.wakeCommitLoop()
	}
	return b
}

// addJobsToBatch adds the changed jobs to b, as far as they fit, and reports whether some are left to
// the next batch.
func (s *Shard) addJobsToBatch(b *batch) (full bool) {
	limit, now := s.cfg.StoreLink.batchBytes(), s.now()
	for _, j := range s.jobs {
		if !j.dirty || now < j.heldUntil {
			continue
		}
		if len(b.jobs) >= s.maxBatch() || !s.addJobToBatch(b, j, limit) {
			return true
		}
	}
	return false
}

// setAppliedEnds sets the run ends that may be acknowledged to their workers once b is durable: those
// before the first one of a job with changes that b does not store.
func (s *Shard) setAppliedEnds(b *batch) {
	for _, h := range s.hosts {
		b.appliedEnds[h] = incarnationEnd{h.Incarnation, h.appliedEnd}
	}
	for _, j := range s.jobs {
		if !j.dirty {
			j.unstoredEnds = nil // all that they have changed is stored, or in b
			continue
		}
		for h, first := range j.unstoredEnds {
			if e, ok := b.appliedEnds[h]; ok && first.incarnation == e.incarnation && first.number <= e.number {
				b.appliedEnds[h] = incarnationEnd{e.incarnation, first.number - 1}
			}
		}
	}
}

// addJobToBatch adds the rows of j to b, and reports whether they fit beside those of other jobs.
func (s *Shard) addJobToBatch(b *batch, j *job, limit int) bool {
	var rows []fleet.Row
	if !j.stored {
		rows = append(rows, fleet.Row{Table: TableAccepted, Key: j.spec.ID, Value: workload.Encode(j.accepted())})
	}
	termsRow := s.termsRow(j)
	if termsRow != nil {
		rows = append(rows, fleet.Row{Table: TableAccepted, Key: j.spec.ID, Value: termsRow})
	}
	shorten := j.stored && j.hasLongRow()
	if shorten {
		rows = append(rows, fleet.Row{Table: TableAccepted, Key: j.spec.ID, Value: workload.Encode(j.shortAccepted())})
	}
	rows = append(rows, fleet.Row{Table: TableProgress, Key: j.spec.ID, Value: j.progressRow(s.cfg.Bounds.RowLimit())})
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	if len(b.jobs) > 0 && b.size+size > limit {
		return false
	}
	b.tx.Put, b.size = append(b.tx.Put, rows...), b.size+size
	if !j.stored {
		b.newJobs = append(b.newJobs, j)
		j.sentToStore = true
	}
	if !j.stored || termsRow != nil {
		b.accepted = append(b.accepted, j)
		j.storedTerms = j.spec.Terms
	}
	j.shortRow = j.shortRow || shorten
	j.dirty = false
	b.jobs = append(b.jobs, j)
	b.states = append(b.states, j.record.State)
	j.commits++
	b.commits = append(b.commits, j.commits)
	b.ends = append(b.ends, j.unstoredEnds)
	j.unstoredEnds = nil
	if j.record.Moved != nil {
		b.moved = append(b.moved, j)
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.stage == stagePlanned {
				b.starts = append(b.starts, t)
			}
			if t.Phase == workload.Lent && t == t.gang()[0] {
				b.lent = append(b.lent, lentTask{t, t.Run})
			}
		}
	}
	return true
}

// put adds a row to the batch.
func (b *batch) put(table, key string, v any) {
	b.tx.Put = append(b.tx.Put, fleet.Row{Table: table, Key: key, Value: workload.Encode(v)})
}

// recordPublishedExpiries marks workers whose lease expiries may have been stored in the
// heartbeat row. They get no lease until a heartbeat without them is durable: a successor
// would trust the stored expiry and restart their tasks while a newer lease is still valid.
func (s *Shard) recordPublishedExpiries(expiries map[string]int64) {
	for id := range expiries {
		s.publishedExpiries[id] = true
	}
}

// expiryWithdrawalDue reports whether a published lease expiry is obsolete, because the worker
// responds again or has no runs left. The next heartbeat then withdraws it.
func (s *Shard) expiryWithdrawalDue() bool {
	for id := range s.publishedExpiries {
		if h := s.hosts[id]; h == nil || h.unreachableSince == 0 || len(h.tasks) == 0 {
			return true
		}
	}
	return false
}

// leaseExpiries returns, for unreachable workers with runs, the time on the store's clock, in
// milliseconds, when their last lease has expired. A successor takes the longest possible lease of a
// worker that is left out.
func (s *Shard) leaseExpiries() map[string]int64 {
	var out map[string]int64
	for id, h := range s.hosts {
		if h.unreachableSince == 0 || len(h.tasks) == 0 {
			continue
		}
		if len(out) == maxPublishedExpiries {
			break
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[id] = int64(s.storeNow().Add(h.leasesExpireAt - s.now()))
	}
	return out
}

// commit retries b until it is known to be applied. Every attempt sends the same
// transaction, whose conditions can hold only once.
func (s *Shard) commit(ctx context.Context, b *batch) error {
	mayBeApplied := false
	wait := commitRetryMin
	b.startedAt = s.now()
	s.setCommitStart(b.startedAt)
	defer s.setCommitStart(0)
	for attempt := 0; ; attempt++ {
		sent := s.now()
		timeout := max(s.storeLatency.commitTimeout(), s.cfg.StoreLink.commitTimeout(attempt)) // only this loop writes the latency
		tctx, cancel := context.WithTimeout(ctx, timeout)
		res, err := s.cfg.Store.Commit(tctx, b.tx)
		cancel()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err == nil {
			version, lostReason := s.commitOutcome(b, res)
			if lostReason != "" {
				s.loseOwnership(lostReason)
				return ErrOwnershipLost
			}
			res.Version = version
			s.observeCommitTime(s.now() - sent)
			s.applyCommitted(ctx, b, res)
			return nil
		}
		s.cfg.Metrics.CommitFailed(err)
		if contract.IsMalformed(err) {
			// The store has not applied an earlier attempt either, as it was the same transaction.
			s.isolateMalformed(b, err)
			pause.For(ctx, wait)
			return context.Cause(ctx)
		}
		if contract.OutcomeOf(err) != contract.Refused {
			mayBeApplied = true
		}
		s.handleCommitFailure(b, err, !mayBeApplied)
		if !mayBeApplied && len(b.newJobs) > 0 {
			return nil // certainly not applied: the next batch omits the refused jobs
		}
		if !pause.For(ctx, wait/2+rand.N(wait/2)) {
			return context.Cause(ctx)
		}
		wait = min(wait*2, commitRetryMax)
	}
}

// observeCommitTime records the duration of a call that committed.
func (s *Shard) observeCommitTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeLatency.observe(d)
}

// setCommitStart records when the commit in flight began; 0 means that there is none.
func (s *Shard) setCommitStart(since time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitStartedAt = since
}

// storeUnavailable reports whether a new job could not be stored soon: commits have failed,
// or one has stayed unanswered, for too long. The caller holds the lock.
func (s *Shard) storeUnavailable(now time.Duration) bool {
	return s.commitsFailingSince > 0 && now-s.commitsFailingSince > storeUnavailableAfter || s.commitStartedAt > 0 && now-s.commitStartedAt > s.storeLatency.stallLimit()
}

// refuseUnsentJobs refuses the jobs that no commit has carried. They are certain not to
// run, and their callers learn it at once. The caller holds the lock.
func (s *Shard) refuseUnsentJobs() {
	for _, j := range s.jobs {
		if j.stored || j.sentToStore || j.inInbox() || len(j.waiters) == 0 {
			continue
		}
		s.removeUnstored(j)
		j.reject(result.Errorf(result.JobRefused, "the store is unavailable"))
	}
}

// commitOutcome returns the heartbeat row's version if b is applied, or else the reason why
// this instance no longer owns the shard.
func (s *Shard) commitOutcome(b *batch, res fleet.TxResult) (int64, string) {
	if res.Applied {
		return res.Version, ""
	}
	for _, r := range res.Current {
		if r.Table == TableOwner && r.Version != s.cfg.OwnerRow {
			return 0, "another instance has written the owner row"
		}
		if r.Table == TableHeartbeat {
			var stored heartbeatRow
			if err := workload.Decode(r.Value, &stored); err != nil {
				return 0, err.Error()
			}
			if stored.Epoch == b.heartbeat.Epoch && stored.Seq == b.heartbeat.Seq {
				return r.Version, ""
			}
		}
	}
	return 0, "another instance has written the heartbeat row"
}

// handleCommitFailure records a failed attempt. If the commit was certainly not applied,
// its new jobs are refused, except those that lie in the inbox, and all its other changes
// are marked uncommitted again.
func (s *Shard) handleCommitFailure(b *batch, err error, notApplied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitsFailingSince == 0 {
		s.commitsFailingSince = s.now()
		logger.WithField("shard", s.cfg.Name).WithError(err).Warn("commit failed")
	}
	if !notApplied || len(b.newJobs) == 0 {
		return
	}
	newJobs := map[*job]bool{}
	for _, j := range b.newJobs {
		newJobs[j] = !j.inInbox()
	}
	for i, j := range b.jobs {
		b.requeue(i)
		if newJobs[j] {
			s.removeUnstored(j)
			j.reject(result.Errorf(result.JobRefused, "the store refused the commit with the job"))
		}
	}
	s.wakeCommitLoop()
}

// requeue marks the changes of job i, which are not stored, as uncommitted.
func (b *batch) requeue(i int) {
	j := b.jobs[i]
	j.dirty, j.shortRow = true, false
	if slices.Contains(b.accepted, j) {
		j.storedTerms = nil
	}
	for h, e := range b.ends[i] {
		j.recordUnstoredEnd(h, e)
	}
	if !j.stored {
		j.sentToStore = false
	}
}

// recordUnstoredEnd records that the end of a run of j was reported.
func (j *job) recordUnstoredEnd(h *host, e incarnationEnd) {
	first, ok := j.unstoredEnds[h]
	if ok && first.incarnation == e.incarnation && first.number <= e.number {
		return
	}
	if j.unstoredEnds == nil {
		j.unstoredEnds = map[*host]incarnationEnd{}
	}
	j.unstoredEnds[h] = e
}

// removeUnstored removes a job that was never stored, and its runs, which were never
// started.
func (s *Shard) removeUnstored(j *job) {
	delete(s.jobs, j.spec.ID)
	s.unregisterLoan(j)
	if j.loan == nil && j.record.Moved != nil {
		s.movesInFlight = max(0, s.movesInFlight-1)
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if h := s.hosts[t.Worker]; h != nil {
				delete(h.tasks, t.name)
			}
		}
	}
}

// applyCommitted does what follows from a durable batch: it replies to callers, starts runs
// and lets the workers' run ends be acknowledged. A batch without changes needs no commit
// for that; its res is empty.
func (s *Shard) applyCommitted(ctx context.Context, b *batch, res fleet.TxResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.Version > 0 {
		allowsLeases := s.now()-s.lastCommitBuiltAt >= LeaseRenewalWindow || len(s.publishedExpiries) > 0
		s.heartbeat, s.heartbeatVersion = b.heartbeat, res.Version
		clear(s.publishedExpiries)
		s.recordPublishedExpiries(b.heartbeat.LeaseExpiries)
		s.lastCommit, s.lastCommitBuiltAt = s.now(), b.builtAt
		if allowsLeases {
			s.wakeFollowers()
		}
		s.cfg.Metrics.Committed(s.lastCommit-b.startedAt, len(b.jobs))
		s.recordStored(b, res.Version)
		s.growBatches()
		s.setStoreClockLocked(res.Clock)
		if s.commitsFailingSince > 0 {
			logger.WithField("shard", s.cfg.Name).WithField("away", (s.now() - s.commitsFailingSince).String()).Info("commit succeeded after failures")
			s.commitsFailingSince = 0
		}
	}
	for i, j := range b.jobs {
		j.stored, j.durableState, j.durableCommit, j.holds = true, b.states[i], b.commits[i], 0
		j.confirm()
		if j.durableState.Final() && !j.dirty && j.placed() == 0 {
			j.tasks = map[int][]*task{} // no run of it is left
		}
	}
	for _, j := range b.moved {
		s.deliverMoved(j)
	}
	for _, l := range b.lent {
		s.settleLoan(l)
	}
	for _, key := range b.inboxKeys {
		delete(s.inboxToDelete, key)
	}
	for _, id := range b.droppedJobs {
		delete(s.droppedJobs, id)
	}
	s.sendStarts(ctx, b.starts)
	for h, e := range b.appliedEnds {
		if e.incarnation == h.Incarnation && e.number > h.durableEnd {
			h.durableEnd = e.number
			h.wakeFollower()
		}
	}
}
