package dispatch

import (
	"time"

	"skylarkport/internal/resource"
)

const (
	// largeWaitsAfter is how long a task could have been started when placement begins to keep
	// gaps for its size: an earlier plan has found no worker for it.
	largeWaitsAfter = 50 * time.Millisecond
	// gapCost is the cost of taking a gap from the largest waiting task.
	gapCost = 1.0
)

// largestWaiting returns the needs of the waiting short task that needs the most CPU; zero if there
// is none. Backfill tasks reserve no CPU, and a long-running one would keep its gap for longer
// than short tasks can wait.
func largestWaiting(startable []*candidate, now time.Duration) resource.Vector {
	var v resource.Vector
	for _, c := range startable {
		if c.step().Backfill || c.step().LongRunning || now-c.first().startableSince <= largeWaitsAfter {
			continue
		}
		if c.step().Needs.MilliCPU > v.MilliCPU {
			v = c.step().Committed()
		}
	}
	return v
}

// fragmentationCost packs small tasks while a task of at least twice their size waits, and more so
// keeps them off the workers where it still fits. While none waits, it leaves the choice to
// loadCost, which spreads.
func fragmentationCost(t *task, sl *slot, p *planPass) float64 {
	need := t.step.Committed()
	if p.largest.MilliCPU < 2*need.MilliCPU || p.largest.IsZero() || t.step.Backfill || sl.host.Capacity.MilliCPU == 0 {
		return 0
	}
	cost := 0.0
	if !t.isService() {
		cost = 2*float64(sl.free.MilliCPU)/float64(sl.host.Capacity.MilliCPU) - 1
	}
	if p.largest.Fits(sl.free) && !p.largest.Fits(sl.free.Sub(need)) {
		cost += gapCost
	}
	return cost
}
