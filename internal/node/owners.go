package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/pause"
)

const (
	// ownerCheck is the interval between checks of all shards' owners.
	ownerCheck = 100 * time.Millisecond
	// Delays before an instance takes over a shard, by the takeover reason. Each
	// higher-ranked candidate adds takeoverDelayPerRank, so that it can act first.
	unownedDelay         = 300 * time.Millisecond
	silentDelay          = 700 * time.Millisecond
	unhealthyDelay       = 900 * time.Millisecond
	unclaimedDelay       = 1200 * time.Millisecond // three pings
	takeoverDelayPerRank = 500 * time.Millisecond
	// preferredOwnerDelay is how long a higher-ranked candidate must have been alive
	// before the owner hands a shard over to it, and the minimum time between two
	// handovers of a shard.
	preferredOwnerDelay = 4 * time.Second
	// ownerReadInterval is the least time between two reads of an owner row that replace
	// stale knowledge of the owner.
	ownerReadInterval = time.Second
	// drainTimeout bounds the wait for scheduling decisions to become durable in a
	// handover.
	drainTimeout = 1200 * time.Millisecond
	// claimTimeout bounds the call in which the new owner claims the shard.
	claimTimeout = 900 * time.Millisecond
	// storeTimeout bounds a read or write of a single row.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause between attempts of operations that are retried without
	// limit.
	retryPause = 150 * time.Millisecond
)

// ownerRow is the value of a shard's owner row.
type ownerRow struct {
	Owner       string `json:"owner"`
	Control     string `json:"control"`
	Incarnation int64  `json:"life"`
	Epoch       int64  `json:"epoch"`
}

// report returns the row as a report of the shard's owner.
func (r *ownerRow) report(shard string) OwnedShard {
	return OwnedShard{Shard: shard, Epoch: r.Epoch, Control: r.Control, Owner: r.Owner, Incarnation: r.Incarnation}
}

// ownership holds what this instance knows about one shard and its owner.
type ownership struct {
	name               string
	known              OwnedShard // newest report or stored row; Epoch 0 for none
	lastReport         time.Time  // when the owner last reported the shard
	recentlySent       []sentJob  // jobs sent there within sentJobTTL
	shard              *dispatch.Shard
	version            int64         // of the owner row, while this instance owns the shard
	stop               func()        // ends the shard
	done               chan struct{} // closed when the shard has ended
	takeoverDelayStart time.Time     // start of the delay before a takeover; zero without a takeover reason
	heartbeatVersion   int64         // version of the heartbeat row when the delay began; 0 if not read
	busy               bool          // a takeover or handover is under way
	handover           time.Time     // last attempt to hand the shard over
	ownerRead          time.Time     // when refreshOwner last read the owner row
	preparing          bool          // the rows are being prefetched
	prefetched         *dispatch.Prefetched
	handoff            *dispatch.Handoff // received with the claim under way
	inboxBytes         int64             // of jobs that this instance stored in the inbox since an owner reported that it has room
}

// owners manages the ownership of all shards.
type owners struct {
	node *Node

	mu     sync.Mutex
	shards map[string]*ownership
	handed map[string]int // handovers under way, by the name of the instance that is to take over
}

func newOwners(n *Node) *owners {
	return &owners{node: n, shards: map[string]*ownership{}, handed: map[string]int{}}
}

// addShards adds an entry for each shard of the layout.
func (o *owners) addShards(l *Layout) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range l.Shards() {
		if o.shards[name] == nil {
			o.shards[name] = &ownership{name: name}
		}
	}
}

// observe records a peer's report of the shards that it owns. A report with a
// higher epoch than that of a shard run here stops the shard.
func (o *owners) observe(list []OwnedShard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, owned := range list {
		own := o.shards[owned.Shard]
		if own == nil || owned.Epoch < own.known.Epoch {
			continue
		}
		if owned.Epoch > own.known.Epoch && own.shard != nil && own.shard.Epoch() < owned.Epoch && own.stop != nil {
			own.stop()
		}
		if l := &owned.Load; l.Capacity > 0 || l.Closed || l.Empty || len(l.Kinds) > 0 {
			own.lastReport = time.Now()
		} else {
			owned.Load = own.known.Load // sent before the owner knew that this instance owns a shard
		}
		own.known = owned
		own.ownerHasRoom(!owned.Loading && !owned.Full)
	}
}

// ownerHasRoom records whether the owner of the shard has its rows, and room for more jobs.
func (own *ownership) ownerHasRoom(room bool) {
	if room {
		own.inboxBytes = 0
	}
}

// lastKnownOwner returns the last known owner of a shard.
func (o *owners) lastKnownOwner(shard string) (OwnedShard, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	if own == nil || own.known.Epoch == 0 || own.known.Control == "" {
		return OwnedShard{}, false
	}
	return own.known, true
}

// localShard returns the shard if this instance owns it, or nil.
func (o *owners) localShard(shard string) *dispatch.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.shards[shard]; own != nil {
		return own.shard
	}
	return nil
}

// knownOwnerNames lists the last known owner of each shard that has one. An instance
// that owns several shards is listed several times.
func (o *owners) knownOwnerNames() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, own := range o.shards {
		if own.known.Owner != "" {
			out = append(out, own.known.Owner)
		}
	}
	return out
}

// ownsAny reports whether this instance owns a shard.
func (o *owners) ownsAny() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, own := range o.shards {
		if own.shard != nil {
			return true
		}
	}
	return false
}

