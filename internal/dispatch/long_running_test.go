package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// longRunningJob returns a job of n long-running tasks of the given size.
func longRunningJob(id string, n int, milliCPU int64) workload.Spec {
	spec := jobWithSteps(id, "short", n)
	spec.Steps[0].LongRunning = true
	spec.Steps[0].Needs.MilliCPU = milliCPU
	return spec
}

// startLongRunning submits such a job and waits until all its tasks run.
func (tc *testCluster) startLongRunning(id string, n int, milliCPU int64) workload.Spec {
	tc.t.Helper()
	spec := longRunningJob(id, n, milliCPU)
	tc.submit(spec)
	tc.awaitRuns(id, n, time.Second)
	return spec
}

// setDurations makes the runs of one job last for an hour and all others for d.
func (tc *testCluster) setDurations(id string, d time.Duration) {
	tc.workers.SetDuration(func(task string) time.Duration {
		if t, err := workload.ParseTaskID(task); err == nil && t.Job == id {
			return time.Hour
		}
		return d
	})
}

// Draining workers whose tasks fit nowhere keep running them; a stop would only end them sooner.
func TestDrainStopsNoMoreTasksThanFitElsewhere(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		tc.waitForWorkers()
		spec := tc.startLongRunning("aa", 7, 4000)
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
		full := a.startLongRunning("aa", 4, 4000)
		a.workers.Kill("a00")
		a.awaitRuns(full.ID, 4, lostAfter)
	})
}

// Short tasks keep a shard busy all the time, but its workers are free again within seconds.
func TestLostWorkerBesideShardWithShortTasks(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		net.byLoad = true
		a, b := net.shards["a"], net.shards["b"]
		a.setDurations("aa", 500*time.Millisecond)
		full := a.startLongRunning("aa", 4, 4000)
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
				b.startLongRunning("bb", 1, 8000)
				full := a.startLongRunning("aa", 4, 4000)
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
		full := a.startLongRunning("aa", 4, 4000)
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
		b.startLongRunning("bb", 1, 8000)
		full := a.startLongRunning("aa", 4, 4000)
		a.workers.Drain("a00")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if n := a.workers.Running(full.ID); n != 4 {
				t.Fatalf("%d tasks run, want 4", n)
			}
		}
	})
}

// The task that has waited longest gets the worker that becomes free, whatever its id.
func TestLongestWaitingTaskGetsTheFreeWorker(t *testing.T) {
	f := newFixture(1)
	f.cfg.Metrics = noMetrics()
	size := resource.Vector{MilliCPU: 6000, MemoryMB: 1000}
	running := f.add("m", "short", workload.Step{Tasks: 1, LongRunning: true, Needs: size})
	f.plan(f.now)
	f.confirmRuns()
	first := f.add("z", "short", workload.Step{Tasks: 1, LongRunning: true, Needs: size})
	f.now += time.Second
	second := f.add("a", "short", workload.Step{Tasks: 1, LongRunning: true, Needs: size})
	f.now += longRunningOverdueAfter + time.Second
	f.plan(f.now)
	f.cancelJob(running)
	f.applyEnds(f.hosts["w0"], []fleet.EndReport{{Number: 1, Task: running.tasks[0][0].name, Run: 1, Kind: fleet.EndStopped}})
	f.plan(f.now)
	if f.workerOf(first, 0) != "w0" || f.workerOf(second, 0) != "" {
		t.Errorf("workers %q and %q of the tasks, want the first to have w0", f.workerOf(first, 0), f.workerOf(second, 0))
	}
}

// The longest waiting tasks are lent first, and those that found no borrower after all others.
func TestLongestWaitingTasksAreLentFirst(t *testing.T) {
	f := newFixture(0)
	f.cfg.Metrics = noMetrics()
	for i := range 2 * maxLoanOffers {
		j := f.add(fmt.Sprintf("%016x", 99-i), "short", workload.Step{Tasks: 1, LongRunning: true})
		j.stored, j.movedHere = true, true
		f.now += time.Second
	}
	f.now += lendAfter
	for round := range 3 {
		offers, _ := f.loanOffers(f.now)
		if len(offers) != maxLoanOffers {
			t.Fatalf("round %d: %d offers, want %d", round, len(offers), maxLoanOffers)
		}
		for i, o := range offers {
			if want := fmt.Sprintf("%016x", 99-(round*maxLoanOffers+i)%(2*maxLoanOffers)); o.task.id.Job != want {
				t.Errorf("round %d: offer %d is of job %s, want %s", round, i, o.task.id.Job, want)
			}
			f.keepWaiting(o.task, "", f.now)
		}
		f.now += lendRetry
	}
}

// The new owner has not seen the run that the worker lost, and the task is the only one of its job.
func TestLostWorkerBesideNewOwner(t *testing.T) {
	withShards(t, []int{1, 1}, func(net *shardNet) {
		net.byLoad = true
		a := net.shards["a"]
		only := a.startLongRunning("aa", 1, 8000)
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
		only := a.startLongRunning("aa", 1, 8000)
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
