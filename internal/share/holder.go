package share

import (
	"sync"
	"time"
)

// Durations of loans. Each side measures them on its own monotonic clock.
const (
	// LoanTime is how long a loan lasts without renewal. The borrower counts
	// it from the time before it sent the request.
	LoanTime = 60 * time.Second
	// UseTime is the longest duration of a request. A borrowed partition
	// takes no new request when less than this is left of its loan, so that
	// no request outlives the loan.
	UseTime = 31 * time.Second
	// Drift is added to LoanTime by the lender, because the borrower's clock
	// may run slower than its own.
	Drift = LoanTime / 100
	// RenewEvery is the interval at which a borrower renews its loans.
	RenewEvery = 5 * time.Second
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
	Limit(s Seats) bool
}

// loan is the state of one lent or borrowed partition.
type loan struct {
	id        uint64        // assigned by the lender, never reused
	peer      string        // instance on the other side of the loan
	expires   time.Duration // end of the loan on the monotonic clock
	returning bool          // the partition is to be returned
}

// Holder keeps track of the partitions that one entry owns, lends and borrows.
// It does no I/O: the caller reads and writes the row and sends the messages
// between entries. It is safe for concurrent use.
type Holder struct {
	self string
	pool Pool

	mu              sync.Mutex
	division        Division
	version         uint64
	loaded          bool
	fenced          bool                     // this incarnation has written the row, so no write of an earlier one can take effect
	blockedUntil    [SeatCount]time.Duration // time until which an earlier owner may still lend an own partition
	lent            [SeatCount]*loan
	borrowed        [SeatCount]*loan
	pendingRequests int    // loan requests that are not answered yet
	nextLoanID      uint64 // ID of the next loan
	// transferring holds the own partitions that a pending write gives away. A
	// write whose response was lost may still take effect until the row has a
	// new version.
	transferring     Seats
	uncertainVersion uint64 // row version at which the response to a write was lost
	leaving          bool   // PlanLeave was called
}

// NewHolder returns the Holder of the instance self, without partitions. Loan
// IDs start at firstID; two incarnations must not use the same IDs.
func NewHolder(self string, firstID uint64, pool Pool) *Holder {
	return &Holder{self: self, nextLoanID: firstID, pool: pool}
}

// Row returns the newest Division that was read and its version, and false if
// none was read yet.
func (h *Holder) Row() (Division, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.division.clone(), h.version, h.loaded
}

// Read updates the state from a row read from the platform's table. A row older
// than the newest one read is ignored. A partition that this entry gains is
// blocked until the loans of its earlier owner have ended, unless the row marks
// it as Clean. On the first read all own partitions are blocked, because an
// earlier incarnation of this entry may have lent them.
func (h *Holder) Read(now time.Duration, division Division, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loaded && version < h.version {
		return
	}
	before := Seats(0)
	if h.loaded {
		before = h.division.Of(h.self)
	}
	gained := division.Of(h.self) &^ before
	for i := range SeatCount {
		if gained.Has(i) && (!h.loaded || !division.Clean.Has(i)) {
			h.blockedUntil[i] = now + LoanTime + Drift
		} else if gained.Has(i) {
			h.blockedUntil[i] = 0
		}
	}
	if version > h.version && !h.leaving {
		h.transferring = 0
	}
	h.division, h.version, h.loaded = division.clone(), version, true
	// A partition that this entry now owns is no longer borrowed as well:
	// otherwise it could be lent and used at the same time.
	division.Of(h.self).each(func(i int) { h.borrowed[i] = nil })
	h.applyLimit(now)
}

// Wrote updates the state after this entry has written row successfully. An
// entry uses its own partitions only after its first successful write.
func (h *Holder) Wrote(now time.Duration, row Division, version uint64) {
	h.mu.Lock()
	h.fenced = true
	h.mu.Unlock()
	h.Read(now, row, version)
}

// Cleared ends the wait for loans of an earlier owner or incarnation after
// every member of the row was asked. held lists the partitions that each member
// still borrows; these count as lent by this entry and are recalled.
func (h *Holder) Cleared(now time.Duration, held map[string]Seats) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.division.Of(h.self)
	for i := range SeatCount {
		if !own.Has(i) || h.blockedUntil[i] == 0 {
			continue
		}
		h.blockedUntil[i] = 0
		for peer, s := range held {
			if s.Has(i) {
				h.lent[i] = &loan{peer: peer, expires: now + LoanTime + Drift, returning: true}
			}
		}
	}
	h.applyLimit(now)
}

// Blocked reports whether any own partition may still be lent by an earlier
// owner.
func (h *Holder) Blocked(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.division.Of(h.self)
	for i := range SeatCount {
		if own.Has(i) && h.blockedUntil[i] > now {
			return true
		}
	}
	return false
}

// Tick removes the loans that have ended by now.
func (h *Holder) Tick(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range SeatCount {
		if l := h.lent[i]; l != nil && l.expires <= now {
			h.lent[i] = nil
		}
		if l := h.borrowed[i]; l != nil && l.expires <= now {
			h.borrowed[i] = nil
		}
	}
	h.applyLimit(now)
}

// Usable returns the partitions that accept new requests.
func (h *Holder) Usable(now time.Duration) Seats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable(now)
}

func (h *Holder) usable(now time.Duration) Seats {
	return h.available(now) | h.usableBorrowed(now)
}

// available returns the own partitions that are not lent, given away or
// blocked.
func (h *Holder) available(now time.Duration) Seats {
	if !h.fenced {
		return 0
	}
	s := h.division.Of(h.self) &^ h.transferring
	for i := range SeatCount {
		if h.lent[i] != nil || h.blockedUntil[i] > now {
			s &^= 1 << i
		}
	}
	return s
}

// usableBorrowed returns the borrowed partitions that accept new requests.
func (h *Holder) usableBorrowed(now time.Duration) Seats {
	var s Seats
	for i, l := range h.borrowed {
		if l != nil && !l.returning && l.expires-now >= UseTime {
			s |= 1 << i
		}
	}
	return s
}

// applyLimit limits the pool to the usable partitions and reports whether the
// capacity in use is within them.
func (h *Holder) applyLimit(now time.Duration) bool { return h.pool.Limit(h.usable(now)) }

// tryShrink removes s from the pool's limit and reports true if the capacity in
// use fits into the rest. Otherwise it restores the limit and reports false.
func (h *Holder) tryShrink(now time.Duration, s Seats) bool {
	usable := h.usable(now)
	if h.pool.Limit(usable &^ s) {
		return true
	}
	h.pool.Limit(usable)
	return false
}
