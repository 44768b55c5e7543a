package share

import (
	"sync"
	"time"
)

// Durations of loans. Each side measures them on its own monotonic clock.
const (
	// LoanDuration is how long a loan lasts without renewal. The borrower counts
	// it from the time before it sent the request.
	LoanDuration = 60 * time.Second
	// MaxRequestDuration is the longest duration of a request. A borrowed partition
	// takes no new request when less than this is left of its loan, so that
	// no request outlives the loan.
	MaxRequestDuration = 31 * time.Second
	// ClockDriftMargin is added to LoanDuration by the lender, because the borrower's clock
	// may run slower than its own.
	ClockDriftMargin = LoanDuration / 100
	// RenewInterval is the interval at which an entry renews the loans of the partitions
	// that it borrows from other entries.
	RenewInterval = 5 * time.Second
	// lenderReserve is the number of free partitions that a lender keeps: one
	// for each remainder of the partition number divided by lenderReserve, if
	// it has one. With all eight it keeps a slot of every worker that has
	// eight.
	lenderReserve = 8
)

// Pool is the capacity that the partitions stand for: the slots and connections
// of the zone's workers, as this entry may use them.
type Pool interface {
	// Limit limits this entry to the capacity of the partitions s, and
	// reports whether the capacity in use is within that limit.
	Limit(s Partitions) bool
}

// loan is the state of one lent or borrowed partition.
type loan struct {
	id        uint64        // assigned by the lender, never reused
	peer      string        // instance on the other side of the loan
	expires   time.Duration // end of the loan on the monotonic clock
	returning bool          // the partition is to be returned
}

// Manager keeps track of the partitions that one entry owns, lends and borrows.
// It does no I/O: the caller reads and writes the row and sends the messages
// between entries. It is safe for concurrent use.
type Manager struct {
	self string
	pool Pool

	mu              sync.Mutex
	assignment      Assignment
	version         uint64
	loaded          bool
	fenced          bool                          // this incarnation has written the row, so no write of an earlier one can take effect
	blockedUntil    [PartitionCount]time.Duration // time until which an earlier owner may still lend an own partition
	lent            [PartitionCount]*loan
	borrowed        [PartitionCount]*loan
	pendingRequests int    // loan requests that have no response yet
	nextLoanID      uint64 // ID of the next loan
	// transferring holds the own partitions that a pending write gives away. A
	// write whose response was lost may still take effect until the row has a
	// new version.
	transferring     Partitions
	uncertainVersion uint64 // row version at which the response to a write was lost
	leaving          bool   // PlanLeave was called
}

// NewManager returns the Manager of the instance self, without partitions. Loan
// IDs start at firstID; two incarnations must not use the same IDs.
func NewManager(self string, firstID uint64, pool Pool) *Manager {
	return &Manager{self: self, nextLoanID: firstID, pool: pool}
}

// CurrentAssignment returns the newest Assignment that was read and its version, and
// false if none was read yet.
func (m *Manager) CurrentAssignment() (Assignment, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.assignment.clone(), m.version, m.loaded
}

// ApplyRow updates the state from a row read from the platform's table. A row older
// than the newest one read is ignored. A partition that this entry gains is
// blocked until the loans of its earlier owner have ended, unless the row has it
// in LoanFree. On the first read all own partitions are blocked, because an
// earlier incarnation of this entry may have lent them.
func (m *Manager) ApplyRow(now time.Duration, assignment Assignment, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && version < m.version {
		return
	}
	before := Partitions(0)
	if m.loaded {
		before = m.assignment.OwnedBy(m.self)
	}
	gained := assignment.OwnedBy(m.self) &^ before
	for i := range PartitionCount {
		if gained.Has(i) && (!m.loaded || !assignment.LoanFree.Has(i)) {
			m.blockedUntil[i] = now + LoanDuration + ClockDriftMargin
		} else if gained.Has(i) {
			m.blockedUntil[i] = 0
		}
	}
	if version > m.version && !m.leaving {
		m.transferring = 0
	}
	m.assignment, m.version, m.loaded = assignment.clone(), version, true
	// A partition that this entry now owns is no longer borrowed as well:
	// otherwise it could be lent and used at the same time.
	assignment.OwnedBy(m.self).each(func(i int) { m.borrowed[i] = nil })
	m.applyLimit(now)
}

// RecordWrite updates the state after this entry has written row successfully. An
// entry uses its own partitions only after its first successful write.
func (m *Manager) RecordWrite(now time.Duration, row Assignment, version uint64) {
	m.mu.Lock()
	m.fenced = true
	m.mu.Unlock()
	m.ApplyRow(now, row, version)
}

// ClearBlocked ends the wait for loans of an earlier owner or incarnation after
// every member of the row was asked. held lists the partitions that each member
// still borrows; these count as lent by this entry and are recalled.
func (m *Manager) ClearBlocked(now time.Duration, held map[string]Partitions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.assignment.OwnedBy(m.self)
	for i := range PartitionCount {
		if !own.Has(i) || m.blockedUntil[i] == 0 {
			continue
		}
		m.blockedUntil[i] = 0
		for peer, s := range held {
			if s.Has(i) {
				m.lent[i] = &loan{peer: peer, expires: now + LoanDuration + ClockDriftMargin, returning: true}
			}
		}
	}
	m.applyLimit(now)
}

// HasBlocked reports whether any own partition may still be lent by an earlier
// owner.
func (m *Manager) HasBlocked(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.assignment.OwnedBy(m.self)
	for i := range PartitionCount {
		if own.Has(i) && m.blockedUntil[i] > now {
			return true
		}
	}
	return false
}

// ExpireLoans removes the loans that have ended by now.
func (m *Manager) ExpireLoans(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range PartitionCount {
		if l := m.lent[i]; l != nil && l.expires <= now {
			m.lent[i] = nil
		}
		if l := m.borrowed[i]; l != nil && l.expires <= now {
			m.borrowed[i] = nil
		}
	}
	m.applyLimit(now)
}

// UsablePartitions returns the partitions that accept new requests.
func (m *Manager) UsablePartitions(now time.Duration) Partitions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usable(now)
}

func (m *Manager) usable(now time.Duration) Partitions {
	return m.available(now) | m.usableBorrowed(now)
}

// available returns the own partitions that are not lent, given away or
// blocked.
func (m *Manager) available(now time.Duration) Partitions {
	if !m.fenced {
		return 0
	}
	s := m.assignment.OwnedBy(m.self) &^ m.transferring
	for i := range PartitionCount {
		if m.lent[i] != nil || m.blockedUntil[i] > now {
			s &^= 1 << i
		}
	}
	return s
}

// usableBorrowed returns the borrowed partitions that accept new requests.
func (m *Manager) usableBorrowed(now time.Duration) Partitions {
	var s Partitions
	for i, l := range m.borrowed {
		if l != nil && !l.returning && l.expires-now >= MaxRequestDuration {
			s |= 1 << i
		}
	}
	return s
}

// applyLimit limits the pool to the usable partitions and reports whether the
// capacity in use is within them.
func (m *Manager) applyLimit(now time.Duration) bool { return m.pool.Limit(m.usable(now)) }

// tryShrink removes s from the pool's limit and reports true if the capacity in
// use fits into the rest. Otherwise it restores the limit and reports false.
func (m *Manager) tryShrink(now time.Duration, s Partitions) bool {
	usable := m.usable(now)
	if m.pool.Limit(usable &^ s) {
		return true
	}
	m.pool.Limit(usable)
	return false
}
