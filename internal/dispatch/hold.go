package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

const (
	// holdWait is how long a hold waits for an end. It also bounds how old a
	// tail figure may be and how late a silent worker is noticed.
	holdWait = 1000 * time.Millisecond
	// holdMargin is how much longer a hold's answer may take.
	holdMargin = 600 * time.Millisecond
	// sameLifeFor is how long after an answer a worker is taken to be in the same
	// life without being asked; a worker takes longer to start again.
	sameLifeFor = 250 * time.Millisecond
	// holdRetry is the pause after an unanswered hold.
	holdRetry = 200 * time.Millisecond
	// durableWait bounds the wait for ends to become durable before the worker
	// is asked again; leases have to be renewed also while the store is away.
	durableWait = 1500 * time.Millisecond
)

// follow holds the runs of h and takes in what it lists until ctx ends.
func (s *Shard) follow(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		s.mu.Lock()
		order, sent := s.holdOrder(h)
		s.mu.Unlock()
		tctx, cancel := context.WithTimeout(ctx, time.Duration(order.WaitMillis)*time.Millisecond+holdMargin)
		report, err := s.cfg.Workers.Hold(tctx, order)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.holdFailed(h, err)
			pause.For(ctx, holdRetry)
			continue
		}
		s.heard(h, sent, report)
		if report.Refused != fleet.StartAccepted {
			pause.For(ctx, holdRetry)
			continue
		}
		s.awaitDurable(ctx, h)
	}
}

// holdOrder builds the next hold of h. The caller holds the lock.
func (s *Shard) holdOrder(h *host) (fleet.Hold, time.Duration) {
	now := s.now()
	order := fleet.Hold{Worker: h.Worker, Epoch: s.cfg.Epoch}
	if !h.seen || h.silent > 0 || now-h.clockAt > sameLifeFor {
		// The worker may have started anew under its id: numbers of ends and the
		// clock of its earlier life must not reach it.
		return order, now
	}
	order.Acked = h.durable
	order.WaitMillis = holdWait.Milliseconds()
	if now-s.promised < Promise && len(h.tasks) > 0 && !s.noted[h.ID] {
		order.LeaseUntil = h.workerClock(now) + s.cfg.Bounds.LeaseMax.Milliseconds()
		h.grant(order.LeaseUntil)
	}
	return order, now
}

func (s *Shard) holdFailed(h *host, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Metrics.HoldFailed()
	if h.silent == 0 {
		h.silent = s.now()
		logger.WithField("worker", h.ID).WithField("runs", len(h.tasks)).WithError(err).Info("worker does not answer")
	}
}

// awaitDurable waits until the ends that h reported are durable, so that they
// are acknowledged: a worker answers at once while it has others to list.
func (s *Shard) awaitDurable(ctx context.Context, h *host) {
	timer := time.NewTimer(durableWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done := h.durable >= h.applied
		s.mu.Unlock()
		if done {
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

// heard takes in the answer to a hold that was sent at sent.
func (s *Shard) heard(h *host, sent time.Duration, report fleet.HoldReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch report.Refused {
	case fleet.StartAccepted:
	case fleet.StartFenced:
		s.depose("a worker has seen a higher epoch")
		return
	default:
		// Another life answered, or the worker sheds: the registry tells more.
		if h.silent == 0 {
			h.silent = now
		}
		return
	}
	if report.Life > h.Life && h.seen {
		s.reborn(h, report.Life)
		return // the answer's lists are asked for again with a fresh cursor
	}
	h.Life = max(h.Life, report.Life)
	if s.noted[h.ID] {
		s.kick() // a beat without it comes before the next lease
	}
	if h.silent > 0 && h.seen {
		logger.WithField("worker", h.ID).WithField("silent", (now - h.silent).String()).Info("worker answers again")
	}
	if !h.seen {
		h.seen = true
		h.leaseUntil = report.Clock + s.cfg.Bounds.LeaseMax.Milliseconds() // an earlier owner may have given it
	}
	h.heard(report.Clock, now)
	if s.applyEnds(h, report.Ended) {
		s.kick()
	}
	s.applyRunning(h, sent, report)
}

// applyEnds records the ends that were not applied yet.
func (s *Shard) applyEnds(h *host, ends []fleet.EndReport) bool {
	fresh := false
	for _, e := range ends {
		if e.Number <= h.applied {
			continue
		}
		h.applied, fresh = e.Number, true
		s.applyEnd(h, e)
	}
	return fresh
}

// applyRunning compares the runs that the worker listed with those that the
// shard placed there.
func (s *Shard) applyRunning(h *host, sent time.Duration, report fleet.HoldReport) {
	now := s.now()
	listed := make(map[string]bool, len(report.Running))
	for _, r := range report.Running {
		listed[r.Task] = true
		t := h.tasks[r.Task]
		if t == nil || t.Run != r.Run {
			s.stopStrange(h, r)
			continue
		}
		s.seeRun(t, r, now)
	}
	for name, t := range h.tasks {
		if !listed[name] && t.stage == stageDoubt && sent > t.since && !t.stopWanted {
			t.stopWanted = true // it may still come: the stop keeps it away for good
			s.inspectStop(t, h, now)
		}
		if !listed[name] && s.absent(t, sent) {
			s.cfg.Metrics.RunVanished()
			logger.WithField("task", name).WithField("run", t.Run).WithField("worker", h.ID).
				WithField("stage", int(t.stage)).Info("run is not on its worker")
			s.release(t, now)
			s.kick()
		}
	}
	s.watchTails(h, now)
}

// seeRun notes that t runs.
func (s *Shard) seeRun(t *task, r fleet.RunReport, now time.Duration) {
	if t.stage != stageRunning {
		t.confirm(now)
	}
	if r.Percent != t.percent {
		t.percent, t.progressed = r.Percent, now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint = r.Checkpoint // stored with the job's next change
	}
	t.gauge = r.Gauge
}

// confirm notes that the worker has begun the run of t.
func (t *task) confirm(now time.Duration) {
	t.stage, t.since, t.progressed = stageRunning, now, now
	t.job.begun = true
}

// absent reports whether a list that was asked for at sent proves that the run
// of t neither exists nor will.
func (s *Shard) absent(t *task, sent time.Duration) bool {
	switch t.stage {
	case stageRunning, stageAdopted:
		return sent > t.since
	case stageDoubt:
		return t.stopAnswer > 0 && sent > t.stopAnswer
	}
	return false
}

// stopStrange stops a run that the rows do not name.
func (s *Shard) stopStrange(h *host, r fleet.RunReport) {
	if t := h.tasks[r.Task]; t != nil && t.Run < r.Run {
		logger.WithField("task", r.Task).WithField("run", r.Run).WithField("known", t.Run).Error("worker runs what was never placed")
	}
	key := r.Task
	if h.strange[key] {
		return
	}
	h.strange[key] = true
	logger.WithField("task", r.Task).WithField("run", r.Run).WithField("worker", h.ID).Warn("unknown run is stopped")
	s.sendStop(fleet.Order{Worker: h.Worker, Task: r.Task, Run: r.Run, Epoch: s.cfg.Epoch}, func(error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(h.strange, key)
	})
}

// release makes t pending after its run was proved not to exist.
func (s *Shard) release(t *task, now time.Duration) {
	if h := s.hosts[t.Worker]; h != nil {
		delete(h.tasks, t.name)
	}
	t.Phase, t.stage = workload.Pending, stageNone
	t.Worker, t.Life = "", 0
	t.readyAt, t.stopWanted = now, false
	t.job.dirty = true
}
