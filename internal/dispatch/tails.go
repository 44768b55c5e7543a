package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// pacedTo is the share of full speed, in percent, of a filling run that
	// would lose its work by a stop.
	pacedTo = 20
	// easeTo is the utilisation, below the target's, that an intervention aims at.
	easeTo = 0.06
	// speedUpRoom is the headroom from which a slowed run speeds up again.
	speedUpRoom = 0.1
)

// watchTails learns from the tails on h and relieves the serving runs that are
// over their target.
func (s *Shard) watchTails(h *host, now time.Duration) {
	var serving, filling []*task
	fresh := false
	for _, t := range h.tasks {
		switch {
		case t.serving() && t.stage == stageRunning && t.percent == atWork && t.gauge > 0:
			serving = append(serving, t)
			s.images.sawTail(t.step.Image, t.gauge)
		case t.step.Fills:
			filling = append(filling, t)
			fresh = fresh || t.stage != stageRunning || now-t.since < settled || now-t.pacedAt < settled
		}
	}
	for _, t := range serving {
		s.learnTail(h, t, filling, fresh, now)
	}
	s.relieve(h, serving, filling, now)
}

// atWork is the percent of a lasting task that is past its start.
const atWork = 100

// learnTail takes in one reading.
func (s *Shard) learnTail(h *host, t *task, filling []*task, fresh bool, now time.Duration) {
	u := s.images.utilisation(t.step.Image, t.gauge)
	if len(filling) == 0 {
		if now-h.filledAt > settled {
			t.load, t.loadAt = u, now
		}
		return
	}
	h.filledAt = now
	if load, ok := s.ownLoad(t, now); ok {
		t.load = load
		if !fresh {
			s.images.learn(t.step.Image, u-load, filling, h)
		}
		return
	}
	for _, f := range filling {
		u -= s.images.strain(f, t, h)
	}
	t.load = max(0, u)
}

// ownLoad is the load of a serving run without its neighbours: as its siblings
// on hosts without filling runs show it, or as it was a moment ago.
func (s *Shard) ownLoad(t *task, now time.Duration) (float64, bool) {
	sum, n := 0.0, 0
	for _, o := range t.job.stepTasks(t.id.Occurrence, t.id.Step) {
		if o.loadAt > 0 && now-o.loadAt < cleanFor {
			sum, n = sum+o.load, n+1
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}

// relieve slows or stops the filling runs that press most on a serving run over
// its target, and lets slowed runs speed up where there is headroom.
func (s *Shard) relieve(h *host, serving, filling []*task, now time.Duration) {
	if len(filling) == 0 {
		return
	}
	roomy := true
	for _, t := range serving {
		limit := s.images.limit(t.step.Image, float64(t.step.TargetMillis))
		u := s.images.utilisation(t.step.Image, t.gauge)
		roomy = roomy && limit-u > speedUpRoom
		if t.gauge <= float64(t.step.TargetMillis) {
			t.overTarget = 0
			continue
		}
		if t.overTarget == 0 {
			t.overTarget = now
		}
		s.relieveOne(h, t, filling, u-limit+easeTo, now)
	}
	for _, f := range filling {
		if roomy && f.pace > 0 && f.pace < 100 && !f.stopWanted && now-f.pacedAt > settled {
			s.setPace(f, h, min(100, 2*f.pace), now)
		}
	}
}

// relieveOne takes at least over off the utilisation of t. Where a reading is
// far beyond the target, every filling run goes.
func (s *Shard) relieveOne(h *host, t *task, filling []*task, over float64, now time.Duration) {
	byStrain := slices.Clone(filling)
	slices.SortFunc(byStrain, func(a, b *task) int {
		return cmp.Compare(s.images.strain(b, t, h), s.images.strain(a, t, h))
	})
	all := now-t.overTarget > s.cfg.Bounds.Impact/3
	for _, f := range byStrain {
		if over <= 0 && !all {
			return
		}
		if f.stopWanted {
			over -= s.images.strain(f, t, h)
			continue
		}
		over -= s.images.strain(f, t, h)
		if f.startPace > 0 && f.pace > leastPace {
			s.setPace(f, h, max(leastPace, f.pace/3), now) // nothing else of its job runs
			continue
		}
		if f.step.Checkpoints || f.pace > 0 && f.pace <= pacedTo || all {
			f.stopWanted = true
			s.inspectStop(f, h, now)
			continue
		}
		s.setPace(f, h, pacedTo, now)
	}
}

// setPace orders the share of full speed of a run.
func (s *Shard) setPace(t *task, h *host, percent int, now time.Duration) {
	if t.pace == percent || t.stage != stageRunning {
		return
	}
	t.pace, t.pacedAt, t.whole = percent, now, false
	order := fleet.Order{Worker: h.Worker, Task: t.name, Run: t.Run, Epoch: s.cfg.Epoch}
	s.hostWG.Go(func() {
		ctx, cancel := context.WithTimeout(s.hostCtx, orderTimeout)
		defer cancel()
		if _, err := s.cfg.Workers.Pace(ctx, order, percent); err != nil {
			logger.WithField("task", order.Task).WithError(err).Info("pace was not answered")
			s.mu.Lock()
			defer s.mu.Unlock()
			if t.Run == order.Run && t.pace == percent {
				t.pace = 0 // ordered again with the next reading
			}
		}
	})
}
