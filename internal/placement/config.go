package placement

import (
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
)

// withDefaults fills in what a bundle leaves out.
func withDefaults(c bundle.Placement) bundle.Placement {
	setFloat(&c.UsagePercentile, 0.95)
	setFloat(&c.ProcessorMargin, 0.15)
	setFloat(&c.MemoryMargin, 0.25)
	setFloat(&c.SlowdownThreshold, 1.5)
	setDuration(&c.Window, 5*time.Minute)
	setDuration(&c.Cooldown, 30*time.Second)
	setDuration(&c.QuarantineFor, 10*time.Minute)
	setFloat(&c.QuarantineFraction, 0.1)
	setInt(&c.EvictionsPerJob, 3)
	setInt(&c.EvictionsPerHour, 120)
	setInt(&c.QuarantineFailures, 3)
	if finite(c.TailWeight)+finite(c.ThroughputWeight)+finite(c.EvictionWeight) == 0 {
		c.TailWeight, c.ThroughputWeight, c.EvictionWeight = 1, 1, 1
	}
	c.TailWeight = finite(c.TailWeight)
	c.ThroughputWeight = finite(c.ThroughputWeight)
	c.EvictionWeight = finite(c.EvictionWeight)
	return c
}

func setFloat(v *float64, def float64) {
	if finite(*v) == 0 {
		*v = def
	}
}

func setDuration(v *job.Duration, def time.Duration) {
	if *v <= 0 {
		*v = job.Duration(def)
	}
}

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

// tailShare returns the weight of tail latency among all weights, in [0, 1].
func tailShare(c *bundle.Placement) float64 {
	return weightShare(c, c.TailWeight)
}

// evictionShare returns the weight of evictions among all weights, in [0, 1].
func evictionShare(c *bundle.Placement) float64 { return weightShare(c, c.EvictionWeight) }

func weightShare(c *bundle.Placement, w float64) float64 {
	sum := c.TailWeight + c.ThroughputWeight + c.EvictionWeight
	if sum <= 0 {
		return 0
	}
	return w / sum
}