// ownedShards reports the shards of this instance with their health and, if withLoad is set,
// their load.
func (o *owners) ownedShards(withLoad bool) []OwnedShard {
	o.mu.Lock()
	ownedHere := make([]*ownership, 0, len(o.shards))
	for _, own := range o.shards {
		if own.shard != nil {
			ownedHere = append(ownedHere, own)
		}
	}
	out := make([]OwnedShard, 0, len(ownedHere))
	for _, own := range ownedHere {
		out = append(out, own.known)
	}
	shards := make([]*dispatch.Shard, len(ownedHere))
	for i, own := range ownedHere {
		shards[i] = own.shard
	}
	o.mu.Unlock()
	full := o.node.jobMemory.Full()
	for i, s := range shards {
		if s == nil {
			continue
		}
		out[i].Unhealthy, out[i].Loading = !s.Healthy(), !s.Loaded()
		out[i].CommitMillis, out[i].Full = slowCommitMillis(s.CommitTime()), full
		out[i].Load = dispatch.Load{}
		if withLoad {
			out[i].Load = s.Load()
		}
	}
	return out
}

// inboxHasRoom reports whether this instance may store a job of that size in the inbox of a shard, and counts it. The
// owner has to take what is stored there, also one that comes later: its memory is divided among the instances until
// an owner reports that it has room. One job of any size may always be stored.
func (o *owners) inboxHasRoom(shard string, bytes int64) bool {
	share := o.node.jobMemory.Limit() / int64(1+len(o.node.peers.instances()))
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	if own == nil {
		return false
	}
	if own.shard != nil {
		own.ownerHasRoom(own.shard.Loaded() && !o.node.jobMemory.Full())
	} else if own.known.Full {
		return false
	}
	if own.inboxBytes > 0 && own.inboxBytes+bytes > share {
		return false
	}
	own.inboxBytes += bytes
	return true
}

// pending counts, per shard and queue, the jobs that have not started in the shards
// of this instance. Shards that are still loading are left out.
func (o *owners) pending() map[string]map[string]int {
	o.mu.Lock()
	shards := map[string]*dispatch.Shard{}
	for name, own := range o.shards {
		if own.shard != nil {
			shards[name] = own.shard
		}
	}
	o.mu.Unlock()
	out := map[string]map[string]int{}
	for name, s := range shards {
		if counts, ok := s.Pending(); ok {
			out[name] = counts
		}
	}
	return out
}

// run checks the ownership of all shards periodically until ctx ends.
func (o *owners) run(ctx context.Context) error {
	for pause.For(ctx, ownerCheck) {
		o.mu.Lock()
		names := make([]string, 0, len(o.shards))
		for name := range o.shards {
			names = append(names, name)
		}
		o.mu.Unlock()
		for _, name := range names {
			o.checkShard(ctx, name)
		}
	}
	return nil
}

// candidates ranks, for a shard, this instance and its live peers that reach the store
// and are not leaving. The instance named without is left out.
func (o *owners) candidates(shard, excluded string) []Instance {
	n := o.node
	list := []Instance{n.self}
	for _, i := range n.peers.instances() {
		if ok, leaving, _, live := n.peers.live(i.Name); live && ok && !leaving && i.Name != excluded {
			list = append(list, i)
		}
	}
	return n.layout.Load().Rank(shard, list)
}

// rated returns the candidates in order with what this instance knows of them.
func (o *owners) rated(shard, excluded string) []candidate {
	n := o.node
	list := o.candidates(shard, excluded)
	tiers := n.layout.Load().tiers(shard, list)
	out := make([]candidate, 0, len(list))
	for _, i := range list {
		c := candidate{Instance: i, tier: tiers[i.Name]}
		owned := o.ownedShards(false)
		if i.Name != n.self.Name {
			_, _, c.alive, _ = n.peers.live(i.Name)
			owned = n.peers.owned(i.Name)
		}
		c.shards = len(owned)
		c.loading = slices.ContainsFunc(owned, func(s OwnedShard) bool { return s.Loading })
		out = append(out, c)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range out {
		out[i].shards += o.handed[out[i].Name]
	}
	return out
}

func rankOf(list []Instance, name string) int {
	for r, i := range list {
		if i.Name == name {
			return r
		}
	}
	return len(list)
}

// checkShard checks the owner of one shard and starts a takeover or handover if needed.
func (o *owners) checkShard(ctx context.Context, name string) {
	n := o.node
	o.mu.Lock()
	own := o.shards[name]
	if own.busy {
		o.mu.Unlock()
		return
	}
	if own.shard != nil {
		owned, handover := own.shard, own.handover
		o.mu.Unlock()
		if time.Since(handover) > preferredOwnerDelay && owned.Loaded() {
			o.handOverToPreferred(ctx, own, owned)
		}
		return
	}
	known := own.known
	o.mu.Unlock()
	if o.isStale(known) && n.storeOK() {
		o.refreshOwner(ctx, own)
	}
	wait, needed, unconfirmed := o.takeoverReason(known)
	if !needed || n.leaving.Load() || !n.storeOK() {
		// An instance that does not reach the store cannot take a shard over, and
		// cannot tell whether a silent owner still commits.
		o.mu.Lock()
		own.takeoverDelayStart = time.Time{}
		o.mu.Unlock()
		return
	}
	rank := rankOf(o.candidates(name, known.Owner), n.self.Name)
	wait += time.Duration(rank) * takeoverDelayPerRank
	o.mu.Lock()
	if own.takeoverDelayStart.IsZero() {
		own.takeoverDelayStart, own.heartbeatVersion = time.Now(), 0
	}
	readHeartbeat := unconfirmed && own.heartbeatVersion == 0
	due := !readHeartbeat && time.Since(own.takeoverDelayStart) >= wait
	own.busy = due || readHeartbeat
	o.mu.Unlock()
	switch {
	case readHeartbeat:
		go o.recordHeartbeatVersion(ctx, own)
	case due:
		go o.takeOver(ctx, own, known, unconfirmed)
	}
}
