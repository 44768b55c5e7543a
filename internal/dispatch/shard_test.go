package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

func TestJobRunsItsSteps(t *testing.T) {
	withCluster(t, 4, func(w *testCluster) {
		w.waitForWorkers()
		w.submit(jobWithSteps("a", "short", 3, 5))
		w.await("a", workload.Completed, 5*time.Second)
		if w.workers.Starts() != 8 {
			t.Errorf("%d starts, want 8", w.workers.Starts())
		}
	})
}

func TestSubmitTwiceIsOneJob(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.waitForWorkers()
		w.submit(jobWithSteps("a", "short", 2))
		w.submit(jobWithSteps("a", "short", 2))
		w.await("a", workload.Completed, 5*time.Second)
		w.submit(jobWithSteps("a", "short", 2))
		time.Sleep(2 * time.Second)
		if w.workers.Starts() != 2 {
			t.Errorf("%d starts, want 2", w.workers.Starts())
		}
	})
}

func TestFailedAttemptsEndTheJob(t *testing.T) {
	withCluster(t, 4, func(w *testCluster) {
		w.workers.SetFails(func(string, int) bool { return true })
		w.waitForWorkers()
		w.submit(jobWithSteps("a", "short", 1))
		w.await("a", workload.Failed, 10*time.Second)
		if w.workers.Starts() != 3 {
			t.Errorf("%d starts, want the three attempts of the queue", w.workers.Starts())
		}
	})
}

func TestLongRunningTaskIsRestarted(t *testing.T) {
	withCluster(t, 4, func(w *testCluster) {
		w.workers.SetDuration(func(string) time.Duration { return 2 * time.Second })
		w.workers.SetFails(func(string, int) bool { return true })
		w.waitForWorkers()
		spec := jobWithSteps("a", "short", 2)
		spec.Steps[0].LongRunning = true
		w.submit(spec)
		time.Sleep(20 * time.Second)
		if n := w.workers.Running("a"); n != 2 {
			t.Errorf("%d runs, want 2", n)
		}
		ctx := w.ctx
		if _, err := w.shard().Cancel(ctx, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if n := w.workers.Running("a"); n != 0 {
			t.Errorf("%d runs after the cancellation", n)
		}
	})
}

func TestGangEndsTogether(t *testing.T) {
	withCluster(t, 4, func(w *testCluster) {
		w.waitForWorkers()
		spec := jobWithSteps("a", "batch", 4)
		spec.Steps[0].Gang, spec.Steps[0].OneRack = true, true
		w.submit(spec)
		w.await("a", workload.Completed, 10*time.Second)
	})
}

func TestTimedOccurrences(t *testing.T) {
	withCluster(t, 4, func(w *testCluster) {
		w.waitForWorkers()
		spec := jobWithSteps("a", "batch", 2)
		w.shard().mu.Lock()
		now := w.shard().cfg.WallClock(w.shard().storeNow()).UnixMilli()
		w.shard().mu.Unlock()
		spec.Schedule = workload.Schedule{Times: 3, StartMillis: now + 1000, IntervalMillis: 2000}
		w.submit(spec)
		time.Sleep(900 * time.Millisecond)
		if w.workers.Starts() != 0 {
			t.Errorf("%d starts before the first time", w.workers.Starts())
		}
		w.await("a", workload.Completed, 10*time.Second)
		if w.workers.Starts() != 6 {
			t.Errorf("%d starts, want 6", w.workers.Starts())
		}
	})
}

func TestPreemption(t *testing.T) {
	withCluster(t, 1, func(w *testCluster) {
		w.workers.SetDuration(func(task string) time.Duration {
			if task[0] == 'b' {
				return 20 * time.Second
			}
			return 300 * time.Millisecond
		})
		w.waitForWorkers()
		long := jobWithSteps("b", "batch", 8)
		long.Steps[0].EstimateMillis = 20000
		w.submit(long)
		time.Sleep(500 * time.Millisecond)
		w.submit(jobWithSteps("a", "short", 1))
		w.await("a", workload.Completed, 3*time.Second)
		w.await("b", workload.Completed, time.Minute)
	})
}

func TestDrainingWorkerTakesNoNewRuns(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.waitForWorkers()
		w.workers.Drain("w00")
		time.Sleep(2 * time.Second)
		for i := range 6 {
			w.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2))
		}
		time.Sleep(200 * time.Millisecond)
		w.shard().mu.Lock()
		n := len(w.shard().hosts["w00"].tasks)
		w.shard().mu.Unlock()
		if n != 0 {
			t.Errorf("%d runs on a draining worker", n)
		}
	})
}

