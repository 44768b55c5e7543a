package interference

import "math"

// centers are the loads for which what is learned in a band is taken to hold.
var centers = [Bands]float64{0.2, 0.475, 0.7, 0.9}

// Position is a load between the centers of two bands.
type Position struct {
	lo, hi int
	part   float64 // of the way from lo to hi
}

// Locate returns the position of load.
func Locate(load float64) Position {
	hi := 0
	for hi < Bands-1 && load > centers[hi] {
		hi++
	}
	if hi == 0 || !(load < centers[Bands-1]) {
		last := hi
		if hi > 0 {
			last = Bands - 1
		}
		return Position{lo: last, hi: last}
	}
	lo := hi - 1
	return Position{lo: lo, hi: hi, part: (load - centers[lo]) / (centers[hi] - centers[lo])}
}

// Mean returns the expected log slowdown, never negative, by one run of a
// family at p.
func (c *Curves) Mean(p Position, family string) float64 {
	lo := math.Max(0, c.Weight(p.lo, family).Mean)
	if p.hi == p.lo {
		return lo
	}
	hi := math.Max(0, c.Weight(p.hi, family).Mean)
	return lo + p.part*(hi-lo)
}

// QuietAt returns the log of the quiet 99th percentile in seconds at p, and
// false where nothing was observed at or below it.
func (c *Curves) QuietAt(p Position) (float64, bool) {
	hi, ok := c.Level(p.hi)
	if !ok || p.hi == p.lo {
		return hi, ok
	}
	lo, ok := c.Level(p.lo)
	if !ok {
		return hi, true
	}
	return lo + p.part*(hi-lo), true
}
