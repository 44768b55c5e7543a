package share

import "time"

// Loan identifies the partitions of one loan between two entries.
type Loan struct {
	ID         uint64     `json:"id"`
	Partitions Partitions `json:"seats"`
}

// Lend lends up to want idle partitions to the member to. It returns a Loan
// without partitions if it lends none.
func (m *Manager) Lend(now time.Duration, to string, want int) Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.assignment.IsMember(to) || to == m.self {
		return Loan{}
	}
	available := m.available(now)
	lendable := available &^ available.reserve()
	for n := min(want, lendable.Len()); n > 0; n /= 2 {
		s := lendable.Lowest(n)
		if !m.tryShrink(now, s) {
			continue
		}
		id := m.nextLoanID
		m.nextLoanID++
		s.each(func(i int) {
			m.lent[i] = &loan{id: id, peer: to, expires: now + LoanDuration + ClockDriftMargin}
		})
		return Loan{id, s}
	}
	return Loan{}
}

// BeginBorrow is called before a loan request is sent. Each call is followed by one
// call of CompleteBorrow or AbortBorrow.
func (m *Manager) BeginBorrow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingRequests++
}

// AbortBorrow ends a loan request that was refused or whose response was lost.
func (m *Manager) AbortBorrow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingRequests--
}

// CompleteBorrow records the loan l granted by the entry from. asked is the time
// before the request was sent.
func (m *Manager) CompleteBorrow(now, asked time.Duration, from string, l Loan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingRequests--
	l.Partitions.each(func(i int) {
		if m.assignment.Owners[i] != m.self {
			m.borrowed[i] = &loan{id: l.ID, peer: from, expires: asked + LoanDuration}
		}
	})
	m.applyLimit(now)
}

// Renew extends loans to the borrower to. It returns them with the partitions
// that were extended: those not recalled and still lent under the same loan.
func (m *Manager) Renew(now time.Duration, to string, loans []Loan) []Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var renewed []Loan
	for _, l := range loans {
		extended := Loan{ID: l.ID}
		l.Partitions.each(func(i int) {
			if v := m.lent[i]; v.matches(to, l.ID) && !v.returning {
				v.expires = now + LoanDuration + ClockDriftMargin
				extended.Partitions |= 1 << i
			}
		})
		renewed = append(renewed, extended)
	}
	return renewed
}

// HandleRenewal records the response to a renewal request sent at the time asked. The
// borrowed partitions that the lender did not extend are marked for return.
func (m *Manager) HandleRenewal(now, asked time.Duration, from string, renewed []Loan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range renewed {
		for i := range PartitionCount {
			v := m.borrowed[i]
			switch {
			case !v.matches(from, l.ID):
			case l.Partitions.Has(i):
				v.expires = max(v.expires, asked+LoanDuration)
			default:
				v.returning = true
			}
		}
	}
	m.applyLimit(now)
}

// Recall marks every lent partition as recalled, so that it is not renewed, and
// returns the loans by borrower.
func (m *Manager) Recall() map[string][]Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.lent {
		if l != nil {
			l.returning = true
		}
	}
	return groupByPeer(&m.lent)
}

// HandleRecall stops the use of the borrowed partitions that the lender from has
// recalled.
func (m *Manager) HandleRecall(now time.Duration, from string, loans []Loan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range loans {
		l.Partitions.each(func(i int) {
			if v := m.borrowed[i]; v.matches(from, l.ID) {
				v.returning = true
			}
		})
	}
	m.applyLimit(now)
}

// ReleaseIdleBorrowed marks up to n idle borrowed partitions for return. It marks none if the
// capacity in use does not fit into the remaining partitions.
func (m *Manager) ReleaseIdleBorrowed(now time.Duration, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.usableBorrowed(now).Lowest(n)
	if s == 0 || !m.tryShrink(now, s) {
		return
	}
	s.each(func(i int) { m.borrowed[i].returning = true })
}

// TakeReturnable removes the borrowed partitions that are recalled or near the end
// of their loan, and returns them by lender, so that the caller can notify the
// lenders. It returns nil while the capacity in use exceeds the usable
// partitions, since a returned partition could still be in use then.
func (m *Manager) TakeReturnable(now time.Duration) map[string][]Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.applyLimit(now) {
		return nil
	}
	var idle [PartitionCount]*loan
	for i, l := range m.borrowed {
		if l != nil && (l.returning || l.expires-now < MaxRequestDuration) {
			idle[i] = l
			m.borrowed[i] = nil
		}
	}
	return groupByPeer(&idle)
}

// HandleReturn ends the loans of partitions that the borrower from has stopped
// using.
func (m *Manager) HandleReturn(now time.Duration, from string, loans []Loan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range loans {
		l.Partitions.each(func(i int) {
			if m.lent[i].matches(from, l.ID) {
				m.lent[i] = nil
			}
		})
	}
	m.applyLimit(now)
}

// BorrowedPartitions returns all partitions that this entry borrows. The second result is
// false while a loan request is unanswered, because the set may then grow.
func (m *Manager) BorrowedPartitions() (Partitions, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var s Partitions
	for i, l := range m.borrowed {
		if l != nil {
			s |= 1 << i
		}
	}
	return s, m.pendingRequests == 0
}

// RenewableLoans returns the borrowed partitions that are not marked for return, by
// lender.
func (m *Manager) RenewableLoans() map[string][]Loan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var wanted [PartitionCount]*loan
	for i, l := range m.borrowed {
		if l != nil && !l.returning {
			wanted[i] = l
		}
	}
	return groupByPeer(&wanted)
}

// LentPartitions returns the partitions that this entry lends.
func (m *Manager) LentPartitions() Partitions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lentPartitionsLocked()
}

// lentPartitionsLocked is LentPartitions for callers that hold m.mu.
func (m *Manager) lentPartitionsLocked() Partitions {
	var s Partitions
	for i, l := range m.lent {
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
func groupByPeer(loans *[PartitionCount]*loan) map[string][]Loan {
	out := make(map[string][]Loan)
	for i, l := range loans {
		if l != nil {
			out[l.peer] = addToLoan(out[l.peer], l.id, 1<<i)
		}
	}
	return out
}

// addToLoan adds s to the loan id in loans.
func addToLoan(loans []Loan, id uint64, s Partitions) []Loan {
	for i := range loans {
		if loans[i].ID == id {
			loans[i].Partitions |= s
			return loans
		}
	}
	return append(loans, Loan{id, s})
}
