package shard

import "github.com/cespare/xxhash/v2"

// Candidate returns the id that should own the shard, by rendezvous hashing:
// shards spread evenly over the ids, and a change of one id moves only its
// shards. It returns "" without ids.
func Candidate(shard string, ids []string) string {
	best, score := "", uint64(0)
	for _, id := range ids {
		s := xxhash.Sum64String(shard + "\x00" + id)
		if best == "" || s > score || s == score && id < best {
			best, score = id, s
		}
	}
	return best
}
