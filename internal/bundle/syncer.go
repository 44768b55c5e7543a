package bundle

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

var logger = obs.Logger("bundle")

// Intervals and timeouts of a Syncer.
const (
	pollInterval    = time.Second     // shortest interval between reads of the current row by one process
	pollPerProcess  = time.Second / 2 // the read interval is this times the number of alive processes in the zone
	maxPollInterval = 4 * time.Second // longest interval between reads by one process, however many share the zone
	pollTimeout     = 2 * time.Second // of one read of the current row
	maxPollBackoff  = 5 * time.Second // longest backoff between reads while the table is unavailable
	fetchTimeout    = 3 * time.Second // of one fetch of bundles from a peer
	// bootstrapWait is how long a newly started instance waits for the table
	// and for all peers before it uses the highest version among the peers
	// that answered.
	bootstrapWait = 2 * time.Second
	// bootstrapRetryInterval is the time between attempts to find a first bundle.
	bootstrapRetryInterval = 500 * time.Millisecond
	// maxRecentBundles bounds the accepted bundles that are kept in memory for
	// peers that lag behind and need the versions in between.
	maxRecentBundles = 8
)

// heartbeatKey is the key under which a heartbeat carries the Head of the bundle in
// force; getMethod is the peer method that returns accepted bundles.
const (
	heartbeatKey = "bundle"
	getMethod    = "bundle.get"
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Tables  contract.Tables
	Objects contract.Objects
	Group   member.Group // nil for an instance without peers
	// Initial is the first bundle of a new deployment, or nil. It comes into
	// force only if the table says that no bundle was ever accepted, or if the
	// table is unavailable and the peers have it in force.
	Initial *Bundle
	Scope   tally.Scope // nil for no metrics
}

// Syncer holds the bundle in force on an instance and replaces it by newer
// accepted ones, which it learns of from the table and from peers' heartbeats.
type Syncer struct {
	store
	cfg     SyncerConfig
	current atomic.Pointer[syncState]
	ready   chan struct{}
	wake    chan struct{}
	version tally.Gauge

	warnNoInitial sync.Once

	mu        sync.Mutex
	bundles   []*AcceptedBundle // accepted bundles in ascending order, at most maxRecentBundles
	peerHeads map[string]Head   // peer id -> newer bundle that the peer has in force
}

// syncState is an immutable snapshot of the bundle in force.
type syncState struct {
	bundle *Bundle
	head   Head
	// verified is false for a bundle that came from peers and whose sign-offs
	// could not be checked against a verified base. The table may then replace
	// it, even by an older version.
	verified bool
	changed  chan struct{} // closed when the next bundle comes into force
}

// NewSyncer returns a Syncer without a bundle. It registers handlers with the
// group, so it must be called before the group runs.
func NewSyncer(cfg SyncerConfig) *Syncer {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	s := &Syncer{
		store:     store{cfg.Tables, cfg.Objects},
		cfg:       cfg,
		ready:     make(chan struct{}),
		wake:      make(chan struct{}, 1),
		version:   cfg.Scope.Gauge("bundle_version"),
		peerHeads: map[string]Head{},
	}
	s.current.Store(&syncState{changed: make(chan struct{})})
	if cfg.Group != nil {
		cfg.Group.Attach(heartbeatKey, s.heartbeatValue)
		cfg.Group.OnAttached(heartbeatKey, s.handlePeerHead)
		cfg.Group.Handle(getMethod, s.handleGet)
	}
	return s
}

// Current returns the bundle in force, nil before Ready is closed. It takes no
// lock, and callers must not modify the bundle.
func (s *Syncer) Current() *Bundle { return s.current.Load().bundle }

// Head names the bundle in force. It is the zero value before Ready is closed, and
// its version is 0 for the first bundle of a new deployment.
func (s *Syncer) Head() Head { return s.current.Load().head }

// Changed returns a channel that is closed when the next bundle comes into
// force. To miss no change, call it before Current.
func (s *Syncer) Changed() <-chan struct{} { return s.current.Load().changed }

// Ready returns a channel that is closed when the first bundle comes into force.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Run installs the first bundle, then every newer one until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.followTable(ctx) })
	wg.Go(func() { s.followPeers(ctx) })
	wg.Wait()
	return nil
}

// followTable polls the current row, with exponential backoff while the table is
// unavailable.
func (s *Syncer) followTable(ctx context.Context) {
	delay := s.pollDelay()
	unavailable := false
	for ctx.Err() == nil {
		err := s.poll(ctx)
		if err == nil {
			delay = s.pollDelay()
		} else {
			delay = max(pollInterval, min(2*delay, maxPollBackoff))
		}
		if (err != nil) != unavailable && ctx.Err() == nil {
			unavailable = err != nil
			logger.WithField("error", err).Warnf("platform's bundle unavailable: %t", unavailable)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(delay)):
		}
	}
}

