package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// lostAfter is how long after its last run a long-running task without a run counts as lost
// on the platform.
const lostAfter = 9 * time.Second

// shardNet connects the shards of a test. Calls between them can fail.
type shardNet struct {
	names  []string
	shards map[string]*testCluster
	moves  bool // whether jobs move to other shards, by their loads
	byLoad bool // whether borrowers are chosen by the loads of the shards; else the first is chosen

	mu    sync.Mutex
	fault func(method, from, to string) fleetfake.Fault
}

// view is the access of one shard's owner to the other shards.
type view struct {
	net *shardNet
	own string
}

// acceptedRows counts the stored jobs of the shard.
func (tc *testCluster) acceptedRows() int {
	tc.t.Helper()
	page, err := tc.store.Range(tc.ctx, TableAccepted, tc.name, "", "", 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	return len(page.Rows)
}

// withShards runs f with one shard for each entry of workers, which has that many workers.
// The shards are named a, b, c and so on.
func withShards(t *testing.T, workers []int, f func(net *shardNet)) {
	synctest.Test(t, func(t *testing.T) {
		net := &shardNet{shards: map[string]*testCluster{}}
		first := newTestCluster(t, "a")
		for i, n := range workers {
			name := string(rune('a' + i))
			tc := first
			if i > 0 {
				tc = &testCluster{t: t, name: name, mu: make(bubbleMutex, 1), began: first.began, store: first.store, workers: first.workers, config: first.config, inForce: first.inForce, ctx: first.ctx, leaseMax: first.leaseMax}
			}
			tc.others = &view{net, name}
			tc.addWorkers(name, n)
			net.names = append(net.names, name)
			net.shards[name] = tc
		}
		defer func() {
			for _, v := range first.workers.Violations() {
				t.Error(v)
			}
			first.cancel()
			for _, tc := range net.shards {
				tc.stopOwner()
			}
			time.Sleep(20 * time.Second) // delayed calls and timers end within the test
		}()
		for _, name := range net.names {
			net.shards[name].takeOver()
		}
		first.waitForWorkers()
		first.workers.SetDuration(func(string) time.Duration { return time.Hour })
		f(net)
	})
}

// setFault sets the function that chooses the fault of a call, or clears it with nil.
func (n *shardNet) setFault(f func(method, from, to string) fleetfake.Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// call executes f on the present owner of a shard under the fault of the call.
func (v *view) call(ctx context.Context, method, to string, f func(context.Context, *Shard) error) error {
	time.Sleep(2 * time.Millisecond)
	v.net.mu.Lock()
	fault := fleetfake.NoFault
	if v.net.fault != nil {
		fault = v.net.fault(method, v.own, to)
	}
	v.net.mu.Unlock()
	lost := errors.New("no response")
	owner := v.net.shards[to].shard()
	switch fault {
	case fleetfake.Refused:
		return result.Errorf(result.PeerUnavailable, "no connection")
	case fleetfake.RequestLost:
		<-ctx.Done()
		return lost
	case fleetfake.ResponseLost:
		if err := f(ctx, owner); err != nil {
			return err
		}
		<-ctx.Done()
		return lost
	case fleetfake.Late:
		time.AfterFunc(fleetfake.LateDelay, func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = f(late, owner) // nobody waits for the response
		})
		<-ctx.Done()
		return lost
	}
	return f(ctx, owner)
}

// selector selects a shard as instances do.
func (v *view) selector() *ShardSelector {
	loads := map[string]Load{}
	for _, name := range v.net.names {
		loads[name] = v.net.shards[name].shard().Load()
	}
	return &ShardSelector{Own: v.own, Service: "svc", Loads: loads}
}

func (v *view) FasterShard(j *workload.Spec, isNew bool) (string, bool) {
	if !v.net.moves {
		return "", false
	}
	choose := v.selector().ForWaitingJob
	if isNew {
		choose = v.selector().ForNewJob
	}
	shard := choose(j)
	return shard, shard != "" && shard != v.own
}

func (v *view) ShardWithRoom(*workload.Spec, func(time.Duration) bool) (string, bool) {
	return "", false
}

func (v *view) InUse() bool {
	return slices.ContainsFunc(v.net.names, func(name string) bool { return name != v.own && !v.net.shards[name].shard().Load().Closed })
}

func (v *view) Deliver(ctx context.Context, shard string, a workload.Accepted) error {
	return v.call(ctx, "deliver", shard, func(ctx context.Context, s *Shard) error { return s.Accept(ctx, a) })
}
func (v *view) HasJob(context.Context, string, string) (bool, error) { return true, nil }
func (v *view) InterferenceEstimates(context.Context) (colocation.Estimates, error) {
	return colocation.Estimates{}, errors.New("no estimates")
}

func (v *view) Borrower(r *LoanRequest) (shard, why string) {
	names := slices.DeleteFunc(slices.Clone(v.net.names), func(name string) bool {
		return name == v.own || slices.Contains(r.RefusedBy, name)
	})
	if len(names) == 0 {
		return "", "all shards returned it"
	}
	if !v.net.byLoad {
		return names[0], ""
	}
	return v.selector().Borrower(r), "loads"
}

func (v *view) Lend(ctx context.Context, shard string, a workload.Accepted) error {
	return v.call(ctx, "lend", shard, func(ctx context.Context, s *Shard) error { return s.Accept(ctx, a) })
}

func (v *view) Return(ctx context.Context, r workload.ReturnedLoan) error {
	return v.call(ctx, "return", r.Loan.Lender, func(ctx context.Context, s *Shard) error { return s.TakeBack(ctx, r) })
}

// Cancel implements OtherShards. As in the real one, only the store proves that a shard
// does not have a job.
func (v *view) Cancel(ctx context.Context, shard, id string) error {
	return v.call(ctx, "cancel", shard, func(ctx context.Context, s *Shard) error {
		_, err := s.Cancel(ctx, id)
		if result.Of(err) != result.JobUnknown {
			return err
		}
		page, err := v.net.shards[shard].store.Range(ctx, TableAccepted, shard, id, id+"\x00", 0)
		if err == nil && len(page.Rows) > 0 {
			err = errors.New("not loaded yet")
		}
		return err
	})
}

// spreadJob returns a job of n long-running tasks, one to a worker.
func spreadJob(n int) workload.Spec {
	spec := jobWithSteps("00000000000000aa", "short", n)
	spec.Steps[0].LongRunning = true
	spec.Steps[0].MaxPerWorker = 1
	return spec
}

// awaitRuns waits up to d until n tasks of a job run.
func (tc *testCluster) awaitRuns(id string, n int, d time.Duration) {
	tc.t.Helper()
	deadline := time.Now().Add(d)
	for tc.workers.Running(id) != n {
		if time.Now().After(deadline) {
			tc.t.Fatalf("%d runs of %s after %s, want %d", tc.workers.Running(id), id, d, n)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestSpreadWiderThanTheShard: a job whose tasks need more workers than its shard has runs
// in several shards, and ends in all of them when it is cancelled.
func TestSpreadWiderThanTheShard(t *testing.T) {
	withShards(t, []int{2, 3}, func(net *shardNet) {
		a := net.shards["a"]
		spec := spreadJob(5)
		a.submit(spec)
		a.awaitRuns(spec.ID, 5, lostAfter)
		if _, err := a.shard().Cancel(a.ctx, spec.ID); err != nil {
			t.Fatal(err)
		}
		a.awaitRuns(spec.ID, 0, 2*time.Second)
		time.Sleep(time.Second)
		for name, tc := range net.shards {
			for _, j := range tc.shard().snapshotJobs() {
				if !j.State.Final() {
					t.Errorf("shard %s has a job in state %s", name, j.State)
				}
				for _, p := range j.Tasks[0] {
					if p.Phase != workload.Pending {
						t.Errorf("shard %s has a task in phase %d", name, p.Phase)
					}
				}
			}
		}
	})
}

// snapshotJobs returns the records of the shard's jobs.
func (s *Shard) snapshotJobs() []workload.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []workload.Record
	for _, j := range s.jobs {
		out = append(out, j.record)
	}
	return out
}

// TestLostWorkerInAFullShard: when a worker is lost and the other workers of its shard are
// full, its long-running tasks run in another shard before they count as lost.
func TestLostWorkerInAFullShard(t *testing.T) {
	withShards(t, []int{2, 2}, func(net *shardNet) {
		a := net.shards["a"]
		spec := jobWithSteps("00000000000000aa", "short", 4)
		spec.Steps[0].LongRunning = true
		spec.Steps[0].Needs.MilliCPU = 4000
		a.submit(spec)
		a.awaitRuns(spec.ID, 4, time.Second)
		a.workers.Kill("a00")
		a.awaitRuns(spec.ID, 4, lostAfter)
	})
}

// TestLentJobCountsAsStarted: a job that was moved here and whose tasks are all lent is shown
// as running, and is not counted among the pending jobs.
func TestLentJobCountsAsStarted(t *testing.T) {
	withShards(t, []int{0, 2}, func(net *shardNet) {
		a := net.shards["a"]
		spec := spreadJob(2)
		if err := a.shard().Accept(a.ctx, workload.Accepted{Spec: spec, Moved: true}); err != nil {
			t.Fatal(err)
		}
		a.awaitRuns(spec.ID, 2, lostAfter)
		time.Sleep(100 * time.Millisecond)
		if got := a.state(spec.ID); got != workload.Running {
			t.Errorf("state %s, want %s", got, workload.Running)
		}
		if pending, loaded := a.shard().Pending(); !loaded || pending["short"] != 0 {
			t.Errorf("pending %v, loaded %v", pending, loaded)
		}
	})
}

// TestLoanIsReturned: a borrower that has no worker for the task returns it, and the lender
// lends it to a third shard.
func TestLoanIsReturned(t *testing.T) {
	withShards(t, []int{1, 1, 1}, func(net *shardNet) {
		a, b := net.shards["a"], net.shards["b"]
		full := jobWithSteps("00000000000000bb", "short", 1)
		full.Steps[0].LongRunning = true
		full.Steps[0].Needs.MilliCPU = 8000
		b.submit(full)
		b.awaitRuns(full.ID, 1, time.Second)
		spec := spreadJob(2)
		a.submit(spec)
		a.awaitRuns(spec.ID, 2, lostAfter)
		if n := a.workers.RunningOn("c00"); n != 1 {
			t.Errorf("%d runs in the third shard, want 1", n)
		}
	})
}

// TestFormerLenderCannotTakeBack: an owner that has been replaced does not know the loans of
// its successor, and must not confirm their return.
func TestFormerLenderCannotTakeBack(t *testing.T) {
	withShards(t, []int{1, 1}, func(net *shardNet) {
		a := net.shards["a"]
		spec := spreadJob(2)
		a.submit(spec)
		former := a.shard()
		a.takeOver()
		r := workload.ReturnedLoan{Loan: workload.Loan{Task: spec.ID + ".0.0.1", Lender: "a", Run: 1}}
		ctx, cancel := context.WithTimeout(a.ctx, time.Second)
		defer cancel()
		if err := former.TakeBack(ctx, r); err == nil {
			t.Error("the former owner confirmed the return")
		}
	})
}

// loseCommits makes the store lose all commits of a shard.
func (tc *testCluster) loseCommits() {
	tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
		if tx != nil && tx.Part == tc.name {
			return fleetfake.RequestLost
		}
		return fleetfake.NoFault
	})
}

// TestRightToRunFollowsTheCommit: an owner that lends a task, or returns a loan, gives the
// right to run it away only with a durable commit. Otherwise its successor, which does not
// know of that, and gets a free worker, would run the task as well.
func TestRightToRunFollowsTheCommit(t *testing.T) {
	for _, c := range []struct {
		name  string
		shard string        // whose commits are lost
		after time.Duration // after the submission
	}{
		{"loan", "a", lendAfter - 300*time.Millisecond},
		{"return", "b", lendAfter + 500*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withShards(t, []int{1, 1, 1}, func(net *shardNet) {
				a, b, failing := net.shards["a"], net.shards["b"], net.shards[c.shard]
				if c.shard == "b" {
					full := jobWithSteps("00000000000000bb", "short", 1)
					full.Steps[0].LongRunning = true
					full.Steps[0].Needs.MilliCPU = 8000
					b.submit(full)
				}
				spec := spreadJob(2)
				a.submit(spec)
				time.Sleep(c.after)
				failing.loseCommits()
				time.Sleep(3 * time.Second)
				failing.addWorkers("new", 1)
				failing.stopOwner()
				clearStoreFault(failing)
				failing.takeOver()
				a.awaitRuns(spec.ID, 2, lostAfter)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestBadLoanIsRefused: a loan that is not valid is refused with its code, nothing of it is
// stored, and the task stays with the lender.
func TestBadLoanIsRefused(t *testing.T) {
	good := func() workload.Accepted {
		spec := spreadJob(1)
		spec.ID = "00000000000000aa.0.0.1.3"
		return workload.Accepted{Spec: spec, AtMillis: 1, Loan: &workload.Loan{Task: "00000000000000aa.0.0.1", Lender: "a", Run: 3}}
	}
	for name, change := range map[string]func(*workload.Accepted){
		"task name":    func(a *workload.Accepted) { a.Loan.Task = "x" },
		"lender":       func(a *workload.Accepted) { a.Loan.Lender = "" },
		"number":       func(a *workload.Accepted) { a.Loan.Run = 0 },
		"id":           func(a *workload.Accepted) { a.Spec.ID = "other" },
		"steps":        func(a *workload.Accepted) { a.Spec.Steps = nil },
		"several":      func(a *workload.Accepted) { a.Spec.Steps[0].Tasks = 2 },
		"gang":         func(a *workload.Accepted) { a.Spec.Steps[0].Gang = true },
		"finite gang":  func(a *workload.Accepted) { a.Spec.Steps[0].Gang, a.Spec.Steps[0].LongRunning = true, false },
		"scheduled":    func(a *workload.Accepted) { a.Spec.Schedule = workload.Schedule{Times: 1, IntervalMillis: 1} },
		"negative run": func(a *workload.Accepted) { a.Loan.Failures = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			withShards(t, []int{1, 1}, func(net *shardNet) {
				b := net.shards["b"]
				bad := good()
				change(&bad)
				if err := b.shard().Accept(b.ctx, bad); result.Of(err) != result.LoanBad {
					t.Errorf("error %v, want %s", err, result.LoanBad)
				}
				if n := b.acceptedRows(); n != 0 {
					t.Errorf("%d rows stored", n)
				}
			})
		})
	}
	withShards(t, []int{1, 1}, func(net *shardNet) {
		b := net.shards["b"]
		if err := b.shard().Accept(b.ctx, good()); err != nil {
			t.Error(err)
		}
	})
}

// TestBadStoredLoanIsSkipped: a stored loan that is not valid, and one in the inbox, start
// nothing and stop neither the shard nor its other jobs.
func TestBadStoredLoanIsSkipped(t *testing.T) {
	withShards(t, []int{1, 1}, func(net *shardNet) {
		b := net.shards["b"]
		spec := spreadJob(1)
		spec.ID = "00000000000000aa.0.0.1.3"
		loan := workload.Accepted{Spec: spec, AtMillis: 1, Loan: &workload.Loan{Task: "x", Lender: "a", Run: 3}}
		_, err := b.store.Commit(b.ctx, fleet.Tx{Part: "b", Put: []fleet.Row{
			{Table: TableAccepted, Key: spec.ID, Value: workload.Encode(loan)},
			{Table: TableInbox, Key: InboxSubmit + spec.ID, Value: workload.Encode(loan)},
		}})
		if err != nil {
			t.Fatal(err)
		}
		b.stopOwner()
		b.takeOver()
		good := spreadJob(1)
		b.submit(good)
		b.awaitRuns(good.ID, 1, 4*time.Second)
		if n := b.workers.Starts(); n != 1 {
			t.Errorf("%d starts, want 1", n)
		}
	})
}
