package node

import (
	"context"
	"sync"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/pause"
)

const (
	// ownerCheck is how often ownership is looked at.
	ownerCheck = 100 * time.Millisecond
	// Pauses before an instance takes over a shard, by the reason, and more for
	// each better candidate.
	unownedPause   = 300 * time.Millisecond
	silentPause    = 700 * time.Millisecond
	ailingPause    = 900 * time.Millisecond
	unclaimedPause = 1200 * time.Millisecond // three pings
	rankPause      = 500 * time.Millisecond
	// homePause is how long a better candidate has to be alive until the owner
	// hands a shard over to it.
	homePause = 4 * time.Second
	// drainTimeout bounds the wait for decisions to become durable at a handover.
	drainTimeout = 1200 * time.Millisecond
	// claimTimeout bounds a handover's call.
	claimTimeout = 900 * time.Millisecond
	// storeTimeout bounds a read or write of a single row.
	storeTimeout = 800 * time.Millisecond
	// retryPause is the pause between tries of what cannot fail for good.
	retryPause = 150 * time.Millisecond
)

// ownerRow is the value of a shard's owner row.
type ownerRow struct {
	Owner   string `json:"owner"`
	Control string `json:"control"`
	Life    int64  `json:"life"`
	Epoch   int64  `json:"epoch"`
}

// ownership is what is known of one shard.
type ownership struct {
	name     string
	known    Owned     // newest that was heard of or read; Epoch 0 for none
	heard    time.Time // when its owner last told of it
	sent     []sentJob // jobs that went there of late
	shard    *dispatch.Shard
	version  int64         // of the owner row, while this instance owns the shard
	stop     func()        // ends the shard
	done     chan struct{} // closed when the shard has ended
	badSince time.Time     // since when the owner seems gone
	beat     int64         // version of the beat row when it was first looked at
	busy     bool          // a takeover or handover is under way
	handover time.Time     // last attempt to hand the shard over
}

// owners manages the ownership of all shards.
type owners struct {
	node *Node

	mu     sync.Mutex
	shards map[string]*ownership
}

func newOwners(n *Node) *owners { return &owners{node: n, shards: map[string]*ownership{}} }

// prepare makes the entries of all shards.
func (o *owners) prepare(l *Layout) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range l.Shards() {
		if o.shards[name] == nil {
			o.shards[name] = &ownership{name: name}
		}
	}
}

// saw takes in what a peer said of shards that it owns.
func (o *owners) saw(list []Owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range list {
		own := o.shards[w.Shard]
		if own == nil || w.Epoch < own.known.Epoch {
			continue
		}
		if w.Epoch > own.known.Epoch && own.shard != nil && own.shard.Epoch() < w.Epoch && own.stop != nil {
			own.stop()
		}
		own.known, own.heard = w, time.Now()
	}
}

// of returns what is known of a shard's owner.
func (o *owners) of(shard string) (Owned, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	if own == nil || own.known.Epoch == 0 || own.known.Control == "" {
		return Owned{}, false
	}
	return own.known, true
}

// here returns the shard if this instance owns it.
func (o *owners) here(shard string) *dispatch.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.shards[shard]; own != nil {
		return own.shard
	}
	return nil
}

// names lists the owners of all shards.
func (o *owners) names() []string {
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

// owned lists the shards of this instance.
func (o *owners) owned() []Owned {
	o.mu.Lock()
	mine := make([]*ownership, 0, len(o.shards))
	for _, own := range o.shards {
		if own.shard != nil {
			mine = append(mine, own)
		}
	}
	out := make([]Owned, 0, len(mine))
	for _, own := range mine {
		out = append(out, own.known)
	}
	shards := make([]*dispatch.Shard, len(mine))
	for i, own := range mine {
		shards[i] = own.shard
	}
	o.mu.Unlock()
	for i, s := range shards {
		if s == nil {
			continue
		}
		out[i].Ailing = !s.Healthy()
		out[i].Load = s.Load()
	}
	return out
}

// pending counts, per shard and queue, the jobs that have not begun in the
// loaded shards of this instance.
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

// run looks after all shards until ctx ends.
func (o *owners) run(ctx context.Context) error {
	for pause.For(ctx, ownerCheck) {
		o.mu.Lock()
		names := make([]string, 0, len(o.shards))
		for name := range o.shards {
			names = append(names, name)
		}
		o.mu.Unlock()
		for _, name := range names {
			o.look(ctx, name)
		}
	}
	return nil
}

// candidates ranks this instance and its live peers that reach the store.
func (o *owners) candidates(shard, without string) []Instance {
	n := o.node
	list := []Instance{n.self}
	for _, i := range n.peers.instances() {
		if ok, leaving, _, live := n.peers.live(i.Name); live && ok && !leaving && i.Name != without {
			list = append(list, i)
		}
	}
	return n.layout.Load().Rank(shard, list)
}

func rankOf(list []Instance, name string) int {
	for r, i := range list {
		if i.Name == name {
			return r
		}
	}
	return len(list)
}

// look decides what to do about one shard.
func (o *owners) look(ctx context.Context, name string) {
	n := o.node
	o.mu.Lock()
	own := o.shards[name]
	if own.busy {
		o.mu.Unlock()
		return
	}
	if own.shard != nil {
		mine, handover := own.shard, own.handover
		o.mu.Unlock()
		if time.Since(handover) > homePause {
			o.sendHome(ctx, own, mine)
		}
		return
	}
	known := own.known
	o.mu.Unlock()
	wait, bad, hearsay := o.grounds(known)
	if !bad || n.leaving.Load() || !n.storeOK() {
		// While this instance does not reach the store it cannot judge an owner.
		o.mu.Lock()
		own.badSince = time.Time{}
		o.mu.Unlock()
		return
	}
	rank := rankOf(o.candidates(name, known.Owner), n.self.Name)
	wait += time.Duration(rank) * rankPause
	o.mu.Lock()
	if own.badSince.IsZero() {
		own.badSince, own.beat = time.Now(), 0
	}
	look := hearsay && own.beat == 0
	due := !look && time.Since(own.badSince) >= wait
	own.busy = due || look
	o.mu.Unlock()
	switch {
	case look:
		go o.noteBeat(ctx, own)
	case due:
		go o.takeOver(ctx, own, known, hearsay)
	}
}
