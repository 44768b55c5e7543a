package placement

import (
	"math"
	"time"

	"skylarkport/internal/job"
)

// interferenceLimit keeps batch tasks off workers where a service would be
// expected to miss its latency target, and prefers workers whose services are
// slowed down least.
type interferenceLimit struct{}

const (
	// presentLimit is the ratio of a service's expected latency at the present load to
	// its target up to which a batch task is placed beside it. It is lowered by
	// presentTailReduction times the fraction of tail latency in the sum of the
	// placement weights.
	// higherLoadLimit and higherLoadTailReduction do the same for the latency
	// expected if the load rises by loadIncrease.
	presentLimit            = 0.95
	presentTailReduction    = 0.15
	higherLoadLimit         = 1.1
	higherLoadTailReduction = 0.25
	// urgentLimit and urgentTailReduction replace both limits for urgent tasks.
	urgentLimit         = 1.3
	urgentTailReduction = 0.3
	// urgentLimitTimeout is the time after submission from which no interference
	// limit applies to an urgent task.
	urgentLimitTimeout = 2 * time.Second
	// cautionDeviations, times the same fraction of tail latency in the sum of the
	// placement weights, is the number of standard deviations of the estimated weight of the family that
	// is added to its expected log slowdown as a safety margin.
	cautionDeviations = 1.0
	// maxUnprovenNeighbours is the number of neighbours with too few observations
	// that one service may have at once.
	maxUnprovenNeighbours = 1
)

func (interferenceLimit) name() string { return StageInterference }

func (interferenceLimit) check(c *cycle, n *node, t *candidate) string {
	if t.pending.Spec.Kind != job.Batch || c.view.ResourceOnly {
		return ""
	}
	c.prepareExposures(n)
	for i := range n.exposures {
		if !c.withinInterferenceLimit(&n.exposures[i], t) {
			return StageInterference
		}
	}
	return ""
}

// withinInterferenceLimit reports whether one more run of t's family keeps the
// service of x within its latency limits. An urgent task is checked against
// urgentLimit at the present load only.
func (c *cycle) withinInterferenceLimit(x *exposure, t *candidate) bool {
	w := x.estimates.Weight(x.band, t.family)
	if t.pending.Spec.Urgent {
		return !x.baselineKnown || c.snapshot.Now-t.pending.Submitted >= urgentLimitTimeout ||
			x.logRatio+x.estimates.Mean(x.position, t.family) <= math.Log(urgentLimit-urgentTailReduction*c.tailLatencyShare)
	}
	if !w.Proven() && x.unproven >= maxUnprovenNeighbours {
		return false
	}
	if !x.baselineKnown {
		return x.unproven < maxUnprovenNeighbours
	}
	present := x.logRatio + x.estimates.Mean(x.position, t.family) + cautionDeviations*c.tailLatencyShare*math.Sqrt(w.Variance)
	higherLoad := x.logRatioHigherLoad + x.estimates.Mean(x.higherPosition, t.family)
	return present <= math.Log(presentLimit-presentTailReduction*c.tailLatencyShare) && higherLoad <= math.Log(higherLoadLimit-higherLoadTailReduction*c.tailLatencyShare)
}

func (interferenceLimit) score(c *cycle, n *node, t *candidate) float64 {
	if t.pending.Spec.Kind != job.Batch || c.view.ResourceOnly {
		return 0
	}
	sum := 0.0
	for i := range n.exposures {
		x := &n.exposures[i]
		sum += x.estimates.Mean(x.position, t.family) * (1 + math.Exp(x.logRatio))
	}
	return sum
}
