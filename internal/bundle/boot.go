package bundle

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// bootstrap installs the first bundle: the one that the table names if the table
// answers, otherwise the highest version that a peer has in force. Until the
// table or a peer answers, no bundle is in force.
func (s *Syncer) bootstrap(ctx context.Context) {
	partialAllowedAfter := time.Now().Add(bootstrapWait)
	for ctx.Err() == nil {
		s.tryBootstrap(ctx, partialAllowedAfter)
		if s.Current() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(jitter(bootstrapRetryInterval)):
		}
	}
}

// tryBootstrap asks the table and every peer at once. Before partialAllowedAfter
// the peers' bundles are used only if all peers answered, so that a peer that
// lags behind does not provide the first bundle.
func (s *Syncer) tryBootstrap(ctx context.Context, partialAllowedAfter time.Time) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapWait)
	defer cancel()
	type peerReplies struct {
		replies  []getReply
		complete bool
	}
	peers := make(chan peerReplies, 1)
	go func() {
		replies, complete := s.queryPeers(ctx)
		peers <- peerReplies{replies, complete}
	}()
	if s.installFromTable(ctx) == nil && s.Current() != nil {
		return
	}
	if got := <-peers; got.complete || !time.Now().Before(partialAllowedAfter) {
		s.installFromPeers(got.replies)
	}
}

// installFromTable installs the bundle that the table names, or the first bundle
// of the settings if no bundle was ever accepted.
func (s *Syncer) installFromTable(ctx context.Context) error {
	head, _, err := s.store.current(ctx)
	if err != nil {
		return err
	}
	if head.Version > 0 {
		return s.fetchFromPlatform(ctx, head)
	}
	s.installInitial()
	return nil
}

// installInitial installs the first bundle of the settings, or logs once that there
// is none.
func (s *Syncer) installInitial() {
	if s.cfg.Initial == nil {
		s.warnNoInitial.Do(func() { logger.Warn("no bundle has been accepted and the settings name no bundle_file") })
		return
	}
	s.install(s.cfg.Initial, true, &AcceptedBundle{Head: Head{Author: s.cfg.Initial.Author}})
}

// queryPeers asks every peer that is not known to be dead for its bundles, and
// reports whether all of them answered. A peer without a bundle of its own
// counts as having answered.
func (s *Syncer) queryPeers(ctx context.Context) ([]getReply, bool) {
	if s.cfg.Group == nil {
		return nil, false
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		replies []getReply
	)
	complete := true
	for _, p := range s.cfg.Group.View().Peers {
		if p.State == member.Dead {
			continue
		}
		wg.Go(func() {
			var reply getReply
			err := s.cfg.Group.Call(ctx, p.ID, getMethod, getRequest{}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				complete = complete && result.Of(err) == result.NotReady
				return
			}
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies, complete
}

// installFromPeers installs the highest bundle of the replies that can be
// verified. An instance without any bundle has no reviewers to check sign-offs
// against: it trusts its authenticated peers for the oldest bundle of a reply,
// verifies each later one against its predecessor, and checks the result
// against the table when the table answers.
func (s *Syncer) installFromPeers(replies []getReply) {
	slices.SortFunc(replies, func(a, b getReply) int { return cmp.Compare(b.Head.Version, a.Head.Version) })
	for _, reply := range replies {
		if reply.Head.Version == 0 {
			s.installInitial()
		} else if err := s.installSequence(reply.Bundles); err != nil {
			logger.WithError(err).Warn("failed to install a peer's bundle")
		}
		if s.Current() != nil {
			return
		}
	}
}

// installSequence verifies successive bundles, each against its predecessor, and
// puts the last in force.
func (s *Syncer) installSequence(sequence []*AcceptedBundle) error {
	if len(sequence) == 0 {
		return result.Errorf(result.BundleUnknown, "the peer returned no bundle")
	}
	var base *Bundle
	if sequence[0].Version == 1 {
		base = s.cfg.Initial
	}
	verified := base != nil
	for _, a := range sequence {
		b, err := verifyAccepted(a, base)
		if err != nil {
			return err
		}
		base = b
	}
	s.install(base, verified, sequence...)
	return nil
}
