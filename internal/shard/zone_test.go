package shard

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/placement"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// detectionTime is the longest time after which the membership declares a silent peer
// dead, with a heartbeat every second.
const detectionTime = 3 * time.Second

// node is a simulated scheduler with its Zone.
type node struct {
	zone  *Zone
	proxy *proxy
	stop  context.CancelFunc
	done  chan struct{}
}

func (env *testEnv) node(net *fakeNet, name string, shards int) *node {
	px := newProxy(env.platform(name))
	group := net.join(name, testZone)
	cfg := env.cfg
	cfg.Owner = OwnerID(group.Self())
	ext := func(shard string) Platform {
		p := px.platform()
		if shard != testShard {
			p.Fleet = func() []contract.Instance { return nil }
		}
		return p
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{proxy: px, stop: stop, done: make(chan struct{})}
	n.zone = NewZone(cfg, shards, group, ext, func() Policy { return NewPolicy(placementDefaults) }, discardLogger())
	go func() {
		defer close(n.done)
		_ = n.zone.Run(ctx)
	}()
	return n
}

func (n *node) owner(shard string) *Owner {
	for _, o := range n.zone.Owners() {
		if o.Name() == shard {
			return o
		}
	}
	return nil
}

func ownerOf(nodes map[string]*node, shard string) (string, *Owner) {
	for name, n := range nodes {
		if o := n.owner(shard); o != nil && !n.proxy.dead {
			return name, o
		}
	}
	return "", nil
}

// TestTakeoverOf64Workers kills the owner of a shard whose 64 workers run 100 service
// tasks and 400 batch tasks. Within 5 s of that, detection included, a peer must own
// the shard and every worker must be healthy again.
func TestTakeoverOf64Workers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 64, settings.Standin{WritesPerSec: 300, ReadsPerSec: 2000})
		net := newFakeNet()
		nodes := map[string]*node{}
		for _, name := range []string{"e1", "e2", "e3"} {
			nodes[name] = env.node(net, name, 1)
		}
		time.Sleep(5 * time.Second)
		env.submitWithRetry(service("confirm", 100))
		env.submitWithRetry(batch("renewal", 400, 2*time.Minute))
		time.Sleep(20 * time.Second)
		slowPlatform(t, env)
		name, old := ownerOf(nodes, testShard)
		if got := env.states(old, "renewal"); got != "running=400" {
			t.Fatalf("before: %s", got)
		}
		died := time.Now()
		nodes[name].proxy.failCalls()
		time.Sleep(detectionTime)
		net.setState(name+"/scheduler", member.Dead)
		took := waitUntilHealthy(t, nodes, died)
		t.Logf("64 workers healthy %v after the owner was killed, %v of it detection", took, detectionTime)
		if took > 5*time.Second {
			t.Errorf("took %v, want at most 5 s", took)
		}
		time.Sleep(5 * time.Minute)
		for _, n := range nodes {
			n.stop()
		}
		for _, n := range nodes {
			<-n.done
		}
		env.mustAudit(history.Expectation{Job: "renewal", Finished: 400})
	})
}

// slowPlatform adds a latency to every call of the tables and the object store, as a
// real platform has.
func slowPlatform(t *testing.T, env *testEnv) {
	t.Helper()
	for _, f := range []standin.Fault{
		{Kind: standin.Slow, Target: "tables", Delay: job.Duration(20 * time.Millisecond)},
		{Kind: standin.Slow, Target: "objects", Delay: job.Duration(50 * time.Millisecond)},
	} {
		if err := env.sys.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
}

func waitUntilHealthy(t *testing.T, nodes map[string]*node, since time.Time) time.Duration {
	t.Helper()
	for range 2000 {
		time.Sleep(10 * time.Millisecond)
		_, o := ownerOf(nodes, testShard)
		if o != nil && healthyWorkers(o) == 64 {
			return time.Since(since)
		}
	}
	t.Fatal("the workers did not become healthy")
	return 0
}

func healthyWorkers(o *Owner) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, w := range o.workers {
		if o.health(w) == placement.Healthy {
			n++
		}
	}
	return n
}

// TestZoneHandsOver checks that each shard has exactly one owner, that a graceful stop
// hands over the shards within 1 s, and that a new instance gets some of them.
func TestZoneHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 4, settings.Standin{})
		net := newFakeNet()
		nodes := map[string]*node{}
		const shards = 8
		for _, name := range []string{"e1", "e2", "e3"} {
			nodes[name] = env.node(net, name, shards)
		}
		stopExchange := make(chan struct{})
		go func() {
			for {
				select {
				case <-stopExchange:
					return
				case <-time.After(time.Second):
					net.exchangeAttachments()
				}
			}
		}()
		time.Sleep(10 * time.Second)
		assertAllOwned(t, nodes, shards)
		net.setState("e1/scheduler", member.Leaving)
		start := time.Now()
		nodes["e1"].stop()
		<-nodes["e1"].done
		if d := time.Since(start); d > time.Second {
			t.Errorf("the drain took %v, want at most 1 s", d)
		}
		delete(nodes, "e1")
		time.Sleep(2 * time.Second)
		assertAllOwned(t, nodes, shards)
		nodes["e4"] = env.node(net, "e4", shards)
		time.Sleep(15 * time.Second)
		assertAllOwned(t, nodes, shards)
		if len(nodes["e4"].zone.Owners()) == 0 {
			t.Error("the new instance owns no shard")
		}
		close(stopExchange)
		for _, n := range nodes {
			n.stop()
		}
		for _, n := range nodes {
			<-n.done
		}
	})
}

func assertAllOwned(t *testing.T, nodes map[string]*node, shards int) {
	t.Helper()
	for i := range shards {
		owners := 0
		for _, n := range nodes {
			if n.owner(Name(testZone, i)) != nil {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%s has %d owners", Name(testZone, i), owners)
		}
	}
}

func TestPreferredOwnerSpreadsAndMovesFew(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	const shards = 120
	count, moved := map[string]int{}, 0
	for i := range shards {
		s := fmt.Sprint("z/", i)
		before := PreferredOwner(s, ids)
		count[before]++
		after := PreferredOwner(s, ids[:5])
		if before != after && before != "f" {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d shards moved between instances that stayed", moved)
	}
	for id, n := range count {
		if n < 8 || n > 36 {
			t.Errorf("%s is the preferred owner of %d of %d shards", id, n, shards)
		}
	}
	if PreferredOwner("z/0", nil) != "" {
		t.Error("a preferred owner without instances")
	}
}
