package dispatch

import "time"

// maxCommitTimeout bounds the timeout of a commit however slow the store is: an attempt on a
// connection that has died must end within the lease renewal window.
const maxCommitTimeout = 1500 * time.Millisecond

// storeLatency is the recent duration of commits. It answers a store that is slow but works:
// with the limits for a fast one, commits are given up and sent again, and the part of the shard
// takes them one after another.
type storeLatency time.Duration

// observe takes in the duration of a commit that succeeded.
func (l *storeLatency) observe(d time.Duration) { *l = max(storeLatency(d), *l*4/5) }

// commitTimeout bounds one attempt of a commit. It leaves time for two calls that the part of the
// shard takes before.
func (l storeLatency) commitTimeout() time.Duration {
	return min(max(commitTimeout, 3*time.Duration(l)), maxCommitTimeout)
}

// stallLimit is how long a commit may stay unanswered before jobs that wait for the next one are
// refused.
func (l storeLatency) stallLimit() time.Duration {
	return max(commitStallLimit, l.commitTimeout()*3/4)
}

// CommitTime returns the recent duration of the shard's commits.
func (s *Shard) CommitTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.storeLatency)
}
