package bundle

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// reviewerKey derives a reviewer's key from the name, so that it is the same in every
// run.
func reviewerKey(name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(name), ed25519.SeedSize)[:ed25519.SeedSize]
	return ed25519.NewKeyFromSeed(seed)
}

func publicKey(name string) ReviewerKey {
	return ReviewerKey{Name: name, Public: reviewerKey(name).Public().(ed25519.PublicKey)}
}

// initialBundle returns a first bundle with three reviewers, two of whom must sign
// off.
func initialBundle() *Bundle {
	return &Bundle{
		Author:        "ops",
		Organisations: []Organisation{{Name: "teiki", Weight: 10}},
		Services: []Service{{
			Name: "confirm", LatencyTarget: job.Duration(50 * time.Millisecond), Timeout: job.Duration(time.Second),
			Class: job.LatencyCritical, MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20, RetryRatio: 0.1,
			Idempotent: []Route{{Method: "POST", Prefix: "/lookup"}},
		}},
		Reviewers:        []ReviewerKey{publicKey("ai"), publicKey("bo"), publicKey("cy")},
		RequiredSignOffs: 2,
	}
}

// successor returns a bundle based on base, with a note that distinguishes it from
// others of the same version.
func successor(base *Bundle, author, note string) *Bundle {
	b := *base
	b.Base, b.Version = base.Version, base.Version+1
	b.Author, b.Note = author, note
	return &b
}

func encode(t *testing.T, b *Bundle) []byte {
	t.Helper()
	body, err := Encode(b)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// testEnv is a deployment with one fake platform and several instances.
type testEnv struct {
	t         *testing.T
	platform  *platform
	network   *network
	instances map[string]*instance
}

// instance is a running instance, whose connection to the platform can be interrupted.
type instance struct {
	*Syncer
	lifecycle  *Lifecycle
	link       *platformLink
	group      *group
	cancel     context.CancelFunc
	done       chan struct{}
	versionsMu sync.Mutex
	versions   []uint64 // versions in force, in order
}

// withVersionsLock runs f with the lock on n.versions held.
func (n *instance) withVersionsLock(f func()) {
	n.versionsMu.Lock()
	defer n.versionsMu.Unlock()
	f()
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, platform: newPlatform(), network: &network{groups: map[string]*group{}}, instances: map[string]*instance{}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); env.network.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return env
}

// start runs an instance whose settings name initialBundle as the first bundle.
func (env *testEnv) start(id string, initialBundle *Bundle) *instance {
	env.t.Helper()
	n := &instance{done: make(chan struct{}), link: &platformLink{platform: env.platform}}
	n.group = env.network.add(id, func(g *group) {
		n.Syncer = NewSyncer(SyncerConfig{Tables: n.link, Objects: linkObjects{n.link}, Group: g, Initial: initialBundle})
	})
	n.lifecycle = NewLifecycle(n.link, linkObjects{n.link}, initialBundle, n.Syncer, nil)
	ctx, cancel := context.WithCancel(env.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		watched := make(chan struct{})
		go func() { defer close(watched); n.watch(ctx) }()
		if err := n.Run(ctx); err != nil {
			env.t.Error(err)
		}
		<-watched
	}()
	env.t.Cleanup(func() { cancel(); <-n.done })
	env.instances[id] = n
	return n
}

// watch records every version that comes into force.
func (n *instance) watch(ctx context.Context) {
	for {
		now := n.current.Load()
		if now.bundle != nil {
			n.withVersionsLock(func() { n.versions = append(n.versions, now.head.Version) })
		}
		select {
		case <-ctx.Done():
			return
		case <-now.changed:
		}
	}
}

func (env *testEnv) stop(id string) {
	n := env.instances[id]
	n.cancel()
	<-n.done
	env.network.remove(id)
	delete(env.instances, id)
}

