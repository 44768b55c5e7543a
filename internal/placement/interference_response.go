package placement

import (
	"math"
	"slices"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	// stepThresholdRatio is the ratio of latency to target from which batch runs are
	// throttled, moved or evicted. It is lowered by stepTailReduction times the fraction
	// of tail latency in the sum of the placement weights. Up to unthrottleRatio,
	// throttled runs are unthrottled. Nothing is done between the two, so that runs are
	// not throttled and unthrottled in turn.
	stepThresholdRatio = 1.0
	stepTailReduction  = 0.15
	unthrottleRatio    = 0.7
	// moveThresholdRise, times the square of the fraction of evictions in the sum of the
	// placement weights, is added to the ratio from which runs are moved or evicted.
	moveThresholdRise = 12
	// targetRatio is the ratio of a service's latency to its latency target that
	// throttling, moving and unthrottling its batch neighbours is to keep it at or below.
	targetRatio = 0.8
	// severeRatio is the ratio of latency to target from which runs are moved without
	// throttling them first, if the weight of tail latency is at least a quarter of
	// the sum of the placement weights.
	severeRatio = 1.5
	// throttledFraction is the fraction of its commitment that a throttled run keeps.
	throttledFraction = 0.4
	// minMoveSlowdown is the least log slowdown for which a run is moved or evicted.
	minMoveSlowdown = 0.05
	// minContribution is the least log slowdown for which a run is throttled, moved or
	// evicted.
	minContribution = 0.02
	// fullWorkerSlowdown is the log slowdown attributed to a run that holds all
	// processors of a worker, where interference estimates are disabled.
	fullWorkerSlowdown  = 1.0
	unthrottleCooldowns = 2 // cooldowns after the latest step before a throttled run is unthrottled
	evictCooldowns      = 4 // cooldowns after a move within which a further move becomes an eviction
)

// contribution is a batch run with its share of a service's slowdown.
type contribution struct {
	run      *Run
	slowdown float64 // log slowdown
}

// respondToInterference responds to the worst service latency of each worker that
// has batch runs and is not in cooldown.
func (c *cycle) respondToInterference() {
	for _, n := range c.nodes {
		if n.worker.Health != Healthy || !hasActiveBatchRun(n) {
			continue
		}
		if n.view == nil || n.view.LastStepAt > 0 && c.snapshot.Now-n.view.LastStepAt < c.view.Config.Cooldown.D() {
			continue
		}
		c.respondOnWorker(n)
	}
}

// hasActiveBatchRun reports whether n has a batch run that is not stopping.
func hasActiveBatchRun(n *node) bool {
	for _, r := range n.worker.Runs {
		if !r.Stopping && r.Spec.Kind == job.Batch {
			return true
		}
	}
	return false
}

// respondOnWorker relieves the service with the highest ratio of latency to target if
// that reaches stepThreshold, or unthrottles a run if even that service is well within it.
func (c *cycle) respondOnWorker(n *node) {
	worst, at := 0.0, -1
	for i, r := range n.worker.Runs {
		if r.Spec.Kind != job.Service || r.Stopping {
			continue
		}
		m, fresh := c.measuredRatio(n.worker, n.view.findRun(r.ID, i))
		if fresh && m > worst {
			worst, at = m, i
		}
	}
	if at < 0 {
		c.unthrottleWithoutService(n)
		return
	}
	if worst >= c.stepThreshold() {
		c.prepareExposures(n)
		c.relieveService(n, n.exposureOf(n.worker.Runs[at]), worst)
		return
	}
	if worst <= unthrottleRatio {
		c.unthrottleOne(n)
	}
}

// unthrottleWithoutService unthrottles a run on a worker without services.
func (c *cycle) unthrottleWithoutService(n *node) {
	for _, r := range n.worker.Runs {
		if r.Spec.Kind == job.Service {
			return
		}
	}
	c.unthrottleOne(n)
}

// exposureOf returns the exposure of a service run, or nil. The caller has called
// prepareExposures.
func (n *node) exposureOf(r *Run) *exposure {
	for i := range n.exposures {
		if n.exposures[i].run == r {
			return &n.exposures[i]
		}
	}
	return nil
}

// stepThreshold returns the ratio of a service's latency to its target from which batch
// runs on its worker are throttled, moved or evicted.
func (c *cycle) stepThreshold() float64 {
	return stepThresholdRatio - stepTailReduction*c.tailLatencyShare
}

// relieveService throttles, moves or evicts the runs that slow the service of x
// down most, as few as are expected to bring its latency over target from ratio to
// targetRatio.
func (c *cycle) relieveService(n *node, x *exposure, ratio float64) {
	if x == nil {
		return
	}
	list := c.contributions(n, x)
	if len(list) == 0 {
		return
	}
	excess := math.Log(ratio / targetRatio)
	if ratio < severeRatio || c.tailLatencyShare < 0.25 {
		excess = c.throttleRuns(n, list, excess, ratio)
		if n.hasStep || excess <= 0 {
			return
		}
	}
	if ratio >= c.moveThreshold() {
		c.moveOrEvict(n, list, excess, ratio)
	}
}

