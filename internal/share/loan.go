package share

import "time"

// Loan names seats under one loan between two entries.
type Loan struct {
	ID    uint64 `json:"id"`
	Seats Seats  `json:"seats"`
}

// Lend lends up to want seats that are idle here to a member of the zone. A
// loan without seats is none.
func (h *Holder) Lend(now time.Duration, to string, want int) Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.row.Member(to) || to == h.self {
		return Loan{}
	}
	free := h.free(now)
	spare := free &^ free.kept()
	for n := min(want, spare.Len()); n > 0; n /= 2 {
		s := spare.First(n)
		if !h.shrink(now, s) {
			continue
		}
		id := h.nextID
		h.nextID++
		s.each(func(i int) {
			h.lent[i] = &loan{id: id, peer: to, until: now + LoanTime + Drift}
		})
		return Loan{id, s}
	}
	return Loan{}
}

// Asking is called before an entry is asked for a loan, and Borrowed or
// NotBorrowed after.
func (h *Holder) Asking() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking++
}

// NotBorrowed ends a question for a loan that was not granted, or whose answer
// was lost.
func (h *Holder) NotBorrowed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking--
}

// Borrowed takes over the loan l from an entry that was asked at the time
// asked.
func (h *Holder) Borrowed(now, asked time.Duration, from string, l Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking--
	l.Seats.each(func(i int) {
		if h.row.Owners[i] != h.self {
			h.borrowed[i] = &loan{id: l.ID, peer: from, until: asked + LoanTime}
		}
	})
	h.apply(now)
}

// Renew extends the loans to the borrower and returns what stands of them.
func (h *Holder) Renew(now time.Duration, to string, loans []Loan) []Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Loan
	for _, l := range loans {
		stands := Loan{ID: l.ID}
		l.Seats.each(func(i int) {
			if v := h.lent[i]; v.is(to, l.ID) && !v.recall {
				v.until = now + LoanTime + Drift
				stands.Seats |= 1 << i
			}
		})
		out = append(out, stands)
	}
	return out
}

// Renewed takes over the answer to a renewal that was asked at the time asked:
// what does not stand is to be returned.
func (h *Holder) Renewed(now, asked time.Duration, from string, stand []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range stand {
		for i := range SeatCount {
			v := h.borrowed[i]
			switch {
			case !v.is(from, l.ID):
			case l.Seats.Has(i):
				v.until = max(v.until, asked+LoanTime)
			default:
				v.recall = true
			}
		}
	}
	h.apply(now)
}

// Recall marks every seat that was lent as wanted back, and returns the loans
// by borrower.
func (h *Holder) Recall() map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lent {
		if l != nil {
			l.recall = true
		}
	}
	return byPeer(&h.lent)
}

// Recalled stops the use of the borrowed seats that from wants back.
func (h *Holder) Recalled(now time.Duration, from string, loans []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loans {
		l.Seats.each(func(i int) {
			if v := h.borrowed[i]; v.is(from, l.ID) {
				v.recall = true
			}
		})
	}
	h.apply(now)
}

// Drop marks up to n borrowed seats that are idle to be returned.
func (h *Holder) Drop(now time.Duration, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.inUse(now).First(n)
	if s == 0 || !h.shrink(now, s) {
		return
	}
	s.each(func(i int) { h.borrowed[i].recall = true })
}

// Returnable forgets the recalled seats that nothing uses any more, and returns
// them by lender, to be told.
func (h *Holder) Returnable(now time.Duration) map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.apply(now) {
		return nil
	}
	var idle [SeatCount]*loan
	for i, l := range h.borrowed {
		if l != nil && (l.recall || l.until-now < UseTime) {
			idle[i] = l
			h.borrowed[i] = nil
		}
	}
	return byPeer(&idle)
}

// Returned takes back seats that the borrower has stopped using.
func (h *Holder) Returned(now time.Duration, from string, loans []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loans {
		l.Seats.each(func(i int) {
			if h.lent[i].is(from, l.ID) {
				h.lent[i] = nil
			}
		})
	}
	h.apply(now)
}

// Held returns the seats that this entry borrows, from anybody, and false while
// it waits for the answer to a question for more.
func (h *Holder) Held() (Seats, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var s Seats
	for i, l := range h.borrowed {
		if l != nil {
			s |= 1 << i
		}
	}
	return s, h.asking == 0
}

// Renewable returns the borrowed seats that are still wanted, by lender.
func (h *Holder) Renewable() map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wanted [SeatCount]*loan
	for i, l := range h.borrowed {
		if l != nil && !l.recall {
			wanted[i] = l
		}
	}
	return byPeer(&wanted)
}

// Lent returns the seats that are lent.
func (h *Holder) Lent() Seats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lentSeats()
}

func (h *Holder) lentSeats() Seats {
	var s Seats
	for i, l := range h.lent {
		if l != nil {
			s |= 1 << i
		}
	}
	return s
}

// is reports whether l is the loan id with peer.
func (l *loan) is(peer string, id uint64) bool {
	return l != nil && l.peer == peer && l.id == id
}

// byPeer groups loans by the other side.
func byPeer(loans *[SeatCount]*loan) map[string][]Loan {
	out := make(map[string][]Loan)
	for i, l := range loans {
		if l != nil {
			out[l.peer] = add(out[l.peer], l.id, 1<<i)
		}
	}
	return out
}

func add(loans []Loan, id uint64, s Seats) []Loan {
	for i := range loans {
		if loans[i].ID == id {
			loans[i].Seats |= s
			return loans
		}
	}
	return append(loans, Loan{id, s})
}
