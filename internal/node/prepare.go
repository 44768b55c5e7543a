package node

import (
	"context"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
)

const (
	// prepareTimeout bounds the time in which a successor reads a shard's rows while the owner
	// serves.
	prepareTimeout = 3 * time.Second
	// prefetchedFor is how long the rows are kept for the claim that is to follow.
	prefetchedFor = 10 * time.Second
)

// prepareSuccessor asks an instance to read the shard's rows before it is asked to claim the shard, so
// that the shard is without plans only while it changes hands. It returns up to which version of the
// store the rows were read, 0 if they were not, and whether the instance may be asked to claim: not if
// it does not answer or refuses. One of an earlier version, or one that takes too long, reads the rows
// after its claim.
func (o *owners) prepareSuccessor(ctx context.Context, shard string, to Instance) (version int64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	var out PrepareReply
	began := time.Now()
	err := o.node.peers.call(ctx, to.Control, methodPrepare, PrepareRequest{Shard: shard}, &out)
	if err == nil {
		err = out.err()
	}
	entry := logger.WithField("shard", shard).WithField("to", to.Name).WithField("took", time.Since(began).String())
	if err == nil {
		entry.Info("successor prepared")
		return out.Version, true
	}
	entry.WithError(err).Info("successor not prepared")
	code := result.Of(err)
	return 0, code != result.PeerUnavailable && code != result.PeerRefused
}

// prepare reads the rows of a shard that this instance is going to be asked to claim, and returns up to
// which version of the store it has them.
func (o *owners) prepare(ctx context.Context, shard string) (int64, error) {
	n := o.node
	if n.leaving.Load() || n.layout.Load() == nil {
		return 0, result.Errorf(result.PeerRefused, "this instance is starting or leaving")
	}
	o.mu.Lock()
	own := o.shards[shard]
	if own == nil || own.shard != nil || own.preparing {
		o.mu.Unlock()
		return 0, result.Errorf(result.PeerBusy, "shard %s is not in the layout, owned or being prepared", shard)
	}
	own.preparing = true
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	p, err := dispatch.Prefetch(ctx, o.shardSettings(shard))
	o.mu.Lock()
	defer o.mu.Unlock()
	own.preparing, own.prefetched = false, p
	if err != nil {
		own.prefetched = nil
		return 0, result.Wrap(result.NotReady, err, "read the rows of the shard")
	}
	time.AfterFunc(prefetchedFor, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if own.prefetched == p {
			own.prefetched = nil
		}
	})
	return p.Version(), nil
}

// takePrepared returns and forgets what is known of the rows of a shard that is about to start.
func (o *owners) takePrepared(own *ownership) (*dispatch.Prefetched, *dispatch.Handoff) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, h := own.prefetched, own.handoff
	own.prefetched, own.handoff = nil, nil
	return p, h
}
