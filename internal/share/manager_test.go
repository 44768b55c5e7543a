package share

import (
	"testing"
	"time"
)

// idlePool is a Pool with no capacity in use.
type idlePool struct{}

func (idlePool) Limit(Partitions) bool { return true }

// TestOwnedOnce guards against a partition that is both used and lent, a case
// found by TestSlotSum: the lender leaves, the borrower becomes the owner of
// the borrowed partition, and lends it to a third entry.
func TestOwnedOnce(t *testing.T) {
	m := NewManager("b", 1, idlePool{})
	a := NewAssignment("a")
	a.addMember("b")
	a.addMember("c")
	m.RecordWrite(0, a, 1)
	m.BeginBorrow()
	m.CompleteBorrow(0, 0, "a", Loan{ID: 9, Partitions: 0x300})
	if got := m.UsablePartitions(0); got != 0x300 {
		t.Fatalf("usable = %x, want the borrowed partitions", got)
	}
	a.removeMember("a", false)
	a.assign(AllPartitions, "b", false)
	m.ApplyRow(time.Second, a, 2)
	m.ClearBlocked(time.Second, map[string]Partitions{})
	lent := m.Lend(time.Second, "c", PartitionCount).Partitions
	if lent&0x300 != 0x300 {
		t.Fatalf("lent %x, want 0x300 among them", lent)
	}
	if both := lent & m.UsablePartitions(time.Second); both != 0 {
		t.Errorf("partitions %x are both lent and used", both)
	}
}

func TestUnitsOf(t *testing.T) {
	tests := []struct {
		name       string
		partitions Partitions
		total      int
		want       int
	}{
		{"all slots", AllPartitions, 8, 8},
		{"all connections", AllPartitions, 64, 64},
		{"more units than partitions", AllPartitions, 130, 130},
		{"none", 0, 8, 0},
		{"eight in a row are one slot", 0xff << 16, 8, 1},
		{"no unit", AllPartitions, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, worker := range []string{"w1", "w2", "a-very-long-worker-name"} {
				if got := tt.partitions.UnitsOf(worker, tt.total); got != tt.want {
					t.Errorf("Part(%s, %d) = %d, want %d", worker, tt.total, got, tt.want)
				}
			}
		})
	}
}

// TestPartitionUnitsAddUp checks that disjoint sets of partitions that cover all of them
// share no unit and leave none out.
func TestPartitionUnitsAddUp(t *testing.T) {
	for _, total := range []int{1, 8, 10, 64, 100} {
		sum := 0
		for _, s := range []Partitions{0x5555555555555555, 0x2222222222222222, 0x8888888888888888} {
			sum += s.UnitsOf("w1", total)
		}
		if sum != total {
			t.Errorf("the parts of %d units add up to %d", total, sum)
		}
	}
}
