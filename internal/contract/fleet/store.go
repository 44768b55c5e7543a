// Package fleet holds the typed interfaces between the batch side of the
// product and a platform that keeps rows in parts, runs tasks on workers and
// hands out a configuration. Errors are *contract.CallError; their outcome says
// whether the call may have had an effect.
package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is a row of the store. Version 0 means that the row does not exist.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64
	Deleted          bool // in changes only
}

// Tx is an atomic change of rows that share one part.
type Tx struct {
	Part   string
	Expect []Row // rows and the versions that they must have
	Put    []Row
	Delete []Row
}

// TxResult is the answer to a Tx.
type TxResult struct {
	Applied bool
	Version int64 // of every row that was put
	Clock   Clock
	Current []Row // of Tx.Expect, where Applied is false
}

// Clock is the store's steady clock. It orders events of one store and is not
// the time of day.
type Clock int64 // milliseconds

// Add returns the clock after d.
func (c Clock) Add(d time.Duration) Clock { return c + Clock(d.Milliseconds()) }

// Page is a part of a range, as of one moment.
type Page struct {
	Rows    []Row
	More    bool
	Clock   Clock
	Version int64 // newest of the store; changes continue from it
}

// Changes is what changed in a table after a version.
type Changes struct {
	Rows    []Row
	Version int64 // to continue from
}

// ErrHistoryLost means that the store no longer has the changes after a
// version; the table has to be read whole.
var ErrHistoryLost = errors.New("the history after this version is gone")

// Store is the platform's transactional store.
type Store interface {
	// Commit applies tx whole or not at all. A failed condition is not an error.
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	// Range returns rows with From <= key < to; an empty to is no bound.
	Range(ctx context.Context, table, part, from, to string) (Page, error)
	// Changes waits up to wait for a change after version.
	Changes(ctx context.Context, table string, version int64, wait time.Duration) (Changes, error)
}
