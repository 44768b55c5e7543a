package dispatch

import (
	"testing"
	"time"

	"skylarkport/internal/fleetfake"
)

// The only run of a job counts as a run for the next owner, too.
func TestOnlyTaskIsLentAfterTakeover(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		full := longRunningJob("aa", 1, 8000)
		a.submit(full)
		other := longRunningJob("cc", 1, 8000)
		a.submit(other)
		a.awaitRuns(full.ID, 1, time.Second)
		a.awaitRuns(other.ID, 1, time.Second)
		a.workers.Kill(a.workerOf("aa", 0))
		a.stopOwner()
		a.takeOver()
		a.awaitRuns(full.ID, 1, 40*time.Second)
	})
}

// A job whose first start was rejected can neither move whole nor wait for ever.
func TestJobWithRejectedFirstStartIsLent(t *testing.T) {
	withShards(t, []int{2, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		a.submit(longRunningJob("aa", 1, 8000))
		a.awaitRuns("aa", 1, time.Second)
		other := "a00"
		if a.workerOf("aa", 0) == other {
			other = "a01"
		}
		a.workers.SetFault(func(kind, worker string) fleetfake.Fault {
			if kind == "start" && worker == other {
				return fleetfake.Refused
			}
			return fleetfake.NoFault
		})
		a.submit(longRunningJob("bb", 1, 8000))
		time.Sleep(100 * time.Millisecond)
		a.workers.Kill(other)
		a.awaitRuns("bb", 1, 30*time.Second)
	})
}
