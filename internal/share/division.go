package share

import (
	"encoding/json"
	"slices"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Table is the platform's table with one Division per availability zone. The
// row key is the zone.
const Table = "shares"

// RowKey returns the key of the row of zone.
func RowKey(zone string) contract.Key { return contract.Key{Table: Table, Row: zone} }

// Division says which entry owns which seats of a zone. A seat leaves its owner
// only in a write of the owner itself, after the owner stopped using it, or in
// one of anybody after the platform's list has dropped the owner's instance.
type Division struct {
	Members []string          `json:"members"` // instances that may borrow, ascending
	Owners  [SeatCount]string `json:"owners"`  // instance by seat; empty for none
	// Clean holds the seats that their last owner gave without a loan
	// outstanding. The others may be lent for LoanTime after they changed.
	Clean Seats `json:"clean"`
}

// Decode reads the value of a row.
func Decode(value []byte) (Division, error) {
	var d Division
	if err := json.Unmarshal(value, &d); err != nil {
		return d, result.Wrap(result.Internal, err, "row of shares")
	}
	return d, nil
}

// Encode returns the value of a row.
func (d Division) Encode() []byte {
	b, _ := json.Marshal(d)
	return b
}

// Of returns the seats that id owns.
func (d *Division) Of(id string) Seats {
	var s Seats
	for i, o := range d.Owners {
		if o == id {
			s |= 1 << i
		}
	}
	return s
}

// Member reports whether id may borrow.
func (d *Division) Member(id string) bool { return slices.Contains(d.Members, id) }

// clone returns a copy that shares nothing.
func (d *Division) clone() Division {
	c := *d
	c.Members = slices.Clone(d.Members)
	return c
}

func (d *Division) join(id string) {
	d.Members = append(d.Members, id)
	slices.Sort(d.Members)
}

// give moves seats to id.
func (d *Division) give(s Seats, id string, clean bool) {
	for i := range d.Owners {
		if s.Has(i) {
			d.Owners[i] = id
		}
	}
	d.Clean &^= s
	if clean {
		d.Clean |= s
	}
}

// remove takes id off and spreads its seats over the other members.
func (d *Division) remove(id string, clean bool) {
	d.Members = slices.DeleteFunc(d.Members, func(m string) bool { return m == id })
	d.spread(d.Of(id), clean)
}

// spread gives each seat to the member that owns the fewest. Without members
// the seats have no owner.
func (d *Division) spread(s Seats, clean bool) {
	for i := range SeatCount {
		if !s.Has(i) {
			continue
		}
		d.give(1<<i, d.poorest(), clean)
	}
}

// poorest returns the member with the fewest seats, or "".
func (d *Division) poorest() string {
	best, least := "", SeatCount+1
	for _, m := range d.Members {
		if n := d.Of(m).Len(); n < least {
			best, least = m, n
		}
	}
	return best
}

// excess returns how many of its seats id should give away: what is above its
// part, or what brings the poorest member up to its part.
func (d *Division) excess(id string) int {
	n := len(d.Members)
	if n < 2 || !d.Member(id) {
		return 0
	}
	own := d.Of(id).Len()
	least, most := SeatCount/n, (SeatCount+n-1)/n
	if own > most {
		return own - most
	}
	missing := least - d.Of(d.poorest()).Len()
	return max(0, min(own-least, missing))
}
