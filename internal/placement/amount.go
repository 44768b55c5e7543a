package placement

import (
	"math"

	"skylarkport/internal/resource"
)

// clamp bounds a reported use to what a guard that holds commit can let pass.
func clamp(used, commit resource.Vector) resource.Vector {
	const overshoot = 2 // a guard may be late
	return resource.Vector{
		MilliCPU:     bounded(used.MilliCPU, overshoot*bounded(commit.MilliCPU, hugeAmount)),
		MemoryMB:     bounded(used.MemoryMB, overshoot*bounded(commit.MemoryMB, hugeAmount)),
		Accelerators: bounded(used.Accelerators, bounded(commit.Accelerators, hugeAmount)),
	}
}

// bounded returns v within [0, limit].
func bounded(v, limit int64) int64 { return min(max(v, 0), max(limit, 0)) }

// sane returns v with every dimension within [0, hugeAmount], so that sums of
// many amounts do not overflow.
func sane(v resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     bounded(v.MilliCPU, hugeAmount),
		MemoryMB:     bounded(v.MemoryMB, hugeAmount),
		Accelerators: bounded(v.Accelerators, hugeAmount),
	}
}

// finite returns v, or 0 where it is not finite or negative.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

// grown returns v with the fraction margin on top.
func grown(v int64, margin float64) int64 {
	g := float64(v) * (1 + finite(margin))
	return int64(math.Min(math.Ceil(g), float64(hugeAmount)))
}

// largest returns the larger amount of each dimension.
func largest(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// least returns the smaller amount of each dimension.
func least(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
