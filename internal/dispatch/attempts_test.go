package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// gangOf names the gang of a task whose job's id begins with a g: that of its step.
func gangOf(task string) string {
	if !strings.HasPrefix(task, "g") {
		return ""
	}
	return task[:strings.LastIndex(task, ".")]
}

// gangJob returns a job of one gang of n tasks.
func gangJob(id string, n int) workload.Spec {
	spec := jobWithSteps(id, "batch", n)
	spec.Steps[0].Gang = true
	return spec
}

// Guards against a job with a gang being given up after one attempt because several members fail on one
// bad worker: each of them counted as an attempt.
func TestGangOutlivesABadWorker(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(tc *testCluster)
	}{
		{"alone", noEnd},
		{"owner killed", func(tc *testCluster) { time.AfterFunc(80*time.Millisecond, func() { killOwner(tc) }) }},
		{"commit responses lost", commitFault(fleetfake.ResponseLost)},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 12, func(tc *testCluster) {
				tc.workers.SetGang(gangOf)
				tc.waitForWorkers()
				tc.workers.SetFailing("w07", true)
				time.AfterFunc(6500*time.Millisecond, func() { tc.workers.SetFailing("w07", false) })
				for i := range 4 {
					c.fault(tc)
					tc.submit(gangJob(fmt.Sprint("g", i), 36))
					time.Sleep(1500 * time.Millisecond)
				}
				clearStoreFault(tc)
				for i := range 4 {
					tc.await(fmt.Sprint("g", i), workload.Completed, 20*time.Second)
				}
			})
		})
	}
}

// TestAttemptsAreCountedByRun: a run is one attempt, however often and in whatever order its failure is
// reported.
func TestAttemptsAreCountedByRun(t *testing.T) {
	failed := func(task string, run int) fleet.EndReport {
		return fleet.EndReport{Task: task, Run: run, Kind: fleet.EndFailed}
	}
	for _, c := range []struct {
		name  string
		step  workload.Step
		ends  []fleet.EndReport
		want  int // attempts
		state workload.State
	}{
		{"one task", workload.Step{Tasks: 1}, []fleet.EndReport{failed("j.0.0.0", 1)}, 1, workload.Running},
		{"one task, reported to two owners", workload.Step{Tasks: 1}, []fleet.EndReport{failed("j.0.0.0", 1), failed("j.0.0.0", 1)}, 1, workload.Running},
		{"three members", workload.Step{Tasks: 3, Gang: true}, []fleet.EndReport{failed("j.0.0.2", 1), failed("j.0.0.0", 1), failed("j.0.0.1", 1)}, 1, workload.Running},
		{"a member that fails and others that end with it", workload.Step{Tasks: 3, Gang: true}, []fleet.EndReport{
			failed("j.0.0.1", 1), {Task: "j.0.0.0", Run: 1, Kind: fleet.EndGangBroken}, {Task: "j.0.0.2", Run: 1, Kind: fleet.EndGangBroken},
		}, 1, workload.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(4)
			j := f.add("j", "batch", c.step)
			f.plan(f.now)
			f.confirmRuns()
			for i, e := range c.ends {
				e.Number = int64(i + 1)
				f.applyEnd(f.hosts["w0"], e)
				f.reload(j)
			}
			if got := j.tasks[0][0].Failures; got != c.want || j.record.State != c.state {
				t.Errorf("%d attempts, %s, want %d, %s", got, j.record.State, c.want, c.state)
			}
		})
	}
}

// reload replaces the progress of j by what a new owner reads of it.
func (f *fixture) reload(j *job) {
	record := j.storedRecord()
	stored, err := workload.DecodeRecord(workload.EncodeRecord(&record))
	if err != nil {
		panic(err)
	}
	for k, tasks := range stored.Tasks {
		for i := range tasks {
			*j.tasks[k][i].Progress = tasks[i]
		}
	}
}

// Guards against a start after the last attempt: the failure of an earlier run, which was taken for lost,
// counts when it is reported late.
func TestLateFailureCountsAsAnAttempt(t *testing.T) {
	f := newFixture(4)
	j := f.add("j", "batch", workload.Step{Tasks: 1})
	task := j.tasks[0][0]
	task.Failures, task.FailedRuns = 1, []int{1}
	task.Run = 1
	f.plan(f.now) // run 2
	first := f.hosts[task.Worker]
	f.confirmRuns()
	f.returnToPending(task, f.now)
	f.plan(f.now) // run 3
	f.confirmRuns()
	f.applyEnd(first, fleet.EndReport{Number: 1, Task: task.name, Run: 2, Kind: fleet.EndFailed})
	if task.Failures != 2 || j.record.State != workload.Running || task.Phase != workload.Placed {
		t.Fatalf("%d attempts, %s, phase %d", task.Failures, j.record.State, task.Phase)
	}
	f.applyEnd(first, fleet.EndReport{Number: 1, Task: task.name, Run: 2, Kind: fleet.EndFailed})
	f.applyEnd(f.hosts[task.Worker], fleet.EndReport{Number: 1, Task: task.name, Run: 3, Kind: fleet.EndFailed})
	if task.Failures != 3 || j.record.State != workload.Failed {
		t.Errorf("%d attempts, %s, want the last one", task.Failures, j.record.State)
	}
}

// Guards against a further start when the last attempt was reported late and the present run is lost.
func TestNoStartAfterTheLastAttempt(t *testing.T) {
	f := newFixture(4)
	j := f.add("j", "batch", workload.Step{Tasks: 1})
	task := j.tasks[0][0]
	task.Failures, task.FailedRuns, task.Run = 2, []int{1, 2}, 3
	f.plan(f.now) // run 4
	f.confirmRuns()
	f.applyEnd(f.hosts["w0"], fleet.EndReport{Number: 9, Task: task.name, Run: 3, Kind: fleet.EndFailed})
	if j.record.State != workload.Running {
		t.Fatalf("the job is %s while a run goes on", j.record.State)
	}
	f.applyEnd(f.hosts[task.Worker], fleet.EndReport{Number: 10, Task: task.name, Run: 4, Kind: fleet.EndLeaseExpired})
	f.plan(f.now)
	if j.record.State != workload.Failed || task.Phase == workload.Placed {
		t.Errorf("%s, phase %d", j.record.State, task.Phase)
	}
}

// Guards against sound workers being quarantined for a gang that fails by its own fault on each of them.
func TestFailingGangQuarantinesNobody(t *testing.T) {
	withCluster(t, 6, func(tc *testCluster) {
		tc.config.Queues[1].Attempts = 12
		tc.workers.SetGang(gangOf)
		fails := func(task string) bool { return strings.HasSuffix(task, ".1") }
		tc.workers.SetFails(func(task string, _ int) bool { return fails(task) })
		tc.workers.SetDuration(func(task string) time.Duration {
			if fails(task) {
				return 100 * time.Millisecond
			}
			return 300 * time.Millisecond
		})
		tc.waitForWorkers()
		for i := range 4 {
			spec := gangJob(fmt.Sprint("g", i), 2)
			spec.Steps[0].Needs = resource.Vector{MilliCPU: 5000, MemoryMB: 1000}
			tc.submit(spec)
		}
		for i := range 4 {
			tc.await(fmt.Sprint("g", i), workload.Failed, 30*time.Second)
		}
		s := tc.shard()
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, h := range s.hosts {
			if h.quarantinedUntil > 0 {
				t.Errorf("%s was quarantined", id)
			}
		}
	})
}
