package share

import "time"

// NewDivision returns the first row of a zone, whose seats are all of id.
func NewDivision(id string) Division {
	d := Division{Members: []string{id}}
	d.give(All, id, true)
	return d
}

// Plan returns the row that this entry wants to write, if it wants a change:
// it fences earlier incarnations, joins, gives away what is more than its part, and removes the members that
// are gone. The write must be conditional on the version that Row returned with
// it. What it gives away is out of use from here on.
func (h *Holder) Plan(now time.Duration, gone []string) (d Division, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || h.left {
		return d, 0, false
	}
	d = h.row.clone()
	change = !h.fenced
	if !d.Member(h.self) {
		d.join(h.self)
		change = true
	}
	for _, id := range gone {
		if id != h.self && (d.Member(id) || d.Of(id) != 0) {
			d.remove(id, false)
			change = true
		}
	}
	if s := d.Of(""); s != 0 {
		d.spread(s, false)
		change = true
	}
	if s := h.give(now, d.excess(h.self)); s != 0 {
		d.spread(s, true)
		change = true
	}
	return d, h.version, change
}

// give takes up to n own seats out of use, and those that a write on its way
// gives away already.
func (h *Holder) give(now time.Duration, n int) Seats {
	if h.giving != 0 {
		return h.giving
	}
	free := h.free(now)
	for n = min(n, free.Len()); n > 0; n /= 2 {
		s := free.First(n)
		if h.shrink(now, s) {
			h.giving = s
			return s
		}
	}
	return 0
}

// Refused is called when the platform refused a write planned for version. Its
// seats come back into use, unless the answer to an earlier write for the same
// version was lost: that one may still take effect.
func (h *Holder) Refused(now time.Duration, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version == version && h.unknown != version && !h.left {
		h.giving = 0
		h.apply(now)
	}
}

// Unknown is called when the answer to a write planned for version was lost.
func (h *Holder) Unknown(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unknown = version
}

// PlanLeave returns the row without this entry, for the end of a shutdown.
// Seats that are still lent go with their loans. Nothing is in use any more when
// it is called.
func (h *Holder) PlanLeave(now time.Duration) (d Division, version uint64, change bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known || !h.row.Member(h.self) {
		return d, 0, false
	}
	h.left = true
	own := h.row.Of(h.self)
	var clean Seats
	for i := range SeatCount {
		if own.Has(i) && h.lent[i] == nil && h.blocked[i] <= now {
			clean |= 1 << i
		}
	}
	h.giving = own
	h.apply(now)
	d = h.row.clone()
	d.remove(h.self, false)
	d.Clean |= clean
	return d, h.version, true
}
