package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
)

// handOverToPreferred hands a shard over to its highest-ranked candidate if that is worth it.
func (o *owners) handOverToPreferred(ctx context.Context, own *ownership, s *dispatch.Shard) {
	n := o.node
	list := o.rated(own.name, "")
	self, best := list[slices.IndexFunc(list, func(c candidate) bool { return c.Name == n.self.Name })], list[0]
	t := tenure{calmFor: n.peers.calmFor()}
	t.loadedFor, t.loadTook = s.LoadTime()
	if !worthMoving(self, best, t) {
		return
	}
	o.mu.Lock()
	own.busy, own.handover = true, time.Now()
	o.mu.Unlock()
	go func() {
		o.handOver(ctx, own, s, best.Instance)
		o.mu.Lock()
		own.busy = false
		o.mu.Unlock()
	}()
}

// handOver lets another instance read the rows of a shard, drains the shard and asks that instance to
// claim it. It reports whether the claim succeeded; otherwise the shard resumes here.
func (o *owners) handOver(ctx context.Context, own *ownership, s *dispatch.Shard, to Instance) bool {
	o.countHandover(to.Name, 1)
	defer o.countHandover(to.Name, -1)
	var prepared int64
	if s.Loaded() && o.node.storeOK() {
		version, ok := o.prepareSuccessor(ctx, own.name, to)
		if !ok {
			return false
		}
		prepared = version
	}
	began := time.Now()
	dctx, cancel := context.WithTimeout(ctx, drainTimeout)
	s.Drain(dctx)
	var handoff []byte
	if prepared > 0 {
		if h := s.HandOff(dctx, prepared); h != nil {
			handoff = h.Encode()
		}
	}
	cancel()
	o.mu.Lock()
	req := ClaimRequest{Shard: own.name, Epoch: s.Epoch(), Version: own.version, Handoff: handoff}
	stop, done := own.stop, own.done
	o.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out Outcome
	err := o.node.peers.call(cctx, to.Control, methodClaim, req, &out)
	if err == nil {
		err = out.err()
	}
	if err != nil && !o.claimed(ctx, own, s, err) {
		logger.WithField("shard", own.name).WithField("to", to.Name).WithError(err).Info("shard handover failed")
		s.Resume()
		return false
	}
	logger.WithField("shard", own.name).WithField("to", to.Name).WithField("took", time.Since(began).String()).
		WithField("handoff_bytes", len(handoff)).Info("shard handed over")
	if stop != nil {
		stop()
		<-done
	}
	return true
}

func (o *owners) countHandover(to string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handed[to] += n; o.handed[to] == 0 {
		delete(o.handed, to)
	}
}

// claimed reports whether a claim that failed here with err, or an earlier one, has replaced the
// owner all the same: on a full link its answer may be late or lost. Another claim would then fail,
// and the shard would have no plans until the last candidate has been asked.
func (o *owners) claimed(ctx context.Context, own *ownership, s *dispatch.Shard, err error) bool {
	o.mu.Lock()
	epoch := own.known.Epoch
	o.mu.Unlock()
	if epoch > s.Epoch() {
		return true
	}
	if result.Of(err) == result.PeerUnavailable {
		return false // this claim had no effect
	}
	_, cur, err := o.readOwner(ctx, own.name)
	if err != nil || cur.Epoch <= s.Epoch() {
		return false
	}
	o.observe([]OwnedShard{cur.report(own.name)})
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
	if len(r.Handoff) > 0 {
		h, err := dispatch.DecodeHandoff(r.Handoff, o.node.machine.Memory/handoffFraction)
		if err != nil {
			logger.WithField("shard", r.Shard).WithError(err).Warn("handoff is not readable, the rows are read again")
		}
		o.mu.Lock()
		own.handoff = h
		o.mu.Unlock()
	}
	if !o.claimRow(ctx, own, r.Version, r.Epoch) {
		return result.Errorf(result.PeerRefused, "the owner row could not be written")
	}
	return nil
}

// handoffFraction is the part of the machine's memory that a handoff may take in uncompressed form.
const handoffFraction = 16

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
	list := o.rated(own.name, o.node.self.Name)
	for _, c := range successors(o.node.self, list) {
		if c.Name == o.node.self.Name {
			continue
		}
		if o.localShard(own.name) != s {
			return // another instance has taken the shard over
		}
		if o.handOver(ctx, own, s, c.Instance) || ctx.Err() != nil {
			return
		}
	}
}
