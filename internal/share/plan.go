package share

import "time"

// NewAssignment returns the first row of a zone, in which instance id owns every
// partition.
func NewAssignment(id string) Assignment {
	d := Assignment{Members: []string{id}}
	d.assign(AllPartitions, id, true)
	return d
}

// PlanWrite returns the row that this entry should write next, and whether there is
// a change to write. The row fences earlier incarnations, adds this entry as a
// member, gives away partitions above its fair share, and removes the members
// in gone. The write must be conditional on the returned version. This entry
// stops using the partitions that it gives away before PlanWrite returns.
func (h *Manager) PlanWrite(now time.Duration, gone []string) (d Assignment, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || h.leaving {
		return d, 0, false
	}
	d = h.assignment.clone()
	change = !h.fenced
	if !d.IsMember(h.self) {
		d.addMember(h.self)
		change = true
	}
	for _, id := range gone {
		if id != h.self && (d.IsMember(id) || d.OwnedBy(id) != 0) {
			d.removeMember(id, false)
			change = true
		}
	}
	if s := d.OwnedBy(""); s != 0 {
		d.distribute(s, false)
		change = true
	}
	if s := h.planTransfer(now, d.excess(h.self)); s != 0 {
		d.distribute(s, true)
		change = true
	}
	return d, h.version, change
}

// planTransfer stops using up to n own partitions and returns them. If a
// pending write gives partitions away already, it returns those instead.
func (h *Manager) planTransfer(now time.Duration, n int) Partitions {
	if h.transferring != 0 {
		return h.transferring
	}
	available := h.available(now)
	for n = min(n, available.Len()); n > 0; n /= 2 {
		s := available.Lowest(n)
		if h.tryShrink(now, s) {
			h.transferring = s
			return s
		}
	}
	return 0
}

// RecordRefusedWrite is called when the platform refused a write planned for version. The
// partitions that it would have given away are used again, unless the response
// to an earlier write for the same version was lost: that write may still take
// effect.
func (h *Manager) RecordRefusedWrite(now time.Duration, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version == version && h.uncertainVersion != version && !h.leaving {
		h.transferring = 0
		h.applyLimit(now)
	}
}

// RecordUncertainWrite is called when the response to a write planned for version was lost.
func (h *Manager) RecordUncertainWrite(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uncertainVersion = version
}

// PlanLeave returns the row without this entry, to be written at the end of a
// shutdown, when no capacity is in use any more. Partitions that are lent go to
// other members too, but are not added to LoanFree, so that the new owners wait
// for the loans to end.
func (h *Manager) PlanLeave(now time.Duration) (d Assignment, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || !h.assignment.IsMember(h.self) {
		return d, 0, false
	}
	h.leaving = true
	own := h.assignment.OwnedBy(h.self)
	var loanFree Partitions
	for i := range PartitionCount {
		if own.Has(i) && h.lent[i] == nil && h.blockedUntil[i] <= now {
			loanFree |= 1 << i
		}
	}
	h.transferring = own
	h.applyLimit(now)
	d = h.assignment.clone()
	d.removeMember(h.self, false)
	d.LoanFree |= loanFree
	return d, h.version, true
}
