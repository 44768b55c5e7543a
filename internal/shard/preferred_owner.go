package shard

import "github.com/cespare/xxhash/v2"

// PreferredOwner returns the id that should own the shard, by rendezvous hashing:
// shards spread evenly over the ids, and adding or removing an id moves only the
// shards of that id. It returns "" if ids is empty.
func PreferredOwner(shard string, ids []string) string {
	best, score := "", uint64(0)
	for _, id := range ids {
		s := xxhash.Sum64String(shard + "\x00" + id)
		if best == "" || s > score || s == score && id < best {
			best, score = id, s
		}
	}
	return best
}
