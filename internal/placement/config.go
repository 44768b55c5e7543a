package placement

import (
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
)

// withDefaults returns c with defaults for the settings that are not positive, as those
// that the bundle omits, or not finite. A single weight may be zero; if all are, they
// are equal.
func withDefaults(c bundle.Placement) bundle.Placement {
	defaultFloat(&c.UsagePercentile, 0.95)
	defaultFloat(&c.CPUMargin, 0.15)
	defaultFloat(&c.MemoryMargin, 0.25)
	defaultFloat(&c.SlowdownThreshold, 1.5)
	defaultDuration(&c.Window, 5*time.Minute)
	defaultDuration(&c.Cooldown, 30*time.Second)
	defaultDuration(&c.QuarantineDuration, 10*time.Minute)
	defaultFloat(&c.MaxQuarantineFraction, 0.1)
	defaultInt(&c.MaxEvictionsPerTask, 3)
	defaultInt(&c.MaxEvictionsPerHour, 120)
	defaultInt(&c.QuarantineFailedJobs, 3)
	if finiteOrZero(c.TailLatencyWeight)+finiteOrZero(c.ThroughputWeight)+finiteOrZero(c.EvictionWeight) == 0 {
		c.TailLatencyWeight, c.ThroughputWeight, c.EvictionWeight = 1, 1, 1
	}
	c.TailLatencyWeight = finiteOrZero(c.TailLatencyWeight)
	c.ThroughputWeight = finiteOrZero(c.ThroughputWeight)
	c.EvictionWeight = finiteOrZero(c.EvictionWeight)
	return c
}

// defaultFloat sets *v to def if it is zero, negative or not finite.
func defaultFloat(v *float64, def float64) {
	if finiteOrZero(*v) == 0 {
		*v = def
	}
}

func defaultDuration(v *job.Duration, def time.Duration) {
	if *v <= 0 {
		*v = job.Duration(def)
	}
}

func defaultInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

// tailShare returns the weight of tail latency as a fraction of the sum of the
// weights, in [0, 1].
func tailShare(c *bundle.Placement) float64 {
	return weightShare(c, c.TailLatencyWeight)
}

// evictionShare returns the weight of evictions as a fraction of the sum of the
// weights, in [0, 1].
func evictionShare(c *bundle.Placement) float64 { return weightShare(c, c.EvictionWeight) }

// weightShare returns w as a fraction of the sum of the weights.
func weightShare(c *bundle.Placement, w float64) float64 {
	sum := c.TailLatencyWeight + c.ThroughputWeight + c.EvictionWeight
	if sum <= 0 {
		return 0
	}
	return w / sum
}
