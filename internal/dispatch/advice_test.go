package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// advisedQueue adds a queue whose tasks only the given workers may run. The ids of its jobs begin with q.
func (tc *testCluster) advisedQueue(approved ...string) *fleetfake.Adviser {
	a := fleetfake.NewAdviser(approved...)
	tc.config.Queues = append(tc.config.Queues, fleet.Queue{
		Name: "advised", Service: "svc", Priority: 1, Attempts: 3, Slack: 2, Target: time.Second,
		Advice: &fleet.AdvicePolicy{Decision: a.Decision, PerWorker: a.PerWorker, Validity: a.Validity},
	})
	tc.workers.SetAdviser(a, func(task string) bool { return task[0] == 'q' })
	tc.adviser = a
	return a
}

// workerNames returns the names of the workers with these numbers.
func workerNames(numbers ...int) []string {
	var out []string
	for _, n := range numbers {
		out = append(out, fmt.Sprintf("w%02d", n))
	}
	return out
}

// withAdvice runs f with n workers and an adviser that approves some of them.
func withAdvice(t *testing.T, n int, approved []string, f func(tc *testCluster, a *fleetfake.Adviser)) {
	withCluster(t, n, func(tc *testCluster) {
		a := tc.advisedQueue(approved...)
		killOwner(tc)
		tc.waitForWorkers()
		f(tc, a)
	})
}

// Guards against jobs of an advised queue starving beside approved workers: the adviser was asked about
// the same first 30 workers again and again.
func TestAdviceReachesEveryWorker(t *testing.T) {
	for _, c := range []struct {
		name     string
		workers  int
		approved []int
	}{
		{"first", 48, []int{0}},
		{"last", 48, []int{47}},
		{"last of many", 99, []int{98}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withAdvice(t, c.workers, workerNames(c.approved...), func(tc *testCluster, _ *fleetfake.Adviser) {
				for i := range 20 {
					tc.submit(jobWithSteps(fmt.Sprint("q", i), "advised", 3, 1))
				}
				for i := range 20 {
					tc.await(fmt.Sprint("q", i), workload.Completed, 20*time.Second)
				}
			})
		})
	}
	t.Run("first ones lost", func(t *testing.T) {
		withAdvice(t, 48, workerNames(2, 5, 8, 36, 39, 42, 45), func(tc *testCluster, _ *fleetfake.Adviser) {
			for i := range 60 {
				tc.submit(jobWithSteps(fmt.Sprint("q", i), "advised", 4, 2))
				if i == 20 {
					for _, id := range workerNames(2, 5, 8) {
						tc.workers.Kill(id)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			for i := range 60 {
				tc.await(fmt.Sprint("q", i), workload.Completed, 15*time.Second)
			}
		})
	})
}

// Guards against an adviser that takes long for each worker never being heard: a call had two seconds for
// 30 workers.
func TestSlowAdviserIsHeard(t *testing.T) {
	for _, c := range []struct {
		name                          string
		decision, perWorker, declared time.Duration
	}{
		{"long decision", 2500 * time.Millisecond, time.Millisecond, time.Millisecond},
		{"each worker takes long", 20 * time.Millisecond, 150 * time.Millisecond, 150 * time.Millisecond},
		{"longer than declared", 20 * time.Millisecond, 150 * time.Millisecond, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withAdvice(t, 48, workerNames(40, 47), func(tc *testCluster, a *fleetfake.Adviser) {
				a.Decision, a.PerWorker = c.decision, c.perWorker
				p := tc.config.Queues[len(tc.config.Queues)-1].Advice
				p.Decision, p.PerWorker = c.decision, c.declared
				tc.submit(jobWithSteps("q", "advised", 3))
				tc.await("q", workload.Completed, time.Minute)
			})
		})
	}
}

// TestAdviceUnderFaults: advised jobs complete, and only on approved workers, whatever fails meanwhile.
func TestAdviceUnderFaults(t *testing.T) {
	everySecond := func(f fleetfake.Fault) func() fleetfake.Fault {
		var n atomic.Int64
		return func() fleetfake.Fault {
			if n.Add(1)%2 == 0 {
				return f
			}
			return fleetfake.NoFault
		}
	}
	faults := []faultScenario{
		{"adviser refuses", func(tc *testCluster) { tc.adviser.(*fleetfake.Adviser).SetFault(everySecond(fleetfake.Refused)) }, noEnd},
		{"adviser silent", func(tc *testCluster) {
			tc.adviser.(*fleetfake.Adviser).SetFault(func() fleetfake.Fault { return fleetfake.RequestLost })
		}, func(tc *testCluster) { tc.adviser.(*fleetfake.Adviser).SetFault(nil) }},
		{"approved worker restarted", func(tc *testCluster) { tc.workers.Restart("w40") }, noEnd},
		{"approved worker lost", func(tc *testCluster) { tc.workers.Kill("w40") }, noEnd},
		{"approved worker drains", func(tc *testCluster) { tc.workers.Drain("w40") }, noEnd},
	}
	for _, tr := range append(faults, faultScenarios...) {
		t.Run(tr.name, func(t *testing.T) {
			withAdvice(t, 48, workerNames(40, 44, 47), func(tc *testCluster, _ *fleetfake.Adviser) {
				time.AfterFunc(300*time.Millisecond, func() { tr.begin(tc) })
				time.AfterFunc(faultDuration, func() { tr.end(tc) })
				for i := range 10 {
					tc.submit(jobWithSteps(fmt.Sprint("q", i), "advised", 3, 2))
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(faultDuration)
				for i := range 10 {
					tc.await(fmt.Sprint("q", i), workload.Completed, 30*time.Second)
				}
			})
		})
	}
}

// Guards against a job that no worker may run keeping the adviser from others.
func TestDeniedJobBlocksNobody(t *testing.T) {
	withAdvice(t, 48, workerNames(46), func(tc *testCluster, a *fleetfake.Adviser) {
		for i := range 30 {
			spec := jobWithSteps(fmt.Sprint("q-large-", i), "advised", 2)
			spec.Steps[0].Needs = resource.Vector{MilliCPU: 8000, MemoryMB: 32000, Accelerators: 1}
			tc.submit(spec)
		}
		time.Sleep(5 * time.Second)
		before := a.Calls()
		tc.submit(jobWithSteps("q", "advised", 2, 2))
		tc.await("q", workload.Completed, 5*time.Second)
		time.Sleep(10 * time.Second)
		if n := a.Calls() - before; n > 10 {
			t.Errorf("%d calls to the adviser while nothing new could run", n)
		}
	})
}

// Guards against a long-running task being stopped on a draining worker for a worker that may not run it.
func TestAdvisedTaskLeavesADrainingWorker(t *testing.T) {
	withAdvice(t, 40, workerNames(1, 38), func(tc *testCluster, _ *fleetfake.Adviser) {
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		spec := jobWithSteps("q", "advised", 2)
		spec.Steps[0].LongRunning = true
		tc.submit(spec)
		time.Sleep(5 * time.Second)
		from := tc.workers.WorkerOf("q.0.0.0")
		tc.workers.Drain(from)
		time.Sleep(5 * time.Second)
		if to := tc.workers.WorkerOf("q.0.0.0"); to == "" || to == from || tc.workers.Running("q") != 2 {
			t.Errorf("on %q after the drain of %s, %d runs", to, from, tc.workers.Running("q"))
		}
	})
}

// Guards against a job waiting for good in a shard none of whose workers may run it, beside another one
// with approved workers.
func TestAdvisedJobRunsInAnotherShard(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("long-running ", longRunning), func(t *testing.T) {
			withShards(t, []int{4, 4, 4}, func(net *shardNet) {
				a := net.shards["a"].advisedQueue("c02")
				for _, name := range net.names {
					net.shards[name].adviser = a
					killOwner(net.shards[name])
				}
				tc := net.shards["a"]
				tc.waitForWorkers()
				if !longRunning {
					tc.workers.SetDuration(func(string) time.Duration { return 300 * time.Millisecond })
				}
				spec := jobWithSteps("q", "advised", 2)
				spec.Steps[0].LongRunning = longRunning
				tc.submit(spec)
				if !longRunning {
					tc.await("q", workload.Completed, 12*time.Second)
					return
				}
				time.Sleep(12 * time.Second)
				if n := tc.workers.RunningOn("c02"); n != 2 {
					t.Errorf("%d runs on the approved worker", n)
				}
			})
		})
	}
}

