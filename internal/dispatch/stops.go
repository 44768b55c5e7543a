package dispatch

import (
	"time"

	"skylarkport/internal/queueorder"
)

// stopReason is why a run is stopped that could have gone on.
type stopReason string

const (
	stopPreempted stopReason = "preempted" // for a task of higher priority
	stopRelief    stopReason = "relief"    // for a service over its target
)

// restoreTime is about how long a run takes to continue from a checkpoint.
const restoreTime = 250 * time.Millisecond

// stopRun stops the run of t on h.
func (s *Shard) stopRun(t *task, h *host, reason stopReason, now time.Duration) {
	t.stopWanted = true
	if reason == stopRelief && s.cfg.Features.Order {
		h.relievedAt = now
	}
	s.cfg.Metrics.RunStopped(reason, int64(s.runToStop(t, now).Discarded()))
	s.sendStopIfDue(t, h, now)
}

// runToStop describes the run of t for the price of its stop.
func (s *Shard) runToStop(t *task, now time.Duration) queueorder.Run {
	r := queueorder.Run{
		Cores: float64(t.step.Needs.MilliCPU) / 1000, Unsaved: now - t.stageSince, Stop: s.cfg.Bounds.Stop,
	}
	if t.step.Checkpoints {
		r.Unsaved, r.Restore = min(r.Unsaved, checkpointLoss), restoreTime
	}
	return r
}

// stopLoss is what the stop of the run of t costs, in core-milliseconds.
func (s *Shard) stopLoss(t *task, now time.Duration) float64 {
	q := queueOf(s.cfg.Config(), t.job)
	r := s.runToStop(t, now)
	if q == nil || t.step.LongRunning {
		return r.Discarded()
	}
	c := s.setUrgency(&candidate{tasks: []*task{t}}, t.job, t.id.Occurrence, t.id.Step, q)
	return s.orderJob(c).StopLoss(r)
}

// endsBeforeStop reports whether the run of t is expected to end by itself before a stop would
// have ended it.
func (s *Shard) endsBeforeStop(t *task, now time.Duration) bool {
	return s.endsWithin(t, s.cfg.Bounds.Stop, now)
}

// endsWithin reports whether the run of t is expected to end by itself within d. Nothing is known of a
// run that has lasted longer than expected.
func (s *Shard) endsWithin(t *task, d, now time.Duration) bool {
	if t.stage != stageRunning || t.cpuLimit > 0 || t.step.LongRunning {
		return false
	}
	left := s.expectedLeft(t, now)
	return left > 0 && left <= d
}

// milli converts core-milliseconds to thousandths of them.
const milli = 1000

// startGain is what the start of c saves after a stop for it, in core-milliseconds.
func (s *Shard) startGain(c *candidate) float64 {
	if c.step().LongRunning {
		return 0
	}
	return s.orderJob(c).StartGain(s.cfg.Bounds.Stop)
}

// awaitEnds reserves capacity for t on sl if enough is free there, or being released, once the runs have
// ended that end before a stop would have ended any, and reports whether it did.
func (p *planPass) awaitEnds(t *task, sl *slot) bool {
	available := sl.free.Add(sl.releasing)
	for _, v := range sl.host.tasks {
		if !v.stopWanted && p.s.endsBeforeStop(v, p.now) {
			available = available.Add(v.step.Committed())
		}
	}
	if !t.step.Committed().Fits(available) {
		return false
	}
	sl.free = sl.free.Sub(t.step.Committed())
	t.waitReason = waitRelease
	return true
}
