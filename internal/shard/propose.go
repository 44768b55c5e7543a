package shard

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/journal"
	"skylarkport/internal/result"
)

// proposal is records on their way into the journal.
type proposal struct {
	entry   *journal.Entry
	records []*Record
	then    func() // called with the lock held once they are durable
	// late records are applied once they are durable, and dropped when the
	// condition of their extra write does not hold.
	late bool
}

// propose applies records to the decided state and queues them for the journal.
// Nothing outside may rest on them before they are durable; the proposal's
// number tells when. The lock is held.
func (o *Owner) propose(records []*Record, extra []contract.Write, then func()) uint64 {
	if o.err != nil || len(records) == 0 {
		return o.decided
	}
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		if err := o.st.Apply(r); err != nil {
			o.failLocked(err)
			return o.decided
		}
		encoded = append(encoded, r.encode())
	}
	o.decided++
	for _, r := range records {
		o.rest(r)
	}
	o.queue = append(o.queue, proposal{entry: o.log.Queue(encoded, extra), records: records, then: then})
	signal(o.queued)
	return o.decided
}

// proposeLate queues a record that depends on a row which others write too. The
// decided state follows only when it is durable. then is called at the end in
// either case. The lock is held.
func (o *Owner) proposeLate(r *Record, w contract.Write, then func()) {
	o.decided++
	e := o.log.Queue([][]byte{r.encode()}, []contract.Write{w})
	o.queue = append(o.queue, proposal{entry: e, records: []*Record{r}, then: then, late: true})
	signal(o.queued)
}

// rest makes the next order for a run wait for the newest proposal.
func (o *Owner) rest(r *Record) {
	switch {
	case r.Place != nil:
		o.runs[r.Place.Run] = &track{proposal: o.decided, started: o.now()}
		delete(o.tasks, r.Place.Run.Task)
	case r.Stop != nil:
		o.runs[r.Stop.Run].proposal = o.decided
		o.routes.Change++
	case r.Resize != nil:
		o.runs[r.Resize.Run].proposal = o.decided
	}
}

// watch follows the proposals into the journal, in their order.
func (o *Owner) watch(ctx context.Context) {
	for {
		o.mu.Lock()
		if len(o.queue) == 0 {
			o.mu.Unlock()
			select {
			case <-o.queued:
				continue
			case <-ctx.Done():
				return
			}
		}
		p := o.queue[0]
		o.queue = o.queue[1:]
		o.mu.Unlock()
		select {
		case <-p.entry.Done():
		case <-ctx.Done():
			return
		}
		seq, err := p.entry.Result()
		if p.late && contract.IsConflict(err) {
			p.records, err = nil, nil
		}
		if err != nil {
			o.fail(err)
			return
		}
		o.settled(ctx, p, seq)
	}
}

// settled takes a durable proposal in.
func (o *Owner) settled(ctx context.Context, p proposal, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range p.records {
		if err := o.durable.Apply(r); err != nil {
			o.failLocked(err)
			return
		}
		if p.late {
			_ = o.st.Apply(r) // as it was on the durable state
		}
	}
	o.stored++
	o.rows++
	if p.then != nil {
		p.then()
	}
	if o.rows >= o.cfg.SnapshotRows && !o.saving && o.complete(seq) {
		o.save(ctx, seq)
	}
}

// complete reports whether the durable state holds every record of the row seq,
// which a group commit shares among several proposals.
func (o *Owner) complete(seq uint64) bool {
	if len(o.queue) == 0 {
		return true
	}
	select {
	case <-o.queue[0].entry.Done():
		next, err := o.queue[0].entry.Result()
		return err == nil && next != seq
	default:
		return true
	}
}

// save stores a snapshot in the background.
func (o *Owner) save(ctx context.Context, seq uint64) {
	body := o.durable.Encode()
	o.saving = true
	o.rows = 0
	go func() {
		err := o.log.Snapshot(ctx, seq, body)
		if err != nil && result.Of(err) != result.Deposed && ctx.Err() == nil {
			o.logger.WithError(err).Warn("snapshot failed")
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.saving = false
	}()
}

// tick renews the promise and looks for lapsed grants.
func (o *Owner) tick(context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renew()
	o.syncFleet()
	o.lapse()
}

// renew writes the promise again when a third of it is spent. It counts from
// before the record was queued.
func (o *Owner) renew() {
	now := o.now()
	if o.renewal || !o.promise.Due(now, o.cfg.Promise) {
		return
	}
	o.renewal = true
	o.propose([]*Record{{Promise: &PromiseRecord{Length: jobDuration(o.cfg.Promise)}}}, nil, func() {
		o.renewal = false
		o.promise.Until = max(o.promise.Until, now+o.cfg.Promise)
	})
}

// away reports since when and why the tables do not answer, or nil. An owner
// that has nothing to record learns it from reading its inbox.
func (o *Owner) away() *journal.Away {
	if a := o.log.Away(); a != nil {
		return a
	}
	return o.unread.since.Load()
}

// unread says since when the inbox cannot be read.
type unread struct {
	since atomic.Pointer[journal.Away]
}

func (u *unread) note(err error) {
	switch {
	case err == nil:
		u.since.Store(nil)
	case u.since.Load() == nil:
		u.since.Store(&journal.Away{Since: time.Now(), Err: err})
	}
}
