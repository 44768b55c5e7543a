package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minOwnerCPU is the processor capacity that a capable owner needs, as a fraction of
	// the largest instance's: an owner tracks every run of its workers.
	minOwnerCPU = 0.5
	// minOwnerLink is the same for the bandwidth of the network link. The owner of a
	// shard with 60 workers transfers a few megabits per second.
	minOwnerLink = 0.1
)

// Rank orders instances by their preference as the owner of a shard: the capable ones
// first, among them those in the shard's zone, each group by rendezvous hashing. The
// shards of a zone are distributed evenly over its capable instances. A capable
// instance in another zone ranks above a small one in the shard's zone, which would
// take seconds to load the shard.
func (l *Layout) Rank(shard string, instances []Instance) []Instance {
	zone := l.ZoneOf(shard)
	capable := capableOwners(instances)
	weights := make(map[string]uint64, len(instances))
	for _, i := range instances {
		weights[i.Name] = weight(shard, i)
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(
			compareTrueFirst(capable[a.Name], capable[b.Name]),
			compareTrueFirst(a.Zone == zone, b.Zone == zone),
			cmp.Compare(weights[a.Name], weights[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	preferredOwner := l.preferredOwner(shard, zone, ranked, capable)
	first := slices.IndexFunc(ranked, func(i Instance) bool { return i.Name == preferredOwner })
	if first > 0 {
		i := ranked[first]
		ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, i)
	}
	return ranked
}

// preferredOwner returns the capable instance of the zone that should own the shard, or
// "" if there is none. The shards of the zone are assigned in order, each to the
// instance with the lowest weight that has not reached its even share of the shards.
func (l *Layout) preferredOwner(shard, zone string, instances []Instance, capable map[string]bool) string {
	var candidates []Instance
	for _, i := range instances {
		if i.Zone == zone && capable[i.Name] {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	taken := map[string]int{}
	share := (l.PerZone + len(candidates) - 1) / len(candidates)
	for n := range l.PerZone {
		name := shardName(zone, n)
		best := ""
		least := uint64(0)
		for _, i := range candidates {
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

// tiers returns, by name, how suitable instances are as owners of the shard, from 0 for the best: a
// capable one in the shard's zone, a capable one elsewhere, a small one in the zone, any other.
func (l *Layout) tiers(shard string, instances []Instance) map[string]int {
	zone, capable := l.ZoneOf(shard), capableOwners(instances)
	out := make(map[string]int, len(instances))
	for _, i := range instances {
		if !capable[i.Name] {
			out[i.Name] += 2
		}
		if i.Zone != zone {
			out[i.Name]++
		}
	}
	return out
}

// capableOwners returns, by name, which instances are large enough to own shards in
// comparison with the largest known machine.
func capableOwners(instances []Instance) map[string]bool {
	cores, link := 0.0, 0.0
	for _, i := range instances {
		cores, link = max(cores, i.Cores), max(link, i.LinkMbps)
	}
	capable := make(map[string]bool, len(instances))
	for _, i := range instances {
		capable[i.Name] = i.Cores >= minOwnerCPU*cores && i.LinkMbps >= minOwnerLink*link
	}
	return capable
}

// weight returns the rendezvous hash of an instance for a shard; the lowest ranks first.
func weight(shard string, i Instance) uint64 { return xxhash.Sum64String(shard + "/" + i.Name) }

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
