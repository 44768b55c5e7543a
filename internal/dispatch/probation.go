package dispatch

import "skylarkport/internal/contract/fleet"

const (
	// probationCrashes is how many workers in a row must have been lost soon after the start of a
	// task before its next run is separated from other starts.
	probationCrashes = 2
	// maxProbationShare is the largest share of the workers that are separated at a time.
	maxProbationShare = 1.0 / 8
)

// suspect reports whether the last worker of t was lost soon after the start.
func (t *task) suspect() bool { return t.AtStart > 0 }

// onProbation reports whether the run of t must be the only start on its worker until it has
// outlived its start.
func (t *task) onProbation() bool { return t.AtStart >= probationCrashes }

// probationFits separates a task under which several workers were lost from other starts, so that
// the next loss clears or convicts it. Tasks that were lost once have run beside each other and are
// kept apart from it.
func probationFits(t *task, _ *fleet.Queue, sl *slot) bool {
	if t.step.Gang && (sl.probation == nil || sl.probation == t.job) {
		return true // its members start together, and may be more than the workers
	}
	return sl.probation == nil && (!t.onProbation() || sl.suspects == 0)
}

// suspectCost spreads suspects over the workers, and prefers those where a crash costs least.
func suspectCost(t *task, sl *slot, _ *planPass) float64 {
	if !t.suspect() {
		cost := besideSuspectCost * float64(sl.suspects)
		if t.Crashes.Total > 0 {
			cost += crashedTogetherCost * float64(sl.crashed)
		}
		return cost
	}
	reserved := 0.0
	if total := sl.host.Capacity.MilliCPU; total > 0 {
		reserved = 1 - float64(sl.free.MilliCPU)/float64(total)
	}
	cost := suspectsTogetherCost*float64(sl.suspects) + suspectLoadCost*reserved
	if sl.host.Rack == t.lostInRack {
		cost += sameRackCost
	}
	return cost
}

const (
	// besideSuspectCost is the cost of a start beside a suspect.
	besideSuspectCost = 1.0
	// crashedTogetherCost parts tasks that were lost together after their starts: the cause is the one
	// that is lost again without the others.
	crashedTogetherCost = 1.5
	// suspectsTogetherCost exceeds the cost of a rack without the task's data: two suspects on a
	// worker that crashes cannot be told apart.
	suspectsTogetherCost = 5.0
	// sameRackCost keeps a suspect out of the rack of its last worker, which may be the cause.
	sameRackCost = 3.0
	// suspectLoadCost exceeds the gain of packing services together.
	suspectLoadCost = 2.0
)

// maxProbations is how many of n workers may be on probation at a time.
func maxProbations(n int) int { return max(1, int(maxProbationShare*float64(n))) }
