package placement

// nodeResourcesFit checks that the task's commitment is free on a worker. It
// prefers workers with few processors left and with similar fractions of
// processors and memory left, so that neither is stranded.
type nodeResourcesFit struct{}

const packingWeight = 0.05

func (nodeResourcesFit) name() string { return "NodeResourcesFit" }

func (nodeResourcesFit) check(_ *cycle, n *node, t *candidate) string {
	if !t.commit.Fits(n.free) {
		return "NodeResourcesFit"
	}
	return ""
}

func (nodeResourcesFit) score(_ *cycle, n *node, t *candidate) float64 {
	left := n.free.Sub(t.commit)
	cpu := fraction(left.MilliCPU, n.worker.Capacity.MilliCPU)
	memory := fraction(left.MemoryMB, n.worker.Capacity.MemoryMB)
	imbalance := cpu - memory
	score := packingWeight * (cpu + imbalance*imbalance)
	if t.commit.Accelerators == 0 && n.free.Accelerators > 0 {
		score += packingWeight // keep accelerators free for tasks that need them
	}
	return score
}

// fraction returns part divided by whole, or 0 if whole is not positive.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
