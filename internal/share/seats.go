package share

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// SeatCount is the number of seats into which an availability zone is divided.
const SeatCount = 64

// Seats is a set of seats. A seat stands for a part of the slots and of the
// connections of every worker of the zone, the same one for every entry.
type Seats uint64

// All is the set of every seat.
const All = ^Seats(0)

// Len returns the number of seats in s.
func (s Seats) Len() int { return bits.OnesCount64(uint64(s)) }

// Has reports whether seat i is in s.
func (s Seats) Has(i int) bool { return s>>i&1 == 1 }

// each calls f with every seat of s in ascending order.
func (s Seats) each(f func(i int)) {
	for rest := s; rest != 0; rest &= rest - 1 {
		f(bits.TrailingZeros64(uint64(rest)))
	}
}

// First returns the n lowest seats of s.
func (s Seats) First(n int) Seats {
	rest := s
	for range min(max(n, 0), SeatCount) {
		rest &= rest - 1
	}
	return s &^ rest
}

// kept returns the lowest seat of s for each remainder by keepPart.
func (s Seats) kept() Seats {
	var out Seats
	var have [keepPart]bool
	s.each(func(i int) {
		if !have[i%keepPart] {
			have[i%keepPart] = true
			out |= 1 << i
		}
	})
	return out
}

// Part returns how many of the total units of a worker belong to the seats s.
// Unit q of a worker belongs to seat q*SeatCount/total, turned by a hash of the
// worker, so that every set of seats has a part of most workers.
func (s Seats) Part(worker string, total int) int {
	turn := int(xxhash.Sum64String(worker) % SeatCount)
	n := 0
	for q := range total {
		if s.Has((q*SeatCount/total + turn) % SeatCount) {
			n++
		}
	}
	return n
}
