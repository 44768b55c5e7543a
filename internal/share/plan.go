package share

import "time"

// NewDivision returns the first row of a zone, in which instance id owns every
// partition.
func NewDivision(id string) Division {
	d := Division{Members: []string{id}}
	d.assign(All, id, true)
	return d
}

// Plan returns the row that this entry should write next, and whether there is
// a change to write. The row fences earlier incarnations, adds this entry as a
// member, gives away partitions above its fair share, and removes the members
// in gone. The write must be conditional on the returned version. This entry
// stops using the partitions that it gives away before Plan returns.
func (h *Holder) Plan(now time.Duration, gone []string) (d Division, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || h.leaving {
		return d, 0, false
	}
	d = h.division.clone()
	change = !h.fenced
	if !d.Member(h.self) {
		d.addMember(h.self)
		change = true
	}
	for _, id := range gone {
		if id != h.self && (d.Member(id) || d.Of(id) != 0) {
			d.removeMember(id, false)
			change = true
		}
	}
	if s := d.Of(""); s != 0 {
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
func (h *Holder) planTransfer(now time.Duration, n int) Seats {
	if h.transferring != 0 {
		return h.transferring
	}
	available := h.available(now)
	for n = min(n, available.Len()); n > 0; n /= 2 {
		s := available.First(n)
		if h.tryShrink(now, s) {
			h.transferring = s
			return s
		}
	}
	return 0
}

// Refused is called when the platform refused a write planned for version. The
// partitions that it would have given away are used again, unless the response
// to an earlier write for the same version was lost: that write may still take
// effect.
func (h *Holder) Refused(now time.Duration, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version == version && h.uncertainVersion != version && !h.leaving {
		h.transferring = 0
		h.applyLimit(now)
	}
}

// Unknown is called when the response to a write planned for version was lost.
func (h *Holder) Unknown(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uncertainVersion = version
}

// PlanLeave returns the row without this entry, to be written at the end of a
// shutdown, when no capacity is in use any more. Partitions that are lent go to
// other members too, without the Clean mark, so that the new owners wait for
// the loans to end.
func (h *Holder) PlanLeave(now time.Duration) (d Division, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || !h.division.Member(h.self) {
		return d, 0, false
	}
	h.leaving = true
	own := h.division.Of(h.self)
	var clean Seats
	for i := range SeatCount {
		if own.Has(i) && h.lent[i] == nil && h.blockedUntil[i] <= now {
			clean |= 1 << i
		}
	}
	h.transferring = own
	h.applyLimit(now)
	d = h.division.clone()
	d.removeMember(h.self, false)
	d.Clean |= clean
	return d, h.version, true
}
