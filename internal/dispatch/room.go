package dispatch

import (
	"math"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

const (
	// usedWindow is the time constant over which the CPU in use is smoothed. Runs last
	// from half a second to some seconds.
	usedWindow = time.Second
	// yieldWindow is the time constant over which the yield of runs is smoothed.
	yieldWindow = 15 * time.Second
	// minYield and maxYield bound the yield.
	minYield, maxYield = 0.3, 2.0
)

// throughput measures how much work of each priority a shard completes while it is full: the CPU
// that its runs have, times the work that they complete with it. Work is counted as it is expected
// when a job is accepted, so that a bias of the expected durations has no effect.
type throughput struct {
	shares    map[int]float64 // of the capacity, in use by finite runs, smoothed, by priority
	capacity  float64         // cores of the workers in touch
	sampledAt time.Duration
	completed float64 // core-milliseconds expected of the runs that succeeded
	spent     float64 // core-milliseconds that ended runs of any outcome took
	decayedAt time.Duration
}

// sample takes in the cores of the workers in touch, and those in use by priority. While no task
// of a priority waits, its runs do not show how many there could be, and its share only rises.
func (t *throughput) sample(now time.Duration, capacity float64, used map[int]float64, full func(priority int, cores float64) bool) {
	weight := 1.0
	if t.sampledAt > 0 {
		weight = 1 - math.Exp(-(now-t.sampledAt).Seconds()/usedWindow.Seconds())
	}
	t.sampledAt, t.capacity = now, capacity
	if capacity <= 0 {
		return
	}
	if t.shares == nil {
		t.shares = map[int]float64{}
	}
	for p := range used {
		t.shares[p] += 0
	}
	for p, old := range t.shares {
		if share := used[p] / capacity; share > old || full(p, used[p]) {
			t.shares[p] += weight * (share - old)
		}
	}
}

// cores returns the cores' worth of work that the shard completes at a priority and those after it.
func (t *throughput) cores(priority int) float64 {
	sum := 0.0
	for p, share := range t.shares {
		if p >= priority {
			sum += share
		}
	}
	return sum * t.capacity * t.yield()
}

// ended takes in the end of a run.
func (t *throughput) ended(now time.Duration, spent, completed float64) {
	if t.decayedAt > 0 {
		keep := math.Exp(-(now - t.decayedAt).Seconds() / yieldWindow.Seconds())
		t.spent, t.completed = t.spent*keep, t.completed*keep
	}
	t.decayedAt = now
	t.spent, t.completed = t.spent+spent, t.completed+completed
}

// yield returns the work completed per core-millisecond of runs, 1 until enough is known.
func (t *throughput) yield() float64 {
	prior := 1000.0 // core-milliseconds; about one run
	for _, share := range t.shares {
		prior += share * t.capacity * 1000
	}
	return min(maxYield, max(minYield, (t.completed+prior)/(t.spent+prior)))
}

// recordRunEnd takes the end of t's run into the throughput.
func (s *Shard) recordRunEnd(t *task, kind fleet.EndKind, now time.Duration) {
	if !s.cfg.Features.Admission || t.step.LongRunning || t.Phase != workload.Placed {
		return
	}
	cores := float64(t.step.Needs.MilliCPU) / 1000
	completed := 0.0
	if kind == fleet.EndDone {
		completed = cores * float64(s.durationModel.predict(t.job.spec.Queue, t.step.EstimateMillis))
	}
	s.throughput.ended(now, cores*float64((now-t.stageSince).Milliseconds()), completed)
}

// sampleThroughput measures the CPU in use. The caller holds the lock.
func (s *Shard) sampleThroughput(now time.Duration) {
	if !s.cfg.Features.Admission {
		return
	}
	used, capacity := map[int]float64{}, 0.0
	cfg := s.cfg.Config()
	for _, h := range s.hosts {
		if h.unreachableSince > 0 || !h.listed {
			continue
		}
		capacity += float64(h.Capacity.MilliCPU) / 1000
		for _, t := range h.tasks {
			if !t.step.LongRunning && !t.stopWanted {
				used[priorityOf(queueOf(cfg, t.job))] += float64(t.step.Needs.MilliCPU) / 1000
			}
		}
	}
	s.throughput.sample(now, capacity, used, func(priority int, cores float64) bool {
		return s.forecast(priority, now).waitingAll > fullShare*cores
	})
}

// fullShare is the CPU that waiting tasks want, as a share of what runs have, from which a shard is
// full. Fewer tasks also wait between their release and their placement.
const fullShare = 0.05

// priorityOf returns the priority of a queue, that of the most urgent one if it is not configured.
func priorityOf(q *fleet.Queue) int {
	if q == nil {
		return 0
	}
	return q.Priority
}

// freeCores returns the cores that tasks like those of the step could use now. The caller holds
// the lock.
func (s *Shard) freeCores(step *workload.Step, q *fleet.Queue, now time.Duration) float64 {
	perTask := max(step.Needs.MilliCPU, 1)
	var tasks int64
	for _, h := range s.hosts {
		if q == nil || !s.mayPlaceOn(h, now) || !suits(step, q.Service, h.traits()) {
			continue
		}
		free := h.free()
		cpu, memory := free.MilliCPU, free.MemoryMB
		if step.Backfill {
			cpu = min(h.Capacity.MilliCPU-h.usedCPU(), s.backfillCPU(h, step.Image, now))
			memory -= int64(backfillMemoryReserve * float64(h.Capacity.MemoryMB))
		}
		n := max(0, cpu) / perTask
		if step.Needs.MemoryMB > 0 {
			n = min(n, max(0, memory)/step.Needs.MemoryMB)
		}
		if a := step.Needs.Accelerators; a > 0 {
			n = min(n, max(0, free.Accelerators)/a)
		}
		if step.MaxPerWorker > 0 {
			n = min(n, int64(step.MaxPerWorker))
		}
		tasks += n
	}
	return float64(tasks*perTask) / 1000
}

// backfillCPU returns the CPU of h that backfill tasks of the image may use beside its services.
func (s *Shard) backfillCPU(h *host, image string, now time.Duration) int64 {
	for _, t := range h.tasks {
		if t.isService() {
			share := s.maxShareFor(image, s.headrooms(h, now, typicalSeconds))
			return int64(max(0, share) * float64(h.Capacity.MilliCPU))
		}
	}
	return h.Capacity.MilliCPU
}
