package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/obs"
	"skylarkport/internal/workload"
)

// grounds tells whether a shard needs another owner, and after which pause. hearsay
// is true where only pings speak against the owner: one that commits is left alone.
func (o *owners) grounds(known Owned) (wait time.Duration, bad, hearsay bool) {
	n := o.node
	if known.Epoch == 0 || known.Owner == "" {
		return unownedPause, true, false
	}
	if known.Owner == n.self.Name {
		return 0, true, false // an earlier life of this instance, or a shard that ended here
	}
	if n.peers.life(known.Owner) > known.Life {
		return 0, true, false // the owner started anew: its earlier life sends nothing more
	}
	if _, _, _, live := n.peers.live(known.Owner); !live {
		return silentPause, true, true
	}
	if !n.peers.owns(known.Owner, known.Shard, known.Epoch) {
		// The row names an instance that does not run the shard: a claim may be
		// carried out after its instance gave it up. Or its word is still under way.
		return unclaimedPause, true, true
	}
	return ailingPause, known.Ailing, false
}

// noteBeat reads the beat row, to see later whether a silent owner still commits.
// The pause before a takeover counts from here.
func (o *owners) noteBeat(ctx context.Context, own *ownership) {
	v, err := o.beatVersion(ctx, own.name)
	o.mu.Lock()
	defer o.mu.Unlock()
	own.busy = false
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("beat cannot be read")
		return
	}
	own.beat, own.badSince = max(v, 1), time.Now()
}

func (o *owners) beatVersion(ctx context.Context, shard string) (int64, error) {
	r, err := o.readRow(ctx, dispatch.TableBeat, shard, dispatch.KeyBeat)
	return r.Version, err
}

// readRow reads one row; version 0 means that it does not exist.
func (o *owners) readRow(ctx context.Context, table, part, key string) (fleet.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := o.node.deps.Store.Range(ctx, table, part, key, key+"\x00")
	o.node.noteStore(err)
	if err != nil || len(p.Rows) == 0 {
		return fleet.Row{}, err
	}
	return p.Rows[0], nil
}

// takeOver writes the owner row and runs the shard, unless there is an owner after the
// one that was judged.
func (o *owners) takeOver(ctx context.Context, own *ownership, judged Owned, hearsay bool) {
	defer func() {
		o.mu.Lock()
		own.busy, own.badSince = false, time.Time{}
		o.mu.Unlock()
	}()
	row, cur, err := o.readOwner(ctx, own.name)
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("owner cannot be read")
		return
	}
	o.mu.Lock()
	beat := own.beat
	o.mu.Unlock()
	if cur.Epoch > judged.Epoch {
		o.saw([]Owned{{Shard: own.name, Epoch: cur.Epoch, Control: cur.Control, Owner: cur.Owner, Life: cur.Life}})
		if cur.Owner != o.node.self.Name {
			return // somebody else was first
		}
	}
	if hearsay {
		if v, err := o.beatVersion(ctx, own.name); err != nil || max(v, 1) != beat {
			return // the owner commits: only this instance does not reach it
		}
	}
	o.claimRow(ctx, own, row.Version, cur.Epoch)
}

func (o *owners) readOwner(ctx context.Context, shard string) (fleet.Row, ownerRow, error) {
	var cur ownerRow
	row, err := o.readRow(ctx, dispatch.TableOwner, shard, dispatch.KeyOwner)
	if err != nil || row.Version == 0 {
		return row, cur, err
	}
	return row, cur, workload.Decode(row.Value, &cur)
}

// claimRow becomes the owner if the row still has that version.
func (o *owners) claimRow(ctx context.Context, own *ownership, version, epoch int64) bool {
	n := o.node
	next := ownerRow{Owner: n.self.Name, Control: n.self.Control, Life: n.self.Life, Epoch: epoch + 1}
	tx := fleet.Tx{
		Part:   own.name,
		Expect: []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Version: version}},
		Put:    []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Value: workload.Encode(next)}},
	}
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(tctx, tx)
	n.noteStore(err)
	if err != nil && contract.OutcomeOf(err) == contract.Unknown {
		res, err = o.resolveClaim(ctx, own.name, next)
	}
	if err != nil || !res.Applied {
		logger.WithField("shard", own.name).WithField("applied", res.Applied).WithField("cause", obs.Cause(err)).Info("shard was not claimed")
		return false
	}
	o.begin(own, next, res.Version)
	return true
}

// resolveClaim finds out whether a claim without an answer was applied. A claim
// that is applied later is found by the next look at the row.
func (o *owners) resolveClaim(ctx context.Context, shard string, next ownerRow) (fleet.TxResult, error) {
	row, cur, err := o.readOwner(ctx, shard)
	if err != nil {
		return fleet.TxResult{}, err
	}
	return fleet.TxResult{Applied: cur == next, Version: row.Version}, nil
}

// begin runs a shard that this instance now owns.
func (o *owners) begin(own *ownership, row ownerRow, version int64) {
	n := o.node
	ctx, cancel := context.WithCancel(n.ctx)
	l := n.layout.Load()
	b := n.settings.Bounds
	s := dispatch.New(dispatch.Settings{
		Name: own.name, Epoch: row.Epoch, OwnerRow: version,
		Bounds: dispatch.Bounds{
			LeaseMax: b.LeaseMax.D(), GangWait: b.GangWait.D(), KeepEnded: b.KeepEnded.D(),
			EarlyStart: b.EarlyStart.D(), Impact: b.Impact.D(),
		},
		Store: n.deps.Store, Workers: n.deps.Workers, Registry: n.deps.Registry, Adviser: n.deps.Adviser,
		Config: n.Config, Mine: func(w fleet.Worker) bool { return l.ShardOf(w) == own.name },
		Steady: bootClock, Unix: n.unix, Metrics: n.dispatchMetrics,
		Others: o.othersOf(own.name, l),
	})
	done := make(chan struct{})
	o.mu.Lock()
	own.shard, own.version, own.stop, own.done = s, version, cancel, done
	own.known = Owned{Shard: own.name, Epoch: row.Epoch, Control: row.Control, Owner: row.Owner, Life: row.Life}
	own.handover = time.Now()
	o.mu.Unlock()
	logger.WithField("shard", own.name).WithField("epoch", row.Epoch).Info("shard owned")
	n.peers.announce(n.ctx)
	go func() {
		defer close(done)
		err := s.Run(ctx)
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		if own.shard == s {
			own.shard, own.stop = nil, nil
		}
		if errors.Is(err, dispatch.ErrDeposed) && own.known.Owner == n.self.Name {
			own.known.Owner, own.known.Control = "", "" // read from the store
		}
	}()
}