// accept proposes, signs off and accepts b through n.
func (env *testEnv) accept(n *instance, b *Bundle) Head {
	env.t.Helper()
	p := env.propose(n, b)
	head, err := n.lifecycle.Accept(env.t.Context(), p.Hash)
	if err != nil {
		env.t.Fatalf("Accept(): %v", err)
	}
	return head
}

// propose stores b with a sign-off of every reviewer but the author.
func (env *testEnv) propose(n *instance, b *Bundle) Proposal {
	env.t.Helper()
	p, err := n.lifecycle.Propose(env.t.Context(), encode(env.t, b), b.Author)
	if err != nil {
		env.t.Fatalf("Propose(): %v", err)
	}
	for _, name := range []string{"ai", "bo", "cy"} {
		if name == b.Author {
			continue
		}
		if err := n.lifecycle.Sign(env.t.Context(), Sign(reviewerKey(name), name, p.Hash)); err != nil {
			env.t.Fatalf("Sign(): %v", err)
		}
	}
	return p
}

// wantEverywhere fails unless every instance has version in force.
func (env *testEnv) wantEverywhere(when string, version uint64) {
	env.t.Helper()
	for id, n := range env.instances {
		if got := n.Head().Version; n.Current() == nil || got != version {
			env.t.Errorf("%s: %s has version %d (ready %t), want %d", when, id, got, n.Current() != nil, version)
		}
	}
}

// countBehind counts the instances whose version in force is below version.
func (env *testEnv) countBehind(version uint64) int {
	n := 0
	for _, i := range env.instances {
		if i.Head().Version < version {
			n++
		}
	}
	return n
}

// wantIncreasing fails if the version in force on an instance did not strictly
// increase.
func (env *testEnv) wantIncreasing() {
	env.t.Helper()
	for id, n := range env.instances {
		n.withVersionsLock(func() {
			for i := 1; i < len(n.versions); i++ {
				if n.versions[i] <= n.versions[i-1] {
					env.t.Errorf("%s had the versions %v", id, n.versions)
				}
			}
		})
	}
}

// runWithInstances runs body in virtual time with the instances a, b and c.
func runWithInstances(t *testing.T, body func(env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for _, id := range []string{"a", "b", "c"} {
			env.start(id, initialBundle())
		}
		time.Sleep(3 * time.Second)
		env.wantEverywhere("at the start", 0)
		body(env)
		synctest.Wait()
		env.wantIncreasing()
	})
}

// platformLink is an instance's connection to the platform, which can be interrupted.
type platformLink struct {
	platform     *platform
	disconnected atomic.Bool
}

var errDisconnected = &contract.CallError{Outcome: contract.Refused, Code: result.PlatformRefused, Detail: "disconnected"}

func (l *platformLink) Read(ctx context.Context, key contract.Key) (contract.Row, error) {
	if l.disconnected.Load() {
		return contract.Row{}, errDisconnected
	}
	return l.platform.Read(ctx, key)
}

func (l *platformLink) Scan(ctx context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	if l.disconnected.Load() {
		return nil, errDisconnected
	}
	return l.platform.Scan(ctx, table, from, to, limit)
}

func (l *platformLink) Commit(ctx context.Context, writes []contract.Write) ([]uint64, error) {
	if l.disconnected.Load() {
		return nil, errDisconnected
	}
	return l.platform.Commit(ctx, writes)
}

// linkObjects is the object store over the same connection.
type linkObjects struct{ l *platformLink }

func (o linkObjects) Put(ctx context.Context, name string, body []byte) error {
	if o.l.disconnected.Load() {
		return errDisconnected
	}
	return objectStore{o.l.platform}.Put(ctx, name, body)
}

func (o linkObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if o.l.disconnected.Load() {
		return nil, errDisconnected
	}
	return objectStore{o.l.platform}.Get(ctx, name)
}

func (o linkObjects) Delete(ctx context.Context, name string) error {
	if o.l.disconnected.Load() {
		return errDisconnected
	}
	return objectStore{o.l.platform}.Delete(ctx, name)
}
