package shard

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"

	"skylarkport/internal/journal"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

const (
	reconcileInterval = 500 * time.Millisecond
	startupDelay      = 2 * time.Second  // between the start of Zone.Run and the first takeover
	handOverDelay     = 5 * time.Second  // how long another must be the preferred owner before a handover
	unclaimedDelay    = 10 * time.Second // how long a live owner must not claim its shard before a takeover
	claimKey          = "shards"         // key of the claims that heartbeats carry
)

// Claim tells the peers of an owner that it owns a shard.
type Claim struct {
	Shard   string `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Waiting int    `json:"waiting"`
}

// Zone runs the owners of those shards of a zone that this process is to own.
type Zone struct {
	cfg      Config // settings of every shard; Shard is empty
	shards   []string
	group    member.Group
	platform func(shard string) Platform
	policy   func() Policy
	logger   log.Interface

	mu             sync.Mutex
	owned          map[string]*ownedShard
	claims         map[string]map[string]Claim // by peer id, then shard
	otherPreferred map[string]time.Time        // since when another is the shard's preferred owner
	unclaimed      map[string]time.Time        // since when the recorded owner is alive and does not claim the shard
	draining       bool
	wg             sync.WaitGroup
}

type ownedShard struct {
	owner *Owner // nil while the shard is being opened
	stop  context.CancelFunc
}

// NewZone returns a Zone for the given number of shards. It attaches claims to the
// group's heartbeats, so it must be called before the group runs.
func NewZone(cfg Config, shards int, group member.Group, platform func(shard string) Platform, policy func() Policy, logger log.Interface) *Zone {
	z := &Zone{
		cfg: cfg, group: group, platform: platform, policy: policy, logger: logger,
		owned: map[string]*ownedShard{}, claims: map[string]map[string]Claim{},
		otherPreferred: map[string]time.Time{}, unclaimed: map[string]time.Time{},
	}
	for n := range shards {
		z.shards = append(z.shards, Name(cfg.Zone, n))
	}
	group.Attach(claimKey, func() any { return z.ownClaims() })
	group.OnAttached(claimKey, z.handleClaims)
	return z
}

// Run takes over and hands over shards until ctx ends, and then hands over all of
// them.
func (z *Zone) Run(ctx context.Context) error {
	defer z.Drain()
	if !sleepUntilWoken(ctx, startupDelay, nil) {
		return nil
	}
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		changed := z.group.Changed()
		for _, s := range z.shards {
			z.reconcile(ctx, s)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-changed:
		}
	}
}

// Drain hands over every shard and prevents further takeovers. It returns once all
// journals are released.
func (z *Zone) Drain() {
	z.mu.Lock()
	z.draining = true
	for _, o := range z.owned {
		o.stop()
	}
	z.mu.Unlock()
	z.wg.Wait()
}

// reconcile takes over a shard whose preferred owner is this process, and hands over
// one whose preferred owner has been another for handOverDelay.
func (z *Zone) reconcile(ctx context.Context, shard string) {
	preferred := PreferredOwner(shard, z.eligibleOwners())
	self := z.group.Self().ID
	z.mu.Lock()
	o := z.owned[shard]
	if preferred == self {
		delete(z.otherPreferred, shard)
	}
	if o == nil && preferred == self && !z.draining {
		z.startOwner(ctx, shard)
	}
	if o != nil && preferred != self && z.persistedFor(z.otherPreferred, shard, handOverDelay) {
		o.stop()
	}
	z.mu.Unlock()
}

// persistedFor reports whether a condition of the shard has held for at least d. The map
// since holds the time from which it has held; a shard that is not in the map is added
// with the present time. The caller deletes the shard when the condition ends.
func (z *Zone) persistedFor(since map[string]time.Time, shard string, d time.Duration) bool {
	at, ok := since[shard]
	if !ok {
		since[shard] = time.Now()
		return false
	}
	return time.Since(at) >= d
}

// eligibleOwners returns the ids of the zone's schedulers that may own shards.
func (z *Zone) eligibleOwners() []string {
	self := z.group.Self()
	ids := []string{self.ID}
	for _, p := range z.group.View().Peers {
		if p.Program == member.Scheduler && p.Zone == self.Zone && p.State == member.Alive {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// startOwner runs the shard's owner in the background. The caller holds z.mu.
func (z *Zone) startOwner(ctx context.Context, shard string) {
	ctx, stop := context.WithCancel(ctx)
	o := &ownedShard{stop: stop}
	z.owned[shard] = o
	z.wg.Go(func() {
		defer stop()
		if err := z.runOwner(ctx, shard, o); err != nil {
			z.logNotOwned(shard, err)
		}
		z.mu.Lock()
		delete(z.owned, shard)
		z.mu.Unlock()
	})
}

// logNotOwned logs why a shard was not taken over or its ownership ended. While the
// tables are unavailable every attempt fails, so that is logged at debug level.
func (z *Zone) logNotOwned(shard string, err error) {
	l := z.logger.WithField("shard", shard).WithError(err)
	if result.Of(err) == result.JournalUnavailable {
		l.Debug("ownership lost or not acquired: the tables are unavailable")
		return
	}
	l.Warn("ownership lost or not acquired")
}

// runOwner takes over the shard if its recorded owner no longer serves it, and runs
// it until the ownership is lost or handed over.
func (z *Zone) runOwner(ctx context.Context, shard string, owned *ownedShard) error {
	platform := z.platform(shard)
	row, err := journal.ReadOwner(ctx, platform.Tables, shard)
	if err != nil {
		return err
	}
	if !z.mayTakeOver(shard, row) {
		return nil
	}
	cfg := z.cfg
	cfg.Shard = shard
	o, err := Open(ctx, cfg, platform, z.policy(), z.logger.WithField("shard", shard))
	if err != nil {
		return err
	}
	z.mu.Lock()
	owned.owner = o
	z.mu.Unlock()
	z.logger.WithField("shard", shard).WithField("epoch", o.Epoch()).Info("ownership acquired")
	return o.Run(ctx)
}

// mayTakeOver reports whether the recorded owner released the shard, is dead, or has
// been alive without claiming the shard for unclaimedDelay.
func (z *Zone) mayTakeOver(shard string, row journal.Owner) bool {
	if row.Instance == "" || row.Instance == z.cfg.Owner {
		return true
	}
	peer, alive := z.peer(row.Instance)
	if !alive {
		return true
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if _, ok := z.claims[peer][shard]; ok {
		delete(z.unclaimed, shard)
		return false
	}
	return z.persistedFor(z.unclaimed, shard, unclaimedDelay)
}

// peer returns the id of the peer with the given owner id, if it is not dead.
func (z *Zone) peer(owner string) (string, bool) {
	for _, p := range z.group.View().Peers {
		if OwnerID(p) == owner && p.State != member.Dead {
			return p.ID, true
		}
	}
	return "", false
}

// OwnerID returns the id under which an incarnation of a scheduler is recorded as the
// owner of shards.
func OwnerID(p member.Peer) string { return p.ID + "@" + p.Incarnation }

// Owners returns the owners of the shards that this process owns now.
func (z *Zone) Owners() []*Owner {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []*Owner
	for _, s := range z.shards {
		if o := z.owned[s]; o != nil && o.owner != nil {
			out = append(out, o.owner)
		}
	}
	return out
}

// OwnerOf returns the peer that claims the shard with the highest epoch and is not dead.
func (z *Zone) OwnerOf(shard string) (peerID string, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	epoch := uint64(0)
	for _, p := range z.group.View().Peers {
		c, claimed := z.claims[p.ID][shard]
		if claimed && p.State != member.Dead && c.Epoch > epoch {
			peerID, ok, epoch = p.ID, true, c.Epoch
		}
	}
	return peerID, ok
}

// ownClaims returns the claims for the shards that this process owns.
func (z *Zone) ownClaims() []Claim {
	out := []Claim{}
	for _, o := range z.Owners() {
		s := o.Status()
		out = append(out, Claim{Shard: o.Name(), Epoch: o.Epoch(), Waiting: s.Waiting})
	}
	return out
}

// handleClaims replaces the stored claims of a peer.
func (z *Zone) handleClaims(from member.Peer, value json.RawMessage) {
	var list []Claim
	if err := json.Unmarshal(value, &list); err != nil {
		z.logger.WithError(result.Wrap(result.Internal, err, from.ID)).Warn("cannot decode the ownership claims of a peer")
		return
	}
	m := make(map[string]Claim, len(list))
	for _, c := range list {
		m[c.Shard] = c
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.claims[from.ID] = m
}
