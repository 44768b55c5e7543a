package placement

import (
	"math"

	"skylarkport/internal/estimate"
	"skylarkport/internal/job"
)

// profile is what a cycle knows of a job's tasks.
type profile struct {
	family  string
	usage   *estimate.Summary // nil where nothing was observed
	typical float64           // millicores; 0 where nothing was observed
}

// profile returns the profile of s, worked out once in a cycle.
func (c *cycle) profile(s *job.Spec) *profile {
	if p, ok := c.profiles[s]; ok {
		return p
	}
	p := &profile{family: Family(s)}
	p.usage = c.v.Usage[p.family]
	if p.usage != nil {
		p.typical = float64(p.usage.Typical.MilliCPU)
	}
	c.profiles[s] = p
	return p
}

// runIntensity is the use of the i-th run on n over its family's usual use; a
// run that was not measured counts as usual for its commitment.
func (c *cycle) runIntensity(n *node, i int) float64 {
	r := n.w.Runs[i]
	typical := c.profile(r.Spec).typical
	if typical <= 0 {
		return 1
	}
	limit := math.Min(maxIntensity, float64(sane(r.Commit).MilliCPU)/typical)
	if v := n.view.run(r.ID, i); v != nil && v.At > r.Started+Settle {
		return math.Min(limit, float64(v.Used.MilliCPU)/typical)
	}
	return math.Min(1, limit)
}
