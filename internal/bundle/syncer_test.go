package bundle

import (
	"crypto/ed25519"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/result"
)

// An accepted bundle comes into force everywhere within inForceTarget, and within
// inForceBound while the platform is faulty.
const (
	inForceTarget = 2 * time.Second
	inForceBound  = 8 * time.Second
)

// TestInForce checks that an accepted bundle is in force everywhere within the
// target, also while instances are disconnected from the platform or from peers.
func TestInForce(t *testing.T) {
	tests := []struct {
		name       string
		disconnect func(env *testEnv)
		bound      time.Duration
	}{
		{"healthy", func(*testEnv) {}, inForceTarget},
		{"an instance disconnected from the platform", func(env *testEnv) { env.instances["b"].link.disconnected.Store(true) }, inForceTarget},
		{"all but the accepting one disconnected from the platform", func(env *testEnv) {
			env.instances["b"].link.disconnected.Store(true)
			env.instances["c"].link.disconnected.Store(true)
		}, inForceTarget},
		{"an instance disconnected from its peers", func(env *testEnv) { env.instances["b"].group.disconnected.Store(true) }, inForceTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithInstances(t, func(env *testEnv) {
				tt.disconnect(env)
				b := initialBundle()
				for i := range uint64(5) {
					b = successor(b, "ops", fmt.Sprint("change ", i))
					env.accept(env.instances["a"], b)
					time.Sleep(tt.bound)
					env.wantEverywhere(tt.name, i+1)
				}
			})
		})
	}
}

// TestPollFaults checks that a bundle comes into force everywhere although the
// platform starts to fail right after the commit, and that the next one does when
// the platform has recovered.
func TestPollFaults(t *testing.T) {
	for _, f := range []fault{faultRefused, faultSlow, faultResponseLost, faultNotApplied} {
		t.Run(string(f), func(t *testing.T) {
			runWithInstances(t, func(env *testEnv) {
				env.accept(env.instances["a"], successor(initialBundle(), "ops", "x"))
				env.platform.setFault(f, false)
				time.Sleep(inForceBound)
				env.wantEverywhere("during the fault", 1)
				time.Sleep(time.Minute)
				env.platform.setFault(faultNone, false)
				env.accept(env.instances["b"], successor(env.instances["b"].Current(), "ops", "y"))
				time.Sleep(inForceBound)
				env.wantEverywhere("after the fault", 2)
			})
		})
	}
}

// TestRestart checks which bundle a newly started instance installs.
func TestRestart(t *testing.T) {
	tests := []struct {
		name    string
		fault   fault
		prepare func(env *testEnv)
		after   time.Duration
		ready   bool
		want    uint64
	}{
		{"healthy", faultNone, func(*testEnv) {}, inForceTarget, true, 2},
		{"table unavailable", faultRefused, func(*testEnv) {}, inForceBound, true, 2},
		{"table slow", faultSlow, func(*testEnv) {}, inForceBound, true, 2},
		{"responses lost", faultResponseLost, func(*testEnv) {}, inForceBound, true, 2},
		{"table unavailable, a stale peer", faultRefused, func(env *testEnv) { makeStale(env.instances["a"]) }, inForceBound, true, 2},
		{"table unavailable, no peers", faultRefused, func(env *testEnv) { env.stop("a"); env.stop("b") }, time.Minute, false, 0},
		{"only the table", faultNone, func(env *testEnv) { env.stop("a"); env.stop("b") }, inForceTarget, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithInstances(t, func(env *testEnv) {
				b1 := successor(initialBundle(), "ops", "1")
				env.accept(env.instances["a"], b1)
				env.accept(env.instances["a"], successor(b1, "ops", "2"))
				time.Sleep(inForceTarget)
				env.stop("c")
				env.platform.setFault(tt.fault, false)
				tt.prepare(env)
				c := env.start("c", initialBundle())
				time.Sleep(tt.after)
				if ready := c.Current() != nil; ready != tt.ready || c.Head().Version != tt.want {
					t.Errorf("ready %t with version %d, want %t with %d", ready, c.Head().Version, tt.ready, tt.want)
				}
				env.platform.setFault(faultNone, false)
				time.Sleep(inForceBound)
				if c.Head().Version != 2 {
					t.Errorf("version %d after the fault", c.Head().Version)
				}
			})
		})
	}
}

// TestStalePeerFirst checks that a new instance does not install the older version
// of the first peer that answers while another peer has not answered.
func TestStalePeerFirst(t *testing.T) {
	runWithInstances(t, func(env *testEnv) {
		b1 := successor(initialBundle(), "ops", "1")
		env.accept(env.instances["a"], b1)
		env.accept(env.instances["a"], successor(b1, "ops", "2"))
		time.Sleep(inForceTarget)
		env.stop("c")
		env.platform.setFault(faultRefused, false)
		makeStale(env.instances["a"])
		env.instances["b"].group.disconnected.Store(true)
		c := env.start("c", initialBundle())
		time.Sleep(bootstrapWait / 2)
		if c.Current() != nil {
			t.Errorf("version %d is in force before the other peer answered", c.Head().Version)
		}
		env.instances["b"].group.disconnected.Store(false)
		<-c.Ready()
		if v := c.Head().Version; v != 2 {
			t.Errorf("the first version in force is %d, want 2", v)
		}
	})
}

