package placement

import (
	"math"

	"skylarkport/internal/estimate"
	"skylarkport/internal/job"
)

// profile holds what was observed of a job's family, cached for one cycle.
type profile struct {
	family          string
	usage           *estimate.Summary // nil if nothing was observed
	typicalMilliCPU float64           // median processor use; 0 if nothing was observed
}

// profile returns the profile of s, computed once in a cycle.
func (c *cycle) profile(s *job.Spec) *profile {
	if p, ok := c.profiles[s]; ok {
		return p
	}
	p := &profile{family: Family(s)}
	p.usage = c.view.Usage[p.family]
	if p.usage != nil {
		p.typicalMilliCPU = float64(p.usage.Typical.MilliCPU)
	}
	c.profiles[s] = p
	return p
}

// runIntensity returns the processor use of the i-th run on n relative to its
// family's median, bounded by the run's commitment and maxIntensity. A run without
// a measurement from after its start is taken to use the median.
func (c *cycle) runIntensity(n *node, i int) float64 {
	r := n.worker.Runs[i]
	typical := c.profile(r.Spec).typicalMilliCPU
	if typical <= 0 {
		return 1
	}
	limit := math.Min(maxIntensity, float64(clampVector(r.Commit).MilliCPU)/typical)
	if v := n.view.findRun(r.ID, i); v != nil && v.MeasuredAt > r.Started+MeasurementWindow {
		return math.Min(limit, float64(v.Used.MilliCPU)/typical)
	}
	return math.Min(1, limit)
}
