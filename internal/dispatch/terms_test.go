package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// forgetTerms rewrites the accepted rows of the shard as an earlier version has written them. It must be called
// without an owner.
func (tc *testCluster) forgetTerms() {
	tc.t.Helper()
	page, err := tc.store.Range(tc.ctx, TableAccepted, tc.name, "", "", 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	for _, r := range page.Rows {
		var a workload.Accepted
		if err := workload.Decode(r.Value, &a); err != nil {
			tc.t.Fatal(err)
		}
		a.Spec.Terms = nil
		tc.write(fleet.Row{Table: TableAccepted, Key: r.Key, Value: workload.Encode(a)})
	}
}

// TestPromisedAttempts: the first two runs of each task of a job fail, and the third one succeeds. The queue that
// accepted it allows four. Meanwhile the configuration in force names the queue no more, or with fewer attempts, or no
// configuration is known, also to new owners and for rows of an earlier version. It guards against a job that is
// failed by other attempts than it was accepted with.
func TestPromisedAttempts(t *testing.T) {
	drop := func(tc *testCluster) { tc.setConfig(tc.configWithout("batch")) }
	none := func(tc *testCluster) { tc.setConfig(nil) }
	restore := func(tc *testCluster) { tc.setConfig(tc.config) }
	fewer := func(tc *testCluster) {
		c := tc.configWithout("batch")
		c.Queues = append(c.Queues, tc.config.Queues[1])
		c.Queues[len(c.Queues)-1].Attempts = 1
		tc.setConfig(c)
	}
	killed := func(change func(tc *testCluster)) func(tc *testCluster) {
		return func(tc *testCluster) { change(tc); killOwner(tc) }
	}
	// An owner of an earlier version has accepted the job; the successor is of this one.
	upgraded := func(change func(tc *testCluster)) func(tc *testCluster) {
		return func(tc *testCluster) {
			tc.stopOwner()
			change(tc)
			tc.forgetTerms()
			tc.takeOver()
		}
	}
	for _, c := range []struct {
		name        string
		begin, then func(tc *testCluster) // while the first or the second runs work, and two seconds later
	}{
		{"dropped for good", drop, noEnd},
		{"dropped and restored", drop, restore},
		{"fewer attempts", fewer, noEnd},
		{"dropped, owner killed", killed(drop), noEnd},
		{"dropped, owner killed, restored", killed(drop), restore},
		{"dropped, owner killed twice", killed(drop), killOwner},
		{"no configuration", none, noEnd},
		{"cold start without configuration", killed(none), noEnd},
		{"cold start without configuration, then restored", killed(none), restore},
		{"cold start without configuration, then dropped", killed(none), drop},
		{"earlier version", upgraded(noEnd), noEnd},
		{"earlier version, dropped and restored", upgraded(drop), restore},
		{"earlier version, no configuration and restored", upgraded(none), restore},
		{"earlier version, then dropped", upgraded(noEnd), drop},
		{"earlier version, then dropped, owner killed", upgraded(noEnd), killed(drop)},
	} {
		for run, begin := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/run %d", c.name, run+1), func(t *testing.T) {
				withCluster(t, 3, func(tc *testCluster) {
					tc.config.Queues[1].Attempts = 4
					tc.workers.SetDuration(func(string) time.Duration { return time.Second })
					tc.workers.SetFails(func(_ string, run int) bool { return run <= 2 })
					tc.waitForWorkers()
					tc.submit(jobWithSteps("00000000000000aa", "batch", 2))
					time.Sleep(begin)
					c.begin(tc)
					time.Sleep(2 * time.Second)
					c.then(tc)
					tc.await("00000000000000aa", workload.Completed, 10*time.Second)
				})
			})
		}
	}
}

// TestAttemptsUsedUpWithoutTerms: an earlier version has accepted a job, and its last attempt fails while no configuration
// names its queue. It guards against another start once a configuration does.
func TestAttemptsUsedUpWithoutTerms(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.config.Queues[1].Attempts = 2
		tc.workers.SetDuration(func(string) time.Duration { return time.Second })
		tc.workers.SetFails(func(string, int) bool { return true })
		tc.waitForWorkers()
		tc.submit(jobWithSteps("00000000000000aa", "batch", 1))
		time.Sleep(1500 * time.Millisecond) // the second run works
		tc.stopOwner()
		tc.forgetTerms()
		tc.setConfig(tc.configWithout("batch"))
		tc.takeOver()
		time.Sleep(3 * time.Second)
		if s := tc.state("00000000000000aa"); s != workload.Running {
			t.Errorf("state %s without terms, want %s", s, workload.Running)
		}
		tc.setConfig(tc.config)
		tc.await("00000000000000aa", workload.Failed, 3*time.Second)
		if n := tc.workers.Starts(); n != 2 {
			t.Errorf("%d starts of two attempts", n)
		}
	})
}

// TestAdoptedTermsAreStored: a task that lasts, of an earlier version, runs undisturbed while its queue is dropped. It guards
// against terms that only the owner knows that took them from the configuration.
func TestAdoptedTermsAreStored(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		tc.waitForWorkers()
		spec := jobWithSteps("00000000000000aa", "batch", 1)
		spec.Steps[0].LongRunning = true
		tc.submit(spec)
		time.Sleep(time.Second)
		tc.stopOwner()
		tc.forgetTerms()
		tc.takeOver()
		time.Sleep(2 * time.Second)
		tc.setConfig(tc.configWithout("batch"))
		killOwner(tc)
		time.Sleep(2 * time.Second)
		tc.workers.Restart(tc.workers.WorkerOf(spec.ID + ".0.0.0"))
		tc.awaitRuns(spec.ID, 0, 5*time.Second)
		tc.awaitRuns(spec.ID, 1, 20*time.Second)
	})
}

// TestTermsGoWithTheJob: a job of a dropped queue is moved or lent. It guards against a shard that judges or places it by the
// configuration alone.
func TestTermsGoWithTheJob(t *testing.T) {
	terms := &workload.Terms{Service: "svc", Priority: 2, Attempts: 4, Slack: 2, TargetMillis: 1000}
	for _, c := range []struct {
		name string
		spec func() workload.Spec
		lose bool // the workers of the first shard
	}{
		{"moved", func() workload.Spec { return jobWithSteps("00000000000000aa", "gone", 1) }, true},
		{"lent", func() workload.Spec {
			spec := jobWithSteps("00000000000000aa", "gone", 1, 1)
			spec.Steps[1].LongRunning = true
			return spec
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withShards(t, []int{2, 2}, func(net *shardNet) {
				net.byLoad, net.moves = true, true
				tc := net.shards["a"]
				tc.workers.SetFails(func(_ string, run int) bool { return run <= 2 })
				tc.workers.SetDuration(func(task string) time.Duration {
					if id, _ := workload.ParseTaskID(task); id.Step == 1 {
						return time.Hour
					}
					return 500 * time.Millisecond
				})
				if c.lose {
					tc.workers.Kill("a00")
					tc.workers.Kill("a01")
					time.Sleep(5 * time.Second)
				}
				spec := c.spec()
				spec.Terms = terms
				tc.submit(spec)
				if c.lose {
					net.awaitCompleted([]string{spec.ID}, 20*time.Second)
					return
				}
				time.Sleep(4 * time.Second) // the second step runs here
				tc.workers.Kill("a00")
				tc.workers.Kill("a01")
				time.Sleep(20 * time.Second)
				if n := tc.workers.Running(spec.ID); n != 1 {
					t.Errorf("%d runs, want 1", n)
				}
			})
		})
	}
}
