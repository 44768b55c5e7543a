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
	settleTime        = 2 * time.Second  // from the start to the first takeover
	handOverAfter     = 5 * time.Second  // that another was the candidate
	unclaimedAfter    = 10 * time.Second // that a live owner did not claim its shard
	claimKey          = "shards"         // of a heartbeat's attachment
)

// Claim is what an owner tells its peers of a shard.
type Claim struct {
	Shard   string `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Waiting int    `json:"waiting"`
}

// Zone owns the zone's shards for which this process is the candidate.
type Zone struct {
	cfg    Config // of every shard, without the name
	shards []string
	group  member.Group
	ext    func(shard string) Platform
	policy func() Policy
	logger log.Interface

	mu       sync.Mutex
	held     map[string]*holding
	claims   map[string]map[string]Claim // by peer id, then shard
	others   map[string]time.Time        // since when another is the shard's candidate
	orphaned map[string]time.Time        // since when a live owner does not claim the shard
	draining bool
	wg       sync.WaitGroup
}

type holding struct {
	owner *Owner // nil while it opens
	stop  context.CancelFunc
}

// NewZone returns the owner of the zone's shards. It attaches claims to the
// group's heartbeats, so it is called before the group runs.
func NewZone(cfg Config, shards int, group member.Group, ext func(shard string) Platform, policy func() Policy, logger log.Interface) *Zone {
	z := &Zone{
		cfg: cfg, group: group, ext: ext, policy: policy, logger: logger,
		held: map[string]*holding{}, claims: map[string]map[string]Claim{},
		others: map[string]time.Time{}, orphaned: map[string]time.Time{},
	}
	for n := range shards {
		z.shards = append(z.shards, Name(cfg.Zone, n))
	}
	group.Attach(claimKey, func() any { return z.claim() })
	group.OnAttached(claimKey, z.claimed)
	return z
}

// Run takes shards over and hands them over until ctx ends, then hands all of
// them over.
func (z *Zone) Run(ctx context.Context) error {
	defer z.Drain()
	if !pause(ctx, settleTime, nil) {
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

// Drain hands every shard over and takes no more. It returns when all journals
// are released.
func (z *Zone) Drain() {
	z.mu.Lock()
	z.draining = true
	for _, h := range z.held {
		h.stop()
	}
	z.mu.Unlock()
	z.wg.Wait()
}

// reconcile takes the shard over or hands it over, as the candidate says.
func (z *Zone) reconcile(ctx context.Context, shard string) {
	candidate := Candidate(shard, z.live())
	self := z.group.Self().ID
	z.mu.Lock()
	h := z.held[shard]
	if candidate == self {
		delete(z.others, shard)
	}
	if h == nil && candidate == self && !z.draining {
		z.hold(ctx, shard)
	}
	if h != nil && candidate != self && z.longer(z.others, shard, handOverAfter) {
		h.stop()
	}
	z.mu.Unlock()
}

// longer reports whether the shard has been in since for at least d.
func (z *Zone) longer(since map[string]time.Time, shard string, d time.Duration) bool {
	at, ok := since[shard]
	if !ok {
		since[shard] = time.Now()
		return false
	}
	return time.Since(at) >= d
}

// live returns the ids of the zone's schedulers that may own shards.
func (z *Zone) live() []string {
	self := z.group.Self()
	ids := []string{self.ID}
	for _, p := range z.group.View().Peers {
		if p.Program == member.Scheduler && p.Zone == self.Zone && p.State == member.Alive {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// hold opens and runs the shard in the background. The lock is held.
func (z *Zone) hold(ctx context.Context, shard string) {
	ctx, stop := context.WithCancel(ctx)
	h := &holding{stop: stop}
	z.held[shard] = h
	z.wg.Go(func() {
		defer stop()
		if err := z.own(ctx, shard, h); err != nil {
			z.report(shard, err)
		}
		z.mu.Lock()
		delete(z.held, shard)
		z.mu.Unlock()
	})
}

// report logs why a shard is not owned. While the tables are away that happens
// at every attempt and is worth a debug line only.
func (z *Zone) report(shard string, err error) {
	l := z.logger.WithField("shard", shard).WithError(err)
	if result.Of(err) == result.JournalAway {
		l.Debug("not taken over")
		return
	}
	l.Warn("not owned any more")
}

// own takes the shard over where its owner is gone, and works until it is lost
// or handed over.
func (z *Zone) own(ctx context.Context, shard string, h *holding) error {
	ext := z.ext(shard)
	row, err := journal.Peek(ctx, ext.Tables, shard)
	if err != nil {
		return err
	}
	if !z.free(shard, row) {
		return nil
	}
	cfg := z.cfg
	cfg.Shard = shard
	o, err := Open(ctx, cfg, ext, z.policy(), z.logger.WithField("shard", shard))
	if err != nil {
		return err
	}
	z.mu.Lock()
	h.owner = o
	z.mu.Unlock()
	z.logger.WithField("shard", shard).WithField("epoch", o.Epoch()).Info("owned")
	return o.Run(ctx)
}

// free reports whether the recorded owner gave the shard up, is dead, or lives
// but does not claim it.
func (z *Zone) free(shard string, row journal.Owner) bool {
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
		delete(z.orphaned, shard)
		return false
	}
	return z.longer(z.orphaned, shard, unclaimedAfter)
}

// peer returns the id of the live peer whose owner id is given.
func (z *Zone) peer(owner string) (string, bool) {
	for _, p := range z.group.View().Peers {
		if OwnerID(p) == owner && p.State != member.Dead {
			return p.ID, true
		}
	}
	return "", false
}

// OwnerID names one incarnation of a scheduler in an owner row.
func OwnerID(p member.Peer) string { return p.ID + "@" + p.Incarnation }

// Owners returns the shards that this process owns now.
func (z *Zone) Owners() []*Owner {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []*Owner
	for _, s := range z.shards {
		if h := z.held[s]; h != nil && h.owner != nil {
			out = append(out, h.owner)
		}
	}
	return out
}

// Where returns the live peer that claims the shard with the highest epoch.
func (z *Zone) Where(shard string) (peerID string, ok bool) {
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

// claim lists the shards owned here.
func (z *Zone) claim() []Claim {
	out := []Claim{}
	for _, o := range z.Owners() {
		s := o.Status()
		out = append(out, Claim{Shard: o.Name(), Epoch: o.Epoch(), Waiting: s.Waiting})
	}
	return out
}

// claimed takes a peer's claims in.
func (z *Zone) claimed(from member.Peer, value json.RawMessage) {
	var list []Claim
	if err := json.Unmarshal(value, &list); err != nil {
		z.logger.WithError(result.Wrap(result.Internal, err, from.ID)).Warn("unreadable claims")
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
