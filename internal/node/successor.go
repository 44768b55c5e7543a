package node

import (
	"cmp"
	"slices"
	"time"
)

const (
	// restartedAfter is how much later than the leaving owner another instance must have started
	// to count as restarted since: instances that start together differ by less.
	restartedAfter = 3 * time.Second
	// calmAfter is how long no other instance may have left or started before a shard moves to its
	// preferred owner.
	calmAfter = 5 * time.Second
	// moveCostFactor is how many times as long as its rows took to read a shard stays with an
	// owner that need not give it up.
	moveCostFactor = 10
	// unevenShards is the difference in shards of two equally good owners that is worth a move.
	unevenShards = 2
)

// candidate is an instance that may own a shard, as this instance knows it.
type candidate struct {
	Instance
	tier    int           // 0 for a capable instance in the shard's zone; see Layout.tiers
	alive   time.Duration // since its last silence
	loading bool          // it is still reading the rows of a shard
	shards  int           // number of shards that it owns or is being handed
}

// successors orders the candidates, ranked by preference, for a shard whose owner leaves. It
// answers a rolling restart, in which a successor that is stopped soon hands the shard over once
// more. Among equally capable instances those come first that read no other shard's rows, then
// those that have been restarted since the leaving owner was started, as each is restarted once,
// then those with fewer shards.
func successors(leaving Instance, ranked []candidate) []candidate {
	out := slices.Clone(ranked)
	restarted := func(c candidate) bool {
		return c.Incarnation-leaving.Incarnation > restartedAfter.Milliseconds()
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			compareTrueFirst(!a.loading, !b.loading),
			compareTrueFirst(restarted(a), restarted(b)),
			cmp.Compare(a.shards, b.shards),
		)
	})
	return out
}

// tenure is what the present owner of a shard knows of its time with it.
type tenure struct {
	loadedFor time.Duration // since its rows were read; 0 while they are being read
	loadTook  time.Duration // how long that took
	calmFor   time.Duration // since another instance last left or started
}

// worthMoving reports whether a shard is to move from an owner that stays to its preferred owner.
// Each move costs the time to read the rows, so an owner keeps a shard that it has just read, and an
// equally good one keeps it unless the shards are spread unevenly. While instances are restarted
// nothing moves: the preferred owner may be the next.
func worthMoving(owner, preferred candidate, t tenure) bool {
	switch {
	case preferred.Name == owner.Name || t.loadedFor == 0 || preferred.loading:
		return false
	case preferred.alive < preferredOwnerDelay || t.calmFor < calmAfter:
		return false
	case t.loadedFor < max(preferredOwnerDelay, moveCostFactor*t.loadTook):
		return false
	}
	return preferred.tier < owner.tier || preferred.tier == owner.tier && owner.shards >= preferred.shards+unevenShards
}
