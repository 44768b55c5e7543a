package journal

import (
	"context"
	"time"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

const (
	scanPageRows     = 200
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	takeoverAttempts = 5
	maxExtraWrites   = 200 // extra writes in a commit, unless a single entry has more
)

// Options sets the sizes of group commits. The zero value is usable.
type Options struct {
	Window     time.Duration // minimum time between the starts of two commits; 0 for none
	MaxRecords int           // maximum records in a commit; 0 for DefaultMaxRecords
	MaxBytes   int           // maximum bytes of records in a commit; 0 for DefaultMaxBytes
}

// The default limits of one commit.
const (
	DefaultMaxRecords = 1024
	DefaultMaxBytes   = 256 << 10
)

// Replay is the content of a log that a new owner reads.
type Replay struct {
	Snapshot []byte // nil for none
	Records  [][]byte
	LastSeq  uint64 // sequence number of the newest row; 0 for none
	// OwnedSince is a time at which the owner row already named this owner, so that
	// no earlier owner could commit any more.
	OwnedSince time.Time
}

// ReadOwner reads the owner row of the log name without taking it over. It returns the
// zero Owner if the row does not exist.
func ReadOwner(ctx context.Context, tables contract.Tables, name string) (Owner, error) {
	o, _, err := readOwner(ctx, tables, name)
	return o, err
}

// readOwner returns the owner row and its version, both zero if the row does not
// exist.
func readOwner(ctx context.Context, tables contract.Tables, name string) (Owner, uint64, error) {
	r, err := tables.Read(ctx, ownerKey(name))
	if contract.IsNotFound(err) {
		return Owner{}, 0, nil
	}
	if err != nil {
		return Owner{}, 0, result.Wrap(result.JournalUnavailable, err, "read owner row of "+name)
	}
	o, err := decodeOwner(r)
	return o, r.Version, err
}

// Open takes over the log name for the instance owner, whichever instance owned it
// before, and reads its content. It returns result.OwnershipLost when another instance
// took it over at the same time, result.JournalUnavailable when the platform does
// not respond, and result.JournalCorrupt when a row or the snapshot is missing or
// cannot be decoded. The caller ends the log with Release or Close.
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
	replay.OwnedSince = read
	l := newLog(tables, objects, name, opt)
	l.owner, l.ownerVersion = o, version
	l.epoch = o.Epoch
	l.nextSeq = max(replay.LastSeq+1, o.FirstSeq)
	go l.run()
	return l, replay, nil
}

// takeOver writes the owner row with the next epoch, if the row is unchanged since
// it was read. If the response is lost, the nonce in the row shows whether the
// write took effect. It returns the row and its version.
func takeOver(ctx context.Context, tables contract.Tables, name, owner string) (Owner, uint64, error) {
	old, version, err := readOwner(ctx, tables, name)
	if err != nil {
		return Owner{}, 0, err
	}
	o := old
	o.Instance, o.Epoch, o.Nonce = owner, old.Epoch+1, uuid.NewString()
	o.FirstSeq = max(old.FirstSeq, 1)
	w := contract.Write{Key: ownerKey(name), If: contract.IfAbsent, Do: contract.Put, Value: encode(o)}
	if version > 0 {
		w.If, w.Version = contract.IfVersion, version
	}
	for range takeoverAttempts {
		vs, err := tables.Commit(ctx, []contract.Write{w})
		if err == nil {
			return o, vs[0], nil
		}
		if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
			return Owner{}, 0, result.Wrap(result.JournalUnavailable, err, "take over "+name)
		}
		current, v, err := readOwner(ctx, tables, name)
		switch {
		case err != nil:
			return Owner{}, 0, err
		case current.Nonce == o.Nonce:
			return o, v, nil
		case v != version:
			return Owner{}, 0, result.Errorf(result.OwnershipLost, "log %s was taken over by %s at the same time", name, current.Instance)
		}
	}
	return Owner{}, 0, result.Errorf(result.JournalUnavailable, "take over %s: no response to the write of the owner row", name)
}

// load reads the snapshot that the owner row o names and every later row.
func load(ctx context.Context, tables contract.Tables, objects contract.Objects, name string, o Owner) (*Replay, error) {
	replay := &Replay{LastSeq: o.FirstSeq - 1}
	if o.Snapshot != "" {
		body, err := objects.Get(ctx, o.Snapshot)
		if contract.IsNotFound(err) {
			return nil, result.Wrap(result.JournalCorrupt, err, "read snapshot "+o.Snapshot)
		}
		if err != nil {
			return nil, result.Wrap(result.JournalUnavailable, err, "read snapshot "+o.Snapshot)
		}
		replay.Snapshot = body
	}
	for {
		n, err := loadPage(ctx, tables, name, replay)
		if err != nil || n < scanPageRows {
			return replay, err
		}
	}
}

// loadPage appends the next page of rows to replay and returns their number. The
// sequence numbers must be consecutive.
func loadPage(ctx context.Context, tables contract.Tables, name string, replay *Replay) (int, error) {
	from := rowKey(name, replay.LastSeq+1).Row
	rows, err := tables.Scan(ctx, RowTable, from, rowKeyEnd(name), scanPageRows)
	if err != nil {
		return 0, result.Wrap(result.JournalUnavailable, err, "read journal rows of "+name)
	}
	for _, r := range rows {
		if r.Key.Row != rowKey(name, replay.LastSeq+1).Row {
			return 0, result.Errorf(result.JournalCorrupt, "journal row %d of %s is missing", replay.LastSeq+1, name)
		}
		v, err := decodeRow(r)
		if err != nil {
			return 0, err
		}
		replay.Records = append(replay.Records, v.Records...)
		replay.LastSeq++
	}
	return len(rows), nil
}

// rowKeyEnd returns a string that sorts after every row key of the log name: ':' is
// the character after '9'.
func rowKeyEnd(name string) string { return name + "/:" }
