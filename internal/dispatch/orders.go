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
	// orderTimeout bounds an order; workers answer within some milliseconds.
	orderTimeout = 900 * time.Millisecond
	// stopRetry is the pause between stops of a run whose end is not listed.
	stopRetry = 500 * time.Millisecond
	// startLease is what a start asks for; the next hold renews it. It is
	// shorter than a hold's, so that a lost start is over sooner.
	startLease = 4 * time.Second
	// busyPause keeps starts from a worker that rejected one.
	busyPause = 400 * time.Millisecond
)

// start sends the start of a run whose decision is durable. The caller holds
// the lock.
func (s *Shard) start(ctx context.Context, t *task) {
	if t.stage != stagePlanned {
		return
	}
	now := s.now()
	h := s.hosts[t.Worker]
	if h == nil || t.stopWanted || !h.seen || h.Life != t.Life || h.silent > 0 || s.noted[h.ID] {
		s.release(t, now) // it was never sent
		s.kick()
		return
	}
	t.stage, t.since = stageSent, now
	t.whole = t.Checkpoint == "" && t.startPace == 0 && !t.step.Lasting
	order := fleet.Start{
		Worker: h.Worker, Task: t.name, Run: t.Run, Payload: t.job.spec.Payload,
		Checkpoint: t.Checkpoint, Ticket: t.ticket, Epoch: s.cfg.Epoch,
		LeaseUntil: h.workerClock(now) + min(startLease, s.cfg.Bounds.LeaseMax).Milliseconds(),
	}
	h.grant(order.LeaseUntil)
	s.cfg.Metrics.StartSent(now - t.readyAt)
	s.hostWG.Go(func() {
		tctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r, err := s.cfg.Workers.Start(tctx, order)
		s.started(t, h, order.Run, r, err)
	})
}

// started takes in the answer to a start.
func (s *Shard) started(t *task, h *host, run int, r fleet.StartResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Run != run || t.stage != stageSent {
		return // a hold told of it first
	}
	now := s.now()
	if err != nil && contract.OutcomeOf(err) != contract.Refused {
		t.stage, t.since = stageDoubt, now
		h.unanswered[t.name] = lateStart{run, now + lateFor}
		s.cfg.Metrics.StartUnknown()
		logger.WithField("task", t.name).WithField("run", run).WithField("worker", h.ID).WithError(err).Info("start was not answered")
		h.kick() // its next list shows whether the run is there
		return
	}
	if err == nil && r == fleet.StartAccepted {
		t.confirm(now)
		if t.startPace > 0 {
			s.setPace(t, h, t.startPace, now)
		}
		h.kick()
		return
	}
	s.cfg.Metrics.StartRejected(r)
	logger.WithField("task", t.name).WithField("run", run).WithField("worker", h.ID).
		WithField("result", int(r)).WithField("cause", obs.Cause(err)).Info("start was rejected")
	if r == fleet.StartFenced && err == nil {
		s.depose("a worker has seen a higher epoch")
		return
	}
	h.busyUntil = now + busyPause
	if r == fleet.StartNoTicket {
		s.forgetAdvice(t)
	}
	if err != nil && h.silent == 0 {
		h.silent = now
	}
	s.release(t, now)
	if r == fleet.StartBusy {
		s.strike(h, now, "starts are shed")
	}
	s.kick()
}

// sendStop sends a stop and calls done with its error. The caller holds the lock.
func (s *Shard) sendStop(o fleet.Order, done func(error)) {
	ctx := s.hostCtx
	s.hostWG.Go(func() {
		tctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r, err := s.cfg.Workers.Stop(tctx, o)
		if err == nil && r != fleet.StartAccepted {
			err = &contract.CallError{Outcome: contract.Refused, Detail: "stop was rejected"}
		}
		done(err)
	})
}

// inspectStop sends the stop of a run whose end is wanted, unless one was sent
// of late. The caller holds the lock.
func (s *Shard) inspectStop(t *task, h *host, now time.Duration) {
	if !t.stopWanted || t.stage == stagePlanned || t.stage == stageSent || t.stopAnswer > 0 && now-t.stopAnswer < stopRetry {
		return
	}
	if t.stopSent > 0 && now-t.stopSent < stopRetry || h.Address == "" {
		return
	}
	t.stopSent = now
	run := t.Run
	s.sendStop(fleet.Order{Worker: h.Worker, Task: t.name, Run: run, Epoch: s.cfg.Epoch}, func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || t.Run != run || t.Phase != workload.Placed {
			return
		}
		if t.stopAnswer == 0 {
			t.stopAnswer = s.now()
		}
		h.kick()
	})
}

// stallAfter is how long a task's progress may stand still before its run is
// stopped; holds tell of it every second.
const stallAfter = 2500 * time.Millisecond

// inspect looks for lapses, stops to repeat and runs that stand still. It
// reports whether a plan may change.
func (s *Shard) inspect(now time.Duration) bool {
	again := s.planAgain > 0 && now >= s.planAgain
	if s.storeAway(now) {
		s.refuseUnsent()
	}
	for id, h := range s.hosts {
		for _, t := range h.tasks {
			if h.lapsed(t, now) && t.stage != stagePlanned && t.stage != stageSent {
				logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", id).Info("lease lapsed")
				s.release(t, now)
				again = true
				continue
			}
			s.inspectRun(t, h, now)
			s.inspectStop(t, h, now)
		}
		for name, late := range h.unanswered {
			if now > late.until {
				delete(h.unanswered, name)
			}
		}
		if !h.listed && len(h.tasks) == 0 && now > h.lapseAt {
			if h.cancel != nil {
				h.cancel()
			}
			delete(s.hosts, id)
		}
	}
	s.forgetEnded()
	return again
}

// inspectRun stops a run that stands still.
func (s *Shard) inspectRun(t *task, h *host, now time.Duration) {
	if t.stage != stageRunning || t.stopWanted || h.silent > 0 || t.step.Lasting || t.step.Gang || t.pace > 0 && t.pace < 100 {
		return
	}
	if h.clockAt-t.progressed < stallAfter {
		return
	}
	logger.WithField("task", t.name).WithField("run", t.Run).WithField("worker", h.ID).WithField("percent", t.percent).Info("run stands still")
	t.stopWanted, t.avoid = true, h.ID
	if h.strikeJob != t.job.spec.ID {
		h.strikeJob = t.job.spec.ID
		s.strike(h, now, "runs stand still")
	}
}

// forgetEnded drops jobs that ended long ago, a few at a time.
func (s *Shard) forgetEnded() {
	limit := s.storeNow().Add(-s.cfg.Bounds.KeepEnded)
	for _, j := range s.jobs {
		if !j.stored || j.dirty || j.placed() > 0 || int64(limit) <= j.rec.EndMillis {
			continue
		}
		switch {
		case j.movedTo() != nil:
			s.keepMoved(j)
		case j.rec.State.Final():
			s.drop(j)
		}
	}
}

// drop forgets j and has its rows deleted.
func (s *Shard) drop(j *job) {
	delete(s.jobs, j.spec.ID)
	s.dropped[j.spec.ID] = true
}
