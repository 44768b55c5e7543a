package share

import (
	"sync"
	"time"
)

// Times of loans. All are on the monotonic clock of whoever counts them.
const (
	// LoanTime is how long a loan lasts without renewal, counted by the
	// borrower from before it asked.
	LoanTime = 60 * time.Second
	// UseTime bounds a request. A borrowed seat takes no new request when
	// less than this is left of its loan, so that none outlives the loan.
	UseTime = 31 * time.Second
	// Drift is added by the lender for clocks that run apart.
	Drift = LoanTime / 100
	// RenewEvery is how often a borrower renews what it holds.
	RenewEvery = 5 * time.Second
	// keepPart is the number of seats that a lender keeps where it can, one of
	// each remainder, so that it keeps a slot of every worker of eight slots.
	keepPart = 8
)

// Pool is what the seats stand for: the slots and connections of the zone's
// workers at this entry.
type Pool interface {
	// Limit sets what this entry may use to the part of s, and reports
	// whether no more than that is in use now.
	Limit(s Seats) bool
}

// loan is a seat that was lent or borrowed.
type loan struct {
	id     uint64        // given by the lender, never twice
	peer   string        // the other side, an instance
	until  time.Duration // monotonic
	recall bool
}

// Holder is one entry's part of the zone's seats. It decides; the caller reads
// and writes the row and carries the messages. It is safe for concurrent use.
type Holder struct {
	self string
	pool Pool

	mu       sync.Mutex
	row      Division
	version  uint64
	known    bool
	fenced   bool                     // this incarnation has written the row, so no write of an earlier one can follow
	blocked  [SeatCount]time.Duration // own seat that may still be lent by an earlier owner, until then
	lent     [SeatCount]*loan
	borrowed [SeatCount]*loan
	asking   int    // questions for a loan that are not answered yet
	nextID   uint64 // of the next loan
	// giving holds own seats that a write on its way gives away. A write
	// whose answer was lost may take effect until the row has a new version.
	giving  Seats
	unknown uint64 // version for which a write's answer was lost
	left    bool   // PlanLeave was called
}

// NewHolder returns the holder of the instance self, without seats. Its loans
// are numbered from firstID on; two incarnations must not use the same numbers.
func NewHolder(self string, firstID uint64, pool Pool) *Holder {
	return &Holder{self: self, nextID: firstID, pool: pool}
}

// Row returns the newest division that was read, and its version.
func (h *Holder) Row() (Division, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row.clone(), h.version, h.known
}

// Read takes over the row as it was read from the platform's table. A row older
// than the one held is passed over.
func (h *Holder) Read(now time.Duration, row Division, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && version < h.version {
		return
	}
	before := Seats(0)
	if h.known {
		before = h.row.Of(h.self)
	}
	gained := row.Of(h.self) &^ before
	for i := range SeatCount {
		if gained.Has(i) && (!h.known || !row.Clean.Has(i)) {
			h.blocked[i] = now + LoanTime + Drift
		} else if gained.Has(i) {
			h.blocked[i] = 0
		}
	}
	if version > h.version && !h.left {
		h.giving = 0
	}
	h.row, h.version, h.known = row.clone(), version, true
	// A seat that is owned now is used, given and lent as an own one only.
	row.Of(h.self).each(func(i int) { h.borrowed[i] = nil })
	h.apply(now)
}

// Wrote takes over the row that this holder has written with success.
func (h *Holder) Wrote(now time.Duration, row Division, version uint64) {
	h.mu.Lock()
	h.fenced = true
	h.mu.Unlock()
	h.Read(now, row, version)
}

// Cleared ends the wait for loans of an earlier owner or incarnation, after
// every member of the row was asked: held are the seats that each still
// borrows.
func (h *Holder) Cleared(now time.Duration, held map[string]Seats) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.row.Of(h.self)
	for i := range SeatCount {
		if !own.Has(i) || h.blocked[i] == 0 {
			continue
		}
		h.blocked[i] = 0
		for peer, s := range held {
			if s.Has(i) {
				h.lent[i] = &loan{peer: peer, until: now + LoanTime + Drift, recall: true}
			}
		}
	}
	h.apply(now)
}

// Blocked reports whether own seats wait for loans of an earlier owner.
func (h *Holder) Blocked(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.row.Of(h.self)
	for i := range SeatCount {
		if own.Has(i) && h.blocked[i] > now {
			return true
		}
	}
	return false
}

// Tick lets time pass: loans end.
func (h *Holder) Tick(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range SeatCount {
		if l := h.lent[i]; l != nil && l.until <= now {
			h.lent[i] = nil
		}
		if l := h.borrowed[i]; l != nil && l.until <= now {
			h.borrowed[i] = nil
		}
	}
	h.apply(now)
}

// Usable returns the seats that take new requests.
func (h *Holder) Usable(now time.Duration) Seats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable(now)
}

func (h *Holder) usable(now time.Duration) Seats {
	return h.free(now) | h.inUse(now)
}

// free returns the own seats that are neither lent, given nor blocked.
func (h *Holder) free(now time.Duration) Seats {
	if !h.fenced {
		return 0
	}
	s := h.row.Of(h.self) &^ h.giving
	for i := range SeatCount {
		if h.lent[i] != nil || h.blocked[i] > now {
			s &^= 1 << i
		}
	}
	return s
}

// inUse returns the borrowed seats that take new requests.
func (h *Holder) inUse(now time.Duration) Seats {
	var s Seats
	for i, l := range h.borrowed {
		if l != nil && !l.recall && l.until-now >= UseTime {
			s |= 1 << i
		}
	}
	return s
}

func (h *Holder) apply(now time.Duration) bool { return h.pool.Limit(h.usable(now)) }

// shrink stops using s and reports whether nothing of it is in use any more.
// Where something is, s is used on.
func (h *Holder) shrink(now time.Duration, s Seats) bool {
	usable := h.usable(now)
	if h.pool.Limit(usable &^ s) {
		return true
	}
	h.pool.Limit(usable)
	return false
}
