package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

const (
	// renewalWait is how long a worker may delay its response to a lease renewal until a run
	// ends. It also bounds the age of reported tail latencies and the time until an
	// unreachable worker is noticed.
	renewalWait = 1000 * time.Millisecond
	// maxLease is the longest lease that an owner grants, where the platform accepts longer
	// ones. Without another proof, the tasks of a worker that has gone run again only when
	// its last lease has expired, and a long-running task without a run counts as lost after
	// nine seconds. Shorter leases would expire before the successor of a failed owner has
	// renewed them.
	maxLease = 6 * time.Second
	// renewalMargin is how much longer the response may take.
	renewalMargin = 600 * time.Millisecond
	// renewalRetryDelay is the pause after a failed renewal.
	renewalRetryDelay = 200 * time.Millisecond
	// durableWaitLimit bounds the wait for run ends to become durable before the worker is
	// asked again: leases have to be renewed also while the store is unavailable.
	durableWaitLimit = 1500 * time.Millisecond
	// lastRenewalLead is how long before the renewal window closes the last renewal is due.
	// It leaves time to identify the worker's incarnation first.
	lastRenewalLead = 200 * time.Millisecond
)

// followWorker renews the leases of the runs on h and processes its reports until ctx ends.
func (s *Shard) followWorker(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		s.mu.Lock()
		replaced := h.replaced
		renewal, sent := s.buildRenewal(h)
		s.mu.Unlock()
		if replaced {
			return // this incarnation never answers again
		}
		tctx, cancel := context.WithTimeout(ctx, time.Duration(renewal.WaitMillis)*time.Millisecond+renewalMargin)
		report, err := s.cfg.Workers.RenewLease(tctx, renewal)
		timedOut := tctx.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.handleRenewalFailure(h, err, timedOut)
			pause.For(ctx, renewalRetryDelay)
			continue
		}
		s.handleRenewalReport(h, sent, renewal.Token, report)
		if report.Refused != fleet.CommandAccepted {
			pause.For(ctx, renewalRetryDelay)
			continue
		}
		if renewal.WaitMillis > 0 {
			s.awaitDurable(ctx, h)
			continue
		}
		s.awaitLeaseAllowed(ctx, h) // it only identified the incarnation, and the next one carries the lease
	}
}

// lease is the length of the leases that this owner grants.
func (s *Shard) lease() time.Duration { return min(maxLease, s.cfg.Bounds.LeaseMax) }

// inheritedLease is the longest lease that the earlier owner may have granted. An owner of
// an earlier version, whose heartbeat row has no lease, granted the longest possible ones.
func (s *Shard) inheritedLease() time.Duration {
	if s.inheritedLeaseMillis == 0 {
		return s.cfg.Bounds.LeaseMax
	}
	return max(s.lease(), time.Duration(s.inheritedLeaseMillis)*time.Millisecond)
}

// buildRenewal builds the next renewal for h. The caller holds the lock.
func (s *Shard) buildRenewal(h *host) (fleet.RenewLease, time.Duration) {
	now := s.now()
	renewal := fleet.RenewLease{Worker: h.Worker, Token: s.token(h)}
	if !h.fenced || h.unreachableSince > 0 {
		return renewal, now // it only identifies the incarnation, and the next one carries the lease
	}
	if !s.leaseAllowed(h, now) {
		return renewal, now // it must not be under way when a lease becomes allowed
	}
	renewal.Acked = h.durableEnd
	renewal.WaitMillis = s.untilRenewal(now, renewalWait).Milliseconds()
	if len(h.tasks) > 0 {
		renewal.LeaseUntil = h.workerClock(now) + s.lease().Milliseconds()
		h.recordLease(renewal.LeaseUntil)
	}
	return renewal, now
}

// leaseAllowed reports whether a lease may be granted to h now. The caller holds the lock.
func (s *Shard) leaseAllowed(h *host, now time.Duration) bool {
	return now-s.lastCommitBuiltAt < LeaseRenewalWindow && !s.publishedExpiries[h.ID]
}

// untilRenewal returns wait, or less if the renewal window closes soon: the last renewal in
// the window is due lastRenewalLead before its end. The caller holds the lock.
func (s *Shard) untilRenewal(now, wait time.Duration) time.Duration {
	left := s.lastCommitBuiltAt + LeaseRenewalWindow - lastRenewalLead - now
	if left < time.Millisecond {
		return wait
	}
	return min(wait, left)
}

