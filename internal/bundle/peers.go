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
func (s *Syncer) handleGet(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
	var req getRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.Wrap(result.RequestBad, err, getMethod)
	}
	if s.Current() == nil {
		return nil, result.Errorf(result.NotReady, "no bundle is in force yet")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := getReply{Head: s.Head()}
	for _, a := range s.bundles {
		if a.Version > req.Have {
			reply.Bundles = append(reply.Bundles, a)
		}
	}
	return reply, nil
}

// fetchFromPeers asks the peers that have a newer bundle in force, the highest
// version first, until one of them has provided a bundle.
func (s *Syncer) fetchFromPeers(ctx context.Context) {
	for _, peer := range s.peersAhead() {
		if err := s.fetchFromPeer(ctx, peer); err != nil {
			logger.WithError(err).WithField("peer", peer).Warn("failed to install a peer's bundle")
			s.forgetPeerHead(peer)
			continue
		}
		return
	}
}

// peersAhead returns the peers that have a newer bundle in force, the highest
// version first, and forgets the others.
func (s *Syncer) peersAhead() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ownVersion := s.Head().Version
	var out []string
	for peer, head := range s.peerHeads {
		if head.Version <= ownVersion {
			delete(s.peerHeads, peer)
			continue
		}
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.peerHeads[b].Version, s.peerHeads[a].Version), cmp.Compare(a, b))
	})
	return out
}

// forgetPeerHead forgets which bundle a peer has in force until its next
// heartbeat.
func (s *Syncer) forgetPeerHead(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peerHeads, peer)
}

// fetchFromPeer installs a peer's newer bundles in ascending order. The sign-offs of
// each are verified against the reviewers of the bundle that it replaces.
func (s *Syncer) fetchFromPeer(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply getReply
	if err := s.cfg.Group.Call(ctx, peer, getMethod, getRequest{s.Head().Version}, &reply); err != nil {
		return err
	}
	if len(reply.Bundles) == 0 {
		return result.Errorf(result.BundleUnknown, "the peer returned no bundle above version %d", s.Head().Version)
	}
	for _, a := range reply.Bundles {
		state := s.current.Load()
		if a.Version <= state.head.Version {
			continue
		}
		b, err := verifyAccepted(a, state.bundle)
		if err != nil {
			return err
		}
		s.install(b, state.verified, a)
	}
	return nil
}
