// Package fleet defines the typed interfaces between the batch scheduler and a platform
// that stores rows in partitioned tables, runs tasks on workers and provides a
// configuration. Errors are of type *contract.CallError, whose outcome states whether
// the call may have taken effect.
package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is a row of the store. Part is the partition of the table that holds the row.
// Version 0 means that the row does not exist.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool // set only in Changes
}

// Tx is an atomic change of rows in one part.
type Tx struct {
	Part   string
	Expect []Row // rows with the versions that they must have
	Put    []Row
	Delete []Row
}

// TxResult is the result of a Tx.
type TxResult struct {
	Applied bool
	Version int64 // new version of every row in Tx.Put
	Clock   Clock
	Current []Row // current state of the rows in Tx.Expect if Applied is false
}

// Clock is a reading of the store's monotonic clock. It orders the events of one store
// and has no fixed relation to wall-clock time.
type Clock int64 // milliseconds

// Add returns the reading d after c.
func (c Clock) Add(d time.Duration) Clock { return c + Clock(d.Milliseconds()) }

// Page is a consistent read of a range of rows, or of its beginning if More is set.
type Page struct {
	Rows    []Row
	More    bool
	Clock   Clock
	Version int64 // version of the store at the read, to pass to Store.Changes
}

// Changes holds the rows of a table that changed after a version of the store.
type Changes struct {
	Rows    []Row
	Version int64 // version of the store for the next call
}

// ErrHistoryLost means that the store no longer has all changes after the requested
// version, so that the table must be read again.
var ErrHistoryLost = errors.New("the store no longer has the changes after this version")

// Store is the platform's transactional store.
type Store interface {
	// Commit applies tx completely or not at all. If a row of tx.Expect has another
	// version, it returns a TxResult with Applied false and no error.
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	// Range returns the rows with from <= key < to; an empty to means no upper bound. It returns
	// at most limit rows, or as many as fit into a page if limit is 0.
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Changes returns the changes after version. If there are none, it waits for one,
	// but no longer than wait.
	Changes(ctx context.Context, table string, version int64, wait time.Duration) (Changes, error)
}