// handleRenewalFailure marks h as unreachable after a renewal without a response.
func (s *Shard) handleRenewalFailure(h *host, err error, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Metrics.RenewalFailed()
	if h.unreachableSince == 0 {
		h.markUnreachable(s.now(), timedOut)
		logger.WithField("worker", h.ID).WithField("runs", len(h.tasks)).WithError(err).Info("worker does not answer")
	}
}

// awaitDurable waits until the run ends that h reported are durable, so that the next
// renewal acknowledges them. A worker responds at once, without waiting, while it has
// unacknowledged ends to report.
func (s *Shard) awaitDurable(ctx context.Context, h *host) {
	s.mu.Lock()
	limit := s.untilRenewal(s.now(), durableWaitLimit)
	s.mu.Unlock()
	s.awaitHost(ctx, h, limit, func() bool { return h.durableEnd >= h.appliedEnd })
}

// awaitLeaseAllowed waits until a lease may be granted to h, but no longer than a worker
// would delay its response.
func (s *Shard) awaitLeaseAllowed(ctx context.Context, h *host) {
	s.awaitHost(ctx, h, renewalWait, func() bool { return s.leaseAllowed(h, s.now()) })
}

// awaitHost waits until done, which is called with the lock held, returns true after a wake
// of h's follower, until limit has passed or until ctx ends.
func (s *Shard) awaitHost(ctx context.Context, h *host, limit time.Duration, done func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		ok := done()
		s.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-h.wake:
		}
	}
}

// handleRenewalReport processes the response to a renewal that was sent at sent with the token.
func (s *Shard) handleRenewalReport(h *host, sent time.Duration, token int64, report fleet.LeaseReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch report.Refused {
	case fleet.CommandAccepted:
	case fleet.CommandFenced:
		if token == s.token(h) {
			s.loseOwnership("a worker has accepted commands of a later epoch")
		}
		return // the next renewal has the present token
	default:
		// Another incarnation responded, or the worker is overloaded. It counts as
		// unreachable until it responds or the registry lists the new incarnation.
		h.markUnreachable(now, false)
		if report.Refused == fleet.CommandOtherIncarnation && !h.replaced {
			s.handleReplacement(h, now)
		}
		return
	}
	if report.Incarnation > h.Incarnation && h.fenced {
		s.handleRestart(h, report.Incarnation)
		return // the next renewal asks for the lists again, without an acknowledgement
	}
	h.Incarnation = max(h.Incarnation, report.Incarnation)
	if s.publishedExpiries[h.ID] {
		s.wakeCommitLoop() // the heartbeat that withdraws its lease expiry comes before its next lease
	}
	if h.unreachableSince > 0 && h.fenced {
		logger.WithField("worker", h.ID).WithField("silent", (now - h.unreachableSince).String()).Info("worker answers again")
	}
	if !h.fenced {
		h.fenced = true
		lease := s.inheritedLease() // an earlier owner may have granted it
		if len(h.lateStarts) > 0 {
			lease = s.cfg.Bounds.LeaseMax // for an earlier incarnation, by its clock
		}
		h.maxLeaseUntil = report.Clock + lease.Milliseconds()
	}
	h.fencedToken = max(h.fencedToken, token)
	h.recordClock(report.Clock, now)
	if s.applyEnds(h, report.Ended) {
		s.wakeCommitLoop()
	}
	s.reconcileRuns(h, sent, report)
}

// applyEnds records the run ends that were not applied yet and reports whether there were
// any.
func (s *Shard) applyEnds(h *host, ends []fleet.EndReport) bool {
	fresh := false
	for _, e := range ends {
		if e.Number <= h.appliedEnd {
			continue
		}
		h.appliedEnd, fresh = e.Number, true
		s.applyEnd(h, e)
	}
	return fresh
}

