package journal

import (
	"context"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// trimBatchRows is the number of rows that trim deletes in one transaction.
const trimBatchRows = 100

// Snapshot stores body as the state after all records up to and including the
// sequence number through, and deletes the rows that it covers. The object's name
// contains the epoch, so that an earlier owner cannot overwrite it.
func (l *Log) Snapshot(ctx context.Context, through uint64, body []byte) error {
	name := objectName(l.name, l.epoch, through)
	if err := l.objects.Put(ctx, name, body); err != nil {
		return result.Wrap(result.JournalUnavailable, err, "store snapshot of "+l.name)
	}
	var old string
	err := l.runBetweenCommits(ctx, func(run context.Context) error {
		o := l.owner
		old, o.Snapshot = o.Snapshot, name
		o.FirstSeq = through + 1
		return l.writeOwner(run, o)
	})
	if err != nil {
		return err
	}
	if old != "" && old != name {
		if err := l.objects.Delete(ctx, old); err != nil {
			return result.Wrap(result.JournalUnavailable, err, "delete snapshot "+old)
		}
	}
	return l.trim(ctx, through)
}

// trim deletes the rows up to and including through. The deletes need no
// condition: the owner row already names a snapshot that covers these rows, and no
// later owner reads or writes below it.
func (l *Log) trim(ctx context.Context, through uint64) error {
	for {
		rows, err := l.tables.Scan(ctx, RowTable, rowKey(l.name, 0).Row, rowKey(l.name, through+1).Row, trimBatchRows)
		if err != nil {
			return result.Wrap(result.JournalUnavailable, err, "read journal rows to trim of "+l.name)
		}
		if len(rows) == 0 {
			return nil
		}
		ws := make([]contract.Write, len(rows))
		for i, r := range rows {
			ws[i] = contract.Write{Key: r.Key, If: contract.Always, Do: contract.Delete}
		}
		if _, err := l.tables.Commit(ctx, ws); err != nil {
			return result.Wrap(result.JournalUnavailable, err, "delete journal rows of "+l.name)
		}
	}
}
