package node

import "time"

const (
	// slowCommit is the duration of a commit from which on the store counts as slow. The store
	// usually responds within 10 ms.
	slowCommit = 100 * time.Millisecond
	// maxOwnerTimeout bounds a call to an owner whose store is slow. Two calls fit into a
	// caller's deadline of three seconds.
	maxOwnerTimeout = 1400 * time.Millisecond
	// slowRetryBudget replaces requestRetryBudget while the store is slow.
	slowRetryBudget = 2600 * time.Millisecond
)

// slowCommitMillis returns the duration of commits that an owner reports, in milliseconds: 0
// unless the store is slow.
func slowCommitMillis(d time.Duration) int64 {
	if d < slowCommit {
		return 0
	}
	return d.Milliseconds()
}

// commitTime returns the duration of commits that the owner of a shard reported, 0 unless the
// store is slow for it.
func (o *owners) commitTime(shard string) time.Duration {
	if s := o.localShard(shard); s != nil {
		return time.Duration(slowCommitMillis(s.CommitTime())) * time.Millisecond
	}
	own, _ := o.lastKnownOwner(shard)
	return time.Duration(own.CommitMillis) * time.Millisecond
}

// commitsSlowly reports whether the store is slow for the owner of a shard.
func (o *owners) commitsSlowly(shard string) bool { return o.commitTime(shard) > 0 }

// timeout bounds one submission to the owner of a shard. It covers the commit in flight and the
// next one, which carries the job.
func (o *owners) timeout(shard string) time.Duration {
	return min(max(ownerTimeout, 3*o.commitTime(shard)), maxOwnerTimeout)
}

// retryBudget is how long a submission to the owner of a shard is retried.
func (o *owners) retryBudget(shard string) time.Duration {
	if o.commitsSlowly(shard) {
		return slowRetryBudget
	}
	return requestRetryBudget
}
