package dispatch

import (
	"testing"
	"time"

	"skylarkport/internal/fleetfake"
)

// fewestRuns watches a job for d and returns the least number of its runs seen.
func (tc *testCluster) fewestRuns(id string, d time.Duration) int {
	least := tc.workers.Running(id)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		least = min(least, tc.workers.Running(id))
	}
	return least
}

// workerOf returns the worker of a task of the job, by the index of the task.
func (tc *testCluster) workerOf(id string, index int) string {
	s := tc.shard()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id].tasks[0][index].Worker
}

// A step with one task a worker is not stopped for a worker that has one of its tasks already.
func TestDrainOfSpreadStepStopsNothing(t *testing.T) {
	withShards(t, []int{2, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		spec := spreadJob(3)
		a.submit(spec)
		a.awaitRuns(spec.ID, 3, lostAfter)
		time.Sleep(firstContact)
		a.workers.Drain("a00")
		if n := a.fewestRuns(spec.ID, 10*time.Second); n < 3 {
			t.Errorf("%d tasks run at times, want 3: no worker was free for another", n)
		}
	})
}

// A task is not stopped for a worker that lacks its label.
func TestDrainOfLabelledWorkerStopsNothing(t *testing.T) {
	withShards(t, []int{4, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		spec := longRunningJob("aa", 2, 8000)
		spec.Steps[0].Label = "r1"
		a.submit(spec)
		a.awaitRuns(spec.ID, 2, time.Second)
		time.Sleep(firstContact)
		a.workers.Drain("a02")
		if n := a.fewestRuns(spec.ID, 10*time.Second); n < 2 {
			t.Errorf("%d tasks run at times, want 2: no other worker has the label", n)
		}
	})
}

// A task is not stopped for a worker that is free only once a run of a minute has ended.
func TestDrainBesideShardWithLongFiniteRunsStopsNothing(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.workers.SetDuration(func(task string) time.Duration {
			if task[:2] == "bb" {
				return time.Minute
			}
			return time.Hour
		})
		b.submit(jobWithSteps("bb", "short", 16))
		b.awaitRuns("bb", 16, time.Second)
		spec := a.startLongRunning("aa", 4, 4000)
		time.Sleep(firstContact)
		a.workers.Drain("a00")
		if n := a.fewestRuns(spec.ID, 10*time.Second); n < 4 {
			t.Errorf("%d tasks run at times, want 4: no worker was free", n)
		}
	})
}

// Stops that a silent worker does not answer don't use up the limit of loans in flight.
func TestSilentDrainingWorkerDoesNotBlockLoans(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		a.startLongRunning("aa", 15, 1000)
		time.Sleep(firstContact)
		full := "a00"
		if a.workers.RunningOn("a01") == 8 {
			full = "a01"
		}
		pair := longRunningJob("bb", 2, 1000)
		pair.Steps[0].MaxPerWorker = 1
		a.submit(pair)
		a.awaitRuns(pair.ID, 1, time.Second)
		submitted := time.Now()
		a.workers.SetUnreachable(full, true)
		a.workers.Drain(full)
		a.awaitRuns(pair.ID, 2, 20*time.Second)
		if d := time.Since(submitted); d > 3*time.Second {
			t.Errorf("the waiting task was lent after %s", d)
		}
	})
}

// A run that continues in another shard does not reserve a worker here.
func TestRunStoppedForLoanReservesNoWorker(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		a.startLongRunning("aa", 2, 8000)
		time.Sleep(firstContact)
		a.workers.SetFault(func(kind, worker string) fleetfake.Fault {
			if kind == "stop" {
				return fleetfake.RequestLost
			}
			return fleetfake.NoFault
		})
		a.workers.Drain("a00")
		time.Sleep(1500 * time.Millisecond)
		a.addWorkers("new", 1)
		time.Sleep(1500 * time.Millisecond)
		a.submit(longRunningJob("bb", 1, 8000))
		time.Sleep(3 * time.Second)
		if a.workers.Running("bb") != 1 {
			t.Error("bb waits beside a free worker, which is kept for a run that goes to another shard")
		}
	})
}

// As many tasks as may be on their way leave a draining worker at once, and all arrive.
func TestDrainOfAFullShardMovesManyTasks(t *testing.T) {
	withShards(t, []int{2, 3}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		spec := a.startLongRunning("aa", 2*maxLoansInFlight, 1000)
		time.Sleep(firstContact)
		a.workers.Drain("a00")
		time.Sleep(3 * time.Second)
		if on, all := a.workers.RunningOn("a00"), a.workers.Running(spec.ID); on != 0 || all != 2*maxLoansInFlight {
			t.Errorf("%d tasks run, %d of them on the draining worker, want %d and 0", all, on, 2*maxLoansInFlight)
		}
	})
}
