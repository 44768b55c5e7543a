package share

import (
	"testing"
	"time"
)

// tight is a Pool in which a number of seats is in use.
type tight struct{ used int }

func (p *tight) Limit(s Seats) bool { return s.Len() >= p.used }

// two returns the holders of a, which owns every seat, and of the member b.
func two(t *testing.T) (a, b *Holder, pool *tight) {
	t.Helper()
	d := NewDivision("a")
	d.join("b")
	pool = &tight{}
	a, b = NewHolder("a", 100, loose{}), NewHolder("b", 200, pool)
	a.Wrote(0, d, 1)
	a.Cleared(0, nil)
	b.Wrote(0, d, 1)
	return a, b, pool
}

func lend(a, b *Holder, now time.Duration, want int) Loan {
	b.Asking()
	l := a.Lend(now, "b", want)
	b.Borrowed(now, now, "a", l)
	return l
}

// TestSteps holds single steps of the division against the two ways in which a
// seat could be used twice: too early by its owner, or too long by a borrower.
func TestSteps(t *testing.T) {
	t.Run("an unfenced incarnation uses nothing", func(t *testing.T) {
		h := NewHolder("a", 1, loose{})
		h.Read(0, NewDivision("a"), 1)
		if got := h.Usable(2 * (LoanTime + Drift)); got != 0 {
			t.Errorf("usable %x before its own write", got)
		}
		if _, _, change := h.Plan(0, nil); !change {
			t.Error("it does not want to write the row")
		}
	})
	t.Run("a late return of an earlier loan frees nothing", func(t *testing.T) {
		a, b, _ := two(t)
		first := lend(a, b, 0, 8)
		a.Returned(0, "b", []Loan{first})
		second := lend(a, b, 0, 8)
		a.Returned(0, "b", []Loan{first})
		if a.Lent() != second.Seats || a.Usable(0)&second.Seats != 0 {
			t.Errorf("lent %x, want %x", a.Lent(), second.Seats)
		}
	})
	t.Run("a borrowed seat takes nothing that could outlive its loan", func(t *testing.T) {
		a, b, _ := two(t)
		l := lend(a, b, 0, 8)
		if got := b.Usable(LoanTime - UseTime); got != l.Seats {
			t.Errorf("usable %x, want %x", got, l.Seats)
		}
		if got := b.Usable(LoanTime - UseTime + 1); got != 0 {
			t.Errorf("usable %x near the end of the loan", got)
		}
		a.Tick(LoanTime)
		if a.Lent() != l.Seats {
			t.Error("the lender took it back without the drift")
		}
		a.Tick(LoanTime + Drift)
		if a.Lent() != 0 {
			t.Error("the lender never takes it back")
		}
	})
	t.Run("a loan counts from before the question", func(t *testing.T) {
		a, b, _ := two(t)
		b.Asking()
		l := a.Lend(0, "b", 8)
		b.Borrowed(20*time.Second, 0, "a", l)
		if got := b.Usable(LoanTime - UseTime + 1); got != 0 {
			t.Errorf("usable %x beyond the lender's count", got)
		}
		b.Renewed(25*time.Second, 21*time.Second, "a", a.Renew(24*time.Second, "b", b.Renewable()["a"]))
		if got := b.Usable(21*time.Second + LoanTime - UseTime); got != l.Seats {
			t.Errorf("usable %x after the renewal", got)
		}
	})
	t.Run("a write without an answer keeps its seats out of use", func(t *testing.T) {
		a, _, _ := two(t)
		d, version, change := a.Plan(0, nil)
		given := d.Of("b")
		if !change || given == 0 {
			t.Fatal("nothing is given to b")
		}
		a.Unknown(version)
		row, _, _ := a.Row()
		a.Read(time.Hour, row, version)
		a.Refused(time.Hour, version)
		if got := a.Usable(time.Hour) & given; got != 0 {
			t.Errorf("seats %x are used while the write may still land", got)
		}
		a.Read(time.Hour, row, version+1)
		if got := a.Usable(time.Hour) & given; got != given {
			t.Errorf("seats %x are not used although the row moved on", given&^got)
		}
	})
	t.Run("a refused write gives its seats back", func(t *testing.T) {
		a, _, _ := two(t)
		_, version, _ := a.Plan(0, nil)
		a.Refused(0, version)
		if got := a.Usable(0); got != All {
			t.Errorf("usable %x, want all", got)
		}
	})
	t.Run("nothing is returned while it is in use", func(t *testing.T) {
		a, b, pool := two(t)
		l := lend(a, b, 0, 8)
		pool.used = 3
		b.Recalled(0, "a", []Loan{l})
		if got := b.Usable(0); got != 0 {
			t.Errorf("usable %x after the recall", got)
		}
		if got := b.Returnable(0); len(got) != 0 {
			t.Errorf("returned %v with 3 in use", got)
		}
		pool.used = 0
		if got := b.Returnable(0)["a"]; len(got) != 1 || got[0] != l {
			t.Errorf("returned %v, want %v", got, l)
		}
	})
	t.Run("what is held is not known while a question is open", func(t *testing.T) {
		_, b, _ := two(t)
		b.Asking()
		if _, settled := b.Held(); settled {
			t.Error("settled with a question open")
		}
		b.NotBorrowed()
		if _, settled := b.Held(); !settled {
			t.Error("not settled at the end")
		}
	})
	t.Run("seats of a gone owner wait for its loans", func(t *testing.T) {
		a, b, _ := two(t)
		_ = a
		d, version, _ := b.Plan(0, []string{"a"})
		b.Wrote(0, d, version+1)
		if got := b.Usable(LoanTime); got != 0 || !b.Blocked(LoanTime) {
			t.Errorf("usable %x before the loans ended", got)
		}
		if got := b.Usable(LoanTime + Drift); got != All {
			t.Errorf("usable %x after them, want all", got)
		}
	})
	t.Run("nobody else may borrow", func(t *testing.T) {
		a, _, _ := two(t)
		if l := a.Lend(0, "stranger", 8); l.Seats != 0 {
			t.Errorf("lent %x to no member", l.Seats)
		}
	})
	t.Run("the lender keeps a part", func(t *testing.T) {
		a, b, _ := two(t)
		l := lend(a, b, 0, SeatCount)
		if got := a.Usable(0).Len(); got != SeatCount/keepPart || l.Seats.Len() != SeatCount-got {
			t.Errorf("kept %d, lent %d", got, l.Seats.Len())
		}
		for _, worker := range []string{"w1", "w2", "w3", "w4", "w5"} {
			if got := a.Usable(0).Part(worker, 8); got != 1 {
				t.Errorf("kept %d slots of worker %s", got, worker)
			}
		}
	})
}

// TestEqualParts joins entries one after another: everybody ends with its part.
func TestEqualParts(t *testing.T) {
	holders := map[string]*Holder{}
	var row Division
	version := uint64(0)
	for n, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		holders[id] = NewHolder(id, 1, loose{})
		if n == 0 {
			row, version = NewDivision(id), 1
			holders[id].Wrote(0, row, version)
			holders[id].Cleared(0, nil)
		}
		for range 4 {
			for _, h := range holders {
				h.Read(0, row, version)
				if d, v, change := h.Plan(0, nil); change {
					row, version = d, v+1
					h.Wrote(0, row, version)
				}
			}
		}
		for id := range holders {
			got, least := row.Of(id).Len(), SeatCount/(n+1)
			if got < least || got > least+1 {
				t.Errorf("%d entries: %s has %d seats", n+1, id, got)
			}
		}
	}
}
