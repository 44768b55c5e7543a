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
	// changed owner. A loan by the earlier owner may still run on any other
	// partition, for at most LoanDuration after the change.
	LoanFree Partitions `json:"clean"`
}

// Decode parses the stored value of a row.
func Decode(value []byte) (Assignment, error) {
	var d Assignment
	if err := json.Unmarshal(value, &d); err != nil {
		return d, result.Wrap(result.Internal, err, "decode row of the shares table")
	}
	return d, nil
}

// Encode returns the value to store in a row.
func (d Assignment) Encode() []byte {
	b, _ := json.Marshal(d)
	return b
}

// OwnedBy returns the partitions that instance id owns.
func (d *Assignment) OwnedBy(id string) Partitions {
	var s Partitions
	for i, o := range d.Owners {
		if o == id {
			s |= 1 << i
		}
	}
	return s
}

// IsMember reports whether instance id may borrow partitions.
func (d *Assignment) IsMember(id string) bool { return slices.Contains(d.Members, id) }

// clone returns a deep copy.
func (d *Assignment) clone() Assignment {
	c := *d
	c.Members = slices.Clone(d.Members)
	return c
}

func (d *Assignment) addMember(id string) {
	d.Members = append(d.Members, id)
	slices.Sort(d.Members)
}

// assign makes id the owner of s. loanFree states that none of them is lent.
func (d *Assignment) assign(s Partitions, id string, loanFree bool) {
	for i := range d.Owners {
		if s.Has(i) {
			d.Owners[i] = id
		}
	}
	d.LoanFree &^= s
	if loanFree {
		d.LoanFree |= s
	}
}

// removeMember removes member id and distributes its partitions over the
// remaining members.
func (d *Assignment) removeMember(id string, loanFree bool) {
	d.Members = slices.DeleteFunc(d.Members, func(m string) bool { return m == id })
	d.distribute(d.OwnedBy(id), loanFree)
}

// distribute assigns each partition of s to the member that then owns the
// fewest. If there are no members, the partitions are left without an owner.
func (d *Assignment) distribute(s Partitions, loanFree bool) {
	for i := range PartitionCount {
		if !s.Has(i) {
			continue
		}
		d.assign(1<<i, d.smallestOwner(), loanFree)
	}
}

// smallestOwner returns the member that owns the fewest partitions, or "" if
// there are no members.
func (d *Assignment) smallestOwner() string {
	smallest, fewest := "", PartitionCount+1
	for _, m := range d.Members {
		if n := d.OwnedBy(m).Len(); n < fewest {
			smallest, fewest = m, n
		}
	}
	return smallest
}

// excess returns how many partitions id should give to other members. The fair
// share is PartitionCount divided by the number of members. An owner of more than
// the share, rounded up, gives the surplus. Otherwise it gives what the member
// with the fewest lacks to the share rounded down, but keeps that many itself.
func (d *Assignment) excess(id string) int {
	n := len(d.Members)
	if n < 2 || !d.IsMember(id) {
		return 0
	}
	owned := d.OwnedBy(id).Len()
	shareFloor, shareCeil := PartitionCount/n, (PartitionCount+n-1)/n
	if owned > shareCeil {
		return owned - shareCeil
	}
	missing := shareFloor - d.OwnedBy(d.smallestOwner()).Len()
	return max(0, min(owned-shareFloor, missing))
}
