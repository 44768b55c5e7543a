package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// overAfter is how long a tail is over its target before filling runs are
	// slowed: the figure is rough, and two readings lie about a second apart.
	overAfter = 700 * time.Millisecond
	// stopShare is the share of the allowed impact after which they are stopped.
	stopShare = 0.5
	// pacedTo is the share of full speed of slowed runs, in percent.
	pacedTo = 20
	// calmShare is the share of its target under which a tail lets slowed runs
	// speed up again.
	calmShare = 0.7
)

// watchTails slows the runs that fill beside a tail over its target, stops them
// if that does not help, and lets them speed up when the tail is calm.
func (s *Shard) watchTails(h *host, now time.Duration) {
	over, calm := time.Duration(0), true
	var image string
	for _, t := range h.tasks {
		if !t.step.Lasting || t.step.TargetMillis == 0 || t.stage != stageRunning {
			continue
		}
		target := float64(t.step.TargetMillis)
		if t.gauge > target {
			if t.overTarget == 0 {
				t.overTarget = now
			}
			if d := now - t.overTarget; d >= over {
				over, image = max(d, 1), t.step.Image
			}
		} else {
			t.overTarget = 0
		}
		calm = calm && t.gauge < calmShare*target
	}
	for _, f := range h.tasks {
		if !f.step.Fills || f.stage != stageRunning || f.stopWanted {
			continue
		}
		switch {
		case over > time.Duration(stopShare*float64(s.cfg.Bounds.Impact)):
			f.stopWanted, f.avoid = true, h.ID
			s.images.harm[imagePair{f.step.Image, image}] = now + harmKept
			s.inspectStop(f, h, now)
		case over >= overAfter:
			s.setPace(f, h, pacedTo)
		case calm && f.pace > 0 && f.pace < 100:
			s.setPace(f, h, 100)
		}
	}
}

// setPace orders the share of full speed of a run.
func (s *Shard) setPace(t *task, h *host, percent int) {
	if t.pace == percent {
		return
	}
	t.pace = percent
	order := fleet.Order{Worker: h.Worker, Task: t.name, Run: t.Run, Epoch: s.cfg.Epoch}
	s.hostWG.Go(func() {
		ctx, cancel := context.WithTimeout(s.hostCtx, orderTimeout)
		defer cancel()
		if _, err := s.cfg.Workers.Pace(ctx, order, percent); err != nil {
			logger.WithField("task", order.Task).WithError(err).Info("pace was not answered")
			s.mu.Lock()
			defer s.mu.Unlock()
			if t.Run == order.Run && t.pace == percent {
				t.pace = -1 // ordered again with the next reading
			}
		}
	})
}
