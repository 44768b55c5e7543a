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

// Times of the keeper.
const (
	pollInterval = time.Second     // between readings of the current row, alone
	pollShare    = time.Second / 2 // between readings of a zone's processes, together
	pollLimit    = 4 * time.Second // between readings of one process among many
	pollTimeout  = 2 * time.Second // of one reading
	maxPollPause = 5 * time.Second // between readings while the table is away
	fetchTimeout = 3 * time.Second // of one fetch of a body
	// bootWait is how long a newly started instance waits for the table and
	// for the peers before it takes the highest that the peers offer.
	bootWait = 2 * time.Second
	// bootPause is the wait before the next attempt to find a first bundle.
	bootPause = 500 * time.Millisecond
	// stepsKept bounds the accepted bundles that are kept for peers.
	stepsKept = 8
)

// attachKey is the key of the heartbeats' value; getMethod serves bundles.
const (
	attachKey = "bundle"
	getMethod = "bundle.get"
)

// KeeperConfig is what a keeper works with.
type KeeperConfig struct {
	Tables  contract.Tables
	Objects contract.Objects
	Group   member.Group // nil for none
	// Initial is the first bundle of a new deployment, or nil. It comes into
	// force only where the table says that no bundle was ever accepted, or
	// where the table is away and the peers run on it.
	Initial *Bundle
	Scope   tally.Scope // nil for no metrics
}

// Keeper holds the bundle in force on an instance and follows the newest.
type Keeper struct {
	store
	cfg     KeeperConfig
	current atomic.Pointer[held]
	ready   chan struct{}
	wake    chan struct{}
	version tally.Gauge

	warned sync.Once

	mu     sync.Mutex
	steps  []*Accepted // ascending, at most stepsKept
	offers map[string]Head
}

// held is one immutable state of the keeper.
type held struct {
	bundle *Bundle
	head   Head
	// proven is false for a bundle on the word of peers alone, whose sign-offs
	// could not be checked. The table then has the last word.
	proven  bool
	changed chan struct{}
}

// NewKeeper returns a keeper without a bundle. It registers with the group, so
// it is made before the group runs.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	k := &Keeper{
		store:   store{cfg.Tables, cfg.Objects},
		cfg:     cfg,
		ready:   make(chan struct{}),
		wake:    make(chan struct{}, 1),
		version: cfg.Scope.Gauge("bundle_version"),
		offers:  map[string]Head{},
	}
	k.current.Store(&held{changed: make(chan struct{})})
	if cfg.Group != nil {
		cfg.Group.Attach(attachKey, k.attached)
		cfg.Group.OnAttached(attachKey, k.offered)
		cfg.Group.Handle(getMethod, k.serve)
	}
	return k
}

// Current returns the bundle in force, nil before Ready. The read takes no lock
// and the bundle must not be changed.
func (k *Keeper) Current() *Bundle { return k.current.Load().bundle }

// Head names the bundle in force; the zero value before Ready and for the first
// bundle of a new deployment.
func (k *Keeper) Head() Head { return k.current.Load().head }

// Changed returns a channel that is closed when the next bundle comes into
// force. To miss none, call it before Current.
func (k *Keeper) Changed() <-chan struct{} { return k.current.Load().changed }

// Ready returns a channel that is closed when a bundle is in force.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// Run finds the first bundle and follows the newest until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.boot(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { k.followTable(ctx) })
	wg.Go(func() { k.followPeers(ctx) })
	wg.Wait()
	return nil
}

// followTable reads the current row in intervals.
func (k *Keeper) followTable(ctx context.Context) {
	pause := k.pollPause()
	away := false
	for ctx.Err() == nil {
		err := k.poll(ctx)
		if err == nil {
			pause = k.pollPause()
		} else {
			pause = max(pollInterval, min(2*pause, maxPollPause))
		}
		if (err != nil) != away && ctx.Err() == nil {
			away = err != nil
			logger.WithField("error", err).Warnf("the platform's bundle cannot be read: %t", away)
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(pause)):
		}
	}
}

