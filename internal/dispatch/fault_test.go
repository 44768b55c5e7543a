package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/workload"
)

// trouble is a fault of the world, and how it ends.
type trouble struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

// span is how long a trouble lasts in the matrix.
const span = 4 * time.Second

func storeFault(f fleetfake.Fault) func(w *world) {
	return func(w *world) { w.store.SetFault(func(*fleet.Tx) fleetfake.Fault { return f }) }
}

// commitFault hits every third commit and no read.
func commitFault(f fleetfake.Fault) func(w *world) {
	return func(w *world) {
		var n atomic.Int64
		w.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
			if tx == nil {
				return fleetfake.None
			}
			if n.Add(1)%3 == 0 {
				return f
			}
			return fleetfake.None
		})
	}
}

func noStoreFault(w *world) { w.store.SetFault(nil) }

func orderFault(kind string, f fleetfake.Fault) func(w *world) {
	return func(w *world) {
		var n atomic.Int64
		w.workers.SetFault(func(k, _ string) fleetfake.Fault {
			if k != kind {
				return fleetfake.None
			}
			if n.Add(1)%2 == 0 {
				return f
			}
			return fleetfake.None
		})
	}
}

func noOrderFault(w *world) { w.workers.SetFault(nil) }

func nothing(*world) {}

// replaceOwner makes a successor while the old owner lives on until it notices.
func replaceOwner(w *world) {
	w.mu.Lock()
	old, ended := w.stop, w.ended
	w.mu.Unlock()
	w.takeOver()
	go func() {
		<-ended
		old()
	}()
}

// killOwner ends the owner at once and makes a successor.
func killOwner(w *world) {
	w.end()
	w.takeOver()
}

var troubles = []trouble{
	{"store refuses", storeFault(fleetfake.Refused), noStoreFault},
	{"store silent", storeFault(fleetfake.Lost), noStoreFault},
	{"commits lost", commitFault(fleetfake.Lost), noStoreFault},
	{"commits' answers lost", commitFault(fleetfake.AnswerLost), noStoreFault},
	{"commits late", commitFault(fleetfake.Late), noStoreFault},
	{"starts refused", orderFault("start", fleetfake.Refused), noOrderFault},
	{"starts lost", orderFault("start", fleetfake.Lost), noOrderFault},
	{"starts' answers lost", orderFault("start", fleetfake.AnswerLost), noOrderFault},
	{"starts late", orderFault("start", fleetfake.Late), noOrderFault},
	{"stops late", orderFault("stop", fleetfake.Late), noOrderFault},
	{"holds lost", orderFault("hold", fleetfake.Lost), noOrderFault},
	{"holds late", orderFault("hold", fleetfake.Late), noOrderFault},
	{"worker dead", func(w *world) { w.workers.Kill("w00") }, func(w *world) { w.workers.Reborn("w00") }},
	{"worker reborn", func(w *world) { w.workers.Reborn("w00") }, nothing},
	{"worker cut off", func(w *world) { w.workers.Cut("w00", true) }, func(w *world) { w.workers.Cut("w00", false) }},
	{"worker drains", func(w *world) { w.workers.Drain("w00") }, nothing},
	{"owner killed", killOwner, nothing},
	{"owner replaced", replaceOwner, nothing},
	{"owner killed, worker cut off", func(w *world) { w.workers.Cut("w00", true); killOwner(w) }, func(w *world) { w.workers.Cut("w00", false) }},
	{"owner killed twice", func(w *world) { killOwner(w); time.Sleep(100 * time.Millisecond); killOwner(w) }, nothing},
	{"owner killed, starts late", func(w *world) {
		orderFault("start", fleetfake.Late)(w)
		time.Sleep(300 * time.Millisecond)
		killOwner(w)
	}, noOrderFault},
	{"worker reborn, starts late", func(w *world) {
		orderFault("start", fleetfake.Late)(w)
		time.Sleep(300 * time.Millisecond)
		w.workers.Reborn("w00")
	}, noOrderFault},
}

// moments are the steps of a job's way at which a trouble begins.
var moments = []struct {
	name  string
	after time.Duration // from the hand-in
}{
	{"before the hand-in", -100 * time.Millisecond},
	{"accept", 2 * time.Millisecond},
	{"decide and commit", 8 * time.Millisecond},
	{"start", 12 * time.Millisecond},
	{"run", 100 * time.Millisecond},
	{"end", 305 * time.Millisecond},
	{"next step", 330 * time.Millisecond},
	{"second run", 500 * time.Millisecond},
}

