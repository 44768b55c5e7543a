package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

const (
	// preemptWait is how long a task waits for capacity before runs of lower priority are
	// stopped: runs last from half a second to some seconds, so ending runs often free
	// enough capacity within that time.
	preemptWait = 120 * time.Millisecond
	// maxWasteRatio is the unsaved work, in core-milliseconds, that a preemption may
	// discard per core-millisecond of the waiting task.
	maxWasteRatio = 1.0
)

// preempt frees capacity for t, which waits or has to leave a draining worker, by stopping runs
// of lower priority on the worker where this discards the least work, if that is within the
// allowed waste.
func (p *planPass) preempt(c *candidate, t *task, q *fleet.Queue) {
	s, now := p.s, p.now
	t.waitReason = waitNoVictims
	if c.class > classLongRunning {
		return
	}
	if now-t.pendingSince < preemptWait && !t.step.LongRunning {
		s.replanAt(t.pendingSince + preemptWait)
		p.reserveFor(c, q)
		return
	}
	var target *slot
	var victims []*task
	// The victims must lose less than leastWaste: first the allowed waste, then the least
	// found so far.
	leastWaste := maxWasteRatio * float64(t.step.Needs.MilliCPU) * float64(max(t.step.EstimateMillis, minPreemptMillis))
	if t.Phase == workload.Pending {
		leastWaste *= 1 + float64(now-t.pendingSince)/float64(wasteDoublingWait)
	}
	if t.step.LongRunning {
		leastWaste *= longRunningWorth
	}
	if s.cfg.Features.Order {
		leastWaste += milli * s.startGain(c)
	}
	for _, sl := range p.slots {
		if !isEligible(t, q, sl) {
			continue
		}
		if s.cfg.Features.Order && p.awaitEnds(t, sl) {
			return
		}
		if t.step.Committed().Fits(sl.free.Add(sl.releasing)) {
			sl.free = sl.free.Sub(t.step.Committed()) // t waits for the runs that are being stopped
			t.waitReason = waitRelease
			return
		}
		if vs, waste := s.victims(t, q.Priority, sl, now); vs != nil && waste < leastWaste {
			target, victims, leastWaste = sl, vs, waste
		}
	}
	if target == nil {
		p.reserveFor(c, q)
		if c.class <= classOverdue {
			p.reserveWorker(t, q)
		}
		return
	}
	for _, v := range victims {
		target.releasing = target.releasing.Add(v.step.Committed())
		s.stopRun(v, target.host, stopPreempted, now)
	}
	t.waitReason = waitRelease
	s.cfg.Metrics.Preempted(len(victims))
	logger.WithField("task", t.name).WithField("worker", target.host.ID).WithField("victims", len(victims)).
		WithField("waste_core_ms", int(leastWaste/1000)).Debug("preempting runs of lower priority")
	target.free = target.free.Sub(t.step.Committed())
}

// reserveWorker reserves capacity for t on the worker that has the most free CPU among
// those where t fits once its short runs have ended. Otherwise the short runs, which end on
// different workers at different times, would each be replaced by the next short task, and
// t would never fit.
func (p *planPass) reserveWorker(t *task, q *fleet.Queue) {
	var found *slot
	for _, sl := range p.slots {
		if !isEligible(t, q, sl) {
			continue
		}
		if !t.step.Committed().Fits(sl.free.Add(sl.host.finiteRunsCapacity())) {
			continue
		}
		if found == nil || sl.free.MilliCPU > found.free.MilliCPU {
			found = sl
		}
	}
	if found != nil {
		found.free = found.free.Sub(t.step.Committed())
		t.waitReason = waitReserved
	}
}

const (
	// wasteDoublingWait is the wait after which the allowed waste has doubled; it grows
	// linearly. Urgent work has to start within seconds, whatever it costs.
	wasteDoublingWait = 400 * time.Millisecond
	// minPreemptMillis is the least duration assumed for a waiting task when the waste
	// allowed for it is computed: declared durations may be far too short.
	minPreemptMillis = 500
	// longRunningWorth multiplies the allowed waste for a long-running task.
	longRunningWorth = 10
)

// victims returns the runs on sl to stop for t, those that lose the least work first, and
// the lost work in thousandths of core-milliseconds; or nil if stopping all of lower
// priority would not suffice.
func (s *Shard) victims(t *task, priority int, sl *slot, now time.Duration) ([]*task, float64) {
	cfg := s.cfg.Config()
	var options []*task
	for _, v := range sl.host.tasks {
		q := queueOf(cfg, v.job)
		if q == nil || q.Priority <= priority || v.step.LongRunning || v.step.Gang || v.stopWanted || v.stage != stageRunning {
			continue
		}
		if s.cfg.Features.Order && s.endsBeforeStop(v, now) {
			continue
		}
		options = append(options, v)
	}
	costs := make(map[*task]float64, len(options))
	for _, v := range options {
		if costs[v] = waste(v, now); s.cfg.Features.Order {
			costs[v] = milli * s.stopLoss(v, now)
		}
	}
	slices.SortFunc(options, func(a, b *task) int { return cmp.Compare(costs[a], costs[b]) })
	available, lost := sl.free.Add(sl.releasing), 0.0
	for i, v := range options {
		available = available.Add(v.step.Committed())
		lost += costs[v]
		if t.step.Committed().Fits(available) {
			return options[:i+1], lost
		}
	}
	return nil, 0
}

// checkpointLoss is about how much run time a stop discards for a task with checkpoints: the
// task saves a last checkpoint before it ends.
const checkpointLoss = 100 * time.Millisecond

// waste is the unsaved work of a run, in thousandths of core-milliseconds.
func waste(t *task, now time.Duration) float64 {
	d := now - t.stageSince
	if t.step.Checkpoints {
		d = min(d, checkpointLoss)
	}
	return float64(t.step.Needs.MilliCPU) * float64(d.Milliseconds())
}
