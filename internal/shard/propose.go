package shard

import (
	"context"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/journal"
	"skylarkport/internal/result"
)

// proposal is a group of records that is being written to the journal.
type proposal struct {
	entry   *journal.Entry
	records []*Record
	onDone  func() // called with Owner.mu held once the records are durable or dropped
	// A conditional proposal is applied to the decided state only once it is
	// durable, and dropped if the condition of its extra write fails.
	conditional bool
}

// propose applies records to the decided state and queues them for the journal. No
// command may be sent for them before they are durable, that is, before lastDurable
// reaches the returned number of the proposal. The caller holds o.mu.
func (o *Owner) propose(records []*Record, extra []contract.Write, onDone func()) uint64 {
	if o.err != nil || len(records) == 0 {
		return o.lastProposal
	}
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		if err := o.decidedState.Apply(r); err != nil {
			o.failLocked(err)
			return o.lastProposal
		}
		encoded = append(encoded, r.encode())
	}
	o.lastProposal++
	for _, r := range records {
		o.trackProposal(r)
	}
	o.queue = append(o.queue, proposal{entry: o.log.Queue(encoded, extra), records: records, onDone: onDone})
	signal(o.queueChanged)
	return o.lastProposal
}

// proposeConditional queues a record together with the conditional write of a row
// that other shards write too. The decided state changes only once the record is
// durable. onDone is called whether or not the condition held. The caller holds
// o.mu.
func (o *Owner) proposeConditional(r *Record, w contract.Write, onDone func()) {
	o.lastProposal++
	e := o.log.Queue([][]byte{r.encode()}, []contract.Write{w})
	o.queue = append(o.queue, proposal{entry: e, records: []*Record{r}, onDone: onDone, conditional: true})
	signal(o.queueChanged)
}

// trackProposal makes the next command for the record's run wait until the newest
// proposal is durable.
func (o *Owner) trackProposal(r *Record) {
	switch {
	case r.Place != nil:
		o.runs[r.Place.Run] = &runInfo{proposal: o.lastProposal, started: o.now()}
		delete(o.waits, r.Place.Run.Task)
	case r.Stop != nil:
		o.runs[r.Stop.Run].proposal = o.lastProposal
		o.routesVersion.Change++
	case r.Resize != nil:
		o.runs[r.Resize.Run].proposal = o.lastProposal
	}
}

// watchProposals waits for the proposals in their order and applies each to the
// durable state once the journal holds it.
func (o *Owner) watchProposals(ctx context.Context) {
	for {
		o.mu.Lock()
		if len(o.queue) == 0 {
			o.mu.Unlock()
			select {
			case <-o.queueChanged:
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
		if p.conditional && contract.IsConflict(err) {
			p.records, err = nil, nil
		}
		if err != nil {
			o.fail(err)
			return
		}
		o.applyDurable(ctx, p, seq)
	}
}

// applyDurable applies a durable proposal to the durable state and starts a snapshot
// when one is due.
func (o *Owner) applyDurable(ctx context.Context, p proposal, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range p.records {
		if err := o.durableState.Apply(r); err != nil {
			o.failLocked(err)
			return
		}
		if p.conditional {
			_ = o.decidedState.Apply(r) // succeeded on the durable state above
		}
	}
	o.lastDurable++
	o.sinceSnapshot++
	if p.onDone != nil {
		p.onDone()
	}
	if o.sinceSnapshot >= o.cfg.SnapshotRows && !o.snapshotting && o.rowComplete(seq) {
		o.saveSnapshot(ctx, seq)
	}
}

// rowComplete reports whether the durable state includes every record of journal
// row seq. A group commit may put several proposals into one row, and a snapshot
// may only be taken between rows.
func (o *Owner) rowComplete(seq uint64) bool {
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

// saveSnapshot stores a snapshot of the durable state in the background.
func (o *Owner) saveSnapshot(ctx context.Context, seq uint64) {
	body := o.durableState.Encode()
	o.snapshotting = true
	o.sinceSnapshot = 0
	go func() {
		err := o.log.Snapshot(ctx, seq, body)
		if err != nil && result.Of(err) != result.OwnershipLost && ctx.Err() == nil {
			o.logger.WithError(err).Warn("storing a snapshot of the shard failed")
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.snapshotting = false
	}()
}

// renewAndExpire renews the lease bound (the recorded limit of every worker's lease),
// updates the list of workers and ends the runs of workers whose leases expired.
func (o *Owner) renewAndExpire(context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewLeaseBound()
	o.syncWorkers()
	o.endExpiredRuns()
}

// renewLeaseBound records the lease bound again when a third of it has passed. The
// new bound counts from before the record was queued. It ends before the bound of a
// successor, which counts from its read of the durable record.
func (o *Owner) renewLeaseBound() {
	now := o.now()
	if o.renewingBound || !o.leaseBound.RenewalDue(now, o.cfg.LeaseBound) {
		return
	}
	o.renewingBound = true
	o.propose([]*Record{{LeaseBound: &LeaseBoundRecord{Length: jobDuration(o.cfg.LeaseBound)}}}, nil, func() {
		o.renewingBound = false
		o.leaseBound.Until = max(o.leaseBound.Until, now+o.cfg.LeaseBound)
	})
}

// tableOutage returns since when and why the tables do not answer, or nil if they
// answer. It includes failed reads of the inbox, so that an owner with nothing to
// record notices an outage too.
func (o *Owner) tableOutage() *journal.Outage {
	if outage := o.log.Outage(); outage != nil {
		return outage
	}
	return o.inboxOutage.since.Load()
}

// inboxOutage records since when and why the inbox cannot be read.
type inboxOutage struct {
	since atomic.Pointer[journal.Outage]
}

func (o *inboxOutage) record(err error) {
	switch {
	case err == nil:
		o.since.Store(nil)
	case o.since.Load() == nil:
		o.since.Store(&journal.Outage{Since: time.Now(), Err: err})
	}
}
