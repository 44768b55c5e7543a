package placement

import (
	"math"
	"time"

	"skylarkport/internal/job"
)

// interferenceLimit keeps batch tasks off workers where a service would be
// expected to miss its target, and prefers those where it suffers least.
type interferenceLimit struct{}

const (
	// nowLimit is the latency over target up to which batch work is added;
	// the weight of tail latency lowers it by up to nowTail. nextTail lowers
	// in the same way the limit that holds if load rises by loadRise.
	nowLimit  = 0.95
	nowTail   = 0.15
	nextLimit = 1.1
	nextTail  = 0.25
	// urgentLimit, lowered in the same way, holds for urgent tasks.
	urgentLimit = 1.3
	urgentTail  = 0.3
	// urgentPatience is how long an urgent task is held to it.
	urgentPatience = 2 * time.Second
	// caution is how many standard deviations are added to a weight, times
	// the share of tail latency among the weights.
	caution = 1.0
	// maxUnproven is how many neighbours of unknown effect a service has at
	// once.
	maxUnproven = 1
)

func (interferenceLimit) name() string { return StageInterference }

func (interferenceLimit) check(c *cycle, n *node, t *candidate) string {
	if t.p.Spec.Kind != job.Batch || c.v.Blind {
		return ""
	}
	c.prepare(n)
	for i := range n.services {
		if !c.bearable(&n.services[i], t) {
			return StageInterference
		}
	}
	return ""
}

// bearable reports whether the service of x stands one more run of t's family.
// An urgent task is held to the present limit only.
func (c *cycle) bearable(x *exposure, t *candidate) bool {
	w := x.curves.Weight(x.band, t.family)
	if t.p.Spec.Urgent {
		return !x.known || c.s.Now-t.p.Submitted >= urgentPatience ||
			x.now+x.curves.Mean(x.at, t.family) <= math.Log(urgentLimit-urgentTail*c.tail)
	}
	if !w.Proven() && x.unproven >= maxUnproven {
		return false
	}
	if !x.known {
		return x.unproven < maxUnproven
	}
	now := x.now + x.curves.Mean(x.at, t.family) + caution*c.tail*math.Sqrt(w.Variance)
	next := x.next + x.curves.Mean(x.above, t.family)
	return now <= math.Log(nowLimit-nowTail*c.tail) && next <= math.Log(nextLimit-nextTail*c.tail)
}

func (interferenceLimit) score(c *cycle, n *node, t *candidate) float64 {
	if t.p.Spec.Kind != job.Batch || c.v.Blind {
		return 0
	}
	sum := 0.0
	for i := range n.services {
		x := &n.services[i]
		sum += x.curves.Mean(x.at, t.family) * (1 + math.Exp(x.now))
	}
	return sum
}
