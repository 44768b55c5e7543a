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

// batch is one group commit that is being sent.
type batch struct {
	seq     uint64
	nonce   string
	entries []*Entry
	// outcomeUnknown is true once the response to a commit of this batch was lost. A
	// delayed copy may then take effect at any time until the owner row
	// changes, so the batch must be sent again unchanged.
	outcomeUnknown bool
}

// run commits batches one after another until the log is closed or another
// instance owns it.
func (l *Log) run() {
	defer l.shutdown()
	retry := minBackoff
	for l.ctx.Err() == nil {
		select {
		case <-l.ctx.Done():
			return
		case op := <-l.operations:
			op.done <- op.run(l.ctx)
			if l.hasLostOwnership() {
				return
			}
			continue
		case <-l.wake:
		}
		if !pause.For(l.ctx, l.opt.Window-time.Since(l.lastCommitStart)) {
			return
		}
		b := l.nextBatch()
		if len(b.entries) == 0 {
			continue
		}
		err := l.commit(b, &retry)
		if result.Of(err) == result.OwnershipLost {
			l.loseOwnership()
			return
		}
	}
}

// shutdown closes the log and fails every entry that is still queued.
func (l *Log) shutdown() {
	l.mu.Lock()
	l.closed = true
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, e := range queue {
		e.finish(0, l.closedError())
	}
	l.cancel()
	close(l.done)
}

// loseOwnership records that another instance owns the log.
func (l *Log) loseOwnership() {
	if !l.hasLostOwnership() {
		close(l.ownershipLost)
	}
}

func (l *Log) hasLostOwnership() bool {
	select {
	case <-l.ownershipLost:
		return true
	default:
		return false
	}
}

// nextBatch moves entries from the queue into a batch. The batch stays within the
// limits of one commit, unless its first entry alone exceeds them, and writes each
// extra row at most once: the tables reject a transaction that names a row twice.
func (l *Log) nextBatch() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &batch{seq: l.nextSeq, nonce: uuid.NewString()}
	rows := map[contract.Key]bool{}
	records, bytes := 0, 0
	for len(l.queue) > 0 {
		e := l.queue[0]
		records += len(e.records)
		bytes += e.bytes
		full := records > l.opt.MaxRecords || bytes > l.opt.MaxBytes || len(rows)+len(e.extra) > maxExtraWrites
		if len(b.entries) > 0 && (full || writesAnyRow(rows, e.extra)) {
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

// writesAnyRow reports whether one of the writes is to a row in rows.
func writesAnyRow(rows map[contract.Key]bool, writes []contract.Write) bool {
	for _, w := range writes {
		if rows[w.Key] {
			return true
		}
	}
	return false
}

// requeue returns entries whose commit had no effect to the head of the queue,
// where withdraw can remove them again.
func (l *Log) requeue(entries []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.sent = false
	}
	l.queue = append(append([]*Entry{}, entries...), l.queue...)
	signal(l.wake)
}

// writes returns the transaction of b: the check that the owner row is unchanged,
// the insertion of the batch's row, and the extra writes of the entries.
func (l *Log) writes(b *batch) []contract.Write {
	var records [][]byte
	ws := []contract.Write{
		{Key: ownerKey(l.name), If: contract.IfVersion, Version: l.ownerVersion, Do: contract.Check},
		{Key: rowKey(l.name, b.seq), If: contract.IfAbsent, Do: contract.Put},
	}
	for _, e := range b.entries {
		records = append(records, e.records...)
		ws = append(ws, e.extra...)
	}
	ws[1].Value = encode(row{Epoch: l.owner.Epoch, Nonce: b.nonce, Records: records})
	return ws
}

// commit sends b until its outcome is known. A batch that certainly had no effect
// goes back to the queue. It returns result.OwnershipLost when another instance owns
// the log.
func (l *Log) commit(b *batch, retry *time.Duration) error {
	for {
		l.lastCommitStart = time.Now()
		_, err := l.tables.Commit(l.ctx, l.writes(b))
		if err != nil {
			err = l.determineOutcome(b, err)
		}
		switch {
		case err == nil:
			l.completeBatch(b)
			*retry = minBackoff
			return nil
		case result.Of(err) == result.OwnershipLost:
			l.failBatch(b, err)
			return err
		case contract.IsConflict(err):
			// A conflict shows that the tables respond. The outage is ended here, as
			// there may be no later commit that would end it.
			l.outage.Store(nil)
			return l.dropConflicting(b, err)
		}
		l.recordOutage(err)
		if !b.outcomeUnknown {
			l.requeue(b.entries)
			l.pause(retry)
			return err
		}
		if !l.pause(retry) {
			l.failBatch(b, result.Wrap(result.PlatformUnknown, err, "commit to "+l.name))
			return err
		}
	}
}

// determineOutcome determines the outcome of b after its commit failed with err. It
// returns nil when b took effect, result.OwnershipLost when another instance owns the
// log, and the conflict when the condition of an extra write does not hold. Any
// other error means that b had no effect or, if b.outcomeUnknown is set, that its
// outcome is still unknown.
func (l *Log) determineOutcome(b *batch, err error) error {
	if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
		return err
	}
	if !contract.IsConflict(err) {
		b.outcomeUnknown = true
	}
	r, readErr := l.tables.Read(l.ctx, rowKey(l.name, b.seq))
	if readErr == nil {
		v, decodeErr := decodeRow(r)
		if decodeErr == nil && v.Nonce == b.nonce {
			return nil
		}
		return result.Errorf(result.OwnershipLost, "row %d of %s was written by another instance", b.seq, l.name)
	}
	if !contract.IsNotFound(readErr) {
		return result.Wrap(result.PlatformUnknown, readErr, "read journal row to determine the outcome of a commit")
	}
	return l.determineOutcomeAbsent(b, err)
}

