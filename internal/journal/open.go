package journal

import (
	"context"
	"time"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

const (
	pageRows     = 200
	retryMin     = 50 * time.Millisecond
	retryMax     = time.Second
	takeoverTrys = 5
	maxExtra     = 200 // extra rows in a commit, unless one entry alone has more
)

// Options sets the sizes of group commits. The zero value is usable.
type Options struct {
	Window     time.Duration // least time between the starts of two commits; 0 for none
	MaxRecords int           // records in a commit; 0 for DefaultMaxRecords
	MaxBytes   int           // bytes of records in a commit; 0 for DefaultMaxBytes
}

// The default limits of one commit.
const (
	DefaultMaxRecords = 1024
	DefaultMaxBytes   = 256 << 10
)

// Replay is what a new owner reads.
type Replay struct {
	Snapshot []byte // nil for none
	Records  [][]byte
	Last     uint64 // sequence of the newest row; 0 for none
	// Read is when the owner row was known to be this owner's, so that no
	// earlier owner can commit any more.
	Read time.Time
}

// Peek reads the owner row of the log name. It returns the zero Owner where no
// owner was ever recorded.
func Peek(ctx context.Context, tables contract.Tables, name string) (Owner, error) {
	o, _, err := readOwner(ctx, tables, name)
	return o, err
}

func readOwner(ctx context.Context, tables contract.Tables, name string) (Owner, uint64, error) {
	r, err := tables.Read(ctx, ownerKey(name))
	if contract.IsNotFound(err) {
		return Owner{}, 0, nil
	}
	if err != nil {
		return Owner{}, 0, result.Wrap(result.JournalAway, err, "read owner of "+name)
	}
	o, err := decodeOwner(r)
	return o, r.Version, err
}

// Open takes the log name over for the instance owner, whoever owned it, and
// reads its state. It returns result.Deposed when another instance took it over
// at the same time, result.JournalAway when the tables do not answer and
// result.JournalBroken when a row or the snapshot cannot be read. The caller
// ends the log with Release or Close.
func Open(ctx context.Context, tables contract.Tables, objects contract.Objects, name, owner string, opt Options) (*Log, *Replay, error) {
	o, version, err := takeOver(ctx, tables, name, owner)
	if err != nil {
		return nil, nil, err
	}
	read := time.Now()
	replay, err := load(ctx, tables, objects, name, o)
	if err != nil {
		return nil, nil, err
	}
	replay.Read = read
	l := newLog(tables, objects, name, opt)
	l.owner, l.version = o, version
	l.epoch = o.Epoch
	l.next = max(replay.Last+1, o.First)
	go l.run()
	return l, replay, nil
}

// takeOver writes the owner row with the next epoch. A lost answer is resolved
// by reading the row and comparing the nonce.
func takeOver(ctx context.Context, tables contract.Tables, name, owner string) (Owner, uint64, error) {
	old, version, err := readOwner(ctx, tables, name)
	if err != nil {
		return Owner{}, 0, err
	}
	o := old
	o.Instance, o.Epoch, o.Nonce = owner, old.Epoch+1, uuid.NewString()
	o.First = max(old.First, 1)
	w := contract.Write{Key: ownerKey(name), If: contract.IfAbsent, Do: contract.Put, Value: encode(o)}
	if version > 0 {
		w.If, w.Version = contract.IfVersion, version
	}
	for range takeoverTrys {
		vs, err := tables.Commit(ctx, []contract.Write{w})
		if err == nil {
			return o, vs[0], nil
		}
		if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
			return Owner{}, 0, result.Wrap(result.JournalAway, err, "take over "+name)
		}
		now, v, err := readOwner(ctx, tables, name)
		switch {
		case err != nil:
			return Owner{}, 0, err
		case now.Nonce == o.Nonce:
			return o, v, nil
		case v != version:
			return Owner{}, 0, result.Errorf(result.Deposed, "%s was taken over by %s", name, now.Instance)
		}
	}
	return Owner{}, 0, result.Errorf(result.JournalAway, "take over %s: answers lost", name)
}

// load reads the snapshot and every later row.
func load(ctx context.Context, tables contract.Tables, objects contract.Objects, name string, o Owner) (*Replay, error) {
	replay := &Replay{Last: o.First - 1}
	if o.Snapshot != "" {
		body, err := objects.Get(ctx, o.Snapshot)
		if contract.IsNotFound(err) {
			return nil, result.Wrap(result.JournalBroken, err, "snapshot "+o.Snapshot)
		}
		if err != nil {
			return nil, result.Wrap(result.JournalAway, err, "snapshot "+o.Snapshot)
		}
		replay.Snapshot = body
	}
	for {
		n, err := loadPage(ctx, tables, name, replay)
		if err != nil || n < pageRows {
			return replay, err
		}
	}
}

func loadPage(ctx context.Context, tables contract.Tables, name string, replay *Replay) (int, error) {
	from := rowKey(name, replay.Last+1).Row
	rows, err := tables.Scan(ctx, RowTable, from, rowEnd(name), pageRows)
	if err != nil {
		return 0, result.Wrap(result.JournalAway, err, "read rows of "+name)
	}
	for _, r := range rows {
		if r.Key.Row != rowKey(name, replay.Last+1).Row {
			return 0, result.Errorf(result.JournalBroken, "row %d of %s is missing", replay.Last+1, name)
		}
		v, err := decodeRow(r)
		if err != nil {
			return 0, err
		}
		replay.Records = append(replay.Records, v.Records...)
		replay.Last++
	}
	return len(rows), nil
}

// rowEnd is above every row key of the log name.
func rowEnd(name string) string { return name + "/:" }
