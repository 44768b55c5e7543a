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

// TestTableOutage takes the tables and the object store away for ten minutes.
// Services stay up, nothing that ran is cut off, nothing new starts, and
// afterwards every task finishes once.
func TestTableOutage(t *testing.T) {
	tests := []struct {
		name   string
		strike func(t *testing.T, w *world, g *gate) // one minute into the outage
		lost   int                                   // service runs that may end
	}{
		{"the owner lives", func(*testing.T, *world, *gate) {}, 0},
		{"a worker dies", func(t *testing.T, w *world, _ *gate) { w.kill(w.fleet()[0].ID) }, 2},
		{"the owner dies", func(_ *testing.T, w *world, g *gate) { g.kill(); w.retake("b") }, 0},
		{"the owner dies, several start cold", func(_ *testing.T, w *world, g *gate) {
			g.kill()
			w.retake("b")
			w.retake("c")
		}, 0},
		{"a worker restarts", func(t *testing.T, w *world, _ *gate) {
			id := w.fleet()[0].ID
			w.died[id+"#1"] = true
			_ = w.sys.Inject(standin.Fault{Kind: standin.Restart, Target: id})
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 8, settings.Standin{})
				g := newGate(w.platform("a"))
				w.told = func(id job.RunID) bool { return g.told[id] }
				cfg := w.cfg
				cfg.Owner = "a"
				if _, err := w.openPolicy(cfg, g.platform(), NewPolicy(placementDefaults)); err != nil {
					t.Fatal(err)
				}
				w.submit(service("confirm", 4))
				w.submit(batch("before", 20, 3*time.Minute))
				time.Sleep(time.Minute)
				for _, target := range []string{"tables", "objects"} {
					if err := w.sys.Inject(standin.Fault{Kind: standin.Down, Target: target, For: job.Duration(outage)}); err != nil {
						t.Fatal(err)
					}
				}
				starts := w.sys.Totals().RunsStarted
				time.Sleep(time.Minute)
				tt.strike(t, w, g)
				time.Sleep(outage - time.Minute - time.Second)
				if n := w.sys.Totals().RunsStarted - starts; n != 0 {
					t.Errorf("%d runs started while nothing could be recorded", n)
				}
				if n := w.ended("confirm"); n > tt.lost {
					t.Errorf("%d service runs ended in the outage, want at most %d", n, tt.lost)
				}
				w.submit(batch("after", 10, 10*time.Second))
				time.Sleep(10 * time.Minute)
				o := w.owner()
				for id, want := range map[string]string{"confirm": "running=4", "before": "finished=20", "after": "finished=10"} {
					if got := w.states(o, id); got != want {
						t.Errorf("%s: %s, want %s", id, got, want)
					}
				}
				w.close()
				w.mustAudit(history.Expect{Job: "before", Finished: 20}, history.Expect{Job: "after", Finished: 10})
			})
		})
	}
}

// ended counts the runs of the job that ended at the workers.
func (w *world) ended(id string) int {
	n := 0
	for _, e := range w.sys.History().Runs {
		if e.Run.Task.Job == id && e.Kind != history.RunStarted {
			n++
		}
	}
	return n
}

func (w *world) kill(id string) {
	w.t.Helper()
	w.died[id+"#1"] = true
	if err := w.sys.Inject(standin.Fault{Kind: standin.Kill, Target: id}); err != nil {
		w.t.Fatal(err)
	}
}

// retake opens an owner in the background, again until it succeeds or another
// works.
func (w *world) retake(name string) {
	go func() {
		for range 1000 {
			if _, err := w.open(name); err == nil {
				return
			}
			time.Sleep(time.Second)
			if w.owner() != nil && w.owner().cfg.Owner != "a" {
				return
			}
		}
	}()
}

// TestPromiseSpent: when the outage outlasts the promise, the owner stops
// granting, the workers stop every run, and all of it runs again afterwards.
func TestPromiseSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, settings.Standin{})
		w.cfg.Promise = 3 * time.Minute
		a := w.mustOpen("a")
		w.submit(service("confirm", 2))
		w.submit(batch("renewal", 4, 10*time.Minute))
		time.Sleep(time.Minute)
		if err := w.sys.Inject(standin.Fault{Kind: standin.Down, Target: "tables", For: job.Duration(outage)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Minute)
		if n := w.ended("confirm"); n != 2 {
			t.Errorf("%d service runs ended after the promise, want 2", n)
		}
		time.Sleep(30 * time.Minute)
		if got := w.states(a.o, "confirm"); got != "running=2" {
			t.Errorf("service: %s", got)
		}
		w.close()
		w.mustAudit(history.Expect{Job: "renewal", Finished: 4})
	})
}

// TestShortGrantsAfterOutage: long grants that an outage called for do not delay
// the repair of a worker that dies after it, nor of one that dies in a short
// failure of the tables.
func TestShortGrantsAfterOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		died   time.Duration // after the start of the outage
	}{
		{"dies in a short failure", 4 * time.Second, 3 * time.Second},
		{"dies after a short failure", 4 * time.Second, 8 * time.Second},
		{"dies after an outage", 5 * time.Minute, 5*time.Minute + 8*time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4, settings.Standin{})
				a := w.mustOpen("a")
				w.submit(service("confirm", 4))
				time.Sleep(time.Minute)
				if err := w.sys.Inject(standin.Fault{Kind: standin.Down, Target: "tables", For: job.Duration(tt.outage)}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tt.died)
				w.kill(w.fleet()[0].ID)
				time.Sleep(30 * time.Second)
				if got := w.states(a.o, "confirm"); got != "running=4" {
					t.Errorf("30 s after the worker's death: %s, want running=4", got)
				}
				w.close()
				w.mustAudit()
			})
		})
	}
}
