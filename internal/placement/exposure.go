package placement

import (
	"math"
	"slices"

	"skylarkport/internal/interference"
	"skylarkport/internal/job"
)

const (
	maxIntensity = 2.0 // of one run
	freshRatios  = 2   // measurements that a step rests on
)

// exposure is a service run on a worker and what its neighbours do to it. The
// logarithms are of its 99th percentile over its target.
type exposure struct {
	run    *Run
	view   *RunView
	curves *interference.Curves
	known  bool // a quiet level was observed
	band   int
	now    float64 // log, in the present band
	next   float64 // log, one band up
	// unproven counts neighbours whose effect is not known.
	unproven int
}

// prepare fills in the services of n with their exposure.
func (c *cycle) prepare(n *node) {
	if n.prepared {
		return
	}
	n.prepared = true
	for _, r := range n.w.Runs {
		if r.Spec.Kind == job.Service && !r.Stopping && r.Spec.Target > 0 {
			n.services = append(n.services, c.exposure(n, r))
		}
	}
}

func (c *cycle) exposure(n *node, r *Run) exposure {
	x := exposure{run: r, view: n.view.run(r.ID), curves: c.v.Interference[Family(r.Spec)]}
	if x.view != nil {
		x.band = interference.Band(x.view.Load)
	}
	level, ok := x.curves.Level(x.band)
	if !ok {
		return x
	}
	x.known = true
	target := math.Log(r.Spec.Target.D().Seconds())
	above, _ := x.curves.Level(x.up())
	x.now, x.next = level-target, above-target
	for _, o := range n.w.Runs {
		if o.Spec.Kind == job.Batch {
			x.add(Family(o.Spec), c.runIntensity(n, o))
		}
	}
	if m, fresh := x.measured(n.w, c); fresh {
		x.now = math.Max(x.now, math.Log(m))
	}
	return x
}

// add adds a neighbour of the family.
func (x *exposure) add(family string, intensity float64) {
	w := x.curves.Weight(x.band, family)
	if !w.Proven() {
		x.unproven++
	}
	x.now += math.Max(0, w.Mean) * intensity
	x.next += math.Max(0, x.curves.Weight(x.up(), family).Mean) * intensity
}

// remove takes a neighbour of the family away.
func (x *exposure) remove(family string, intensity float64) {
	w := x.curves.Weight(x.band, family)
	if !w.Proven() {
		x.unproven--
	}
	x.now -= math.Max(0, w.Mean) * intensity
	x.next -= math.Max(0, x.curves.Weight(x.up(), family).Mean) * intensity
}

// up returns the next band up.
func (x *exposure) up() int { return min(x.band+1, interference.Bands-1) }

// measured returns the median of the latencies over target that were measured
// since the worker's last change, and false where there are too few.
func (x *exposure) measured(w *Worker, c *cycle) (float64, bool) {
	v := x.view
	if v == nil || len(v.Ratios) < freshRatios || v.At < w.Changed+Settle {
		return 0, false
	}
	if c.s.Now-v.At > c.v.Config.Window.D() {
		return 0, false
	}
	s := slices.Clone(v.Ratios)
	slices.Sort(s)
	return s[(len(s)-1)/2], true
}

// runIntensity is the run's use over its family's usual use; a run that was not
// measured counts as usual for its commitment.
func (c *cycle) runIntensity(n *node, r *Run) float64 {
	u := c.summary(r.Spec)
	if u == nil || u.Typical.MilliCPU <= 0 {
		return 1
	}
	typical := float64(u.Typical.MilliCPU)
	limit := math.Min(maxIntensity, float64(sane(r.Commit).MilliCPU)/typical)
	if v := n.view.run(r.ID); v != nil && v.At > r.Started+Settle {
		return math.Min(limit, float64(v.Used.MilliCPU)/typical)
	}
	return math.Min(1, limit)
}
