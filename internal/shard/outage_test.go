package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

const outage = 10 * time.Minute

// TestTableOutage makes the tables and the object store unavailable for ten minutes.
// No run may end or start because of the outage, and afterwards every task must
// finish once.
func TestTableOutage(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, env *testEnv, p *proxy) // injected one minute into the outage
		lost  int                                        // number of service runs that may end
	}{
		{"the owner stays up", func(*testing.T, *testEnv, *proxy) {}, 0},
		{"a worker dies", func(t *testing.T, env *testEnv, _ *proxy) { env.killWorker(env.fleet()[0].ID) }, 2},
		{"the owner dies", func(_ *testing.T, env *testEnv, p *proxy) { p.failCalls(); env.reopen("b") }, 0},
		{"the owner dies, several start cold", func(_ *testing.T, env *testEnv, p *proxy) {
			p.failCalls()
			env.reopen("b")
			env.reopen("c")
		}, 0},
		{"a worker restarts", func(t *testing.T, env *testEnv, _ *proxy) {
			id := env.fleet()[0].ID
			env.killed[id+"#1"] = true
			_ = env.sys.Inject(standin.Fault{Kind: standin.Restart, Target: id})
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 8, settings.Standin{})
				p := newProxy(env.platform("a"))
				env.finishReported = func(id job.RunID) bool { return p.finishReported[id] }
				cfg := env.cfg
				cfg.Owner = "a"
				if _, err := env.openOwnerWithPolicy(cfg, p.platform(), NewPolicy(placementDefaults)); err != nil {
					t.Fatal(err)
				}
				env.submitWithRetry(service("confirm", 4))
				env.submitWithRetry(batch("before", 20, 3*time.Minute))
				time.Sleep(time.Minute)
				for _, target := range []string{"tables", "objects"} {
					if err := env.sys.Inject(standin.Fault{Kind: standin.Down, Target: target, Duration: job.Duration(outage)}); err != nil {
						t.Fatal(err)
					}
				}
				starts := env.sys.Totals().RunsStarted
				time.Sleep(time.Minute)
				tt.fault(t, env, p)
				time.Sleep(outage - time.Minute - time.Second)
				if n := env.sys.Totals().RunsStarted - starts; n != 0 {
					t.Errorf("%d runs started while the tables were unavailable", n)
				}
				if n := env.endedRuns("confirm"); n > tt.lost {
					t.Errorf("%d service runs ended in the outage, want at most %d", n, tt.lost)
				}
				env.submitWithRetry(batch("after", 10, 10*time.Second))
				time.Sleep(10 * time.Minute)
				o := env.owner()
				for id, want := range map[string]string{"confirm": "running=4", "before": "finished=20", "after": "finished=10"} {
					if got := env.states(o, id); got != want {
						t.Errorf("%s: %s, want %s", id, got, want)
					}
				}
				env.close()
				env.mustAudit(history.Expectation{Job: "before", Finished: 20}, history.Expectation{Job: "after", Finished: 10})
			})
		})
	}
}

// endedRuns returns how many runs of the job ended on the workers.
func (env *testEnv) endedRuns(id string) int {
	n := 0
	for _, e := range env.sys.History().Runs {
		if e.Run.Task.Job == id && e.Kind != history.RunStarted {
			n++
		}
	}
	return n
}

// killWorker kills a worker and records its first incarnation as killed.
func (env *testEnv) killWorker(id string) {
	env.t.Helper()
	env.killed[id+"#1"] = true
	if err := env.sys.Inject(standin.Fault{Kind: standin.Kill, Target: id}); err != nil {
		env.t.Fatal(err)
	}
}

// reopen opens an owner in the background, and retries until it succeeds or an owner
// other than "a" works.
func (env *testEnv) reopen(name string) {
	go func() {
		for range 1000 {
			if _, err := env.openOwner(name); err == nil {
				return
			}
			time.Sleep(time.Second)
			if env.owner() != nil && env.owner().cfg.Owner != "a" {
				return
			}
		}
	}()
}

// TestLeaseBoundExpires checks an outage that outlasts the lease bound: the owner must
// stop granting leases, so that the workers stop every run, and all tasks run again
// afterwards.
func TestLeaseBoundExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 4, settings.Standin{})
		env.cfg.LeaseBound = 3 * time.Minute
		a := env.mustOpen("a")
		env.submitWithRetry(service("confirm", 2))
		env.submitWithRetry(batch("renewal", 4, 10*time.Minute))
		time.Sleep(time.Minute)
		if err := env.sys.Inject(standin.Fault{Kind: standin.Down, Target: "tables", Duration: job.Duration(outage)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Minute)
		if n := env.endedRuns("confirm"); n != 2 {
			t.Errorf("%d service runs ended after the lease bound, want 2", n)
		}
		time.Sleep(30 * time.Minute)
		if got := env.states(a.o, "confirm"); got != "running=2" {
			t.Errorf("service: %s", got)
		}
		env.close()
		env.mustAudit(history.Expectation{Job: "renewal", Finished: 4})
	})
}

// TestShortLeasesAfterOutage guards against long leases that delay the restart of a
// dead worker's tasks: those granted in an outage, if the worker dies after it, and
// those that a short failure of the tables could cause.
func TestShortLeasesAfterOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		died   time.Duration // when the worker dies, counted from the start of the outage
	}{
		{"dies in a short failure", 4 * time.Second, 3 * time.Second},
		{"dies after a short failure", 4 * time.Second, 8 * time.Second},
		{"dies after an outage", 5 * time.Minute, 5*time.Minute + 8*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 4, settings.Standin{})
				a := env.mustOpen("a")
				env.submitWithRetry(service("confirm", 4))
				time.Sleep(time.Minute)
				if err := env.sys.Inject(standin.Fault{Kind: standin.Down, Target: "tables", Duration: job.Duration(tt.outage)}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tt.died)
				env.killWorker(env.fleet()[0].ID)
				time.Sleep(30 * time.Second)
				if got := env.states(a.o, "confirm"); got != "running=4" {
					t.Errorf("30 s after the worker's death: %s, want running=4", got)
				}
				env.close()
				env.mustAudit()
			})
		})
	}
}
