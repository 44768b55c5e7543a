package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

// batch is one group commit on its way.
type batch struct {
	seq     uint64
	nonce   string
	entries []*Entry
	// unknown is true once an answer was lost: the batch may take effect at
	// any time until the owner row changes, so it is never altered.
	unknown bool
}

// run commits batches one after another until the log is closed or deposed.
func (l *Log) run() {
	defer l.end()
	retry := retryMin
	for l.ctx.Err() == nil {
		select {
		case <-l.ctx.Done():
			return
		case t := <-l.tasks:
			t.done <- t.do(l.ctx)
			if l.isDeposed() {
				return
			}
			continue
		case <-l.wake:
		}
		if !pause.For(l.ctx, l.opt.Window-time.Since(l.started)) {
			return
		}
		b := l.take()
		if len(b.entries) == 0 {
			continue
		}
		err := l.commit(b, &retry)
		if result.Of(err) == result.Deposed {
			l.depose()
			return
		}
	}
}

// end fails whatever is still queued.
func (l *Log) end() {
	l.mu.Lock()
	l.closed = true
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, e := range queue {
		e.finish(0, l.endError())
	}
	l.stop()
	close(l.done)
}

func (l *Log) depose() {
	if !l.isDeposed() {
		close(l.deposed)
	}
}

func (l *Log) isDeposed() bool {
	select {
	case <-l.deposed:
		return true
	default:
		return false
	}
}

// take moves entries from the queue into a batch, within the limits of one
// commit and with at most one write per row.
func (l *Log) take() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &batch{seq: l.next, nonce: uuid.NewString()}
	rows := map[contract.Key]bool{}
	records, bytes := 0, 0
	for len(l.queue) > 0 {
		e := l.queue[0]
		records += len(e.records)
		bytes += e.bytes
		full := records > l.opt.MaxRecords || bytes > l.opt.MaxBytes || len(rows)+len(e.extra) > maxExtra
		if len(b.entries) > 0 && (full || overlap(rows, e.extra)) {
			signal(l.wake)
			break
		}
		for _, w := range e.extra {
			rows[w.Key] = true
		}
		e.sent = true
		b.entries = append(b.entries, e)
		l.queue = l.queue[1:]
	}
	return b
}

func overlap(rows map[contract.Key]bool, writes []contract.Write) bool {
	for _, w := range writes {
		if rows[w.Key] {
			return true
		}
	}
	return false
}

// putBack returns the entries of a batch that had no effect to the head of the
// queue, where they can be withdrawn.
func (l *Log) putBack(entries []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.sent = false
	}
	l.queue = append(append([]*Entry{}, entries...), l.queue...)
	signal(l.wake)
}

func (l *Log) writes(b *batch) []contract.Write {
	var records [][]byte
	ws := []contract.Write{
		{Key: ownerKey(l.name), If: contract.IfVersion, Version: l.version, Do: contract.Check},
		{Key: rowKey(l.name, b.seq), If: contract.IfAbsent, Do: contract.Put},
	}
	for _, e := range b.entries {
		records = append(records, e.records...)
		ws = append(ws, e.extra...)
	}
	ws[1].Value = encode(row{Epoch: l.owner.Epoch, Nonce: b.nonce, Records: records})
	return ws
}

// commit sends b until its fate is known. It returns result.Deposed when
// another instance owns the log.
func (l *Log) commit(b *batch, retry *time.Duration) error {
	for {
		l.started = time.Now()
		_, err := l.tables.Commit(l.ctx, l.writes(b))
		if err != nil {
			err = l.resolve(b, err)
		}
		switch {
		case err == nil:
			l.succeed(b)
			*retry = retryMin
			return nil
		case result.Of(err) == result.Deposed:
			l.fail(b, err)
			return err
		case contract.IsConflict(err):
			l.away.Store(nil) // a conflict is an answer, and no other commit may follow
			return l.dropConflicting(b, err)
		}
		l.failing(err)
		if !b.unknown {
			l.putBack(b.entries)
			l.pause(retry)
			return err
		}
		if !l.pause(retry) {
			l.fail(b, result.Wrap(result.PlatformUnknown, err, "commit to "+l.name))
			return err
		}
	}
}

// resolve finds out what became of b after the error err of its commit. It
// returns nil when b took effect, result.Deposed, the conflict of an extra
// write, or another error when the fate is open or nothing happened.
func (l *Log) resolve(b *batch, err error) error {
	if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
		return err
	}
	if !contract.IsConflict(err) {
		b.unknown = true
	}
	r, readErr := l.tables.Read(l.ctx, rowKey(l.name, b.seq))
	if readErr == nil {
		v, decodeErr := decodeRow(r)
		if decodeErr == nil && v.Nonce == b.nonce {
			return nil
		}
		return result.Errorf(result.Deposed, "row %d of %s is another's", b.seq, l.name)
	}
	if !contract.IsNotFound(readErr) {
		return result.Wrap(result.PlatformUnknown, readErr, "resolve commit")
	}
	return l.resolveAbsent(b, err)
}