// TestInstallOlder checks that a bundle that arrives late does not replace a newer
// one or another one of the same version.
func TestInstallOlder(t *testing.T) {
	s := NewSyncer(SyncerConfig{})
	b1 := successor(initialBundle(), "ops", "1")
	b2 := successor(b1, "ops", "2")
	other := successor(b1, "ops", "rival")
	for _, b := range []*Bundle{b2, b1, other, initialBundle()} {
		s.install(b, true, &AcceptedBundle{Head: Head{Version: b.Version, Hash: HashOf(encode(t, b)), Author: b.Author}})
		if s.Current() != b2 {
			t.Fatalf("version %d (%s) is in force, want 2", s.Head().Version, s.Current().Note)
		}
	}
}

// makeStale puts the older of two installed versions in force again.
func makeStale(n *instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.bundles[0]
	b, err := decodeBody(old.Body, old.Hash)
	if err != nil {
		panic(err)
	}
	state := n.current.Load()
	n.bundles = n.bundles[:1]
	n.withVersionsLock(func() { n.versions = nil })
	n.current.Store(&syncState{bundle: b, head: old.Head, verified: true, changed: state.changed})
}

// TestInitialBundle checks when the first bundle of the settings comes into force.
func TestInitialBundle(t *testing.T) {
	tests := []struct {
		name  string
		first *Bundle
		fault fault
		peers int // peers that have the first bundle in force
		ready bool
	}{
		{"table has no accepted bundle", initialBundle(), faultNone, 0, true},
		{"table unavailable, no peers", initialBundle(), faultRefused, 0, false},
		{"table unavailable, peers on the first bundle", initialBundle(), faultRefused, 2, true},
		{"no bundle file", nil, faultNone, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				for i := range tt.peers {
					env.start(fmt.Sprint("p", i), initialBundle())
				}
				time.Sleep(3 * time.Second)
				env.platform.setFault(tt.fault, false)
				n := env.start("n", tt.first)
				time.Sleep(inForceBound)
				if ready := n.Current() != nil; ready != tt.ready {
					t.Fatalf("ready %t, want %t", ready, tt.ready)
				}
				select {
				case <-n.Ready():
					if !tt.ready {
						t.Error("Ready() is closed")
					}
				default:
					if tt.ready {
						t.Error("Ready() is open")
					}
				}
			})
		})
	}
}

// TestForgedBundle checks that a bundle from a peer comes into force only with enough
// valid sign-offs.
func TestForgedBundle(t *testing.T) {
	forged := successor(initialBundle(), "mallory", "evil")
	other := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	signed := func(b *Bundle, key func(string) ed25519.PrivateKey, names ...string) *AcceptedBundle {
		body, err := Encode(b)
		if err != nil {
			panic(err)
		}
		a := &AcceptedBundle{Head: Head{Version: b.Version, Hash: HashOf(body), Author: b.Author}, Body: body}
		for _, name := range names {
			a.SignOffs = append(a.SignOffs, Sign(key(name), name, a.Hash))
		}
		return a
	}
	change := func(a *AcceptedBundle, f func(*AcceptedBundle)) *AcceptedBundle { f(a); return a }
	forgedLater := *forged
	forgedLater.Base, forgedLater.Version = 6, 7
	tests := []struct {
		name string
		step *AcceptedBundle
		ok   bool
	}{
		{"good", signed(forged, reviewerKey, "ai", "bo"), true},
		{"good after a gap", signed(&forgedLater, reviewerKey, "ai", "bo"), true},
		{"no sign-offs", signed(forged, reviewerKey), false},
		{"one sign-off", signed(forged, reviewerKey, "ai"), false},
		{"one reviewer twice", signed(forged, reviewerKey, "ai", "ai"), false},
		{"another key", signed(forged, func(string) ed25519.PrivateKey { return other }, "ai", "bo"), false},
		{"unknown reviewers", signed(forged, reviewerKey, "xx", "yy"), false},
		{"author signs", signed(successor(initialBundle(), "ai", "evil"), reviewerKey, "ai", "bo"), false},
		{"other body", change(signed(forged, reviewerKey, "ai", "bo"), func(a *AcceptedBundle) { a.Body = signed(&forgedLater, reviewerKey).Body }), false},
		{"other version", change(signed(forged, reviewerKey, "ai", "bo"), func(a *AcceptedBundle) { a.Version = 9 }), false},
		{"no body", change(signed(forged, reviewerKey, "ai", "bo"), func(a *AcceptedBundle) { a.Body = nil }), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithInstances(t, func(env *testEnv) {
				env.platform.setFault(faultRefused, false)
				env.network.add("forger", func(g *group) {
					g.Handle(getMethod, serveAccepted(tt.step))
					g.Attach(heartbeatKey, func() any { return tt.step.Head })
				})
				time.Sleep(inForceBound)
				want := uint64(0)
				if tt.ok {
					want = tt.step.Version
				}
				env.wantEverywhere(tt.name, want)
			})
		})
	}
}

