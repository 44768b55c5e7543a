package node

import (
	"fmt"
	"testing"
)

func TestRankPrefersShardsZone(t *testing.T) {
	zones := []string{"a", "b", "c"}
	l := newLayout(zones, workersOf(zones, 350, 20), minPerShard)
	var all []Instance
	for i := range 6 {
		all = append(all, Instance{Name: fmt.Sprint("n", i), Zone: zones[i%3]})
	}
	for _, shard := range l.Shards() {
		ranked := l.Rank(shard, all)
		if ranked[0].Zone != l.ZoneOf(shard) || ranked[1].Zone != l.ZoneOf(shard) || ranked[2].Zone == l.ZoneOf(shard) {
			t.Errorf("shard %s: %v", shard, ranked)
		}
	}
}

// fleetOf returns instances in a zone: the large machines first, then the small ones.
func fleetOf(zone string, large, small int) []Instance {
	var out []Instance
	for i := range large + small {
		n := Instance{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Cores: 0.2, LinkMbps: 10}
		if i < large {
			n.Cores, n.LinkMbps = 0.8, 200
		}
		out = append(out, n)
	}
	return out
}

func TestRankPrefersLargeMachines(t *testing.T) {
	l := &Layout{Zones: []string{"a", "b"}, PerZone: 4}
	all := append(fleetOf("a", 2, 10), fleetOf("b", 2, 12)...)
	owned := map[string]int{}
	for _, shard := range l.Shards() {
		ranked := l.Rank(shard, all)
		if len(ranked) != len(all) {
			t.Fatalf("%d of %d instances are ranked", len(ranked), len(all))
		}
		for r, i := range ranked[:2] {
			if i.Cores < 0.8 || i.Zone != l.ZoneOf(shard) {
				t.Errorf("shard %s: %v has rank %d", shard, i, r)
			}
		}
		if i := ranked[2]; i.Cores < 0.8 {
			t.Errorf("shard %s: the small instance %v ranks above the large ones of the other zone", shard, i)
		}
		owned[ranked[0].Name]++
	}
	for name, n := range owned {
		if n != 2 {
			t.Errorf("%s owns %d shards, want 2", name, n)
		}
	}
}

// TestRankFewMoves checks that, when an instance leaves, only its own shards and the few
// that are displaced by them get another preferred owner.
func TestRankFewMoves(t *testing.T) {
	l := &Layout{Zones: []string{"a"}, PerZone: 8}
	all := fleetOf("a", 8, 0)
	moved := 0
	for _, shard := range l.Shards() {
		if l.Rank(shard, all)[0].Name != l.Rank(shard, all[1:])[0].Name {
			moved++
		}
	}
	if moved < 1 || moved > 4 {
		t.Errorf("%d of 8 shards move when one of 8 instances leaves", moved)
	}
}

func TestRankWithoutKnownSizes(t *testing.T) {
	l := &Layout{Zones: []string{"a"}, PerZone: 1}
	all := []Instance{{Name: "x", Zone: "a"}, {Name: "y", Zone: "a"}}
	if n := len(l.Rank("a-0", all)); n != 2 {
		t.Errorf("%d instances are ranked, want 2", n)
	}
	if capable := capableOwners(all); !capable["x"] || !capable["y"] {
		t.Error("an instance of unknown size is not capable, though all sizes are unknown")
	}
}
