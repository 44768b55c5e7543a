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

// detection is how long the membership takes at most to call a silent peer dead
// with heartbeats of one second.
const detection = 3 * time.Second

// node is a scheduler with its zone.
type node struct {
	zone *Zone
	gate *gate
	stop context.CancelFunc
	done chan struct{}
}

func (w *world) node(net *fakeNet, name string, shards int) *node {
	g := newGate(w.platform(name))
	group := net.join(name, testZone)
	cfg := w.cfg
	cfg.Owner = OwnerID(group.Self())
	ext := func(shard string) Platform {
		p := g.platform()
		if shard != testShard {
			p.Fleet = func() []contract.Instance { return nil }
		}
		return p
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{gate: g, stop: stop, done: make(chan struct{})}
	n.zone = NewZone(cfg, shards, group, ext, func() Policy { return NewPolicy(placementDefaults) }, quiet())
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
		if o := n.owner(shard); o != nil && !n.gate.dead {
			return name, o
		}
	}
	return "", nil
}

// TestTakeoverOf64Workers kills the owner of a shard of 64 workers that run 600
// tasks. Within 5 s of the death, detection included, a peer owns the shard and
// every worker is in service under it.
func TestTakeoverOf64Workers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 64, settings.Standin{WritesPerSec: 300, ReadsPerSec: 2000})
		net := newFakeNet()
		nodes := map[string]*node{}
		for _, name := range []string{"e1", "e2", "e3"} {
			nodes[name] = w.node(net, name, 1)
		}
		time.Sleep(5 * time.Second)
		w.submit(service("confirm", 100))
		w.submit(batch("renewal", 400, 2*time.Minute))
		time.Sleep(20 * time.Second)
		slowEverything(t, w)
		name, old := ownerOf(nodes, testShard)
		if got := w.states(old, "renewal"); got != "running=400" {
			t.Fatalf("before: %s", got)
		}
		died := time.Now()
		nodes[name].gate.kill()
		time.Sleep(detection)
		net.set(name+"/scheduler", member.Dead)
		took := untilInService(t, nodes, died)
		t.Logf("64 workers in service %v after the death, %v of it detection", took, detection)
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
		w.mustAudit(history.Expect{Job: "renewal", Finished: 400})
	})
}

// slowEverything makes each platform call and exchange take some time.
func slowEverything(t *testing.T, w *world) {
	t.Helper()
	for _, f := range []standin.Fault{
		{Kind: standin.Slow, Target: "tables", Delay: job.Duration(20 * time.Millisecond)},
		{Kind: standin.Slow, Target: "objects", Delay: job.Duration(50 * time.Millisecond)},
	} {
		if err := w.sys.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
}

func untilInService(t *testing.T, nodes map[string]*node, since time.Time) time.Duration {
	t.Helper()
	for range 2000 {
		time.Sleep(10 * time.Millisecond)
		_, o := ownerOf(nodes, testShard)
		if o != nil && inService(o) == 64 {
			return time.Since(since)
		}
	}
	t.Fatal("the workers did not come into service")
	return 0
}

func inService(o *Owner) int {
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

// TestZoneHandsOver: shards spread over the zone's schedulers, a graceful stop
// hands them over at once, and a new instance takes its part of them.
func TestZoneHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, settings.Standin{})
		net := newFakeNet()
		nodes := map[string]*node{}
		const shards = 8
		for _, name := range []string{"e1", "e2", "e3"} {
			nodes[name] = w.node(net, name, shards)
		}
		stopTelling := make(chan struct{})
		go func() {
			for {
				select {
				case <-stopTelling:
					return
				case <-time.After(time.Second):
					net.tell()
				}
			}
		}()
		time.Sleep(10 * time.Second)
		assertAllOwned(t, nodes, shards)
		net.set("e1/scheduler", member.Leaving)
		start := time.Now()
		nodes["e1"].stop()
		<-nodes["e1"].done
		if d := time.Since(start); d > time.Second {
			t.Errorf("the drain took %v, want at most 1 s", d)
		}
		delete(nodes, "e1")
		time.Sleep(2 * time.Second)
		assertAllOwned(t, nodes, shards)
		nodes["e4"] = w.node(net, "e4", shards)
		time.Sleep(15 * time.Second)
		assertAllOwned(t, nodes, shards)
		if len(nodes["e4"].zone.Owners()) == 0 {
			t.Error("the new instance owns no shard")
		}
		close(stopTelling)
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

func TestCandidateSpreadsAndMovesFew(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	const shards = 120
	count, moved := map[string]int{}, 0
	for i := range shards {
		s := fmt.Sprint("z/", i)
		before := Candidate(s, ids)
		count[before]++
		after := Candidate(s, ids[:5])
		if before != after && before != "f" {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d shards moved between instances that stayed", moved)
	}
	for id, n := range count {
		if n < 8 || n > 36 {
			t.Errorf("%s is the candidate of %d of %d shards", id, n, shards)
		}
	}
	if Candidate("z/0", nil) != "" {
		t.Error("a candidate without instances")
	}
}