func TestEndedJobsAreDropped(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.waitForWorkers()
		for i := range 30 {
			w.submit(jobWithSteps(fmt.Sprint("a", i), "short", 1))
		}
		time.Sleep(3 * time.Minute)
		for _, table := range []string{TableAccepted, TableProgress} {
			page, err := w.store.Range(w.ctx, table, "s", "", "")
			if err != nil || len(page.Rows) > 0 {
				t.Errorf("%d rows of %s are left (%v)", len(page.Rows), table, err)
			}
		}
	})
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	withCluster(t, 3, func(w *testCluster) {
		w.waitForWorkers()
		var failed atomic.Int64
		w.workers.SetFault(func(kind, worker string) fleetfake.Fault {
			if kind == "start" && worker == "w00" {
				failed.Add(1)
				return fleetfake.Refused
			}
			return fleetfake.NoFault
		})
		for i := range 20 {
			w.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2))
		}
		for i := range 20 {
			w.await(fmt.Sprint("a", i), workload.Completed, 10*time.Second)
		}
		if n := failed.Load(); n > 60 {
			t.Errorf("%d starts sent to a worker that refuses them", n)
		}
	})
}

func TestNoWorkerIsCommittedBeyondItsCapacity(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.workers.SetDuration(func(string) time.Duration { return time.Second })
		w.waitForWorkers()
		for i := range 10 {
			spec := jobWithSteps(fmt.Sprint("a", i), "batch", 3)
			spec.Steps[0].Needs = resource.Vector{MilliCPU: 2500, MemoryMB: 9000}
			w.submit(spec)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			w.shard().mu.Lock()
			for _, h := range w.shard().hosts {
				if !h.free().Valid() {
					t.Errorf("worker %s is committed beyond its capacity", h.ID)
				}
			}
			w.shard().mu.Unlock()
		}
	})
}

// TestRefusedJobNeverRuns: a job that is refused because the store is unavailable must not
// run once the store is back.
func TestRefusedJobNeverRuns(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.waitForWorkers()
		storeFault(fleetfake.Refused)(w)
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		defer cancel()
		err := w.shard().Submit(ctx, jobWithSteps("a", "short", 1))
		if result.Of(err) != result.JobNotStored {
			t.Fatalf("got %v, want the code JobNotStored", err)
		}
		clearStoreFault(w)
		time.Sleep(5 * time.Second)
		if w.workers.Starts() != 0 {
			t.Error("a refused job was started")
		}
	})
}

// TestStoreOutageRefusesUnsentJobs: while a commit stays unanswered, jobs that no
// commit has carried are soon refused with a definite outcome.
func TestStoreOutageRefusesUnsentJobs(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.waitForWorkers()
		storeFault(fleetfake.RequestLost)(w)
		answers := make(chan error, 20)
		for i := range 20 {
			time.Sleep(30 * time.Millisecond)
			go func() {
				ctx, cancel := context.WithTimeout(w.ctx, 700*time.Millisecond)
				defer cancel()
				answers <- w.shard().Submit(ctx, jobWithSteps(fmt.Sprint("a", i), "short", 1))
			}()
		}
		refused := 0
		for range 20 {
			if result.Of(<-answers) == result.JobNotStored {
				refused++
			}
		}
		if refused < 18 {
			t.Errorf("%d of 20 were refused with a definite outcome, want all but those of one commit", refused)
		}
		clearStoreFault(w)
		time.Sleep(5 * time.Second)
		if w.workers.Starts() > 20-refused {
			t.Errorf("%d starts, %d jobs were not refused", w.workers.Starts(), 20-refused)
		}
	})
}

// TestUnansweredStartIsKept: a run whose start was carried out but not answered continues,
// as the worker reports it.
func TestUnansweredStartIsKept(t *testing.T) {
	withCluster(t, 2, func(w *testCluster) {
		w.workers.SetDuration(func(string) time.Duration { return 3 * time.Second })
		w.waitForWorkers()
		w.workers.SetFault(func(kind, _ string) fleetfake.Fault {
			if kind == "start" {
				return fleetfake.ResponseLost
			}
			return fleetfake.NoFault
		})
		w.submit(jobWithSteps("a", "batch", 4))
		w.await("a", workload.Completed, 10*time.Second)
		if w.workers.Starts() != 4 {
			t.Errorf("%d starts, want 4", w.workers.Starts())
		}
	})
}

// TestDrainingWorkerKeepsLongRunningTasksUntilReserved: a long-running task is stopped on a
// draining worker only once a slot on another worker is reserved for it.
func TestDrainingWorkerKeepsLongRunningTasksUntilReserved(t *testing.T) {
	f := newFixture(2)
	f.cfg.Metrics = noMetrics()
	large := resource.Vector{MilliCPU: 9000, MemoryMB: 1000}
	lasting := f.add("lasting", "short", workload.Step{Tasks: 2, LongRunning: true, Needs: large})
	f.plan(f.now)
	f.confirmRuns()
	task, other := lasting.tasks[0][0], lasting.tasks[0][1]
	f.hosts[task.Worker].Draining = true
	f.plan(f.now)
	if task.stopWanted {
		t.Error("the task is stopped without free capacity elsewhere")
	}
	f.applyEnds(f.hosts[other.Worker], []fleet.EndReport{{Number: 1, Task: other.name, Run: 1, Kind: fleet.EndStopped}})
	other.notBefore = f.now + time.Hour
	f.plan(f.now)
	if !task.stopWanted {
		t.Error("the task stays though another worker has free capacity")
	}
}
