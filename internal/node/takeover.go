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

// takeoverReason reports whether a shard needs another owner, and after which delay.
// unconfirmed is true if the only evidence is that the owner sends no pings, or pings
// that do not list the shard: such an owner keeps the shard while it still commits to
// the store.
func (o *owners) takeoverReason(known OwnedShard) (wait time.Duration, needed, unconfirmed bool) {
	n := o.node
	if known.Epoch == 0 || known.Owner == "" {
		return unownedDelay, true, false
	}
	if known.Owner == n.self.Name {
		return 0, true, false // an earlier incarnation of this instance, or a shard that ended here
	}
	if n.peers.incarnation(known.Owner) > known.Incarnation {
		return 0, true, false // the owner restarted; its earlier incarnation has ended
	}
	if _, _, _, live := n.peers.live(known.Owner); !live {
		return silentDelay, true, true
	}
	if !n.peers.owns(known.Owner, known.Shard, known.Epoch) {
		// The row names an instance that does not run the shard. Either the store
		// applied a claim after its instance had given it up, or the instance's first
		// ping with the shard has not arrived yet.
		return unclaimedDelay, true, true
	}
	return unhealthyDelay, known.Unhealthy, false
}

// isStale reports whether the known owner of a shard responds and does not list the shard.
// An owner pings the owners that it knows, so two instances that take shards over at the same
// time ping each other's predecessors and do not learn of each other.
func (o *owners) isStale(known OwnedShard) bool {
	p := o.node.peers
	if known.Epoch == 0 || known.Owner == "" || known.Owner == o.node.self.Name {
		return false
	}
	_, _, _, live := p.live(known.Owner)
	return live && !p.owns(known.Owner, known.Shard, known.Epoch)
}

// refreshOwner reads the owner of a shard from the store in the background, at most once in
// ownerReadInterval.
func (o *owners) refreshOwner(ctx context.Context, own *ownership) {
	o.mu.Lock()
	due := time.Since(own.ownerRead) > ownerReadInterval
	if due {
		own.ownerRead = time.Now()
	}
	o.mu.Unlock()
	if !due {
		return
	}
	go func() {
		_, cur, err := o.readOwner(ctx, own.name)
		if err != nil {
			logger.WithField("shard", own.name).WithError(err).Debug("reading the owner row failed")
			return
		}
		o.observe([]OwnedShard{cur.report(own.name)})
	}()
}

// recordHeartbeatVersion reads the version of the shard's heartbeat row and starts the delay
// before a takeover. If the version has changed by the end of the delay, the owner still
// commits and keeps the shard.
func (o *owners) recordHeartbeatVersion(ctx context.Context, own *ownership) {
	v, err := o.readHeartbeatVersion(ctx, own.name)
	o.mu.Lock()
	defer o.mu.Unlock()
	own.busy = false
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("reading the heartbeat row failed")
		return
	}
	own.heartbeatVersion, own.takeoverDelayStart = max(v, 1), time.Now()
}

func (o *owners) readHeartbeatVersion(ctx context.Context, shard string) (int64, error) {
	r, err := o.readRow(ctx, dispatch.TableHeartbeat, shard, dispatch.KeyHeartbeat)
	return r.Version, err
}

// readRow reads one row. A row that does not exist has version 0.
func (o *owners) readRow(ctx context.Context, table, part, key string) (fleet.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := o.node.deps.Store.Range(ctx, table, part, key, key+"\x00", 0)
	o.node.recordStoreResult(err)
	if err != nil || len(p.Rows) == 0 {
		return fleet.Row{}, err
	}
	return p.Rows[0], nil
}

