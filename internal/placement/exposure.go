package placement

import (
	"math"
	"slices"

	"skylarkport/internal/interference"
	"skylarkport/internal/job"
)

const (
	// maxIntensity bounds the processor use of one run relative to its family's
	// median.
	maxIntensity = 2.0
	// loadIncrease is added to a service's load to check that a placement still
	// holds when the load rises.
	loadIncrease = 0.2
	// minRatios is the number of measurements needed for a step against
	// interference.
	minRatios = 2
)

// exposure is a service run on a worker with the latency that is expected next to the
// batch runs on that worker. logRatio and logRatioHigherLoad are natural logarithms
// of the expected 99th percentile latency divided by the latency target, at the
// service's present load and at a higher one.
type exposure struct {
	run                *Run
	view               *RunView
	estimates          *interference.ServiceEstimates
	baselineKnown      bool // the latency without neighbours was observed
	band               int
	position           interference.Position // at the present load
	higherPosition     interference.Position // at the present load plus loadIncrease
	logRatio           float64               // at the present load
	logRatioHigherLoad float64               // at the present load plus loadIncrease
	// unproven counts neighbours whose effect rests on too few observations.
	unproven int
}

// prepareExposures fills in the exposures of the services on n, once in a cycle.
func (c *cycle) prepareExposures(n *node) {
	if n.exposuresReady {
		return
	}
	n.exposuresReady = true
	for i, r := range n.worker.Runs {
		if r.Spec.Kind == job.Service && !r.Stopping {
			n.exposures = append(n.exposures, c.newExposure(n, i))
		}
	}
}

// newExposure returns the exposure of the i-th run on n, which is a service. Its
// expected latency is the latency without neighbours plus the estimated slowdown
// by each batch run; a higher measured latency replaces it.
func (c *cycle) newExposure(n *node, i int) exposure {
	r := n.worker.Runs[i]
	x := exposure{run: r, view: n.view.findRun(r.ID, i), estimates: c.view.Interference[c.profile(r.Spec).family]}
	load := 0.0
	if x.view != nil {
		load = x.view.Load
	}
	x.band, x.position, x.higherPosition = interference.Band(load), interference.Locate(load), interference.Locate(load+loadIncrease)
	level, ok := x.estimates.BaselineAt(x.position)
	if !ok {
		return x
	}
	x.baselineKnown = true
	target := level + math.Log(c.view.Config.SlowdownThreshold)
	if r.Spec.Target > 0 {
		target = math.Log(r.Spec.Target.D().Seconds())
	}
	above, _ := x.estimates.BaselineAt(x.higherPosition)
	x.logRatio, x.logRatioHigherLoad = level-target, above-target
	if r.Spec.Target <= 0 {
		x.logRatioHigherLoad = x.logRatio // without a declared target, the target rises with the latency at that load
	}
	for k, o := range n.worker.Runs {
		if o.Spec.Kind == job.Batch {
			x.addNeighbour(c.profile(o.Spec).family, c.runIntensity(n, k))
		}
	}
	if m, fresh := c.measuredRatio(n.worker, x.view); fresh {
		x.logRatio = math.Max(x.logRatio, math.Log(m))
	}
	return x
}

// addNeighbour adds the expected slowdown by a run of the family.
func (x *exposure) addNeighbour(family string, intensity float64) {
	w := x.estimates.Weight(x.band, family)
	if !w.Proven() {
		x.unproven++
	}
	x.logRatio += x.estimates.Mean(x.position, family) * intensity
	x.logRatioHigherLoad += x.estimates.Mean(x.higherPosition, family) * intensity
}

// removeNeighbour subtracts the expected slowdown by a run of the family.
func (x *exposure) removeNeighbour(family string, intensity float64) {
	w := x.estimates.Weight(x.band, family)
	if !w.Proven() {
		x.unproven--
	}
	x.logRatio -= x.estimates.Mean(x.position, family) * intensity
	x.logRatioHigherLoad -= x.estimates.Mean(x.higherPosition, family) * intensity
}

// measuredRatio returns the median measured latency divided by the latency
// target, from measurements taken since the worker's last change. It returns
// false if there are fewer than minRatios or the latest is older than Window.
func (c *cycle) measuredRatio(w *Worker, v *RunView) (float64, bool) {
	if v == nil || len(v.LatencyRatios) < minRatios || v.MeasuredAt < w.LastChange+MeasurementWindow {
		return 0, false
	}
	if c.snapshot.Now-v.MeasuredAt > c.view.Config.Window.D() {
		return 0, false
	}
	var sorted [maxRatios]float64
	s := sorted[:copy(sorted[:], v.LatencyRatios)]
	slices.Sort(s)
	return s[(len(s)-1)/2], true
}
