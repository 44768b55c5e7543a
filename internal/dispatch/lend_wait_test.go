package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/fleetfake"
	"skylarkport/internal/workload"
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
		a.startLongRunning("aa", 1, 8000)
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

// A long-running task that is too large for every worker does not keep a shard from being lent others.
func TestTaskThatFitsNowhereDoesNotCloseAShard(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.setDurations("aa", 500*time.Millisecond)
		full := a.startLongRunning("aa", 4, 4000)
		b.submit(longRunningJob("zz", 1, 9000))
		for i := range 20 {
			b.submit(jobWithSteps(fmt.Sprintf("b%02d", i), "short", 30))
		}
		a.workers.Kill("a00")
		a.awaitRuns(full.ID, 4, lostAfter)
	})
}

// Workers here that have a task of the step already are no reason to keep another one.
func TestOwnWorkersThatTheStepMayNotUse(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.setDurations("aa", 500*time.Millisecond)
		for i := range 20 {
			b.submit(jobWithSteps(fmt.Sprintf("b%02d", i), "short", 30))
		}
		spec := longRunningJob("aa", 3, 4000)
		spec.Steps[0].MaxPerWorker = 1
		a.submit(spec)
		a.awaitRuns(spec.ID, 3, lostAfter)
	})
}

// A borrowed task whose worker is lost runs on a free worker of the borrower.
func TestLostWorkerOfBorrowedTask(t *testing.T) {
	withShards(t, []int{1, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		spec := spreadJob(2)
		a.submit(spec)
		a.awaitRuns(spec.ID, 2, lostAfter)
		rows := b.acceptedRows()
		for _, id := range []string{"b00", "b01"} {
			if a.workers.RunningOn(id) == 1 {
				a.workers.Kill(id)
				break
			}
		}
		time.Sleep(3 * time.Second)
		a.awaitRuns(spec.ID, 2, 10*time.Second)
		time.Sleep(time.Second)
		if n := b.acceptedRows(); n != rows {
			t.Errorf("%d loans stored by the borrower, want %d: it has a free worker and need not return the task", n, rows)
		}
	})
}

// A task waits on while its starts are rejected, and is lent.
func TestWorkerThatRejectsStarts(t *testing.T) {
	withShards(t, []int{1, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		a.workers.SetFault(func(kind, worker string) fleetfake.Fault {
			if kind == "start" && worker == "a00" {
				return fleetfake.Refused
			}
			return fleetfake.NoFault
		})
		spec := longRunningJob("aa", 1, 4000)
		if err := a.shard().Accept(a.ctx, workload.Accepted{Spec: spec, Moved: true}); err != nil {
			t.Fatal(err)
		}
		a.awaitRuns(spec.ID, 1, lostAfter)
	})
}

// An interrupted long-running task does not go before tasks of a higher priority.
func TestInterruptedTaskOfLowPriorityIsNotFirst(t *testing.T) {
	withCluster(t, 1, func(tc *testCluster) {
		tc.workers.SetDuration(func(task string) time.Duration {
			if id, err := workload.ParseTaskID(task); err == nil && id.Job == "aa" {
				return 2 * time.Second
			}
			return 300 * time.Millisecond
		})
		tc.workers.SetFails(func(task string, run int) bool {
			id, err := workload.ParseTaskID(task)
			return err == nil && id.Job == "aa"
		})
		tc.waitForWorkers()
		low := longRunningJob("aa", 1, 8000)
		low.Queue = "batch"
		tc.submit(low)
		tc.awaitRuns("aa", 1, time.Second)
		high := jobWithSteps("bb", "short", 1)
		high.Steps[0].Needs.MilliCPU = 8000
		tc.submit(high)
		tc.await("bb", workload.Completed, 4*time.Second)
	})
}

// Tasks that were to leave a draining worker for a shard that does not answer run elsewhere.
func TestBorrowerThatDoesNotAnswer(t *testing.T) {
	withShards(t, []int{2, 2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		spec := a.startLongRunning("aa", 4, 4000)
		time.Sleep(firstContact)
		net.setFault(func(method, _, to string) fleetfake.Fault {
			if method == "lend" && to == "b" {
				return fleetfake.Refused
			}
			return fleetfake.NoFault
		})
		a.workers.Drain("a00")
		time.Sleep(time.Second)
		a.awaitRuns(spec.ID, 4, lostAfter)
	})
}

// Loans that are not delivered to one shard must not use up the limit of those to others.
func TestDeadBorrowerDoesNotBlockLoans(t *testing.T) {
	withShards(t, []int{2, 2, 2}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		spec := a.startLongRunning("aa", 16, 1000)
		net.setFault(func(method, _, to string) fleetfake.Fault {
			if method == "lend" && to == "b" {
				return fleetfake.Refused
			}
			return fleetfake.NoFault
		})
		a.workers.Kill("a00")
		a.awaitRuns(spec.ID, 16, 2*lostAfter)
	})
}

// A takeover while the lease of a lost worker is waited for does not begin the wait anew.
func TestLostWorkerBeforeTakeover(t *testing.T) {
	withShards(t, []int{2, 1, 2}, func(net *shardNet) {
		a, b := net.shards["a"], net.shards["b"]
		b.startLongRunning("bb", 1, 8000)
		spec := a.startLongRunning("aa", 4, 4000)
		time.Sleep(firstContact)
		a.workers.Kill("a00")
		killed := time.Now()
		time.Sleep(5500 * time.Millisecond)
		a.stopOwner()
		a.takeOver()
		a.awaitRuns(spec.ID, 4, 40*time.Second)
		if d := time.Since(killed); d > lostAfter {
			t.Errorf("runs after %s", d)
		}
	})
}

// A task leaves a draining worker also if runs of lower priority have to be stopped for it.
func TestDrainBesideRunsOfLowerPriority(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.workers.SetDuration(func(task string) time.Duration {
			if id, err := workload.ParseTaskID(task); err == nil && id.Job[0] == 'a' {
				return time.Hour
			}
			n := 0
			for _, c := range task {
				n = (n*31 + int(c)) % 397
			}
			return 300*time.Millisecond + time.Duration(n)*time.Millisecond
		})
		a.startLongRunning("aa", 1, 4000)
		for i := range 40 {
			a.submit(jobWithSteps(fmt.Sprintf("c%02d", i), "batch", 40))
			b.submit(jobWithSteps(fmt.Sprintf("b%02d", i), "batch", 40))
		}
		time.Sleep(time.Second)
		w := a.workerOf("aa", 0)
		a.workers.Drain(w)
		time.Sleep(10 * time.Second)
		if a.workerOf("aa", 0) == w {
			t.Error("the task is still on the draining worker, beside runs of lower priority that may be stopped")
		}
	})
}

// A borrowed task on a draining worker goes back to its lender if that has a free worker.
func TestBorrowedTaskLeavesADrainingWorker(t *testing.T) {
	withShards(t, []int{2, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		full := longRunningJob("aa", 3, 8000)
		a.submit(full)
		a.awaitRuns(full.ID, 3, lostAfter)
		a.addWorkers("new", 1)
		time.Sleep(2 * time.Second)
		a.workers.Drain("b00")
		time.Sleep(6 * time.Second)
		if a.workers.RunningOn("b00") != 0 {
			t.Error("the borrowed task is still on the draining worker, though its lender has a free one")
		}
	})
}
