package budget

import "time"

// state says whether a holder can be evicted.
type state uint8

const (
	evictable state = iota // its request is incomplete, or its client does not read the response
	pinned                 // its request is complete and is being handled
	evicted                // its work is being ended
)

// Holder holds bytes of a budget for one connection. All methods accept a nil Holder, which is not bounded.
type Holder struct {
	budget *Budget
	evict  func()
	base   int64

	// Under the lock of the budget:
	index int // in Budget.holders
	held  int64
	since time.Duration // when the current request began
	state state
}

// rent returns the bytes of the holder, and more in addition, times the time for which it has held them.
func (h *Holder) rent(now time.Duration, more int64) float64 {
	return float64(h.held+more) * float64(now-h.since)
}

// Take takes n bytes. If there is no room, others make room whose bytes times the time is larger. The error is
// ErrExhausted or ErrEvicted.
func (h *Holder) Take(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	if h.state == evicted {
		b.mu.Unlock()
		return ErrEvicted
	}
	victims, ok := b.makeRoom(h, amount{bytes: n})
	if ok {
		h.held += n
		b.live.bytes += n
	}
	b.mu.Unlock()
	end(victims)
	if !ok {
		return ErrExhausted
	}
	return nil
}

// Give gives back n bytes.
func (h *Holder) Give(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.giveLocked(n)
}

func (h *Holder) giveLocked(n int64) {
	h.held -= n
	if h.state == evicted {
		h.budget.leaving.bytes -= n
		return
	}
	h.budget.live.bytes -= n
}

// Pin keeps the holder from being evicted. The error is ErrEvicted.
func (h *Holder) Pin() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == evicted {
		return ErrEvicted
	}
	h.state = pinned
	return nil
}

// Unpin lets the holder be evicted, and begins a new time of holding.
func (h *Holder) Unpin() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.since = h.budget.now()
	if h.state == pinned {
		h.state = evictable
	}
}

// Restart begins a new time of holding.
func (h *Holder) Restart() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.since = h.budget.now()
}

// Reset gives back all but the first bytes and keep more, lets the holder be evicted, and begins a new time of
// holding.
func (h *Holder) Reset(keep int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.giveLocked(max(0, h.held-h.base-keep))
	h.since = h.budget.now()
	if h.state == pinned {
		h.state = evictable
	}
}

// Evicted reports whether the holder had to make room for others.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state == evicted
}

// Close removes the holder and gives back all of its bytes. It may be called once.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.giveLocked(h.held)
	if h.state == evicted {
		b.leaving.holders--
	} else {
		b.live.holders--
	}
	last := len(b.holders) - 1
	b.holders[h.index] = b.holders[last]
	b.holders[h.index].index = h.index
	b.holders[last] = nil
	b.holders = b.holders[:last]
}
