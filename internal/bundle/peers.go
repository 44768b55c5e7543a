package bundle

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// getRequest asks a peer for the accepted bundles above Have.
type getRequest struct {
	Have uint64 `json:"have"`
}

// getReply holds them in ascending order, and what the peer has in force.
type getReply struct {
	Head  Head        `json:"head"`
	Steps []*Accepted `json:"steps"`
}

// serve answers getMethod.
func (k *Keeper) serve(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
	var req getRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.Wrap(result.RequestBad, err, getMethod)
	}
	if k.Current() == nil {
		return nil, result.Errorf(result.NotReady, "no bundle is in force yet")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	reply := getReply{Head: k.Head()}
	for _, a := range k.steps {
		if a.Version > req.Have {
			reply.Steps = append(reply.Steps, a)
		}
	}
	return reply, nil
}

// fetchOffered asks the peers that offer more than is in force, the highest
// first, until one has given it.
func (k *Keeper) fetchOffered(ctx context.Context) {
	for _, peer := range k.ahead() {
		if err := k.fetchFrom(ctx, peer); err != nil {
			logger.WithError(err).WithField("peer", peer).Warn("a peer's bundle was not taken")
			k.forget(peer)
			continue
		}
		return
	}
}

// ahead returns the peers that offer more than is in force, the highest first.
func (k *Keeper) ahead() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	mine := k.Head().Version
	var out []string
	for peer, head := range k.offers {
		if head.Version <= mine {
			delete(k.offers, peer)
			continue
		}
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(k.offers[b].Version, k.offers[a].Version), cmp.Compare(a, b))
	})
	return out
}

// forget drops a peer's offer until its next one.
func (k *Keeper) forget(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.offers, peer)
}

// fetchFrom takes a peer's newer bundles, each verified against the reviewers of
// the one before it that this process holds.
func (k *Keeper) fetchFrom(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply getReply
	if err := k.cfg.Group.Call(ctx, peer, getMethod, getRequest{k.Head().Version}, &reply); err != nil {
		return err
	}
	if len(reply.Steps) == 0 {
		return result.Errorf(result.BundleUnknown, "the peer gave no bundle above version %d", k.Head().Version)
	}
	for _, a := range reply.Steps {
		now := k.current.Load()
		if a.Version <= now.head.Version {
			continue
		}
		b, err := verified(a, now.bundle)
		if err != nil {
			return err
		}
		k.install(b, now.proven, a)
	}
	return nil
}