// reconcileRuns compares the runs that the worker reported with those that the shard placed
// there: it stops unknown runs and returns tasks whose run does not exist to the queue. A report whose
// list of ends may be cut off proves of no run that it does not exist.
func (s *Shard) reconcileRuns(h *host, sent time.Duration, report fleet.LeaseReport) {
	now := s.now()
	listed := make(map[string]bool, len(report.Running))
	h.hasUnknownRuns = false
	for _, r := range report.Running {
		listed[r.Task] = true
		t := h.tasks[r.Task]
		if t == nil || t.Run != r.Run {
			h.hasUnknownRuns = true
			s.stopUnknownRun(h, r)
			continue
		}
		s.observeRun(t, h, r, sent, now)
	}
	for name, t := range h.tasks {
		if !listed[name] && t.stage == stageUnconfirmed && sent > t.stageSince && h.fencedToken <= t.startToken {
			s.repeatStart(t, h, now)
		}
		if !listed[name] && !report.MoreEnds && s.provenAbsent(t, h, sent) {
			s.cfg.Metrics.RunMissing()
			logger.WithField("task", name).WithField("run", t.Run).WithField("worker", h.ID).
				WithField("stage", int(t.stage)).Info("worker does not report the run")
			if t.Incarnation < h.Incarnation {
				s.countCrash(t, h, true)
			}
			s.returnToPending(t, now)
			s.failIfExhausted(t)
			s.wakeCommitLoop()
		}
	}
	if len(s.bound) > 0 && !report.MoreEnds {
		s.releaseAbsent(h, sent, listed)
	}
	s.controlTailLatencies(h, now)
}

// repeatStart sends the start of t again, of which the report of h shows nothing: the run begins, and the start
// without a response has no effect any more. If t may not be started, h is to reject that start.
func (s *Shard) repeatStart(t *task, h *host, now time.Duration) {
	if t.startRepeated || !t.job.active() || !s.maySend(t, now) {
		s.fenceEarlier(h)
		return
	}
	t.startRepeated = true
	h.lateStartRepeated(t.name)
	logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", h.ID).Info("start repeated")
	s.transmitStart(s.hostCtx, t, h, now)
}

// observeRun records what the worker h reports about a run of t, in a report requested at sent.
func (s *Shard) observeRun(t *task, h *host, r fleet.RunReport, sent, now time.Duration) {
	if t.stage != stageRunning {
		h.confirmStart(t)
		t.confirmRun(now)
	}
	if t.Incarnation != h.Incarnation { // a late start has begun it
		t.Incarnation, t.job.dirty = h.Incarnation, true
	}
	s.observeSurvival(t, sent)
	if r.ProgressPercent != t.percent {
		t.percent, t.progressedAt = r.ProgressPercent, now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint = r.Checkpoint // stored with the job's next change
	}
	t.gauge = r.Gauge
}

// confirmRun records that the worker has begun the run of t.
func (t *task) confirmRun(now time.Duration) {
	t.stage, t.stageSince, t.progressedAt = stageRunning, now, now
	t.job.hasRun = true
}

// provenAbsent reports whether a run list of h that was requested at sent, and lacks the run of t, proves
// that the run neither exists nor will. A start without a response may still arrive until h has accepted a
// higher token.
func (s *Shard) provenAbsent(t *task, h *host, sent time.Duration) bool {
	switch t.stage {
	case stageRunning, stageInherited:
		return sent > t.stageSince
	case stageUnconfirmed:
		return sent > t.stageSince && h.fencedToken > t.startToken
	}
	return false
}

// stopUnknownRun stops a run that the worker has and the shard did not place there.
func (s *Shard) stopUnknownRun(h *host, r fleet.RunReport) {
	if t := h.tasks[r.Task]; t != nil && t.Run < r.Run {
		logger.WithField("task", r.Task).WithField("run", r.Run).WithField("known", t.Run).Error("worker reports a run that was never placed")
	}
	key := r.Task
	if h.unknownRunStops[key] {
		return
	}
	h.unknownRunStops[key] = true
	logger.WithField("task", r.Task).WithField("run", r.Run).WithField("worker", h.ID).Warn("stopping unknown run")
	s.sendStop(fleet.RunRef{Worker: h.Worker, Task: r.Task, Run: r.Run, Token: s.token(h)}, func(error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(h.unknownRunStops, key)
	})
}

// undoPlacement makes t pending again after a start that had no effect. The wait of a
// long-running task goes on.
func (s *Shard) undoPlacement(t *task, now time.Duration) {
	if t.step.LongRunning {
		now = t.pendingSince
	}
	s.returnToPending(t, now)
	s.failIfExhausted(t)
}

// returnToPending makes t pending again, once its run is known not to exist. Its wait counts
// from since.
func (s *Shard) returnToPending(t *task, since time.Duration) {
	if h := s.hosts[t.Worker]; h != nil {
		h.rememberEnd(t, s.now())
		delete(h.tasks, t.name)
		s.bindTask(t, h)
	}
	t.Phase, t.stage = workload.Pending, stageNone
	t.Worker, t.Incarnation = "", 0
	t.pendingSince, t.startableSince, t.stopWanted = since, 0, false
	t.job.dirty = true
}
