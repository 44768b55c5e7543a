package share

import (
	"encoding/json"
	"slices"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Table is the platform table that stores one Assignment per availability zone,
// keyed by the zone.
const Table = "shares"

// RowKey returns the key of the row that stores the Assignment of zone.
func RowKey(zone string) contract.Key { return contract.Key{Table: Table, Row: zone} }

// Assignment records which entry owns which partitions of a zone. Ownership of a
// partition changes in two ways only: the owner writes the change itself after
// it has stopped using the partition, or any entry writes it after the
// platform's instance list no longer contains the owner.
type Assignment struct {
	Members []string               `json:"members"` // instances that may borrow partitions, in ascending order
	Owners  [PartitionCount]string `json:"owners"`  // owning instance by partition; empty if it has no owner
	// LoanFree holds the partitions that had no outstanding loan when they last
	// changed owner. Any other partition may still be on loan from its earlier
	// owner, for at most LoanDuration after the change by the borrower's clock.
	LoanFree Partitions `json:"clean"`
}

// Decode parses the stored value of a row.
func Decode(value []byte) (Assignment, error) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		return a, result.Wrap(result.Internal, err, "decode row of the shares table")
	}
	return a, nil
}

// Encode returns the value to store in a row.
func (a Assignment) Encode() []byte {
	b, _ := json.Marshal(a)
	return b
}

// OwnedBy returns the partitions that instance id owns.
func (a *Assignment) OwnedBy(id string) Partitions {
	var s Partitions
	for i, o := range a.Owners {
		if o == id {
			s |= 1 << i
		}
	}
	return s
}

// IsMember reports whether instance id may borrow partitions.
func (a *Assignment) IsMember(id string) bool { return slices.Contains(a.Members, id) }

// clone returns a deep copy.
func (a *Assignment) clone() Assignment {
	c := *a
	c.Members = slices.Clone(a.Members)
	return c
}

func (a *Assignment) addMember(id string) {
	a.Members = append(a.Members, id)
	slices.Sort(a.Members)
}

// assign makes id the owner of s. loanFree states that none of them is lent.
func (a *Assignment) assign(s Partitions, id string, loanFree bool) {
	for i := range a.Owners {
		if s.Has(i) {
			a.Owners[i] = id
		}
	}
	a.LoanFree &^= s
	if loanFree {
		a.LoanFree |= s
	}
}

// removeMember removes member id and distributes its partitions over the
// remaining members. loanFree states that none of these partitions is lent.
func (a *Assignment) removeMember(id string, loanFree bool) {
	a.Members = slices.DeleteFunc(a.Members, func(m string) bool { return m == id })
	a.distribute(a.OwnedBy(id), loanFree)
}

// distribute assigns the partitions of s one by one, each to the member that owns
// the fewest at that point. If there are no members, they are left without an owner.
// loanFree states that none of them is lent.
func (a *Assignment) distribute(s Partitions, loanFree bool) {
	for i := range PartitionCount {
		if !s.Has(i) {
			continue
		}
		a.assign(1<<i, a.smallestOwner(), loanFree)
	}
}

// smallestOwner returns the member that owns the fewest partitions, or "" if
// there are no members.
func (a *Assignment) smallestOwner() string {
	smallest, fewest := "", PartitionCount+1
	for _, m := range a.Members {
		if n := a.OwnedBy(m).Len(); n < fewest {
			smallest, fewest = m, n
		}
	}
	return smallest
}

// excess returns how many partitions id should give to other members. The fair
// share is PartitionCount divided by the number of members. An owner of more than
// the share, rounded up, gives the surplus. Otherwise it gives what the member
// with the fewest lacks to the share rounded down, but keeps that many itself.
func (a *Assignment) excess(id string) int {
	n := len(a.Members)
	if n < 2 || !a.IsMember(id) {
		return 0
	}
	owned := a.OwnedBy(id).Len()
	shareFloor, shareCeil := PartitionCount/n, (PartitionCount+n-1)/n
	if owned > shareCeil {
		return owned - shareCeil
	}
	missing := shareFloor - a.OwnedBy(a.smallestOwner()).Len()
	return max(0, min(owned-shareFloor, missing))
}
