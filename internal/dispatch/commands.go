package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/obs"
	"skylarkport/internal/workload"
)

const (
	// commandTimeout bounds a command. Workers respond within some milliseconds.
	commandTimeout = 900 * time.Millisecond
	// stopRetry is the pause before the stop of a run is sent again, until the worker
	// reports the end of the run.
	stopRetry = 500 * time.Millisecond
	// startLease is the lease that a start asks for; the next renewal extends it. It is
	// shorter than the lease of a renewal, so that a run whose start got no response expires
	// sooner.
	startLease = 4 * time.Second
	// rejectionBackoff is how long a worker without capacity for a start gets no other.
	rejectionBackoff = 400 * time.Millisecond
)

// sendStarts sends the starts of runs whose placements are durable. A gang is started whole or not
// at all. The caller holds the lock.
func (s *Shard) sendStarts(ctx context.Context, starts []*task) {
	now := s.now()
	for _, t := range starts {
		if t.stage != stagePlanned || s.maySend(t, now) {
			continue
		}
		members := []*task{t}
		if t.step.Gang {
			members = t.job.stepTasks(t.id.Occurrence, t.id.Step)
		}
		for _, m := range members {
			if m.stage == stagePlanned {
				s.undoPlacement(m, now) // no start was sent, so no run can exist
			}
		}
		s.wakeCommitLoop()
	}
	for _, t := range starts {
		if t.stage == stagePlanned {
			s.sendStart(ctx, t, now)
		}
	}
}

// maySend reports whether the worker of t, a task whose placement is durable, may still get its start.
func (s *Shard) maySend(t *task, now time.Duration) bool {
	h := s.hosts[t.Worker]
	if h == nil || t.stopWanted || h.Draining || !h.fenced || h.Incarnation != t.Incarnation || h.unreachableSince > 0 || !s.leaseAllowed(h, now) {
		return false
	}
	return h.stillFits(t) && s.capacityKnown(h, now) && s.zoneAllows(t, h, now)
}

// sendStart sends the start of t. The caller holds the lock.
func (s *Shard) sendStart(ctx context.Context, t *task, now time.Duration) {
	h := s.hosts[t.Worker]
	t.uninterrupted = t.Checkpoint == "" && t.startCPULimit == 0 && !t.step.LongRunning
	s.cfg.Metrics.StartSent(now - t.pendingSince)
	s.recordWait(t, h, now)
	if t.step.LongRunning {
		s.cfg.Metrics.LongRunningStarted(now - t.pendingSince)
	}
	s.transmitStart(ctx, t, h, now)
}

// transmitStart sends the command to start the run of t on h. The caller holds the lock.
func (s *Shard) transmitStart(ctx context.Context, t *task, h *host, now time.Duration) {
	t.stage, t.stageSince, t.startToken = stageSent, now, s.token(h)
	command := fleet.Start{
		Worker: h.Worker, Task: t.name, Run: t.Run, Payload: t.job.spec.Payload,
		Checkpoint: t.Checkpoint, Ticket: t.ticket, Token: t.startToken,
		LeaseUntil: h.workerClock(now) + min(startLease, s.lease()).Milliseconds(),
	}
	h.recordLease(command.LeaseUntil)
	s.hostWG.Go(func() {
		tctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		r, err := s.cfg.Workers.Start(tctx, command)
		s.handleStartResult(t, h, &command, r, err)
	})
}

// handleStartResult processes the response to a start.
func (s *Shard) handleStartResult(t *task, h *host, start *fleet.Start, r fleet.CommandResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := start.Run
	if t.Run != run || t.stage != stageSent || t.startToken != start.Token {
		return // a report of the worker has settled it already
	}
	now := s.now()
	if err != nil && contract.OutcomeOf(err) != contract.Refused {
		t.startTimedOut = now-t.stageSince >= commandTimeout
		if contract.MayBeLate(err) {
			h.recordLateStart(t, t.stageSince)
		}
		t.stage, t.stageSince = stageUnconfirmed, now
		s.cfg.Metrics.StartUnanswered()
		logger.WithField("task", t.name).WithField("run", run).WithField("worker", h.ID).
			WithField("may_be_late", contract.MayBeLate(err)).WithError(err).Info("start was not answered")
		h.wakeFollower() // the worker's next report shows whether the run exists
		return
	}
	if err == nil && r == fleet.CommandAccepted {
		t.confirmRun(now)
		if t.startCPULimit > 0 {
			s.setCPULimit(t, h, t.startCPULimit, now)
		}
		h.wakeFollower()
		return
	}
	s.cfg.Metrics.StartRejected(r)
	logger.WithField("task", t.name).WithField("run", run).WithField("worker", h.ID).
		WithField("result", int(r)).WithField("cause", obs.ErrorText(err)).Info("start was rejected")
	if r == fleet.CommandFenced && err == nil && start.Token == s.token(h) {
		s.loseOwnership("a worker has accepted commands of a later epoch")
		return
	}
	if err != nil || r == fleet.CommandNoCapacity || r == fleet.CommandUnavailable {
		h.busyUntil = now + rejectionBackoff
	}
	switch r {
	case fleet.CommandNoTicket:
		s.rejectTicket(t, h, now)
	case fleet.CommandStale, fleet.CommandLeaseExpired, fleet.CommandInvalid:
		t.avoid(h.ID) // it would reject the next start as well
	}
	if err != nil {
		h.markUnreachable(now, false)
	}
	if now <= s.lateRunsEnd(h, t.name) {
		t.stage, t.stageSince = stageUnconfirmed, now // an earlier start of the run may still be carried out
		s.fenceEarlier(h)
	} else {
		s.undoPlacement(t, now)
	}
	if r == fleet.CommandUnavailable {
		s.recordWorkerFailure(h, now, "starts rejected by an overloaded worker")
	}
	s.wakeCommitLoop()
}

