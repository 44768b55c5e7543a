package share

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// SeatCount is the number of partitions of an availability zone's capacity.
const SeatCount = 64

// Seats is a set of partitions, one bit each. A partition stands for a fixed
// part of the slots and connections of the zone's workers, which every entry
// computes in the same way (see Part).
type Seats uint64

// All contains every partition.
const All = ^Seats(0)

// Len returns the number of partitions in s.
func (s Seats) Len() int { return bits.OnesCount64(uint64(s)) }

// Has reports whether s contains partition i.
func (s Seats) Has(i int) bool { return s>>i&1 == 1 }

// each calls f for every partition of s in ascending order.
func (s Seats) each(f func(i int)) {
	for rest := s; rest != 0; rest &= rest - 1 {
		f(bits.TrailingZeros64(uint64(rest)))
	}
}

// First returns the n partitions of s with the lowest numbers, or all of s if
// it has fewer.
func (s Seats) First(n int) Seats {
	rest := s
	for range min(max(n, 0), SeatCount) {
		rest &= rest - 1
	}
	return s &^ rest
}

// reserve returns, for each remainder of division by lenderReserve, the lowest
// partition of s with that remainder.
func (s Seats) reserve() Seats {
	var out Seats
	var seen [lenderReserve]bool
	s.each(func(i int) {
		if !seen[i%lenderReserve] {
			seen[i%lenderReserve] = true
			out |= 1 << i
		}
	})
	return out
}

// Part returns how many of the total units (slots or connections) of a worker
// belong to the partitions s. Unit q belongs to partition q*SeatCount/total
// plus an offset hashed from the worker's name, modulo SeatCount. Because the
// offset differs by worker, every set of partitions has units on most of the
// workers.
func (s Seats) Part(worker string, total int) int {
	offset := int(xxhash.Sum64String(worker) % SeatCount)
	n := 0
	for unit := range total {
		if s.Has((unit*SeatCount/total + offset) % SeatCount) {
			n++
		}
	}
	return n
}
