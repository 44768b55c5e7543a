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

// reviewerKey is the key of a test's reviewer, the same in every run.
func reviewerKey(name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(name), ed25519.SeedSize)[:ed25519.SeedSize]
	return ed25519.NewKeyFromSeed(seed)
}

func publicKey(name string) Key {
	return Key{Name: name, Public: reviewerKey(name).Public().(ed25519.PublicKey)}
}

// initial is the first bundle: three reviewers, two of whom must sign off.
func initial() *Bundle {
	return &Bundle{
		Author:  "ops",
		Tenants: []Tenant{{Name: "teiki", Weight: 10}},
		Services: []Service{{
			Name: "confirm", Target: job.Duration(50 * time.Millisecond), Timeout: job.Duration(time.Second),
			Class: job.LatencyCritical, MaxBodyBytes: 1 << 20, MaxAnswerBytes: 1 << 20, RetryRatio: 0.1,
			Idempotent: []Route{{Method: "POST", Prefix: "/lookup"}},
		}},
		Reviewers: []Key{publicKey("ai"), publicKey("bo"), publicKey("cy")},
		SignOffs:  2,
	}
}

// next is the bundle after base with a note that tells it from its rivals.
func next(base *Bundle, author, note string) *Bundle {
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

// world is a deployment with one platform and several instances.
type world struct {
	t         *testing.T
	platform  *platform
	peers     *peers
	instances map[string]*node
}

// node is an instance. Its own view of the platform can be cut.
type node struct {
	*Keeper
	life   *Lifecycle
	link   *platformLink
	group  *group
	cancel context.CancelFunc
	done   chan struct{}
	seenMu sync.Mutex
	seen   []uint64 // versions in force, in order
}

// record runs f with n.seen.
func (n *node) record(f func()) {
	n.seenMu.Lock()
	defer n.seenMu.Unlock()
	f()
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, platform: newPlatform(), peers: &peers{groups: map[string]*group{}}, instances: map[string]*node{}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.peers.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

// start runs an instance whose settings name first.
func (w *world) start(id string, first *Bundle) *node {
	w.t.Helper()
	n := &node{done: make(chan struct{}), link: &platformLink{platform: w.platform}}
	n.group = w.peers.add(id, func(g *group) {
		n.Keeper = NewKeeper(KeeperConfig{Tables: n.link, Objects: linkObjects{n.link}, Group: g, Initial: first})
	})
	n.life = NewLifecycle(n.link, linkObjects{n.link}, first, n.Keeper, nil)
	ctx, cancel := context.WithCancel(w.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		watched := make(chan struct{})
		go func() { defer close(watched); n.watch(ctx) }()
		if err := n.Run(ctx); err != nil {
			w.t.Error(err)
		}
		<-watched
	}()
	w.t.Cleanup(func() { cancel(); <-n.done })
	w.instances[id] = n
	return n
}

// watch records every version that comes into force.
func (n *node) watch(ctx context.Context) {
	for {
		now := n.current.Load()
		if now.bundle != nil {
			n.record(func() { n.seen = append(n.seen, now.head.Version) })
		}
		select {
		case <-ctx.Done():
			return
		case <-now.changed:
		}
	}
}

func (w *world) stop(id string) {
	n := w.instances[id]
	n.cancel()
	<-n.done
	w.peers.remove(id)
	delete(w.instances, id)
}

// accept proposes, signs off and accepts b through n.
func (w *world) accept(n *node, b *Bundle) Head {
	w.t.Helper()
	p := w.propose(n, b)
	head, err := n.life.Accept(w.t.Context(), p.Hash)
	if err != nil {
		w.t.Fatalf("Accept(): %v", err)
	}
	return head
}

// propose stores b with the sign-offs that it needs.
func (w *world) propose(n *node, b *Bundle) Proposal {
	w.t.Helper()
	p, err := n.life.Propose(w.t.Context(), encode(w.t, b), b.Author)
	if err != nil {
		w.t.Fatalf("Propose(): %v", err)
	}
	for _, name := range []string{"ai", "bo", "cy"} {
		if name == b.Author {
			continue
		}
		if err := n.life.Sign(w.t.Context(), Sign(reviewerKey(name), name, p.Hash)); err != nil {
			w.t.Fatalf("Sign(): %v", err)
		}
	}
	return p
}

// wantEverywhere fails unless every instance has version in force.
func (w *world) wantEverywhere(when string, version uint64) {
	w.t.Helper()
	for id, n := range w.instances {
		if got := n.Head().Version; n.Current() == nil || got != version {
			w.t.Errorf("%s: %s has version %d (ready %t), want %d", when, id, got, n.Current() != nil, version)
		}
	}
}

// behind counts the instances whose version is lower.
func (w *world) behind(version uint64) int {
	n := 0
	for _, i := range w.instances {
		if i.Head().Version < version {
			n++
		}
	}
	return n
}

// wantRising fails where a version went down on an instance.
func (w *world) wantRising() {
	w.t.Helper()
	for id, n := range w.instances {
		n.record(func() {
			for i := 1; i < len(n.seen); i++ {
				if n.seen[i] <= n.seen[i-1] {
					w.t.Errorf("%s had the versions %v", id, n.seen)
				}
			}
		})
	}
}

// virtual runs body in virtual time with a world of instances a, b and c.
func virtual(t *testing.T, body func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, id := range []string{"a", "b", "c"} {
			w.start(id, initial())
		}
		time.Sleep(3 * time.Second)
		w.wantEverywhere("at the start", 0)
		body(w)
		synctest.Wait()
		w.wantRising()
	})
}

// platformLink is an instance's link to the platform, which can be cut.
type platformLink struct {
	platform *platform
	cut      atomic.Bool
}

var errCut = &contract.CallError{Outcome: contract.Refused, Code: result.PlatformRefused, Detail: "cut"}

func (l *platformLink) Read(ctx context.Context, key contract.Key) (contract.Row, error) {
	if l.cut.Load() {
		return contract.Row{}, errCut
	}
	return l.platform.Read(ctx, key)
}

func (l *platformLink) Scan(ctx context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	if l.cut.Load() {
		return nil, errCut
	}
	return l.platform.Scan(ctx, table, from, to, limit)
}

func (l *platformLink) Commit(ctx context.Context, writes []contract.Write) ([]uint64, error) {
	if l.cut.Load() {
		return nil, errCut
	}
	return l.platform.Commit(ctx, writes)
}

// linkObjects is the object store over the same link.
type linkObjects struct{ l *platformLink }

func (o linkObjects) Put(ctx context.Context, name string, body []byte) error {
	if o.l.cut.Load() {
		return errCut
	}
	return objectStore{o.l.platform}.Put(ctx, name, body)
}

func (o linkObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if o.l.cut.Load() {
		return nil, errCut
	}
	return objectStore{o.l.platform}.Get(ctx, name)
}

func (o linkObjects) Delete(ctx context.Context, name string) error {
	if o.l.cut.Load() {
		return errCut
	}
	return objectStore{o.l.platform}.Delete(ctx, name)
}
