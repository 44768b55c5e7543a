package placement

// nodeResourcesFit checks that a worker has the task's commitment free, and
// prefers workers that it fills up in balance.
type nodeResourcesFit struct{}

const packWeight = 0.05

func (nodeResourcesFit) name() string { return "NodeResourcesFit" }

func (nodeResourcesFit) check(_ *cycle, n *node, t *candidate) string {
	if !t.commit.Fits(n.free) {
		return "NodeResourcesFit"
	}
	return ""
}

func (nodeResourcesFit) score(_ *cycle, n *node, t *candidate) float64 {
	left := n.free.Sub(t.commit)
	cpu := share(left.MilliCPU, n.w.Capacity.MilliCPU)
	memory := share(left.MemoryMB, n.w.Capacity.MemoryMB)
	imbalance := cpu - memory
	score := packWeight * (cpu + imbalance*imbalance)
	if t.commit.Accelerators == 0 && n.free.Accelerators > 0 {
		score += packWeight // keep devices for those that need them
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