// TestFaultMatrix plays every trouble at every moment. Every accepted job has to
// complete, no task may run twice, and nothing may start after its success was
// acknowledged.
func TestFaultMatrix(t *testing.T) {
	for _, tr := range troubles {
		for _, m := range moments {
			t.Run(tr.name+"/"+m.name, func(t *testing.T) {
				inWorld(t, 3, func(w *world) {
					w.workers.LateCrossesLives()
					playTrouble(w, tr, m.after)
				})
			})
		}
	}
}

func playTrouble(w *world, tr trouble, after time.Duration) {
	w.settle()
	if after < 0 {
		tr.begin(w)
		time.Sleep(-after)
	} else {
		time.AfterFunc(after, func() { tr.begin(w) })
	}
	go func() {
		time.Sleep(span)
		tr.end(w)
	}()
	for i := range 3 {
		w.submit(steps(fmt.Sprint("a", i), "short", 4, 3))
	}
	time.Sleep(span + time.Second)
	for i := range 3 {
		w.await(fmt.Sprint("a", i), workload.Completed, 40*time.Second)
	}
}

// TestCancelUnderFaults cancels a job in the middle of each trouble: nothing of
// it may run afterwards.
func TestCancelUnderFaults(t *testing.T) {
	for _, tr := range troubles {
		t.Run(tr.name, func(t *testing.T) {
			inWorld(t, 3, func(w *world) {
				w.workers.SetDuration(func(string) time.Duration { return time.Minute })
				w.settle()
				w.submit(steps("a", "batch", 6))
				time.Sleep(200 * time.Millisecond)
				tr.begin(w)
				time.Sleep(50 * time.Millisecond)
				for {
					ctx, cancel := context.WithTimeout(w.ctx, time.Second)
					_, err := w.shard().Cancel(ctx, "a")
					cancel()
					if err == nil {
						break
					}
					time.Sleep(200 * time.Millisecond)
					if time.Since(w.began) > span {
						tr.end(w)
					}
				}
				tr.end(w)
				time.Sleep(25 * time.Second)
				if n := w.workers.Running("a"); n > 0 {
					t.Errorf("%d runs of a cancelled job", n)
				}
			})
		})
	}
}

// walkSeeds bounds the random walks of an ordinary test run.
const walkSeeds = 100

// TestRandomWalk plays random troubles, several at a time, over many jobs.
func TestRandomWalk(t *testing.T) {
	for seed := range uint64(walkSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, 4, func(w *world) { walk(w, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func walk(w *world, r *rand.Rand) {
	w.workers.SetDuration(func(task string) time.Duration {
		return time.Duration(200+100*(len(task)+int(task[len(task)-1]))%1500) * time.Millisecond
	})
	w.settle()
	jobs := 0
	for range 6 + r.IntN(6) {
		tr := troubles[r.IntN(len(troubles))]
		tr.begin(w)
		time.AfterFunc(time.Duration(r.IntN(6000))*time.Millisecond, func() { tr.end(w) })
		for range r.IntN(4) {
			w.submit(steps(fmt.Sprint("a", jobs), []string{"short", "batch"}[r.IntN(2)], 1+r.IntN(5), 1+r.IntN(3)))
			jobs++
			time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	for i := range 4 {
		w.workers.Cut(fmt.Sprintf("w%02d", i), false)
		if w.workers.Leaving(fmt.Sprintf("w%02d", i)) {
			w.workers.Reborn(fmt.Sprintf("w%02d", i))
		}
	}
	for i := range jobs {
		w.await(fmt.Sprint("a", i), workload.Completed, time.Minute)
	}
}

// TestNotedLapseIsRenouncedFirst: an owner that told the store when a worker's leases
// end gives it no longer ones until the store knows better.
func TestNotedLapseIsRenouncedFirst(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.workers.SetDuration(func(string) time.Duration { return 30 * time.Second })
		w.settle()
		w.submit(steps("a", "batch", 1))
		time.Sleep(300 * time.Millisecond)
		w.shard().mu.Lock()
		worker := w.shard().jobs["a"].tasks[0][0].Worker
		w.shard().mu.Unlock()
		w.workers.Cut(worker, true)
		time.Sleep(3 * time.Second) // the lapse is noted
		w.workers.Cut(worker, false)
		storeFault(fleetfake.Lost)(w)
		time.Sleep(4 * time.Second)
		w.workers.Cut(worker, true)
		noStoreFault(w)
		killOwner(w)
		time.Sleep(20 * time.Second)
		w.workers.Cut(worker, false)
		w.await("a", workload.Completed, time.Minute)
	})
}

// TestInboxJobIsNotForgotten: a job that lies in the inbox is accepted; a caller that
// asks for it again while commits are refused must not make the owner drop it.
func TestInboxJobIsNotForgotten(t *testing.T) {
	for _, f := range []fleetfake.Fault{fleetfake.Refused, fleetfake.Lost} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				w.settle()
				spec := steps("a", "short", 2)
				w.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
					if tx != nil && tx.Expect[0].Table == TableOwner {
						return f // the owner's commits, not the inbox
					}
					return fleetfake.None
				})
				time.Sleep(50 * time.Millisecond)
				key := InboxSubmit + "a"
				_, err := w.store.Commit(w.ctx, fleet.Tx{
					Part:   "s",
					Expect: []fleet.Row{{Table: TableInbox, Key: key}},
					Put:    []fleet.Row{{Table: TableInbox, Key: key, Value: workload.Encode(workload.Accepted{Spec: spec})}},
				})
				if err != nil {
					t.Fatal(err)
				}
				for range 5 {
					ctx, cancel := context.WithTimeout(w.ctx, 300*time.Millisecond)
					_ = w.shard().Submit(ctx, spec) // any answer but a loss is fine
					cancel()
				}
				noStoreFault(w)
				w.await("a", workload.Completed, 10*time.Second)
			})
		})
	}
}