// resolveAbsent goes on where the row of b does not exist.
func (l *Log) resolveAbsent(b *batch, err error) error {
	o, version, readErr := readOwner(l.ctx, l.tables, l.name)
	switch {
	case readErr != nil:
		return result.Wrap(result.PlatformUnknown, readErr, "resolve commit")
	case version == l.version:
		if contract.IsConflict(err) {
			return err
		}
		return result.Wrap(result.PlatformUnknown, err, "commit")
	case b.unknown && o.First > b.seq:
		// Another owner trimmed the row, if it was there.
		return deposedUnknown(l.name)
	}
	return result.Errorf(result.Deposed, "%s is owned by %s", l.name, o.Instance)
}

// deposedUnknown is result.Deposed for the log and result.PlatformUnknown for
// the entries; see fail.
func deposedUnknown(name string) error {
	cause := result.Errorf(result.PlatformUnknown, "the row was trimmed")
	return result.Wrap(result.Deposed, cause, name)
}

// dropConflicting fails the entries whose extra write conflicts and puts the
// others back. Where an answer of b was lost, the owner row is written anew
// first, so that no delayed copy of b can take effect later.
func (l *Log) dropConflicting(b *batch, err error) error {
	if b.unknown {
		if ferr := l.fence(b); ferr != nil {
			return ferr
		}
		if len(b.entries) == 0 {
			return nil
		}
	}
	var call *contract.CallError
	named := errors.As(err, &call) && call.Row != contract.Key{}
	var rest []*Entry
	for _, e := range b.entries {
		if named && !has(e.extra, call.Row) || !named && len(e.extra) == 0 {
			rest = append(rest, e)
			continue
		}
		e.finish(0, err)
	}
	l.putBack(rest)
	return err
}

func has(writes []contract.Write, key contract.Key) bool {
	for _, w := range writes {
		if w.Key == key {
			return true
		}
	}
	return false
}

// fence makes every commit of b on its way fail, and then looks whether one
// took effect before. It empties b when one did.
func (l *Log) fence(b *batch) error {
	if err := l.writeOwner(l.ctx, l.owner); err != nil {
		l.fail(b, result.Wrap(result.PlatformUnknown, err, "fence "+l.name))
		return err
	}
	for retry := retryMin; ; {
		r, err := l.tables.Read(l.ctx, rowKey(l.name, b.seq))
		if contract.IsNotFound(err) {
			b.unknown = false
			return nil
		}
		if err == nil {
			if v, derr := decodeRow(r); derr == nil && v.Nonce == b.nonce {
				l.succeed(b)
				b.entries = nil
				return nil
			}
			err = result.Errorf(result.Deposed, "row %d of %s is another's", b.seq, l.name)
			l.fail(b, err)
			return err
		}
		if !l.pause(&retry) {
			l.fail(b, result.Wrap(result.PlatformUnknown, err, "fence "+l.name))
			return err
		}
	}
}

// writeOwner writes o over this owner's row, with a new nonce, until it took
// effect. It returns result.Deposed when the row is another's.
func (l *Log) writeOwner(ctx context.Context, o Owner) error {
	o.Nonce = uuid.NewString()
	w := contract.Write{Key: ownerKey(l.name), If: contract.IfVersion, Version: l.version, Do: contract.Put, Value: encode(o)}
	for retry := retryMin; ; {
		vs, err := l.tables.Commit(ctx, []contract.Write{w})
		if err == nil {
			l.owner, l.version = o, vs[0]
			return nil
		}
		if contract.IsConflict(err) || contract.OutcomeOf(err) == contract.Unknown {
			now, version, rerr := readOwner(ctx, l.tables, l.name)
			switch {
			case rerr != nil:
			case now.Nonce == o.Nonce:
				l.owner, l.version = o, version
				return nil
			case version != l.version:
				l.depose()
				return result.Errorf(result.Deposed, "%s is owned by %s", l.name, now.Instance)
			}
		}
		if !pause.For(ctx, backoff(&retry)) {
			return result.Wrap(result.JournalAway, err, "owner row of "+l.name)
		}
	}
}

func (l *Log) succeed(b *batch) {
	l.next = b.seq + 1
	l.commits.Add(1)
	l.away.Store(nil)
	for _, e := range b.entries {
		e.finish(b.seq, nil)
	}
}

// fail ends every entry of b with err. An entry that may have taken effect ends
// with result.PlatformUnknown.
func (l *Log) fail(b *batch, err error) {
	var inner *result.Error
	if errors.As(errors.UnwrapOnce(err), &inner) && inner.Code == result.PlatformUnknown {
		err = inner
	}
	for _, e := range b.entries {
		e.finish(0, err)
	}
}

func (l *Log) failing(err error) {
	a := &Away{Since: time.Now(), Err: err}
	if old := l.away.Load(); old != nil {
		a.Since = old.Since
	}
	l.away.Store(a)
}

func (l *Log) pause(retry *time.Duration) bool { return pause.For(l.ctx, backoff(retry)) }

func backoff(d *time.Duration) time.Duration {
	now := *d
	*d = min(now*2, retryMax)
	return now
}
