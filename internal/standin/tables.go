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

const (
	maxCommitRows = 256
	maxScanRows   = 1000
)

// tableStore holds all tables. Versions outlive their rows, so that none is
// used twice.
type tableStore struct {
	mu       sync.Mutex
	rows     map[contract.Key]contract.Row
	versions map[contract.Key]uint64
	order    map[string][]string // rows of a table, ascending
	writes   *rate.Limiter
	reads    *rate.Limiter
	hist     *recorder
}

func newTableStore(writesPerSec, readsPerSec int, hist *recorder) *tableStore {
	return &tableStore{
		rows:     map[contract.Key]contract.Row{},
		versions: map[contract.Key]uint64{},
		order:    map[string][]string{},
		writes:   limiter(writesPerSec),
		reads:    limiter(readsPerSec),
		hist:     hist,
	}
}

// limiter returns a limiter with a burst of one second.
func limiter(perSec int) *rate.Limiter {
	if perSec <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSec), perSec)
}

func (t *tableStore) read(key contract.Key) (contract.Row, error) {
	if !t.reads.Allow() {
		t.hist.count(func(c *history.Totals) { c.ReadsLimited++ })
		return contract.Row{}, refused(result.PlatformLimited, "reads")
	}
	t.hist.count(func(c *history.Totals) { c.RowsRead++ })
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return contract.Row{}, refused(result.PlatformNotFound, key.Table+"/"+key.Row)
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// scan counts one read per row. The rows beyond the first are charged after
// the scan, so that later calls are refused in place of this one.
func (t *tableStore) scan(table, from, to string, limit int) ([]contract.Row, error) {
	if limit <= 0 || limit > maxScanRows {
		return nil, refused(result.PlatformBad, fmt.Sprintf("limit %d is not in 1..%d", limit, maxScanRows))
	}
	if !t.reads.Allow() {
		t.hist.count(func(c *history.Totals) { c.ReadsLimited++ })
		return nil, refused(result.PlatformLimited, "reads")
	}
	rows := t.between(table, from, to, limit)
	if extra := min(len(rows)-1, t.reads.Burst()); extra > 0 {
		t.reads.ReserveN(time.Now(), extra)
	}
	t.hist.count(func(c *history.Totals) { c.RowsRead += int64(max(1, len(rows))) })
	return rows, nil
}

func (t *tableStore) between(table, from, to string, limit int) []contract.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.order[table]
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
		t.hist.count(func(c *history.Totals) { c.WritesLimited++ })
		return nil, refused(result.PlatformLimited, "writes")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if !t.holds(w) {
			t.hist.count(func(c *history.Totals) { c.Conflicts++ })
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
	t.hist.count(func(c *history.Totals) { c.Commits++; c.RowsWritten += int64(cost) })
	return versions, nil
}

func checkWrites(writes []contract.Write) error {
	if len(writes) == 0 || len(writes) > maxCommitRows {
		return refused(result.PlatformBad, fmt.Sprintf("%d writes are not in 1..%d", len(writes), maxCommitRows))
	}
	seen := map[contract.Key]bool{}
	for _, w := range writes {
		switch {
		case w.Key.Table == "" || w.Key.Row == "":
			return refused(result.PlatformBad, "empty table or row")
		case seen[w.Key]:
			return refused(result.PlatformBad, "two writes of "+w.Key.Table+"/"+w.Key.Row)
		case w.If != contract.Always && w.If != contract.IfAbsent && w.If != contract.IfVersion:
			return refused(result.PlatformBad, "condition "+string(w.If))
		case w.Do != contract.Put && w.Do != contract.Delete && w.Do != contract.Check:
			return refused(result.PlatformBad, "action "+string(w.Do))
		}
		seen[w.Key] = true
	}
	return nil
}

func (t *tableStore) holds(w contract.Write) bool {
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

func (t *tableStore) write(w contract.Write) uint64 {
	keys := t.order[w.Key.Table]
	i, found := slices.BinarySearch(keys, w.Key.Row)
	switch w.Do {
	case contract.Delete:
		if found {
			t.order[w.Key.Table] = slices.Delete(keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return 0
	case contract.Check:
		return 0
	}
	if !found {
		t.order[w.Key.Table] = slices.Insert(keys, i, w.Key.Row)
	}
	t.versions[w.Key]++
	v := t.versions[w.Key]
	t.rows[w.Key] = contract.Row{Key: w.Key, Version: v, Value: slices.Clone(w.Value)}
	return v
}

// tablesFor is the table service as one instance sees it.
type tablesFor struct {
	sys  *System
	from platform.From
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
