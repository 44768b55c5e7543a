package bundle

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// getRequest asks a peer for the accepted bundles above the version Have.
type getRequest struct {
	Have uint64 `json:"have"`
}

// getReply holds accepted bundles in ascending order, and the Head of the one that
// the peer has in force.
type getReply struct {
	Head    Head              `json:"head"`
	Bundles []*AcceptedBundle `json:"steps"`
}

// handleGet serves getMethod.
func (k *Syncer) handleGet(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
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
	for _, a := range k.bundles {
		if a.Version > req.Have {
			reply.Bundles = append(reply.Bundles, a)
		}
	}
	return reply, nil
}

// fetchFromPeers asks the peers that have a newer bundle in force, the highest
// version first, until one of them has provided a bundle.
func (k *Syncer) fetchFromPeers(ctx context.Context) {
	for _, peer := range k.peersAhead() {
		if err := k.fetchFromPeer(ctx, peer); err != nil {
			logger.WithError(err).WithField("peer", peer).Warn("failed to install a peer's bundle")
			k.forgetPeerHead(peer)
			continue
		}
		return
	}
}

// peersAhead returns the peers that have a newer bundle in force, the highest
// version first, and forgets the others.
func (k *Syncer) peersAhead() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	ownVersion := k.Head().Version
	var out []string
	for peer, head := range k.peerHeads {
		if head.Version <= ownVersion {
			delete(k.peerHeads, peer)
			continue
		}
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(k.peerHeads[b].Version, k.peerHeads[a].Version), cmp.Compare(a, b))
	})
	return out
}

// forgetPeerHead forgets which bundle a peer has in force until its next
// heartbeat.
func (k *Syncer) forgetPeerHead(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.peerHeads, peer)
}

// fetchFromPeer installs a peer's newer bundles, each after verifying it against
// the reviewers of the bundle in force at that point.
func (k *Syncer) fetchFromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply getReply
	if err := k.cfg.Group.Call(ctx, peer, getMethod, getRequest{k.Head().Version}, &reply); err != nil {
		return err
	}
	if len(reply.Bundles) == 0 {
		return result.Errorf(result.BundleUnknown, "the peer returned no bundle above version %d", k.Head().Version)
	}
	for _, a := range reply.Bundles {
		state := k.current.Load()
		if a.Version <= state.head.Version {
			continue
		}
		b, err := verifyAccepted(a, state.bundle)
		if err != nil {
			return err
		}
		k.install(b, state.verified, a)
	}
	return nil
}
