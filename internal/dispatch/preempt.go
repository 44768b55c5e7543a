package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
)

const (
	// preemptWait is how long a task waits for room before runs of lower
	// priority are stopped: runs of half a second to some seconds end all the time.
	preemptWait = 120 * time.Millisecond
	// maxWaste is the most unsaved work, in core-milliseconds, that a stop may
	// throw away for each core-millisecond of the task that waits.
	maxWaste = 1.0
)

// preempt stops runs of lower priority where the least work is lost by it.
func (p *pass) preempt(c *candidate, t *task, q *fleet.Queue) {
	s, now := p.s, p.now
	if c.class > classLasting {
		return
	}
	if now-t.readyAt < preemptWait && !t.step.Lasting {
		s.later(t.readyAt + preemptWait)
		return
	}
	var target *slot
	var victims []*task
	least := maxWaste * float64(t.step.Needs.MilliCPU) * float64(max(t.step.EstimateMillis, minPreemptWorth))
	least *= 1 + float64(now-t.readyAt)/float64(wastePerWait)
	if t.step.Lasting {
		least *= lastingWorth
	}
	for _, sl := range p.slots {
		if !suits(t, q, sl) {
			continue
		}
		if t.step.Committed().Fits(sl.free.Add(sl.coming)) {
			sl.free = sl.free.Sub(t.step.Committed()) // it gets what is coming
			return
		}
		if vs, waste := s.victims(t, q.Priority, sl, now); vs != nil && waste < least {
			target, victims, least = sl, vs, waste
		}
	}
	if target == nil {
		if c.class == classOverdue {
			p.reserve(t, q)
		}
		return
	}
	for _, v := range victims {
		v.stopWanted = true
		target.coming = target.coming.Add(v.step.Committed())
		s.inspectStop(v, target.host, now)
	}
	s.cfg.Metrics.Preempted(len(victims))
	logger.WithField("task", t.name).WithField("worker", target.host.ID).WithField("victims", len(victims)).
		WithField("waste_core_ms", int(least/1000)).Debug("runs of lower priority are stopped")
	target.free = target.free.Sub(t.step.Committed())
}

// reserve keeps the worker that is nearest to having room for t from others, until
// its short runs have ended: they end on all workers in turn, and whatever each leaves
// would go to the next short one.
func (p *pass) reserve(t *task, q *fleet.Queue) {
	var found *slot
	for _, sl := range p.slots {
		if !suits(t, q, sl) {
			continue
		}
		if !t.step.Committed().Fits(sl.free.Add(sl.leaving())) {
			continue
		}
		if found == nil || sl.free.MilliCPU > found.free.MilliCPU {
			found = sl
		}
	}
	if found != nil {
		found.free = found.free.Sub(t.step.Committed())
	}
}

// leaving is the room of the runs that end by themselves.
func (sl *slot) leaving() resource.Vector {
	var v resource.Vector
	for _, t := range sl.host.tasks {
		if !t.step.Lasting {
			v = v.Add(t.step.Committed())
		}
	}
	return v
}

const (
	// wastePerWait is the wait after which the waste allowed has doubled: urgent
	// work has to start within seconds, whatever it costs.
	wastePerWait = 400 * time.Millisecond
	// minPreemptWorth is the least duration, in milliseconds, that a waiting
	// task counts for; declared durations may be far too low.
	minPreemptWorth = 500
	// lastingWorth is how much more a lasting task counts: it runs for long.
	lastingWorth = 10
)

// victims returns the runs on sl to stop for t and the work lost, in
// core-milliseconds times a thousand, or nil.
func (s *Shard) victims(t *task, priority int, sl *slot, now time.Duration) ([]*task, float64) {
	cfg := s.cfg.Config()
	var options []*task
	for _, v := range sl.host.tasks {
		q := queueOf(cfg, v.job)
		if q == nil || q.Priority <= priority || v.step.Lasting || v.step.Gang || v.stopWanted || v.stage != stageRunning {
			continue
		}
		options = append(options, v)
	}
	slices.SortFunc(options, func(a, b *task) int {
		if wa, wb := waste(a, now), waste(b, now); wa != wb {
			if wa < wb {
				return -1
			}
			return 1
		}
		return 0
	})
	room, lost := sl.free.Add(sl.coming), 0.0
	for i, v := range options {
		room = room.Add(v.step.Committed())
		lost += waste(v, now)
		if t.step.Committed().Fits(room) {
			return options[:i+1], lost
		}
	}
	return nil, 0
}

// checkpointAge is about how much work a stop loses where checkpoints are
// taken; a stop saves once more.
const checkpointAge = 100 * time.Millisecond

// waste is the unsaved work of a run.
func waste(t *task, now time.Duration) float64 {
	d := now - t.since
	if t.step.Checkpoints {
		d = min(d, checkpointAge)
	}
	return float64(t.step.Needs.MilliCPU) * float64(d.Milliseconds())
}