// TestHostsToAsk: no worker is asked about again while another one has not been.
func TestHostsToAsk(t *testing.T) {
	f := newFixture(70)
	f.cfg.Adviser = fleetfake.NewAdviser()
	q := &f.cfg.Config().Queues[1]
	q.Advice = &fleet.AdvicePolicy{PerWorker: time.Millisecond, Validity: 3 * time.Second}
	j := f.add("q", "batch", workload.Step{Tasks: 1})
	task := j.tasks[0][0]
	a := &advice{verdicts: map[string]verdict{}}
	asked := map[string]int{}
	for range 3 {
		hosts := f.hostsToAsk(a, task, q, f.slots(f.now), f.now)
		for _, h := range hosts[:min(len(hosts), callSize(q.Advice, 0))] {
			asked[h.ID]++
			a.verdicts[h.ID] = verdict{recheckAt: f.now + adviceRecheck}
		}
	}
	if len(asked) != 70 {
		t.Errorf("asked about %d of 70 workers", len(asked))
	}
	if hosts := f.hostsToAsk(a, task, q, f.slots(f.now), f.now); len(hosts) != 0 {
		t.Errorf("%d workers are asked about again at once", len(hosts))
	}
	f.now += adviceRecheck
	if hosts := f.hostsToAsk(a, task, q, f.slots(f.now), f.now); len(hosts) != 70 {
		t.Errorf("%d workers are asked about again after %s, want all", len(hosts), adviceRecheck)
	}
}

func TestCallSize(t *testing.T) {
	for _, c := range []struct {
		perWorker, validity time.Duration
		failures            int
		want                int
	}{
		{0, 3 * time.Second, 0, 30},
		{time.Millisecond, 3 * time.Second, 0, 30},
		{100 * time.Millisecond, 3 * time.Second, 0, 15},
		{5 * time.Second, 3 * time.Second, 0, 1},
		{time.Millisecond, 3 * time.Second, 2, 7},
		{time.Millisecond, 3 * time.Second, 40, 1},
	} {
		if got := callSize(&fleet.AdvicePolicy{PerWorker: c.perWorker, Validity: c.validity}, c.failures); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
