package placement

import (
	"math"
	"slices"

	"skylarkport/internal/interference"
	"skylarkport/internal/job"
)

const (
	maxIntensity = 2.0 // of one run
	loadRise     = 0.2 // of a service's load, against which placements are judged too
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
	at     interference.Position // present load
	above  interference.Position // a load that is higher by loadRise
	now    float64               // log, in the present band
	next   float64               // log, at the higher load
	// unproven counts neighbours whose effect is not known.
	unproven int
}

// prepare fills in the services of n with their exposure.
func (c *cycle) prepare(n *node) {
	if n.prepared {
		return
	}
	n.prepared = true
	for i, r := range n.w.Runs {
		if r.Spec.Kind == job.Service && !r.Stopping {
			n.services = append(n.services, c.exposure(n, i))
		}
	}
}

func (c *cycle) exposure(n *node, i int) exposure {
	r := n.w.Runs[i]
	x := exposure{run: r, view: n.view.run(r.ID, i), curves: c.v.Interference[c.profile(r.Spec).family]}
	load := 0.0
	if x.view != nil {
		load = x.view.Load
	}
	x.band, x.at, x.above = interference.Band(load), interference.Locate(load), interference.Locate(load+loadRise)
	level, ok := x.curves.QuietAt(x.at)
	if !ok {
		return x
	}
	x.known = true
	target := level + math.Log(c.v.Config.SlowdownThreshold)
	if r.Spec.Target > 0 {
		target = math.Log(r.Spec.Target.D().Seconds())
	}
	above, _ := x.curves.QuietAt(x.above)
	x.now, x.next = level-target, above-target
	if r.Spec.Target <= 0 {
		x.next = x.now // the threshold rises with the quiet latency
	}
	for k, o := range n.w.Runs {
		if o.Spec.Kind == job.Batch {
			x.add(c.profile(o.Spec).family, c.runIntensity(n, k))
		}
	}
	if m, fresh := c.measured(n.w, x.view); fresh {
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
	x.now += x.curves.Mean(x.at, family) * intensity
	x.next += x.curves.Mean(x.above, family) * intensity
}

// remove takes a neighbour of the family away.
func (x *exposure) remove(family string, intensity float64) {
	w := x.curves.Weight(x.band, family)
	if !w.Proven() {
		x.unproven--
	}
	x.now -= x.curves.Mean(x.at, family) * intensity
	x.next -= x.curves.Mean(x.above, family) * intensity
}

// measured returns the median of the latencies over target that were measured
// since the worker's last change, and false where there are too few.
func (c *cycle) measured(w *Worker, v *RunView) (float64, bool) {
	if v == nil || len(v.Ratios) < freshRatios || v.At < w.Changed+Settle {
		return 0, false
	}
	if c.s.Now-v.At > c.v.Config.Window.D() {
		return 0, false
	}
	var sorted [ratiosKept]float64
	s := sorted[:copy(sorted[:], v.Ratios)]
	slices.Sort(s)
	return s[(len(s)-1)/2], true
}
