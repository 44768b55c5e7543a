// Package share divides the slots and connections of the workers of an
// availability zone among the zone's entries, the processes that forward
// requests to workers. There is no coordinator: the capacity is split into
// PartitionCount partitions, a row in the platform's store records the owner of
// each, and entries lend idle partitions to each other.
package share

import "sync/atomic"

// Semaphore is a counting semaphore whose limit can change. The limit and the
// number of units in use are in one atomic word, so that no unit is acquired
// under a limit that was already lowered. The limit of the zero value is zero.
type Semaphore struct {
	state atomic.Uint64 // limit in the upper 32 bits, units in use in the lower 32
}

const limitShift = 32

// TryAcquire acquires one unit and reports true, or false if all are in use.
func (s *Semaphore) TryAcquire() bool {
	for {
		word := s.state.Load()
		if uint32(word) >= uint32(word>>limitShift) {
			return false
		}
		if s.state.CompareAndSwap(word, word+1) {
			return true
		}
	}
}

// Release returns one unit acquired by TryAcquire.
func (s *Semaphore) Release() { s.state.Add(^uint64(0)) }

// SetLimit sets the limit and reports whether the units in use are within it.
// Units in use above a lowered limit stay in use until they are released.
func (s *Semaphore) SetLimit(limit int) bool {
	for {
		word := s.state.Load()
		if s.state.CompareAndSwap(word, uint64(limit)<<limitShift|uint64(uint32(word))) {
			return int(uint32(word)) <= limit
		}
	}
}

// Limit returns the current limit.
func (s *Semaphore) Limit() int { return int(s.state.Load() >> limitShift) }

// Used returns the number of units in use.
func (s *Semaphore) Used() int { return int(uint32(s.state.Load())) }
