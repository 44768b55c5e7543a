package share

import (
	"testing"
	"time"
)

// busyPool is a Pool whose capacity in use needs a given number of partitions.
type busyPool struct{ used int }

// Limit implements Pool. It only reports whether s has as many partitions as are in use.
func (p *busyPool) Limit(s Partitions) bool { return s.Len() >= p.used }

// newPair returns the managers of a, which owns every partition, and of b, a
// member without partitions, and the pool of b.
func newPair(t *testing.T) (a, b *Manager, pool *busyPool) {
	t.Helper()
	assignment := NewAssignment("a")
	assignment.addMember("b")
	pool = &busyPool{}
	a, b = NewManager("a", 100, idlePool{}), NewManager("b", 200, pool)
	a.RecordWrite(0, assignment, 1)
	a.ClearBlocked(0, nil)
	b.RecordWrite(0, assignment, 1)
	return a, b, pool
}

func lend(a, b *Manager, now time.Duration, want int) Loan {
	b.BeginBorrow()
	l := a.Lend(now, "b", want)
	b.CompleteBorrow(now, now, "a", l)
	return l
}

// TestSingleOperations checks single operations against the two ways in which a partition
// could be used twice: too early by its owner, or too long by a borrower.
func TestSingleOperations(t *testing.T) {
	t.Run("an unfenced incarnation uses nothing", func(t *testing.T) {
		m := NewManager("a", 1, idlePool{})
		m.ApplyRow(0, NewAssignment("a"), 1)
		if got := m.UsablePartitions(2 * (LoanDuration + ClockDriftMargin)); got != 0 {
			t.Errorf("usable %x before this incarnation has written the row, want none", got)
		}
		if _, _, change := m.PlanWrite(0, nil); !change {
			t.Error("Plan has no change, want a write of the row")
		}
	})
	t.Run("a late return of an earlier loan has no effect", func(t *testing.T) {
		a, b, _ := newPair(t)
		first := lend(a, b, 0, 8)
		a.HandleReturn(0, "b", []Loan{first})
		second := lend(a, b, 0, 8)
		a.HandleReturn(0, "b", []Loan{first})
		if a.LentPartitions() != second.Partitions || a.UsablePartitions(0)&second.Partitions != 0 {
			t.Errorf("lent %x, want %x", a.LentPartitions(), second.Partitions)
		}
	})
	t.Run("a borrowed partition takes no request that could outlive its loan", func(t *testing.T) {
		a, b, _ := newPair(t)
		l := lend(a, b, 0, 8)
		if got := b.UsablePartitions(LoanDuration - MaxRequestDuration); got != l.Partitions {
			t.Errorf("usable %x, want %x", got, l.Partitions)
		}
		if got := b.UsablePartitions(LoanDuration - MaxRequestDuration + 1); got != 0 {
			t.Errorf("usable %x near the end of the loan, want none", got)
		}
		a.ExpireLoans(LoanDuration)
		if a.LentPartitions() != l.Partitions {
			t.Error("the lender ended the loan before the drift margin")
		}
		a.ExpireLoans(LoanDuration + ClockDriftMargin)
		if a.LentPartitions() != 0 {
			t.Error("the lender did not end the loan after the drift margin")
		}
	})
	t.Run("a loan is counted from before the request", func(t *testing.T) {
		a, b, _ := newPair(t)
		b.BeginBorrow()
		l := a.Lend(0, "b", 8)
		b.CompleteBorrow(20*time.Second, 0, "a", l)
		if got := b.UsablePartitions(LoanDuration - MaxRequestDuration + 1); got != 0 {
			t.Errorf("usable %x, counted from the response, want none", got)
		}
		b.HandleRenewal(25*time.Second, 21*time.Second, "a", a.Renew(24*time.Second, "b", b.RenewableLoans()["a"]))
		if got := b.UsablePartitions(21*time.Second + LoanDuration - MaxRequestDuration); got != l.Partitions {
			t.Errorf("usable %x after the renewal, want the loan's partitions", got)
		}
	})
	t.Run("partitions given by a write without a response stay unused", func(t *testing.T) {
		a, _, _ := newPair(t)
		assignment, version, change := a.PlanWrite(0, nil)
		given := assignment.OwnedBy("b")
		if !change || given == 0 {
			t.Fatal("Plan gives no partition to b")
		}
		a.RecordUncertainWrite(version)
		row, _, _ := a.CurrentAssignment()
		a.ApplyRow(time.Hour, row, version)
		a.RecordRefusedWrite(time.Hour, version)
		if got := a.UsablePartitions(time.Hour) & given; got != 0 {
			t.Errorf("partitions %x are used while the write may still take effect", got)
		}
		a.ApplyRow(time.Hour, row, version+1)
		if got := a.UsablePartitions(time.Hour) & given; got != given {
			t.Errorf("partitions %x are not used although the row has a new version", given&^got)
		}
	})
	t.Run("partitions of a refused write are used again", func(t *testing.T) {
		a, _, _ := newPair(t)
		_, version, _ := a.PlanWrite(0, nil)
		a.RecordRefusedWrite(0, version)
		if got := a.UsablePartitions(0); got != AllPartitions {
			t.Errorf("usable %x, want all", got)
		}
	})
	t.Run("nothing is returned while it is in use", func(t *testing.T) {
		a, b, pool := newPair(t)
		l := lend(a, b, 0, 8)
		pool.used = 3
		b.HandleRecall(0, "a", []Loan{l})
		if got := b.UsablePartitions(0); got != 0 {
			t.Errorf("usable %x after the recall, want none", got)
		}
		if got := b.TakeReturnable(0); len(got) != 0 {
			t.Errorf("returned %v with 3 in use", got)
		}
		pool.used = 0
		if got := b.TakeReturnable(0)["a"]; len(got) != 1 || got[0] != l {
			t.Errorf("returned %v, want %v", got, l)
		}
	})
	t.Run("Held is not settled while a loan request is unanswered", func(t *testing.T) {
		_, b, _ := newPair(t)
		b.BeginBorrow()
		if _, settled := b.BorrowedPartitions(); settled {
			t.Error("settled while a loan request is unanswered")
		}
		b.AbortBorrow()
		if _, settled := b.BorrowedPartitions(); !settled {
			t.Error("not settled after the loan request has ended")
		}
	})
	t.Run("partitions of a removed owner are unused until its loans end", func(t *testing.T) {
		a, b, _ := newPair(t)
		_ = a
		assignment, version, _ := b.PlanWrite(0, []string{"a"})
		b.RecordWrite(0, assignment, version+1)
		if got := b.UsablePartitions(LoanDuration); got != 0 || !b.HasBlocked(LoanDuration) {
			t.Errorf("usable %x before the loans of the removed owner ended, want none", got)
		}
		if got := b.UsablePartitions(LoanDuration + ClockDriftMargin); got != AllPartitions {
			t.Errorf("usable %x after the loans ended, want all", got)
		}
	})
	t.Run("only members may borrow", func(t *testing.T) {
		a, _, _ := newPair(t)
		if l := a.Lend(0, "stranger", 8); l.Partitions != 0 {
			t.Errorf("lent %x to an instance that is no member", l.Partitions)
		}
	})
	t.Run("the lender keeps a slot of every worker", func(t *testing.T) {
		a, b, _ := newPair(t)
		l := lend(a, b, 0, PartitionCount)
		if got := a.UsablePartitions(0).Len(); got != PartitionCount/lenderReserve || l.Partitions.Len() != PartitionCount-got {
			t.Errorf("kept %d partitions, lent %d", got, l.Partitions.Len())
		}
		for _, worker := range []string{"w1", "w2", "w3", "w4", "w5"} {
			if got := a.UsablePartitions(0).UnitsOf(worker, 8); got != 1 {
				t.Errorf("kept %d slots of worker %s, want 1", got, worker)
			}
		}
	})
}

// TestFairPartitionCounts adds entries one after another and checks after each that
// every entry owns its fair share of the partitions.
func TestFairPartitionCounts(t *testing.T) {
	managers := map[string]*Manager{}
	var row Assignment
	version := uint64(0)
	for n, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		managers[id] = NewManager(id, 1, idlePool{})
		if n == 0 {
			row, version = NewAssignment(id), 1
			managers[id].RecordWrite(0, row, version)
			managers[id].ClearBlocked(0, nil)
		}
		for range 4 {
			for _, m := range managers {
				m.ApplyRow(0, row, version)
				if a, v, change := m.PlanWrite(0, nil); change {
					row, version = a, v+1
					m.RecordWrite(0, row, version)
				}
			}
		}
		for id := range managers {
			got, least := row.OwnedBy(id).Len(), PartitionCount/(n+1)
			if got < least || got > least+1 {
				t.Errorf("%d entries: %s owns %d partitions", n+1, id, got)
			}
		}
	}
}
