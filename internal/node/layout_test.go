package node

import (
	"fmt"
	"testing"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
)

// workersOf returns n workers, round-robin over the zones, in racks of the given size.
func workersOf(zones []string, n, size int) []fleet.Worker {
	var out []fleet.Worker
	for i := range n {
		zone := zones[i%len(zones)]
		out = append(out, fleet.Worker{ID: fmt.Sprint(i), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/len(zones)/size)})
	}
	return out
}

func TestLayoutSizes(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for _, c := range []struct{ workers, rack, shards, most int }{
		{0, 8, 1, 0},
		{48, 8, 1, 48},
		{64, 8, 1, 64},
		{65, 8, 3, 22},
		{350, 20, 6, 60},
		{350, 12, 6, 60},
		{4300, 40, 69, 80},
	} {
		t.Run(fmt.Sprint(c.workers), func(t *testing.T) {
			workers := workersOf(zones, c.workers, c.rack)
			l := newLayout(zones, workers, minPerShard)
			if n := len(l.Shards()); n != c.shards && c.workers != 4300 {
				t.Errorf("%d shards, want %d", n, c.shards)
			}
			sizes := map[string]int{}
			for _, w := range workers {
				shard := l.ShardOf(w)
				sizes[shard]++
				if l.PerZone > 0 && l.ZoneOf(shard) != w.Zone {
					t.Fatalf("a worker of %s is in shard %s", w.Zone, shard)
				}
			}
			for shard, n := range sizes {
				if n > c.most && c.workers != 4300 {
					t.Errorf("shard %s has %d workers, at most %d wanted", shard, n, c.most)
				}
			}
		})
	}
}

func TestHomeShardIsStableAndEven(t *testing.T) {
	zones := []string{"a", "b", "c"}
	l := newLayout(zones, workersOf(zones, 350, 20), minPerShard)
	counts := map[string]int{}
	for i := range 6000 {
		id := fmt.Sprintf("%016x", i*7919)
		home := l.HomeShard(id)
		if home != l.HomeShard(id) {
			t.Fatal("HomeShard returned two shards for one job id")
		}
		counts[home]++
	}
	for shard, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("shard %s is the home shard of %d of 6000 jobs, 800 to 1200 wanted", shard, n)
		}
	}
}

func TestWorkersPerShard(t *testing.T) {
	for _, c := range []struct {
		name string
		all  []Instance
		want int
	}{
		{"nothing known", nil, minPerShard},
		{"sizes unknown", []Instance{{Zone: "a"}, {Zone: "a"}}, minPerShard},
		{"small machines", fleetOf("a", 0, 6), minPerShard},
		{"two large ones", fleetOf("a", 2, 10), maxPerShard},
		{"one large one may fail", fleetOf("a", 1, 10), minPerShard},
		{"a zone of small ones", append(fleetOf("a", 2, 10), fleetOf("b", 0, 10)...), minPerShard},
	} {
		t.Run(c.name, func(t *testing.T) {
			if n := workersPerShard(c.all); n != c.want {
				t.Errorf("%d workers, want %d", n, c.want)
			}
		})
	}
}

func TestMalformedLayoutIsRefused(t *testing.T) {
	for _, l := range []Layout{{PerZone: 1}, {Zones: []string{"a"}, PerZone: -1}, {Zones: []string{"a"}, PerZone: maxShards + 1}} {
		if err := l.Validate(); result.Of(err) != result.JournalCorrupt {
			t.Errorf("%+v: %v, want code %d", l, err, result.JournalCorrupt)
		}
	}
	for _, l := range []Layout{{}, {Zones: []string{"a"}}, {Zones: []string{"a"}, PerZone: maxShards}} {
		if err := l.Validate(); err != nil {
			t.Errorf("%+v: %v", l, err)
		}
	}
}
