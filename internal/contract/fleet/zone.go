package fleet

// ZoneSource locates and decodes the operator's requests to take availability zones out of
// use. A zone is out of use as long as the store has a row that requests it: no run may be
// started on the zone's workers, and the runs there go on.
type ZoneSource interface {
	// Location returns the table of the requests and the range of their keys, from <= key <
	// to. Row.Part is empty.
	Location() (table, from, to string)
	// Zone returns the zone that a row takes out of use. It returns "" if the row names none.
	// With an error the zone is out of use although the content of the row is not readable.
	Zone(r Row) (string, error)
}
