package interference

import "math"

// bandCenters are the loads at which the estimates of each band apply; between
// them, estimates are interpolated.
var bandCenters = [Bands]float64{0.2, 0.475, 0.7, 0.9}

// Position is a load between the centers of the bands lo and hi, which are the
// same band at or beyond the first and last center.
type Position struct {
	lo, hi   int
	fraction float64 // of the way from lo to hi
}

// Locate returns the position of load.
func Locate(load float64) Position {
	hi := 0
	for hi < Bands-1 && load > bandCenters[hi] {
		hi++
	}
	if hi == 0 || !(load < bandCenters[Bands-1]) {
		last := hi
		if hi > 0 {
			last = Bands - 1
		}
		return Position{lo: last, hi: last}
	}
	lo := hi - 1
	return Position{lo: lo, hi: hi, fraction: (load - bandCenters[lo]) / (bandCenters[hi] - bandCenters[lo])}
}

// Mean returns the expected log slowdown by one run of a family at p, which is
// never negative.
func (e *ServiceEstimates) Mean(p Position, family string) float64 {
	lo := math.Max(0, e.Weight(p.lo, family).Mean)
	if p.hi == p.lo {
		return lo
	}
	hi := math.Max(0, e.Weight(p.hi, family).Mean)
	return lo + p.fraction*(hi-lo)
}

// BaselineAt returns the log of the 99th percentile latency in seconds without batch
// neighbours at p, and false if no band at or below p was observed.
func (e *ServiceEstimates) BaselineAt(p Position) (float64, bool) {
	hi, ok := e.Level(p.hi)
	if !ok || p.hi == p.lo {
		return hi, ok
	}
	lo, ok := e.Level(p.lo)
	if !ok {
		return hi, true
	}
	return lo + p.fraction*(hi-lo), true
}
