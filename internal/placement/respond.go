package placement

import (
	"math"
	"slices"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	// actAbove and calmBelow are latencies over target between which nothing
	// is done. The weight of tail latency lowers the first by actTail.
	actAbove  = 1.0
	actTail   = 0.15
	calmBelow = 0.7
	// moveRise is added to the threshold for moves, times the square of the share
	// of evictions among the weights.
	moveRise = 12
	// aimAt is the latency over target that a step aims at.
	aimAt = 0.8
	// severe is the latency over target at which runs are moved at once.
	severe = 1.5
	// throttleTo is the fraction of its commitment that a throttled run keeps.
	throttleTo = 0.4
	// worthMoving is the least log slowdown for which a run is moved.
	worthMoving = 0.05
	// meaningful is the least log slowdown that a run is blamed for.
	meaningful = 0.02
	// blindSlowdown is the log slowdown assumed of a run that fills a worker.
	blindSlowdown = 1.0
	calmCooldowns = 2 // cooldowns before a throttled run is let go
	evictWithin   = 4 // cooldowns after a move within which the next step evicts
)

// blame is a batch run with its part in a service's slowdown.
type blame struct {
	run  *Run
	part float64 // log slowdown
}

// respond takes at most one step per worker against interference.
func (c *cycle) respond() {
	for _, n := range c.nodes {
		if n.w.Health != Healthy || !hasBatch(n) {
			continue
		}
		if n.view == nil || n.view.Stepped > 0 && c.s.Now-n.view.Stepped < c.v.Config.Cooldown.D() {
			continue
		}
		c.respondOn(n)
	}
}

func hasBatch(n *node) bool {
	for _, r := range n.w.Runs {
		if !r.Stopping && r.Spec.Kind == job.Batch {
			return true
		}
	}
	return false
}

// respondOn looks at the service that suffers most.
func (c *cycle) respondOn(n *node) {
	worst, at := 0.0, -1
	for i, r := range n.w.Runs {
		if r.Spec.Kind != job.Service || r.Stopping {
			continue
		}
		m, fresh := c.measured(n.w, n.view.run(r.ID, i))
		if fresh && m > worst {
			worst, at = m, i
		}
	}
	if at < 0 {
		c.releaseAlone(n)
		return
	}
	if worst >= c.threshold() {
		c.prepare(n)
		c.relieve(n, n.exposure(n.w.Runs[at]), worst)
		return
	}
	if worst <= calmBelow {
		c.release(n)
	}
}

// releaseAlone releases runs of a worker that has no service.
func (c *cycle) releaseAlone(n *node) {
	for _, r := range n.w.Runs {
		if r.Spec.Kind == job.Service {
			return
		}
	}
	c.release(n)
}

// exposure returns the exposure of a service run on a prepared node, or nil.
func (n *node) exposure(r *Run) *exposure {
	for i := range n.services {
		if n.services[i].run == r {
			return &n.services[i]
		}
	}
	return nil
}

// threshold is the latency over target that calls for a step.
func (c *cycle) threshold() float64 { return actAbove - actTail*c.tail }

// relieve throttles, moves or evicts the runs to blame, as few as are expected
// to bring the service back to aimAt.
func (c *cycle) relieve(n *node, x *exposure, ratio float64) {
	if x == nil {
		return
	}
	list := c.blames(n, x)
	if len(list) == 0 {
		return
	}
	excess := math.Log(ratio / aimAt)
	if ratio < severe || c.tail < 0.25 {
		excess = c.throttle(n, list, excess, ratio)
		if n.busy || excess <= 0 {
			return
		}
	}
	if ratio >= c.moveAbove() {
		c.displace(n, list, excess, ratio)
	}
}

// moveAbove is the latency over target above which runs are moved: the weight
// of evictions raises it.
func (c *cycle) moveAbove() float64 {
	return c.threshold() + moveRise*evictionShare(&c.v.Config)*evictionShare(&c.v.Config)
}

// throttle returns what is left of the excess.
func (c *cycle) throttle(n *node, list []blame, excess, ratio float64) float64 {
	for _, b := range list {
		if excess <= 0 {
			return excess
		}
		if b.run.Throttled {
			continue
		}
		commit := throttled(b.run)
		if commit.MilliCPU >= b.run.Commit.MilliCPU {
			continue
		}
		c.step(Throttle, n, b.run, commit, StageInterference, "a service on the worker is at %.2f of its target", ratio)
		excess -= b.part * (1 - throttleTo)
	}
	return excess
}

// displace moves runs, or evicts them where a move shortly before did not help.
func (c *cycle) displace(n *node, list []blame, excess, ratio float64) {
	step := Move
	recent := c.s.Now-n.view.Stepped < evictWithin*c.v.Config.Cooldown.D()
	if recent && ratio >= severe && (n.view.Step == Move || n.view.Step == Evict) {
		step = Evict
	}
	for _, b := range list {
		if excess <= 0 || c.evicted >= c.v.Config.EvictionsPerHour {
			return
		}
		if b.part < worthMoving || b.run.Evictions >= c.v.Config.EvictionsPerJob {
			continue
		}
		c.evicted++
		c.step(step, n, b.run, resource.Vector{}, StageInterference, "a service on the worker is at %.2f of its target", ratio)
		excess -= b.part
	}
}

// blames returns the batch runs on n that slow x down, worst first.
func (c *cycle) blames(n *node, x *exposure) []blame {
	var list []blame
	for i, r := range n.w.Runs {
		if r.Stopping || r.Spec.Kind != job.Batch {
			continue
		}
		part := c.part(n, x, i)
		if part >= meaningful {
			list = append(list, blame{run: r, part: part})
		}
	}
	slices.SortStableFunc(list, func(a, b blame) int {
		if a.part != b.part {
			return int(math.Copysign(1, b.part-a.part))
		}
		return compareAge(a.run.Started, b.run.Started)
	})
	return list
}

// part is the log slowdown that the i-th run adds to x's service.
func (c *cycle) part(n *node, x *exposure, i int) float64 {
	r := n.w.Runs[i]
	if c.v.Blind {
		return blindSlowdown * share(r.Commit.MilliCPU, n.w.Capacity.MilliCPU)
	}
	return x.curves.Mean(x.at, c.profile(r.Spec).family) * c.runIntensity(n, i)
}

// compareAge orders the younger run first: it has less to lose.
func compareAge(a, b time.Duration) int {
	if a == b {
		return 0
	}
	return compare(b, a)
}

// release lets one throttled run go where every service is expected to stand
// it.
func (c *cycle) release(n *node) {
	if c.s.Now-n.view.Stepped < calmCooldowns*c.v.Config.Cooldown.D() {
		return
	}
	for _, r := range n.w.Runs {
		if !r.Throttled || r.Stopping {
			continue
		}
		c.prepare(n)
		held := sane(r.Commit)
		want := largest(held, c.commitment(r.Spec, r.ID.Task))
		want.MemoryMB, want.Accelerators = held.MemoryMB, held.Accelerators
		if !want.Sub(held).Fits(n.free) || !c.standsRelease(n, r) {
			continue
		}
		c.take(n, want.Sub(held))
		c.step(Unthrottle, n, r, want, StageInterference, "the services on the worker are calm")
		return
	}
}

func (c *cycle) standsRelease(n *node, r *Run) bool {
	for i := range n.services {
		x := &n.services[i]
		if x.now+x.curves.Mean(x.at, c.profile(r.Spec).family)*(1-throttleTo) > math.Log(aimAt) {
			return false
		}
	}
	return true
}