// TestFullInbox: an owner that finds hundreds of jobs in its inbox stores them in
// commits that the store takes.
func TestFullInbox(t *testing.T) {
	const jobs = 230
	inWorld(t, 4, func(w *world) {
		w.end()
		for i := range jobs {
			spec := steps(fmt.Sprint("a", i), "short", 1)
			_, err := w.store.Commit(w.ctx, fleet.Tx{Part: "s", Put: []fleet.Row{
				{Table: TableInbox, Key: InboxSubmit + spec.ID, Value: workload.Encode(workload.Accepted{Spec: spec})},
			}})
			if err != nil {
				t.Fatal(err)
			}
		}
		w.takeOver()
		for i := range jobs {
			w.await(fmt.Sprint("a", i), workload.Completed, time.Minute)
		}
	})
}

// TestLargestJobFitsItsRow stores and runs a job of the most tasks that are accepted.
func TestLargestJobFitsItsRow(t *testing.T) {
	inWorld(t, 8, func(w *world) {
		w.settle()
		spec := steps("a", "batch", 600)
		spec.Steps[0].Needs.MilliCPU, spec.Steps[0].Needs.MemoryMB = 100, 100
		w.submit(spec)
		w.await("a", workload.Completed, time.Minute)
	})
}

// TestSilentStoreAndEndsThatWait: workers with ends that cannot be stored are asked at
// the pace of their leases, not as fast as they answer.
func TestSilentStoreAndEndsThatWait(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.settle()
		w.submit(steps("a", "short", 6))
		time.Sleep(100 * time.Millisecond)
		storeFault(fleetfake.Lost)(w)
		time.Sleep(time.Second) // the runs end, and their ends wait
		before := w.workers.Holds()
		time.Sleep(4 * time.Second)
		if n := w.workers.Holds() - before; n > 24 {
			t.Errorf("%d holds of two workers in 4 s", n)
		}
		noStoreFault(w)
		w.await("a", workload.Completed, 10*time.Second)
	})
}

// TestWorkersThatDieWithTheirOwner: the successor starts the runs of workers that it
// never reached as soon as the earlier owner's promise, counted from its last commit,
// and the last lease are over.
func TestWorkersThatDieWithTheirOwner(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.workers.SetDuration(func(string) time.Duration { return time.Hour })
		w.settle()
		spec := steps("a", "short", 2)
		spec.Steps[0].Lasting = true
		spec.Steps[0].MaxPerWorker = 1
		w.submit(spec)
		time.Sleep(time.Second)
		for _, id := range []string{"w00", "w01", "w02"} {
			if w.workers.RunningOn(id) > 0 {
				w.workers.Kill(id)
				break
			}
		}
		w.end()
		time.Sleep(2 * time.Second) // the takeover takes its time
		w.takeOver()
		time.Sleep(Promise + fleetfake.LeaseMax - time.Second)
		if n := w.workers.Running("a"); n != 2 {
			t.Errorf("%d runs, want both", n)
		}
	})
}