// takeOver writes the owner row and starts the shard. It does nothing if another instance
// has taken the shard over since observed, or if the reason is unconfirmed and the
// heartbeat row shows that the owner still commits.
func (o *owners) takeOver(ctx context.Context, own *ownership, observed OwnedShard, unconfirmed bool) {
	defer func() {
		o.mu.Lock()
		own.busy, own.takeoverDelayStart = false, time.Time{}
		o.mu.Unlock()
	}()
	row, cur, err := o.readOwner(ctx, own.name)
	if err != nil {
		logger.WithField("shard", own.name).WithError(err).Debug("reading the owner row failed")
		return
	}
	o.mu.Lock()
	heartbeatVersion := own.heartbeatVersion
	o.mu.Unlock()
	if cur.Epoch > observed.Epoch {
		o.observe([]OwnedShard{cur.report(own.name)})
		if cur.Owner != o.node.self.Name {
			return // another instance has taken the shard over
		}
	}
	if unconfirmed {
		if v, err := o.readHeartbeatVersion(ctx, own.name); err != nil || max(v, 1) != heartbeatVersion {
			return // the owner still commits; only this instance does not reach it
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

// claimRow makes this instance the owner if the owner row still has that version, and
// starts the shard.
func (o *owners) claimRow(ctx context.Context, own *ownership, version, epoch int64) bool {
	n := o.node
	next := ownerRow{Owner: n.self.Name, Control: n.self.Control, Incarnation: n.self.Incarnation, Epoch: epoch + 1}
	tx := fleet.Tx{
		Part:   own.name,
		Expect: []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Version: version}},
		Put:    []fleet.Row{{Table: dispatch.TableOwner, Key: dispatch.KeyOwner, Value: workload.Encode(next)}},
	}
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(tctx, tx)
	n.recordStoreResult(err)
	if err != nil && contract.OutcomeOf(err) == contract.Unknown {
		res, err = o.resolveClaim(ctx, own.name, next)
	}
	if err != nil || !res.Applied {
		logger.WithField("shard", own.name).WithField("applied", res.Applied).WithField("cause", obs.ErrorText(err)).Info("shard was not claimed")
		return false
	}
	o.startShard(own, next, res.Version)
	return true
}

// resolveClaim reads whether a claim with an unknown outcome was applied. If the store
// applies it only later, the next read of the row shows it.
func (o *owners) resolveClaim(ctx context.Context, shard string, next ownerRow) (fleet.TxResult, error) {
	row, cur, err := o.readOwner(ctx, shard)
	if err != nil {
		return fleet.TxResult{}, err
	}
	return fleet.TxResult{Applied: cur == next, Version: row.Version}, nil
}

// features returns the policies that the settings switch on.
func (n *Node) features() dispatch.Features {
	f, stop := &n.settings.Features, n.settings.Bounds.Stop.D()
	return dispatch.Features{
		Admission: f.Enabled(f.Admission, stop), Order: f.Enabled(f.Order, stop), Reservations: f.Enabled(f.Reservations, stop),
	}
}

// bounds returns the limits that the platform sets.
func (n *Node) bounds() dispatch.Bounds {
	b := n.settings.Bounds
	return dispatch.Bounds{
		LeaseMax: b.LeaseMax.D(), GangWait: b.GangWait.D(), EndedRetention: b.EndedRetention.D(),
		EarlyStart: b.EarlyStart.D(), MaxOverTarget: b.MaxOverTarget.D(), Stop: b.Stop.D(), RowBytes: b.RowBytes,
	}
}

// shardSettings returns the settings of a shard but for its epoch.
func (o *owners) shardSettings(name string) dispatch.Settings {
	n := o.node
	l := n.layout.Load()
	return dispatch.Settings{
		Name:     name,
		Bounds:   n.bounds(),
		Features: n.features(),
		Store:    n.deps.Store, Workers: n.deps.Workers, Registry: n.deps.Registry, Adviser: n.deps.Adviser,
		Zones:  dispatch.ZoneSettings{Source: n.deps.Zones, Known: n.settings.Zones, Bound: n.settings.Bounds.Evacuate.D()},
		Config: n.Config, BelongsToShard: func(w fleet.Worker) bool { return l.ShardOf(w) == name },
		SteadyClock: bootClock, WallClock: n.wallTime, Metrics: n.dispatchMetrics,
		OtherShards: o.otherShardsOf(name, l), StoreLink: n.storeLink, JobMemory: n.jobMemory,
	}
}

// startShard runs a shard that this instance now owns.
func (o *owners) startShard(own *ownership, row ownerRow, version int64) {
	n := o.node
	ctx, cancel := context.WithCancel(n.ctx)
	cfg := o.shardSettings(own.name)
	cfg.Epoch, cfg.OwnerRow = row.Epoch, version
	cfg.Prefetched, cfg.Handoff = o.takePrepared(own)
	s := dispatch.New(cfg)
	done := make(chan struct{})
	o.mu.Lock()
	own.shard, own.version, own.stop, own.done = s, version, cancel, done
	own.known = row.report(own.name)
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
		if errors.Is(err, dispatch.ErrOwnershipLost) && own.known.Owner == n.self.Name {
			own.known.Owner, own.known.Control = "", "" // the next check reads the owner from the store
		}
	}()
}
