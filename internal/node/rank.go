package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// strongCPU is the least processor of an instance that owns shards, as a share
	// of the largest one's: an owner follows every run of its workers.
	strongCPU = 0.5
	// strongLink is the same for the network link. An owner of 60 workers moves
	// some megabits a second.
	strongLink = 0.1
)

// Rank orders instances for the ownership of a shard: the strong ones first, among
// them those of its zone, each group by rendezvous hashing. The shards of a zone are
// spread evenly over its strong instances. A strong instance elsewhere comes before a
// weak one of the zone, which would take seconds to load the shard.
func (l *Layout) Rank(shard string, instances []Instance) []Instance {
	zone := l.ZoneOf(shard)
	strong := strongOf(instances)
	weights := make(map[string]uint64, len(instances))
	for _, i := range instances {
		weights[i.Name] = weight(shard, i)
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(
			before(strong[a.Name], strong[b.Name]),
			before(a.Zone == zone, b.Zone == zone),
			cmp.Compare(weights[a.Name], weights[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	seat := l.seat(shard, zone, ranked, strong)
	first := slices.IndexFunc(ranked, func(i Instance) bool { return i.Name == seat })
	if first > 0 {
		i := ranked[first]
		ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, i)
	}
	return ranked
}

// seat names the strong instance of the zone that is to own the shard, or none. The
// shards of the zone choose in turn, and each instance takes its even share of them.
func (l *Layout) seat(shard, zone string, instances []Instance, strong map[string]bool) string {
	var seats []Instance
	for _, i := range instances {
		if i.Zone == zone && strong[i.Name] {
			seats = append(seats, i)
		}
	}
	if len(seats) == 0 {
		return ""
	}
	taken := map[string]int{}
	share := (l.PerZone + len(seats) - 1) / len(seats)
	for n := range l.PerZone {
		name := shardName(zone, n)
		best := ""
		least := uint64(0)
		for _, i := range seats {
			if w := weight(name, i); taken[i.Name] < share && (best == "" || w < least) {
				best, least = i.Name, w
			}
		}
		if name == shard {
			return best
		}
		taken[best]++
	}
	return ""
}

// strongOf tells which instances are strong enough to own shards: next to the
// largest known machine.
func strongOf(instances []Instance) map[string]bool {
	cores, link := 0.0, 0.0
	for _, i := range instances {
		cores, link = max(cores, i.Cores), max(link, i.LinkMbps)
	}
	strong := make(map[string]bool, len(instances))
	for _, i := range instances {
		strong[i.Name] = i.Cores >= strongCPU*cores && i.LinkMbps >= strongLink*link
	}
	return strong
}

// weight orders instances for a shard; the lowest comes first.
func weight(shard string, i Instance) uint64 { return xxhash.Sum64String(shard + "/" + i.Name) }

// before orders true before false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