// TestForgedAtStart checks that a forged bundle that an instance without any bundle
// installed from a peer is replaced by the accepted one when the table answers.
func TestForgedAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		a := env.start("a", initialBundle())
		time.Sleep(inForceTarget)
		env.accept(a, successor(initialBundle(), "ops", "1"))
		env.stop("a")
		env.platform.setFault(faultRefused, false)
		forged := *successor(initialBundle(), "mallory", "evil")
		forged.Base, forged.Version = 8, 9
		body := encode(t, &forged)
		accepted := &AcceptedBundle{Head: Head{9, HashOf(body), "mallory"}, Body: body}
		env.network.add("forger", func(g *group) { g.Handle(getMethod, serveAccepted(accepted)) })
		n := env.start("n", nil)
		time.Sleep(inForceBound)
		env.platform.setFault(faultNone, false)
		time.Sleep(inForceBound)
		if n.Head().Version != 1 {
			t.Errorf("version %d of %s, want the table's 1", n.Head().Version, n.Head().Author)
		}
	})
}

// TestReviewerRotation checks that an instance without the platform follows a
// change of the reviewers through its peers, and that a former reviewer can no
// longer sign off.
func TestReviewerRotation(t *testing.T) {
	runWithInstances(t, func(env *testEnv) {
		env.instances["c"].link.disconnected.Store(true)
		env.instances["c"].group.disconnected.Store(true)
		b1 := successor(initialBundle(), "ops", "rotate")
		b1.Reviewers = []ReviewerKey{publicKey("dd"), publicKey("ee")}
		env.accept(env.instances["a"], b1)
		p, err := env.instances["a"].lifecycle.Propose(t.Context(), encode(t, successor(b1, "ops", "after")), "ops")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"dd", "ee"} {
			if err := env.instances["a"].lifecycle.Sign(t.Context(), Sign(reviewerKey(name), name, p.Hash)); err != nil {
				t.Fatal(err)
			}
		}
		if err := env.instances["a"].lifecycle.Sign(t.Context(), Sign(reviewerKey("ai"), "ai", p.Hash)); result.Of(err) != result.BundleSignature {
			t.Errorf("a former reviewer's Sign() = %v", err)
		}
		if _, err := env.instances["a"].lifecycle.Accept(t.Context(), p.Hash); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceTarget)
		if v := env.instances["c"].Head().Version; v != 0 {
			t.Errorf("the disconnected instance has version %d", v)
		}
		env.instances["c"].group.disconnected.Store(false)
		time.Sleep(inForceTarget)
		env.wantEverywhere("through peers", 2)
	})
}

// TestPollRate checks that the processes of a zone share the polling of the current
// row, and that a single process polls it every pollInterval.
func TestPollRate(t *testing.T) {
	const seconds = 60
	tests := []struct {
		instances int
		interval  time.Duration
	}{
		{1, pollInterval},
		{5, 4 * pollPerProcess},
		{12, maxPollInterval},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				for i := range tt.instances {
					env.start(fmt.Sprint("i", i), initialBundle())
				}
				time.Sleep(10 * time.Second)
				before := env.platform.readCount()
				time.Sleep(seconds * time.Second)
				n := env.platform.readCount() - before
				// The jitter of the interval is a quarter of it, and one read
				// of each instance may fall on either side of the ends.
				most := tt.instances * (int(seconds*time.Second*4/3/tt.interval) + 1)
				least := tt.instances * (int(seconds*time.Second*4/5/tt.interval) - 1)
				t.Logf("%d reads in %d s", n, seconds)
				if n > most || n < least {
					t.Errorf("%d reads in %d s, want %d to %d", n, seconds, least, most)
				}
			})
		})
	}
}

// TestAcceptedElsewhere checks that a bundle comes into force on all instances
// within the bound if the accepting instance crashes right after the commit, so
// that only polling the table finds it.
func TestAcceptedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		for i := range 12 {
			env.start(fmt.Sprint("i", i), initialBundle())
		}
		time.Sleep(3 * time.Second)
		crashed := &instance{lifecycle: NewLifecycle(env.platform, objectStore{env.platform}, initialBundle(), nil, nil)}
		b := initialBundle()
		for i := range uint64(10) {
			b = successor(b, "ops", fmt.Sprint(i))
			env.accept(crashed, b)
			began := time.Now()
			for env.countBehind(i+1) > 0 && time.Since(began) < inForceBound {
				time.Sleep(heartbeatInterval / 5)
			}
			t.Logf("in force everywhere after %v", time.Since(began))
			env.wantEverywhere("within the bound", i+1)
		}
	})
}
