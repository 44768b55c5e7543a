package node

import (
	"context"
	"slices"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// admitGain is how much lower, as a share of its capacity, another shard's load
	// has to be for a new job to go there at once. Loads are some hundred
	// milliseconds old, in which jobs of about that size arrive.
	admitGain = 0.05
	// moveGain is how much lower, as a share of its capacity, another shard's load
	// has to be for a waiting job to move there.
	moveGain = 0.15
	// loadFor is how old another shard's load may be.
	loadFor = 2 * time.Second
)

// others are the other shards as the owner of one sees them. It implements
// dispatch.Others.
type others struct {
	node *Node
	own  string
}

// othersOf returns the other shards of one, or nil where there is none.
func (o *owners) othersOf(shard string, l *Layout) dispatch.Others {
	if len(l.Shards()) < 2 {
		return nil
	}
	return &others{node: o.node, own: shard}
}

// Better implements dispatch.Others.
func (t *others) Better(j *workload.Spec, isNew bool) (string, bool) {
	if !isNew {
		return t.node.owners.betterShard(t.own, j, moveGain)
	}
	if st := &j.Steps[0]; st.Lasting || st.Fills {
		return t.node.owners.betterShard(t.own, j, admitGain)
	}
	return "", false // it is short, and a move takes as long as an end of another
}

// Deliver implements dispatch.Others.
func (t *others) Deliver(ctx context.Context, shard string, a workload.Accepted) error {
	return t.node.submitOnce(ctx, shard, a)
}

// Cancel implements dispatch.Others.
func (t *others) Cancel(ctx context.Context, shard, id string) error {
	err := t.node.follow(ctx, shard, id, methodCancel).err()
	if result.Of(err) == result.JobUnknown {
		return nil // it has ended and is forgotten
	}
	return err
}

// Knows implements dispatch.Others.
func (t *others) Knows(ctx context.Context, shard, id string) (bool, error) {
	err := t.node.follow(ctx, shard, id, methodState).err()
	if result.Of(err) == result.JobUnknown {
		return false, nil
	}
	return err == nil, err
}

// betterShard names the shard that holds the data of a waiting job, or else the one
// with the least load if that is lower than the load of from by gain.
func (o *owners) betterShard(from string, j *workload.Spec, gain float64) (string, bool) {
	cfg := o.node.Config()
	if cfg == nil {
		return "", false
	}
	q := cfg.ByName(j.Queue)
	if q == nil {
		return "", false
	}
	loads := o.loads()
	own := loads[from]
	st := &j.Steps[0]
	best, least := "", own.Share(st)-gain
	if !slices.Contains(own.Services, q.Service) {
		least = 1e9
	}
	for name, l := range loads {
		if name == from || !slices.Contains(l.Services, q.Service) {
			continue
		}
		if rack := st.Rack; rack != "" && slices.Contains(l.Racks, rack) {
			return name, true
		}
		if share := l.Share(st); share < least {
			best, least = name, share
		}
	}
	if best != "" {
		o.addLoad(best, j)
	}
	return best, best != ""
}

// addLoad counts a moving job to its new shard until that tells its load again.
func (o *owners) addLoad(shard string, j *workload.Spec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	st := &j.Steps[0]
	load := &o.shards[shard].known.Load
	load.Wanted += int64(st.Tasks) * st.Needs.MilliCPU
	load.Committed += int64(st.Tasks) * st.Committed().MilliCPU
}

// loads returns the newest known load of every shard whose owner is heard.
func (o *owners) loads() map[string]dispatch.Load {
	out := map[string]dispatch.Load{}
	for _, own := range o.owned() {
		out[own.Shard] = own.Load
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, own := range o.shards {
		if own.shard == nil && own.known.Epoch > 0 && time.Since(own.heard) < loadFor {
			out[name] = own.known.Load
		}
	}
	return out
}
