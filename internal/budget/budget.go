package budget

import (
	"sync"
	"time"

	"skylarkport/internal/result"
)

const (
	// leavingFraction is the part of a share for those that were evicted and have not let go yet.
	leavingFraction = 8
	// reserveFraction is the part of the rest that only small holders may use.
	reserveFraction = 4
	// smallMultiple is how many times its first bytes a small holder has at the most.
	smallMultiple = 2
)

// Errors of the methods of Budget and Holder. Nothing was taken.
var (
	// ErrExhausted means that there is no room, and none can be made at once.
	ErrExhausted = &result.Error{Code: result.Overloaded, Detail: "no memory is left for the request"}
	// ErrEvicted means that the holder had to make room for others.
	ErrEvicted = &result.Error{Code: result.Overloaded, Detail: "the request made room for others"}
)

// Share is what one group of clients may hold.
type Share struct {
	Bytes   int64
	Holders int
}

// Stats counts what a budget has decided.
type Stats struct {
	Held    int64 // bytes, including those of evicted holders that have not let go
	Holders int   // likewise
	Refused int64 // holders and takes that got no room
	Evicted int64 // holders that made room for others
}

// amount is a number of holders and their bytes.
type amount struct {
	holders int
	bytes   int64
}

// Budget accounts for what one group of clients holds. What is held never exceeds the share, except for one holder
// that was evicted and has not let go.
type Budget struct {
	share Share
	now   func() time.Duration // a monotonic clock

	mu      sync.Mutex
	holders []*Holder
	live    amount
	leaving amount // evicted holders that have not let go
	stats   Stats
}

// New returns a budget of which nothing is used.
func New(s Share) *Budget {
	start := time.Now()
	return &Budget{share: s, now: func() time.Duration { return time.Since(start) }}
}

// Share returns the limits of the budget.
func (b *Budget) Share() Share { return b.share }

// Stats returns the current counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Held, s.Holders = b.live.bytes+b.leaving.bytes, len(b.holders)
	return s
}

// Open adds a holder of base bytes, which it has until Close. If there is no room, others make room. The function
// evict must end the work of the holder, which then calls Close, and must not block. The error is ErrExhausted.
func (b *Budget) Open(base int64, evict func()) (*Holder, error) {
	h := &Holder{budget: b, evict: evict, base: base}
	b.mu.Lock()
	h.since = b.now()
	victims, ok := b.makeRoom(h, amount{1, base})
	if ok {
		h.held = base
		h.index = len(b.holders)
		b.holders = append(b.holders, h)
		b.live.holders++
		b.live.bytes += base
	}
	b.mu.Unlock()
	end(victims)
	if !ok {
		return nil, ErrExhausted
	}
	return h, nil
}

// end ends the work of evicted holders.
func end(victims []*Holder) {
	for _, v := range victims {
		v.evict()
	}
}

// leavingLimit returns what evicted holders may hold.
func (b *Budget) leavingLimit() amount {
	return amount{max(1, b.share.Holders/leavingFraction), b.share.Bytes / leavingFraction}
}

// limitFor returns what may be held in all if a holder has held bytes, of which base were its first.
func (b *Budget) limitFor(held, base int64) amount {
	l := b.leavingLimit()
	limit := amount{max(1, b.share.Holders-l.holders), b.share.Bytes - l.bytes}
	if held > smallMultiple*base {
		limit.bytes -= limit.bytes / reserveFraction
	}
	return limit
}

// makeRoom evicts holders so that h can have more, those with the largest rent first. It evicts none if those with
// a larger rent than h don't suffice. The caller holds the lock, and ends the work of the holders returned.
func (b *Budget) makeRoom(h *Holder, more amount) ([]*Holder, bool) {
	limit := b.limitFor(h.held+more.bytes, h.base)
	short := amount{b.live.holders + more.holders - limit.holders, b.live.bytes + more.bytes - limit.bytes}
	if short.holders <= 0 && short.bytes <= 0 {
		return nil, true
	}
	now := b.now()
	leaving := b.leaving
	bound := b.leavingLimit()
	var victims []*Holder
	for short.holders > 0 || short.bytes > 0 {
		v := b.largestRent(now, h, more.bytes, victims)
		if v == nil {
			b.stats.Refused++
			return nil, false
		}
		leaving.holders++
		leaving.bytes += v.held
		if leaving.holders > 1 && (leaving.holders > bound.holders || leaving.bytes > bound.bytes) {
			b.stats.Refused++
			return nil, false
		}
		short.holders--
		short.bytes -= v.held
		victims = append(victims, v)
	}
	for _, v := range victims {
		v.state = evicted
		b.live.holders--
		b.live.bytes -= v.held
	}
	b.leaving = leaving
	b.stats.Evicted += int64(len(victims))
	return victims, true
}

// largestRent returns the evictable holder with the largest rent among those that are not chosen yet, or nil if
// there is none whose rent exceeds that of h with more bytes.
func (b *Budget) largestRent(now time.Duration, h *Holder, more int64, chosen []*Holder) *Holder {
	var out *Holder
	largest := h.rent(now, more)
search:
	for _, v := range b.holders {
		if v == h || v.state != evictable {
			continue
		}
		r := v.rent(now, 0)
		if r <= largest {
			continue
		}
		for _, c := range chosen {
			if c == v {
				continue search
			}
		}
		out, largest = v, r
	}
	return out
}
