package share

import "time"

// Loan identifies the partitions of one loan between two entries.
type Loan struct {
	ID    uint64 `json:"id"`
	Seats Seats  `json:"seats"`
}

// Lend lends up to want idle partitions to the member to. It returns a Loan
// without partitions if it lends none.
func (h *Holder) Lend(now time.Duration, to string, want int) Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.division.Member(to) || to == h.self {
		return Loan{}
	}
	available := h.available(now)
	lendable := available &^ available.reserve()
	for n := min(want, lendable.Len()); n > 0; n /= 2 {
		s := lendable.First(n)
		if !h.tryShrink(now, s) {
			continue
		}
		id := h.nextLoanID
		h.nextLoanID++
		s.each(func(i int) {
			h.lent[i] = &loan{id: id, peer: to, expires: now + LoanTime + Drift}
		})
		return Loan{id, s}
	}
	return Loan{}
}

// Asking is called before a loan request is sent. Each call is followed by one
// call of Borrowed or NotBorrowed.
func (h *Holder) Asking() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingRequests++
}

// NotBorrowed ends a loan request that was refused or whose response was lost.
func (h *Holder) NotBorrowed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingRequests--
}

// Borrowed records the loan l granted by the entry from. asked is the time
// before the request was sent.
func (h *Holder) Borrowed(now, asked time.Duration, from string, l Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingRequests--
	l.Seats.each(func(i int) {
		if h.division.Owners[i] != h.self {
			h.borrowed[i] = &loan{id: l.ID, peer: from, expires: asked + LoanTime}
		}
	})
	h.applyLimit(now)
}

// Renew extends loans to the borrower to. It returns them with the partitions
// that were extended: those not recalled and still lent under the same loan.
func (h *Holder) Renew(now time.Duration, to string, loans []Loan) []Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var renewed []Loan
	for _, l := range loans {
		extended := Loan{ID: l.ID}
		l.Seats.each(func(i int) {
			if v := h.lent[i]; v.matches(to, l.ID) && !v.returning {
				v.expires = now + LoanTime + Drift
				extended.Seats |= 1 << i
			}
		})
		renewed = append(renewed, extended)
	}
	return renewed
}

// Renewed records the response to a renewal request sent at the time asked. The
// borrowed partitions that the lender did not extend are marked for return.
func (h *Holder) Renewed(now, asked time.Duration, from string, renewed []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range renewed {
		for i := range SeatCount {
			v := h.borrowed[i]
			switch {
			case !v.matches(from, l.ID):
			case l.Seats.Has(i):
				v.expires = max(v.expires, asked+LoanTime)
			default:
				v.returning = true
			}
		}
	}
	h.applyLimit(now)
}

// Recall marks every lent partition as recalled, so that it is not renewed, and
// returns the loans by borrower.
func (h *Holder) Recall() map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lent {
		if l != nil {
			l.returning = true
		}
	}
	return groupByPeer(&h.lent)
}

// Recalled stops the use of the borrowed partitions that the lender from has
// recalled.
func (h *Holder) Recalled(now time.Duration, from string, loans []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loans {
		l.Seats.each(func(i int) {
			if v := h.borrowed[i]; v.matches(from, l.ID) {
				v.returning = true
			}
		})
	}
	h.applyLimit(now)
}

// Drop marks up to n idle borrowed partitions for return. It marks none if the
// capacity in use does not fit into the remaining partitions.
func (h *Holder) Drop(now time.Duration, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.usableBorrowed(now).First(n)
	if s == 0 || !h.tryShrink(now, s) {
		return
	}
	s.each(func(i int) { h.borrowed[i].returning = true })
}

// Returnable removes the borrowed partitions that are recalled or near the end
// of their loan, and returns them by lender, so that the caller can notify the
// lenders. It returns nil while the capacity in use exceeds the usable
// partitions, since a returned partition could still be in use then.
func (h *Holder) Returnable(now time.Duration) map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.applyLimit(now) {
		return nil
	}
	var idle [SeatCount]*loan
	for i, l := range h.borrowed {
		if l != nil && (l.returning || l.expires-now < UseTime) {
			idle[i] = l
			h.borrowed[i] = nil
		}
	}
	return groupByPeer(&idle)
}

// Returned ends the loans of partitions that the borrower from has stopped
// using.
func (h *Holder) Returned(now time.Duration, from string, loans []Loan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range loans {
		l.Seats.each(func(i int) {
			if h.lent[i].matches(from, l.ID) {
				h.lent[i] = nil
			}
		})
	}
	h.applyLimit(now)
}

// Held returns all partitions that this entry borrows. The second result is
// false while a loan request is unanswered, because the set may then grow.
func (h *Holder) Held() (Seats, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var s Seats
	for i, l := range h.borrowed {
		if l != nil {
			s |= 1 << i
		}
	}
	return s, h.pendingRequests == 0
}

// Renewable returns the borrowed partitions that are not marked for return, by
// lender.
func (h *Holder) Renewable() map[string][]Loan {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wanted [SeatCount]*loan
	for i, l := range h.borrowed {
		if l != nil && !l.returning {
			wanted[i] = l
		}
	}
	return groupByPeer(&wanted)
}

// Lent returns the partitions that this entry lends.
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

// matches reports whether l belongs to the loan id with peer. l may be nil.
func (l *loan) matches(peer string, id uint64) bool {
	return l != nil && l.peer == peer && l.id == id
}

// groupByPeer groups loans by the instance on the other side.
func groupByPeer(loans *[SeatCount]*loan) map[string][]Loan {
	out := make(map[string][]Loan)
	for i, l := range loans {
		if l != nil {
			out[l.peer] = addToLoan(out[l.peer], l.id, 1<<i)
		}
	}
	return out
}

// addToLoan adds s to the loan id in loans.
func addToLoan(loans []Loan, id uint64, s Seats) []Loan {
	for i := range loans {
		if loans[i].ID == id {
			loans[i].Seats |= s
			return loans
		}
	}
	return append(loans, Loan{id, s})
}
