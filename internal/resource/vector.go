// Package resource defines vectors of the resources in which the capacity of a
// worker and the requirements of a task are counted.
package resource

// Vector is an amount of CPU, memory and accelerators.
type Vector struct {
	MilliCPU     int64 `json:"milli_cpu"`    // thousandths of a core
	MemoryMB     int64 `json:"memory_mb"`    // mebibytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU + w.MilliCPU,
		MemoryMB:     v.MemoryMB + w.MemoryMB,
		Accelerators: v.Accelerators + w.Accelerators,
	}
}

// Sub returns v - w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU - w.MilliCPU,
		MemoryMB:     v.MemoryMB - w.MemoryMB,
		Accelerators: v.Accelerators - w.Accelerators,
	}
}

// Fits reports whether v fits into w: it is at most w in every resource.
func (v Vector) Fits(w Vector) bool {
	return v.MilliCPU <= w.MilliCPU && v.MemoryMB <= w.MemoryMB && v.Accelerators <= w.Accelerators
}

// Valid reports whether no resource is negative.
func (v Vector) Valid() bool {
	return v.MilliCPU >= 0 && v.MemoryMB >= 0 && v.Accelerators >= 0
}

// IsZero reports whether every resource is zero.
func (v Vector) IsZero() bool { return v == Vector{} }