// determineOutcomeAbsent is the part of determineOutcome for a batch whose row does
// not exist.
func (l *Log) determineOutcomeAbsent(b *batch, err error) error {
	o, version, readErr := readOwner(l.ctx, l.tables, l.name)
	switch {
	case readErr != nil:
		return result.Wrap(result.PlatformUnknown, readErr, "read owner row to determine the outcome of a commit")
	case version == l.ownerVersion:
		if contract.IsConflict(err) {
			return err
		}
		return result.Wrap(result.PlatformUnknown, err, "commit")
	case b.outcomeUnknown && o.FirstSeq > b.seq:
		// Another owner has trimmed this sequence, so it is unknown whether the row
		// of b existed.
		return ownershipLostUnknown(l.name)
	}
	return result.Errorf(result.OwnershipLost, "%s is owned by %s", l.name, o.Instance)
}

// ownershipLostUnknown returns an error that is result.OwnershipLost for the log and whose
// cause is result.PlatformUnknown; failBatch passes the cause on to the entries.
func ownershipLostUnknown(name string) error {
	cause := result.Errorf(result.PlatformUnknown, "the new owner has trimmed the journal row")
	return result.Wrap(result.OwnershipLost, cause, name)
}

// dropConflicting fails the entries whose extra write conflicts and puts the
// others back into the queue. If the outcome of an earlier attempt is unknown, it
// rewrites the owner row first, so that no delayed copy of b can take effect
// later. Where the error names no row, every entry with extra writes fails.
func (l *Log) dropConflicting(b *batch, err error) error {
	if b.outcomeUnknown {
		if ferr := l.fenceBatch(b); ferr != nil {
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
		if named && !writesRow(e.extra, call.Row) || !named && len(e.extra) == 0 {
			rest = append(rest, e)
			continue
		}
		e.finish(0, err)
	}
	l.requeue(rest)
	return err
}

// writesRow reports whether one of the writes is to the row key.
func writesRow(writes []contract.Write, key contract.Key) bool {
	for _, w := range writes {
		if w.Key == key {
			return true
		}
	}
	return false
}

// fenceBatch rewrites the owner row, so that every delayed copy of b fails its check,
// and then reads whether one took effect before. If so, it completes the entries
// and empties b.
func (l *Log) fenceBatch(b *batch) error {
	if err := l.writeOwner(l.ctx, l.owner); err != nil {
		l.failBatch(b, result.Wrap(result.PlatformUnknown, err, "rewrite owner row of "+l.name))
		return err
	}
	for retry := minBackoff; ; {
		r, err := l.tables.Read(l.ctx, rowKey(l.name, b.seq))
		if contract.IsNotFound(err) {
			b.outcomeUnknown = false
			return nil
		}
		if err == nil {
			if v, derr := decodeRow(r); derr == nil && v.Nonce == b.nonce {
				l.completeBatch(b)
				b.entries = nil
				return nil
			}
			err = result.Errorf(result.OwnershipLost, "row %d of %s was written by another instance", b.seq, l.name)
			l.failBatch(b, err)
			return err
		}
		if !l.pause(&retry) {
			l.failBatch(b, result.Wrap(result.PlatformUnknown, err, "read journal row of "+l.name))
			return err
		}
	}
}

// writeOwner replaces this owner's row by o with a new nonce, and retries until
// the write took effect. The nonce shows whether a write without a response did.
// It returns result.OwnershipLost when another instance has written the row.
func (l *Log) writeOwner(ctx context.Context, o Owner) error {
	o.Nonce = uuid.NewString()
	w := contract.Write{Key: ownerKey(l.name), If: contract.IfVersion, Version: l.ownerVersion, Do: contract.Put, Value: encode(o)}
	for retry := minBackoff; ; {
		vs, err := l.tables.Commit(ctx, []contract.Write{w})
		if err == nil {
			l.owner, l.ownerVersion = o, vs[0]
			return nil
		}
		if contract.IsConflict(err) || contract.OutcomeOf(err) == contract.Unknown {
			current, version, rerr := readOwner(ctx, l.tables, l.name)
			switch {
			case rerr != nil:
			case current.Nonce == o.Nonce:
				l.owner, l.ownerVersion = o, version
				return nil
			case version != l.ownerVersion:
				l.loseOwnership()
				return result.Errorf(result.OwnershipLost, "%s is owned by %s", l.name, current.Instance)
			}
		}
		if !pause.For(ctx, nextBackoff(&retry)) {
			return result.Wrap(result.JournalUnavailable, err, "write owner row of "+l.name)
		}
	}
}

// completeBatch advances the sequence and completes the entries of b.
func (l *Log) completeBatch(b *batch) {
	l.nextSeq = b.seq + 1
	l.commits.Add(1)
	l.outage.Store(nil)
	for _, e := range b.entries {
		e.finish(b.seq, nil)
	}
}

// failBatch ends every entry of b with err. If err wraps a result.PlatformUnknown, the
// entries get that error instead, because they may have taken effect.
func (l *Log) failBatch(b *batch, err error) {
	var inner *result.Error
	if errors.As(errors.UnwrapOnce(err), &inner) && inner.Code == result.PlatformUnknown {
		err = inner
	}
	for _, e := range b.entries {
		e.finish(0, err)
	}
}

// recordOutage records in the Outage that a commit failed with err. The Outage began at
// the first such failure since the tables last responded with a success or a conflict;
// commits are still attempted.
func (l *Log) recordOutage(err error) {
	o := &Outage{Since: time.Now(), Err: err}
	if old := l.outage.Load(); old != nil {
		o.Since = old.Since
	}
	l.outage.Store(o)
}

// pause waits before a retry. It returns false when the log is closed meanwhile.
func (l *Log) pause(retry *time.Duration) bool { return pause.For(l.ctx, nextBackoff(retry)) }

// nextBackoff returns the present wait and doubles d up to its maximum.
func nextBackoff(d *time.Duration) time.Duration {
	current := *d
	*d = min(current*2, maxBackoff)
	return current
}
