package share

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// PartitionCount is the number of partitions of an availability zone's capacity.
const PartitionCount = 64

// Partitions is a set of partitions, one bit each. A partition stands for a fixed
// part of the slots and connections of the zone's workers, which every entry
// computes in the same way (see UnitsOf).
type Partitions uint64

// AllPartitions contains every partition.
const AllPartitions = ^Partitions(0)

// Len returns the number of partitions in s.
func (s Partitions) Len() int { return bits.OnesCount64(uint64(s)) }

// Has reports whether s contains partition i.
func (s Partitions) Has(i int) bool { return s>>i&1 == 1 }

// each calls f for every partition of s in ascending order.
func (s Partitions) each(f func(i int)) {
	for rest := s; rest != 0; rest &= rest - 1 {
		f(bits.TrailingZeros64(uint64(rest)))
	}
}

// Lowest returns the n partitions of s with the lowest numbers, or all of s if
// it has fewer.
func (s Partitions) Lowest(n int) Partitions {
	rest := s
	for range min(max(n, 0), PartitionCount) {
		rest &= rest - 1
	}
	return s &^ rest
}

// reserve returns, for each remainder of division by lenderReserve, the lowest
// partition of s with that remainder.
func (s Partitions) reserve() Partitions {
	var out Partitions
	var seen [lenderReserve]bool
	s.each(func(i int) {
		if !seen[i%lenderReserve] {
			seen[i%lenderReserve] = true
			out |= 1 << i
		}
	})
	return out
}

// UnitsOf returns how many of the total units (slots or connections) of a worker
// belong to the partitions s. Unit q belongs to partition q*PartitionCount/total
// plus an offset hashed from the worker's name, modulo PartitionCount. Because the
// offset differs by worker, every set of partitions has units on most of the
// workers.
func (s Partitions) UnitsOf(worker string, total int) int {
	offset := int(xxhash.Sum64String(worker) % PartitionCount)
	n := 0
	for unit := range total {
		if s.Has((unit*PartitionCount/total + offset) % PartitionCount) {
			n++
		}
	}
	return n
}
