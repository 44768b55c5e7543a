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
func (t *others) Better(j *workload.Spec) (string, bool) { return t.node.owners.betterShard(t.own, j) }

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
// with the least load if that is much lower than the load of from.
func (o *owners) betterShard(from string, j *workload.Spec) (string, bool) {
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
	best, least := "", own.Share()-moveGain
	if !slices.Contains(own.Services, q.Service) {
		least = 1e9
	}
	for name, l := range loads {
		if name == from || !slices.Contains(l.Services, q.Service) {
			continue
		}
		if rack := j.Steps[0].Rack; rack != "" && slices.Contains(l.Racks, rack) {
			return name, true
		}
		if l.Share() < least {
			best, least = name, l.Share()
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
	st := j.Steps[0]
	o.shards[shard].known.Load.Wanted += int64(st.Tasks) * st.Needs.MilliCPU
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