// sendStop sends a stop in the background and calls done with its error. The caller holds
// the lock.
func (s *Shard) sendStop(ref fleet.RunRef, done func(error)) {
	ctx := s.hostCtx
	s.hostWG.Go(func() {
		tctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		r, err := s.cfg.Workers.Stop(tctx, ref)
		if err == nil && r != fleet.CommandAccepted {
			err = &contract.CallError{Outcome: contract.Refused, Detail: "the worker rejected the stop"}
		}
		done(err)
	})
}

// sendStopIfDue sends the stop of a run that is to end, unless one was sent within
// stopRetry. The caller holds the lock.
func (s *Shard) sendStopIfDue(t *task, h *host, now time.Duration) {
	if !t.stopWanted || t.stage == stagePlanned || t.stage == stageSent || t.stopAckedAt > 0 && now-t.stopAckedAt < stopRetry {
		return
	}
	if t.stopSentAt > 0 && now-t.stopSentAt < stopRetry || h.Address == "" {
		return
	}
	t.stopSentAt = now
	run := t.Run
	s.sendStop(fleet.RunRef{Worker: h.Worker, Task: t.name, Run: run, Token: s.token(h)}, func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || t.Run != run || t.Phase != workload.Placed {
			return
		}
		if t.stopAckedAt == 0 {
			t.stopAckedAt = s.now()
		}
		h.wakeFollower()
	})
}

// stallAfter is how long the progress of a run may stand still before the run is stopped.
// Workers report progress every second.
const stallAfter = 2500 * time.Millisecond

// checkHosts handles expired leases, repeats stops, stops stalled runs and drops ended
// jobs. It reports whether tasks may have become placeable. The caller holds the lock.
func (s *Shard) checkHosts(now time.Duration) bool {
	replan := s.nextPlanAt > 0 && now >= s.nextPlanAt
	if s.storeUnavailable(now) {
		s.refuseUnsentJobs()
	}
	for id, h := range s.hosts {
		if !h.listed && !h.replaced && !h.lossRecorded && len(h.tasks) > 0 && h.unreachableSince > 0 && now > h.leasesExpireAt {
			h.lossRecorded = true
			s.recordLoss(h, lossLeaseExpired)
		}
		replan = s.returnLostRuns(h, now) || replan
		for _, t := range h.tasks {
			s.stopIfStalled(t, h, now)
			s.sendStopIfDue(t, h, now)
		}
		s.forgetLateStarts(h, now)
		if !h.listed && len(h.tasks) == 0 && len(h.lateStarts) == 0 && now > h.leasesExpireAt {
			if h.cancel != nil {
				h.cancel()
			}
			delete(s.hosts, id)
		}
	}
	s.forgetPresumedCrashes(now)
	s.dropEndedJobs()
	return replan
}

// stopIfStalled stops a run without progress. Throttled runs are exempt, as they progress
// slowly, and so are long-running tasks and gangs.
func (s *Shard) stopIfStalled(t *task, h *host, now time.Duration) {
	if t.stage != stageRunning || t.stopWanted || h.unreachableSince > 0 || t.step.LongRunning || t.step.Gang || t.cpuLimit > 0 && t.cpuLimit < 100 {
		return
	}
	if h.clockAt-t.progressedAt < stallAfter {
		return
	}
	logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", h.ID).WithField("percent", t.percent).Info("run makes no progress")
	t.stopWanted = true
	t.avoid(h.ID)
	if h.lastFailedJob != t.job.spec.ID {
		h.lastFailedJob = t.job.spec.ID
		s.recordWorkerFailure(h, now, "runs without progress")
	}
}

// dropEndedJobs drops the jobs that ended longer ago than Bounds.EndedRetention. The
// record of a moved job is dropped only once its new shard no longer has the job.
func (s *Shard) dropEndedJobs() {
	limit := s.storeNow().Add(-s.cfg.Bounds.EndedRetention)
	for _, j := range s.jobs {
		if !j.stored || j.dirty || j.placed() > 0 || int64(limit) <= j.record.EndMillis {
			continue
		}
		switch {
		case j.movedTo() != nil:
			s.lookUpMoved(j)
		case j.record.State.Final():
			s.dropJob(j)
		}
	}
}

// dropJob removes j and has its rows deleted.
func (s *Shard) dropJob(j *job) {
	delete(s.jobs, j.spec.ID)
	s.unregisterLoan(j)
	s.droppedJobs[j.spec.ID] = true
}
