package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/workload"
)

// longRunningJob returns a job of n long-running tasks of the given size.
func longRunningJob(id string, n int, milliCPU int64) workload.Spec {
	spec := jobWithSteps(id, "short", n)
	spec.Steps[0].LongRunning = true
	spec.Steps[0].Needs.MilliCPU = milliCPU
	return spec
}

// Draining workers whose tasks fit nowhere keep running them; a stop would only end them sooner.
func TestDrainStopsNoMoreTasksThanFitElsewhere(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		tc.waitForWorkers()
		spec := longRunningJob("aa", 7, 4000)
		tc.submit(spec)
		tc.awaitRuns(spec.ID, 7, time.Second)
		drained := 0
		for _, id := range []string{"w00", "w01", "w02", "w03"} {
			if tc.workers.RunningOn(id) == 2 && drained < 2 {
				tc.workers.Drain(id)
				drained++
			}
		}
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if n := tc.workers.Running(spec.ID); n < 6 {
				t.Fatalf("%d of 7 tasks run, want at least 6: one worker is free for one task", n)
			}
		}
		if n := tc.workers.Running(spec.ID); n != 7 {
			t.Errorf("%d of 7 tasks run, want all", n)
		}
	})
}

// A queue of tasks that fit nowhere does not use the capacity that a lent task needs.
func TestLostWorkerBesideShardWithQueue(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		half := longRunningJob("bb", 2, 4000)
		half.Steps[0].MaxPerWorker = 1
		b.submit(half)
		b.awaitRuns(half.ID, 2, time.Second)
		queued := jobWithSteps("cc", "short", 6)
		queued.Steps[0].Needs.MilliCPU = 5000
		b.submit(queued)
		full := longRunningJob("aa", 4, 4000)
		a.submit(full)
		a.awaitRuns(full.ID, 4, time.Second)
		a.workers.Kill("a00")
		a.awaitRuns(full.ID, 4, lostAfter)
	})
}

// Short tasks keep a shard busy all the time, but its workers are free again within seconds.
func TestLostWorkerBesideShardWithShortTasks(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.workers.SetDuration(func(task string) time.Duration {
			if id, err := workload.ParseTaskID(task); err == nil && id.Job == "aa" {
				return time.Hour
			}
			return 500 * time.Millisecond
		})
		full := longRunningJob("aa", 4, 4000)
		a.submit(full)
		a.awaitRuns(full.ID, 4, time.Second)
		for i := range 20 {
			b.submit(jobWithSteps(fmt.Sprintf("b%02d", i), "short", 30))
		}
		a.workers.Kill("a00")
		a.awaitRuns(full.ID, 4, lostAfter)
	})
}

// The wait for the lease counts: a shard that returns the task must leave time for another one.
func TestLostWorkerBesideShardThatReturnsTasks(t *testing.T) {
	for phase := time.Duration(0); phase < renewalWait; phase += 100 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			withShards(t, []int{2, 1, 2}, func(net *shardNet) {
				a, b := net.shards["a"], net.shards["b"]
				b.submit(longRunningJob("bb", 1, 8000))
				b.awaitRuns("bb", 1, time.Second)
				full := longRunningJob("aa", 4, 4000)
				a.submit(full)
				a.awaitRuns(full.ID, 4, time.Second)
				time.Sleep(phase)
				a.workers.Kill("a00")
				a.awaitRuns(full.ID, 4, lostAfter)
			})
		})
	}
}

// Tasks on a draining worker of a full shard continue in another shard before the worker leaves.
func TestDrainOfAFullShardMovesTasksToAnother(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		full := longRunningJob("aa", 4, 4000)
		a.submit(full)
		a.awaitRuns(full.ID, 4, time.Second)
		time.Sleep(firstContact)
		a.workers.Drain("a00")
		time.Sleep(2 * time.Second)
		if on, all := a.workers.RunningOn("a00"), a.workers.Running(full.ID); on != 0 || all != 4 {
			t.Errorf("%d tasks run, %d of them on the draining worker, want 4 and 0", all, on)
		}
	})
}

// Without a worker in any shard, the tasks on a draining worker run until it leaves.
func TestDrainOfFullShardsStopsNothing(t *testing.T) {
	withShards(t, []int{2, 1}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		b.submit(longRunningJob("bb", 1, 8000))
		b.awaitRuns("bb", 1, time.Second)
		full := longRunningJob("aa", 4, 4000)
		a.submit(full)
		a.awaitRuns(full.ID, 4, time.Second)
		a.workers.Drain("a00")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if n := a.workers.Running(full.ID); n != 4 {
				t.Fatalf("%d tasks run, want 4", n)
			}
		}
	})
}

// The new owner has not seen the run that the worker lost, and the task is the only one of its job.
func TestLostWorkerBesideNewOwner(t *testing.T) {
	withShards(t, []int{1, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		only := longRunningJob("aa", 1, 8000)
		a.submit(only)
		a.awaitRuns(only.ID, 1, time.Second)
		a.workers.Kill("a00")
		time.Sleep(2 * time.Second)
		replaceOwner(a)
		a.awaitRuns(only.ID, 1, lostAfter-2*time.Second)
	})
}

// The old owner is replaced before it can tell by when the leases of the lost worker expire.
func TestLostWorkerUnnoticedByOldOwner(t *testing.T) {
	withShards(t, []int{2, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		only := longRunningJob("aa", 1, 8000)
		a.submit(only)
		a.awaitRuns(only.ID, 1, time.Second)
		lost := "a00"
		if a.workers.RunningOn(lost) == 0 {
			lost = "a01"
		}
		a.workers.Kill(lost)
		time.Sleep(300 * time.Millisecond)
		replaceOwner(a)
		a.awaitRuns(only.ID, 1, lostAfter-300*time.Millisecond)
	})
}
