package node

import (
	"context"
	"sync"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
)

// handOverToPreferred hands a shard over to its highest-ranked candidate if that is
// another instance which has been alive for preferredOwnerDelay.
func (o *owners) handOverToPreferred(ctx context.Context, own *ownership, s *dispatch.Shard) {
	n := o.node
	best := o.candidates(own.name, "")[0]
	if best.Name == n.self.Name {
		return
	}
	if _, _, since, ok := n.peers.live(best.Name); !ok || since < preferredOwnerDelay {
		return
	}
	o.mu.Lock()
	own.busy, own.handover = true, time.Now()
	o.mu.Unlock()
	go func() {
		o.handOver(ctx, own, s, best)
		o.mu.Lock()
		own.busy = false
		o.mu.Unlock()
	}()
}

// handOver drains a shard and asks another instance to claim it. It reports whether
// the claim succeeded; otherwise the shard resumes here.
func (o *owners) handOver(ctx context.Context, own *ownership, s *dispatch.Shard, to Instance) bool {
	dctx, cancel := context.WithTimeout(ctx, drainTimeout)
	s.Drain(dctx)
	cancel()
	o.mu.Lock()
	req := ClaimRequest{Shard: own.name, Epoch: s.Epoch(), Version: own.version}
	stop, done := own.stop, own.done
	o.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out Outcome
	err := o.node.peers.call(cctx, to.Control, methodClaim, req, &out)
	if err == nil {
		err = out.err()
	}
	if err != nil {
		logger.WithField("shard", own.name).WithField("to", to.Name).WithError(err).Info("shard handover failed")
		s.Resume()
		return false
	}
	logger.WithField("shard", own.name).WithField("to", to.Name).Info("shard handed over")
	if stop != nil {
		stop()
		<-done
	}
	return true
}

// claim takes over a shard that its owner has drained.
func (o *owners) claim(ctx context.Context, r *ClaimRequest) error {
	if o.node.leaving.Load() || o.node.layout.Load() == nil {
		return result.Errorf(result.PeerRefused, "this instance is starting or leaving")
	}
	o.mu.Lock()
	own := o.shards[r.Shard]
	if own == nil || own.shard != nil || own.busy {
		o.mu.Unlock()
		return result.Errorf(result.PeerBusy, "shard %s is not in the layout, already owned or being claimed", r.Shard)
	}
	own.busy = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		own.busy = false
		o.mu.Unlock()
	}()
	if !o.claimRow(ctx, own, r.Version, r.Epoch) {
		return result.Errorf(result.PeerRefused, "the owner row could not be written")
	}
	return nil
}

// leave hands all shards of this instance over before the process exits.
func (o *owners) leave(ctx context.Context) {
	o.mu.Lock()
	var ownedHere []*ownership
	for _, own := range o.shards {
		if own.shard != nil {
			ownedHere = append(ownedHere, own)
		}
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, own := range ownedHere {
		wg.Go(func() { o.handOverToAny(ctx, own) })
	}
	wg.Wait()
}

func (o *owners) handOverToAny(ctx context.Context, own *ownership) {
	o.mu.Lock()
	s := own.shard
	own.busy = true
	o.mu.Unlock()
	if s == nil {
		return
	}
	for _, i := range o.candidates(own.name, o.node.self.Name) {
		if i.Name == o.node.self.Name {
			continue
		}
		if o.handOver(ctx, own, s, i) || ctx.Err() != nil {
			return
		}
	}
}
