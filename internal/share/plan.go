package share

import "time"

// NewAssignment returns the first row of a zone, in which instance id owns every
// partition.
func NewAssignment(id string) Assignment {
	a := Assignment{Members: []string{id}}
	a.assign(AllPartitions, id, true)
	return a
}

// PlanWrite returns the row that this entry should write next, and whether there is
// a change to write. The row fences earlier incarnations, adds this entry as a
// member, gives away partitions above its fair share, and removes the members
// in gone. The write must be conditional on the returned version. This entry
// stops using the partitions that it gives away before PlanWrite returns.
func (m *Manager) PlanWrite(now time.Duration, gone []string) (a Assignment, version uint64, change bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.leaving {
		return a, 0, false
	}
	a = m.assignment.clone()
	change = !m.fenced
	if !a.IsMember(m.self) {
		a.addMember(m.self)
		change = true
	}
	for _, id := range gone {
		if id != m.self && (a.IsMember(id) || a.OwnedBy(id) != 0) {
			a.removeMember(id, false)
			change = true
		}
	}
	if s := a.OwnedBy(""); s != 0 {
		a.distribute(s, false)
		change = true
	}
	if s := m.planTransfer(now, a.excess(m.self)); s != 0 {
		a.distribute(s, true)
		change = true
	}
	return a, m.version, change
}

// planTransfer stops using up to n own partitions and returns them. If a
// pending write gives partitions away already, it returns those instead.
func (m *Manager) planTransfer(now time.Duration, n int) Partitions {
	if m.transferring != 0 {
		return m.transferring
	}
	available := m.available(now)
	for n = min(n, available.Len()); n > 0; n /= 2 {
		s := available.Lowest(n)
		if m.tryShrink(now, s) {
			m.transferring = s
			return s
		}
	}
	return 0
}

// RecordRefusedWrite is called when the platform refused a write planned for version. The
// partitions that it would have given away are used again, unless the response
// to an earlier write for the same version was lost: that write may still take
// effect.
func (m *Manager) RecordRefusedWrite(now time.Duration, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == version && m.uncertainVersion != version && !m.leaving {
		m.transferring = 0
		m.applyLimit(now)
	}
}

// RecordUncertainWrite is called when the response to a write planned for version was lost.
func (m *Manager) RecordUncertainWrite(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uncertainVersion = version
}

// PlanLeave returns the row without this entry, to be written at the end of a
// shutdown, when no capacity is in use any more. Partitions that are lent go to
// other members too, but are not added to LoanFree, so that the new owners wait
// for the loans to end.
func (m *Manager) PlanLeave(now time.Duration) (a Assignment, version uint64, change bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || !m.assignment.IsMember(m.self) {
		return a, 0, false
	}
	m.leaving = true
	own := m.assignment.OwnedBy(m.self)
	var loanFree Partitions
	for i := range PartitionCount {
		if own.Has(i) && m.lent[i] == nil && m.blockedUntil[i] <= now {
			loanFree |= 1 << i
		}
	}
	m.transferring = own
	m.applyLimit(now)
	a = m.assignment.clone()
	a.removeMember(m.self, false)
	a.LoanFree |= loanFree
	return a, m.version, true
}
