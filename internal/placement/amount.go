package placement

import (
	"math"

	"skylarkport/internal/resource"
)

// clampUsage bounds a reported use by the run's commitment. The worker limits a
// run to its commitment, so a report far above it is not plausible.
func clampUsage(used, commit resource.Vector) resource.Vector {
	const maxOvershoot = 2 // the worker may enforce a new limit late
	return resource.Vector{
		MilliCPU:     clampAmount(used.MilliCPU, maxOvershoot*clampAmount(commit.MilliCPU, maxAmount)),
		MemoryMB:     clampAmount(used.MemoryMB, maxOvershoot*clampAmount(commit.MemoryMB, maxAmount)),
		Accelerators: clampAmount(used.Accelerators, clampAmount(commit.Accelerators, maxAmount)),
	}
}

// clampAmount returns v bounded to [0, limit].
func clampAmount(v, limit int64) int64 { return min(max(v, 0), max(limit, 0)) }

// clampVector returns v with every dimension bounded to [0, maxAmount], so that
// sums of many amounts do not overflow.
func clampVector(v resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     clampAmount(v.MilliCPU, maxAmount),
		MemoryMB:     clampAmount(v.MemoryMB, maxAmount),
		Accelerators: clampAmount(v.Accelerators, maxAmount),
	}
}

// finiteOrZero returns v, or 0 if v is negative, infinite or NaN.
func finiteOrZero(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

// withMargin returns v increased by the fraction margin, rounded up and at most
// maxAmount.
func withMargin(v int64, margin float64) int64 {
	g := float64(v) * (1 + finiteOrZero(margin))
	return int64(math.Min(math.Ceil(g), float64(maxAmount)))
}

// maxVector returns the larger amount of each dimension.
func maxVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// minVector returns the smaller amount of each dimension.
func minVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