// moveThreshold returns the ratio of a service's latency to its target from which batch
// runs are moved or evicted. It rises with the placement weight of evictions.
func (c *cycle) moveThreshold() float64 {
	return c.stepThreshold() + moveThresholdRise*evictionShare(&c.view.Config)*evictionShare(&c.view.Config)
}

// throttleRuns throttles runs in the order of list until the expected relief
// covers excess, the log slowdown to remove. It returns the rest of excess.
func (c *cycle) throttleRuns(n *node, list []contribution, excess, ratio float64) float64 {
	for _, b := range list {
		if excess <= 0 {
			return excess
		}
		if b.run.Throttled {
			continue
		}
		commit := throttledCommit(b.run)
		if commit.MilliCPU >= b.run.Commit.MilliCPU {
			continue
		}
		c.addStep(Throttle, n, b.run, commit, StageInterference, "a service on the worker is at %.2f of its target", ratio)
		excess -= b.slowdown * (1 - throttledFraction)
	}
	return excess
}

// moveOrEvict moves runs in the order of list until the expected relief covers excess,
// the log slowdown to remove, within the eviction budgets of each task and of the shard.
// If ratio, the service's latency over its target, is still severe shortly after an
// earlier move or eviction, it evicts them instead, without a new checkpoint.
func (c *cycle) moveOrEvict(n *node, list []contribution, excess, ratio float64) {
	step := Move
	recent := c.snapshot.Now-n.view.LastStepAt < evictCooldowns*c.view.Config.Cooldown.D()
	if recent && ratio >= severeRatio && (n.view.LastStep == Move || n.view.LastStep == Evict) {
		step = Evict
	}
	for _, b := range list {
		if excess <= 0 || c.evictions >= c.view.Config.MaxEvictionsPerHour {
			return
		}
		if b.slowdown < minMoveSlowdown || b.run.Evictions >= c.view.Config.MaxEvictionsPerTask {
			continue
		}
		c.evictions++
		c.addStep(step, n, b.run, resource.Vector{}, StageInterference, "a service on the worker is at %.2f of its target", ratio)
		excess -= b.slowdown
	}
}

// contributions returns the batch runs on n that slow the service of x down, with
// the largest slowdown first.
func (c *cycle) contributions(n *node, x *exposure) []contribution {
	var list []contribution
	for i, r := range n.worker.Runs {
		if r.Stopping || r.Spec.Kind != job.Batch {
			continue
		}
		slowdown := c.slowdownBy(n, x, i)
		if slowdown >= minContribution {
			list = append(list, contribution{run: r, slowdown: slowdown})
		}
	}
	slices.SortStableFunc(list, func(a, b contribution) int {
		if a.slowdown != b.slowdown {
			return int(math.Copysign(1, b.slowdown-a.slowdown))
		}
		return compareNewestFirst(a.run.Started, b.run.Started)
	})
	return list
}

// slowdownBy returns the expected log slowdown of x's service by the i-th run.
func (c *cycle) slowdownBy(n *node, x *exposure, i int) float64 {
	r := n.worker.Runs[i]
	if c.view.ResourceOnly {
		return fullWorkerSlowdown * fraction(r.Commit.MilliCPU, n.worker.Capacity.MilliCPU)
	}
	return x.estimates.Mean(x.position, c.profile(r.Spec).family) * c.runIntensity(n, i)
}

// compareNewestFirst orders the run that started later first, as it loses less
// work.
func compareNewestFirst(a, b time.Duration) int {
	if a == b {
		return 0
	}
	return compareDurations(b, a)
}

// unthrottleOne lifts the throttle of one run if every service on the worker is
// expected to stay at or below targetRatio.
func (c *cycle) unthrottleOne(n *node) {
	if c.snapshot.Now-n.view.LastStepAt < unthrottleCooldowns*c.view.Config.Cooldown.D() {
		return
	}
	for _, r := range n.worker.Runs {
		if !r.Throttled || r.Stopping {
			continue
		}
		c.prepareExposures(n)
		held := clampVector(r.Commit)
		want := maxVector(held, c.commitment(r.Spec, r.ID.Task))
		want.MemoryMB, want.Accelerators = held.MemoryMB, held.Accelerators
		if !want.Sub(held).Fits(n.free) || !c.withinLimitUnthrottled(n, r) {
			continue
		}
		c.allocate(n, want.Sub(held))
		c.addStep(Unthrottle, n, r, want, StageInterference, "the services on the worker are well within their latency targets")
		return
	}
}

// withinLimitUnthrottled reports whether the services on n are expected to stay at
// or below targetRatio once r is no longer throttled.
func (c *cycle) withinLimitUnthrottled(n *node, r *Run) bool {
	for i := range n.exposures {
		x := &n.exposures[i]
		if x.logRatio+x.estimates.Mean(x.position, c.profile(r.Spec).family)*(1-throttledFraction) > math.Log(targetRatio) {
			return false
		}
	}
	return true
}