// pollPause is the time between two readings. The processes of a zone tell each
// other what they read, so the more of them are alive the less each has to read.
func (k *Keeper) pollPause() time.Duration {
	if k.cfg.Group == nil {
		return pollInterval
	}
	alive := 0
	for _, p := range k.cfg.Group.View().Peers {
		if p.Zone == k.cfg.Group.Self().Zone && p.State == member.Alive {
			alive++
		}
	}
	return min(max(time.Duration(alive)*pollShare, pollInterval), pollLimit)
}

// followPeers takes what peers offer, at once and again in intervals.
func (k *Keeper) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		k.fetchOffered(ctx)
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(jitter(pollInterval)):
		}
	}
}

// jitter returns three quarters to five quarters of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// poll reads the current row and takes the bundle that it names where it is newer.
func (k *Keeper) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, _, err := k.store.current(ctx)
	if err != nil {
		return err
	}
	now := k.current.Load()
	switch {
	case head.Version > now.head.Version, !now.proven && head != now.head && head.Version > 0:
		return k.fetch(ctx, head)
	case head == now.head && !now.proven:
		k.prove(now)
	case head.Version == now.head.Version && head.Hash != now.head.Hash:
		logger.WithField("version", head.Version).Error("the bundle in force is not the accepted one")
	}
	return nil
}

// prove marks the bundle in force as the one that the table holds.
func (k *Keeper) prove(now *held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current.Load() == now {
		k.current.Store(&held{bundle: now.bundle, head: now.head, proven: true, changed: now.changed})
	}
}

// fetch takes the accepted bundle that head names from the platform.
func (k *Keeper) fetch(ctx context.Context, head Head) error {
	b, body, err := k.bundle(ctx, head.Hash)
	if err != nil {
		return err
	}
	a, err := k.accepted(ctx, head.Version)
	if err != nil {
		return err
	}
	a.Body = body
	k.install(b, true, a)
	return nil
}

// install puts the last of the accepted bundles in force unless the one in force
// is as new. Only a proven one replaces an unproven newer one.
func (k *Keeper) install(b *Bundle, proven bool, steps ...*Accepted) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := steps[len(steps)-1]
	old := k.current.Load()
	if old.bundle != nil && a.Version <= old.head.Version {
		if old.proven || !proven || a.Head == old.head {
			return
		}
		logger.WithField("version", old.head.Version).WithField("hash", old.head.Hash).Error("the peers' bundle was never accepted; it is replaced")
		k.steps = nil
	}
	if a.Version > 0 {
		k.steps = append(k.steps, steps...)
		k.steps = k.steps[max(0, len(k.steps)-stepsKept):]
	}
	k.current.Store(&held{bundle: b, head: a.Head, proven: proven, changed: make(chan struct{})})
	close(old.changed)
	if old.bundle == nil {
		close(k.ready)
	}
	k.version.Update(float64(a.Version))
	logger.WithField("version", a.Version).WithField("author", a.Author).Info("a bundle is in force")
}

// offer takes an accepted bundle that this process itself accepted.
func (k *Keeper) offer(a *Accepted) {
	b, err := decodeBody(a.Body, a.Hash)
	if err != nil {
		logger.WithError(err).Error("the accepted bundle cannot be read")
		return
	}
	k.install(b, true, a)
}

// verified decodes a peer's step and checks it against the bundle that this
// process holds: hash, version, author and sign-offs of its reviewers.
func verified(a *Accepted, inForce *Bundle) (*Bundle, error) {
	b, err := decodeBody(a.Body, a.Hash)
	if err != nil {
		return nil, err
	}
	if b.Version != a.Version || b.Author != a.Author {
		return nil, result.Errorf(result.BundleSignature, "the body is version %d of %q, not %d of %q", b.Version, b.Author, a.Version, a.Author)
	}
	if err := refused(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	if inForce == nil {
		return b, nil
	}
	return b, signedOff(b, a.Hash, a.SignOffs, inForce)
}

// attached is the value of the heartbeats: what is in force here.
func (k *Keeper) attached() any {
	if k.Current() == nil {
		return nil
	}
	return k.Head()
}

// offered records what a peer has in force.
func (k *Keeper) offered(from member.Peer, value json.RawMessage) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		logger.WithError(err).WithField("peer", from.ID).Warn("a peer's offer cannot be read")
		return
	}
	k.mu.Lock()
	k.offers[from.ID] = head
	k.mu.Unlock()
	if head.Version > k.Head().Version || k.Current() == nil {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}