// pollDelay is the time between two polls. A process that reads a new version
// announces it to its peers, so each process polls less often the more processes
// of its zone are alive.
func (s *Syncer) pollDelay() time.Duration {
	if s.cfg.Group == nil {
		return pollInterval
	}
	alive := 0
	for _, p := range s.cfg.Group.View().Peers {
		if p.Zone == s.cfg.Group.Self().Zone && p.State == member.Alive {
			alive++
		}
	}
	return min(max(time.Duration(alive)*pollPerProcess, pollInterval), maxPollInterval)
}

// followPeers fetches newer bundles from peers, as soon as a heartbeat announces
// one and periodically.
func (s *Syncer) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		s.fetchFromPeers(ctx)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(jitter(pollInterval)):
		}
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// poll reads the current row and installs the bundle that it names if that is newer
// than the one in force, or if the one in force is unverified and differs.
func (s *Syncer) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, _, err := s.store.current(ctx)
	if err != nil {
		return err
	}
	state := s.current.Load()
	switch {
	case head.Version > state.head.Version, !state.verified && head != state.head && head.Version > 0:
		return s.fetchFromPlatform(ctx, head)
	case head == state.head && !state.verified:
		s.markVerified(state)
	case head.Version == state.head.Version && head.Hash != state.head.Hash:
		logger.WithField("version", head.Version).Error("bundle in force differs from the accepted bundle of the same version")
	}
	return nil
}

// markVerified records that, according to the platform's table, the bundle of state is the
// newest accepted one. It does nothing if another bundle has come into force since.
func (s *Syncer) markVerified(state *syncState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load() == state {
		s.current.Store(&syncState{bundle: state.bundle, head: state.head, verified: true, changed: state.changed})
	}
}

// fetchFromPlatform installs the accepted bundle that head names, with the body
// from the object store and the sign-offs from the table.
func (s *Syncer) fetchFromPlatform(ctx context.Context, head Head) error {
	b, body, err := s.bundle(ctx, head.Hash)
	if err != nil {
		return err
	}
	a, err := s.accepted(ctx, head.Version)
	if err != nil {
		return err
	}
	a.Body = body
	s.install(b, true, a)
	return nil
}

// install puts b, the last of the accepted bundles, in force unless the one in
// force is at least as new. A verified bundle also replaces an unverified one of
// the same or a newer version.
func (s *Syncer) install(b *Bundle, verified bool, bundles ...*AcceptedBundle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := bundles[len(bundles)-1]
	old := s.current.Load()
	if old.bundle != nil && newest.Version <= old.head.Version {
		if old.verified || !verified || newest.Head == old.head {
			return
		}
		logger.WithField("version", old.head.Version).WithField("hash", old.head.Hash).Error("replacing a bundle from peers that was never accepted")
		s.bundles = nil
	}
	if newest.Version > 0 {
		s.bundles = append(s.bundles, bundles...)
		s.bundles = s.bundles[max(0, len(s.bundles)-maxRecentBundles):]
	}
	s.current.Store(&syncState{bundle: b, head: newest.Head, verified: verified, changed: make(chan struct{})})
	close(old.changed)
	if old.bundle == nil {
		close(s.ready)
	}
	s.version.Update(float64(newest.Version))
	logger.WithField("version", newest.Version).WithField("author", newest.Author).Info("bundle is in force")
}

// installAccepted installs a bundle that was accepted through this process.
func (s *Syncer) installAccepted(a *AcceptedBundle) {
	b, err := decodeBody(a.Body, a.Hash)
	if err != nil {
		logger.WithError(err).Error("failed to decode the accepted bundle")
		return
	}
	s.install(b, true, a)
}

// verifyAccepted decodes a bundle from a peer and checks its hash, version, author
// and contents, and its sign-offs against the reviewers of inForce. Without
// inForce the sign-offs are not checked.
func verifyAccepted(a *AcceptedBundle, inForce *Bundle) (*Bundle, error) {
	b, err := decodeBody(a.Body, a.Hash)
	if err != nil {
		return nil, err
	}
	if b.Version != a.Version || b.Author != a.Author {
		return nil, result.Errorf(result.BundleSignature, "the body is version %d of %q, not %d of %q", b.Version, b.Author, a.Version, a.Author)
	}
	if err := reasonsError(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	if inForce == nil {
		return b, nil
	}
	return b, checkSignOffs(b, a.Hash, a.SignOffs, inForce)
}

// heartbeatValue returns the Head of the bundle in force for the heartbeats, or nil
// before Ready is closed.
func (s *Syncer) heartbeatValue() any {
	if s.Current() == nil {
		return nil
	}
	return s.Head()
}

// handlePeerHead records which bundle a peer has in force and wakes followPeers if
// it is newer.
func (s *Syncer) handlePeerHead(from member.Peer, value json.RawMessage) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		logger.WithError(err).WithField("peer", from.ID).Warn("failed to decode the bundle version in a peer's heartbeat")
		return
	}
	s.mu.Lock()
	s.peerHeads[from.ID] = head
	s.mu.Unlock()
	if head.Version > s.Head().Version || s.Current() == nil {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}
