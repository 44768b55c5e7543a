package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// Limits of a commit and a scan.
const (
	maxCommitRows = 256
	maxScanRows   = 1000
)

// tableStore holds all tables. It keeps the version of a deleted row, so that no version of
// a row is used twice.
type tableStore struct {
	mu       sync.Mutex
	rows     map[contract.Key]contract.Row
	versions map[contract.Key]uint64
	rowKeys  map[string][]string // row keys of a table, ascending
	writes   *rate.Limiter
	reads    *rate.Limiter
	events   *recorder
}

func newTableStore(writesPerSec, readsPerSec int, events *recorder) *tableStore {
	return &tableStore{
		rows:     map[contract.Key]contract.Row{},
		versions: map[contract.Key]uint64{},
		rowKeys:  map[string][]string{},
		writes:   newLimiter(writesPerSec),
		reads:    newLimiter(readsPerSec),
		events:   events,
	}
}

// newLimiter returns a limiter with a burst of one second's events, or no limit if perSec is
// not positive.
func newLimiter(perSec int) *rate.Limiter {
	if perSec <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSec), perSec)
}

func (t *tableStore) read(key contract.Key) (contract.Row, error) {
	if !t.reads.Allow() {
		t.events.updateTotals(func(totals *history.Totals) { totals.ReadsLimited++ })
		return contract.Row{}, refused(result.PlatformLimited, "read rate limit exceeded")
	}
	t.events.updateTotals(func(totals *history.Totals) { totals.RowsRead++ })
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return contract.Row{}, refused(result.PlatformNotFound, key.Table+"/"+key.Row)
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// scan counts one read per row against the rate limit. The number of rows is known only
// after the scan, so the rows beyond the first are charged then, at the expense of later
// calls.
func (t *tableStore) scan(table, from, to string, limit int) ([]contract.Row, error) {
	if limit <= 0 || limit > maxScanRows {
		return nil, refused(result.PlatformBadCall, fmt.Sprintf("limit %d is not in 1..%d", limit, maxScanRows))
	}
	if !t.reads.Allow() {
		t.events.updateTotals(func(totals *history.Totals) { totals.ReadsLimited++ })
		return nil, refused(result.PlatformLimited, "read rate limit exceeded")
	}
	rows := t.rowsBetween(table, from, to, limit)
	if extra := min(len(rows)-1, t.reads.Burst()); extra > 0 {
		t.reads.ReserveN(time.Now(), extra)
	}
	t.events.updateTotals(func(totals *history.Totals) { totals.RowsRead += int64(max(1, len(rows))) })
	return rows, nil
}

// rowsBetween returns up to limit rows of a table with from <= key < to.
func (t *tableStore) rowsBetween(table, from, to string, limit int) []contract.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.rowKeys[table]
	i, _ := slices.BinarySearch(keys, from)
	rows := []contract.Row{}
	for ; i < len(keys) && len(rows) < limit; i++ {
		if to != "" && keys[i] >= to {
			break
		}
		row := t.rows[contract.Key{Table: table, Row: keys[i]}]
		row.Value = slices.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows
}

func (t *tableStore) commit(writes []contract.Write) ([]uint64, error) {
	if err := checkWrites(writes); err != nil {
		return nil, err
	}
	cost := 0
	for _, w := range writes {
		if w.Do != contract.Check {
			cost++
		}
	}
	if !t.writes.AllowN(time.Now(), cost) {
		t.events.updateTotals(func(totals *history.Totals) { totals.WritesLimited++ })
		return nil, refused(result.PlatformLimited, "write rate limit exceeded")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if !t.conditionMet(w) {
			t.events.updateTotals(func(totals *history.Totals) { totals.Conflicts++ })
			return nil, &contract.CallError{
				Outcome: contract.Refused, Code: result.PlatformConflict,
				Detail: w.Key.Table + "/" + w.Key.Row, Row: w.Key,
			}
		}
	}
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		versions[i] = t.write(w)
	}
	t.events.updateTotals(func(totals *history.Totals) { totals.Commits++; totals.RowsWritten += int64(cost) })
	return versions, nil
}

func checkWrites(writes []contract.Write) error {
	if len(writes) == 0 || len(writes) > maxCommitRows {
		return refused(result.PlatformBadCall, fmt.Sprintf("%d writes are not in 1..%d", len(writes), maxCommitRows))
	}
	seen := map[contract.Key]bool{}
	for _, w := range writes {
		switch {
		case w.Key.Table == "" || w.Key.Row == "":
			return refused(result.PlatformBadCall, "empty table or row")
		case seen[w.Key]:
			return refused(result.PlatformBadCall, "two writes of "+w.Key.Table+"/"+w.Key.Row)
		case w.If != contract.Always && w.If != contract.IfAbsent && w.If != contract.IfVersion:
			return refused(result.PlatformBadCall, "unknown condition "+string(w.If))
		case w.Do != contract.Put && w.Do != contract.Delete && w.Do != contract.Check:
			return refused(result.PlatformBadCall, "unknown action "+string(w.Do))
		}
		seen[w.Key] = true
	}
	return nil
}

// conditionMet reports whether the condition of w is met.
func (t *tableStore) conditionMet(w contract.Write) bool {
	row, ok := t.rows[w.Key]
	switch w.If {
	case contract.IfAbsent:
		return !ok
	case contract.IfVersion:
		return ok && row.Version == w.Version
	default:
		return true
	}
}

// write applies w without checking its condition. It returns the new version of the row,
// or 0 for contract.Delete and for contract.Check, which changes nothing.
func (t *tableStore) write(w contract.Write) uint64 {
	keys := t.rowKeys[w.Key.Table]
	i, found := slices.BinarySearch(keys, w.Key.Row)
	switch w.Do {
	case contract.Delete:
		if found {
			t.rowKeys[w.Key.Table] = slices.Delete(keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return 0
	case contract.Check:
		return 0
	}
	if !found {
		t.rowKeys[w.Key.Table] = slices.Insert(keys, i, w.Key.Row)
	}
	t.versions[w.Key]++
	v := t.versions[w.Key]
	t.rows[w.Key] = contract.Row{Key: w.Key, Version: v, Value: slices.Clone(w.Value)}
	return v
}

// tablesFor implements contract.Tables for one calling instance.
type tablesFor struct {
	sys  *System
	from platform.Caller
}

// Read implements contract.Tables.
func (t tablesFor) Read(ctx context.Context, key contract.Key) (row contract.Row, err error) {
	err = t.sys.call(ctx, t.from, tableService, false, func() (err error) {
		row, err = t.sys.tables.read(key)
		return err
	})
	return row, err
}

// Scan implements contract.Tables.
func (t tablesFor) Scan(ctx context.Context, table, from, to string, limit int) (rows []contract.Row, err error) {
	err = t.sys.call(ctx, t.from, tableService, false, func() (err error) {
		rows, err = t.sys.tables.scan(table, from, to, limit)
		return err
	})
	return rows, err
}

// Commit implements contract.Tables.
func (t tablesFor) Commit(ctx context.Context, writes []contract.Write) ([]uint64, error) {
	versions := make(chan []uint64, 1)
	err := t.sys.call(ctx, t.from, tableService, true, func() error {
		v, err := t.sys.tables.commit(writes)
		versions <- v
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-versions, nil
}
