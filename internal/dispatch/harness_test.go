package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// testCluster is a store, workers and the successive owners of one shard, in virtual time.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	cancel      context.CancelFunc
	began       time.Time
	store       *fleetfake.Store
	workers     *fleetfake.Workers
	config      *fleet.Config
	owner       atomic.Pointer[Shard]
	mu          sync.Mutex // guards the following: faults replace owners
	epoch       int64
	cancelOwner context.CancelFunc
	ended       chan error
	adviser     fleet.Adviser
	others      OtherShards
}

// withCluster runs f with n workers of 8 cores, two to a rack.
func withCluster(t *testing.T, n int, f func(w *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testCluster{t: t, began: time.Now(), store: fleetfake.NewStore()}
		w.ctx, w.cancel = context.WithCancel(context.Background())
		w.workers = fleetfake.NewWorkers(w.store)
		w.config = &fleet.Config{Version: 1, Queues: []fleet.Queue{
			{Name: "short", Service: "svc", Priority: 0, Attempts: 3, Slack: 1.5, Target: 250 * time.Millisecond},
			{Name: "batch", Service: "svc", Priority: 2, Attempts: 3, Slack: 2, Target: time.Second},
		}}
		for i := range n {
			w.workers.Add(w.ctx, fmt.Sprintf("w%02d", i), "z1", fmt.Sprintf("r%d", i/2), resource.Vector{MilliCPU: 8000, MemoryMB: 32000})
		}
		defer func() {
			for _, v := range w.workers.Violations() {
				t.Error(v)
			}
			w.cancel()
			w.stopOwner()
			time.Sleep(20 * time.Second) // delayed calls and timers end within the test
		}()
		w.takeOver()
		f(w)
	})
}

// shard returns the shard of the present owner.
func (w *testCluster) shard() *Shard { return w.owner.Load() }

// stopOwner stops the owner and waits for it.
func (w *testCluster) stopOwner() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelOwner != nil {
		w.cancelOwner()
		<-w.ended
		w.cancelOwner = nil
	}
}

// writeOwnerRow writes the present epoch to the owner row, on condition that the row is
// unchanged since it was read.
func (w *testCluster) writeOwnerRow() (fleet.TxResult, error) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	page, err := w.store.Range(ctx, TableOwner, "s", "", "")
	if err != nil {
		return fleet.TxResult{}, err
	}
	row := fleet.Row{Table: TableOwner, Key: KeyOwner}
	if len(page.Rows) > 0 {
		row.Version = page.Rows[0].Version
	}
	return w.store.Commit(ctx, fleet.Tx{
		Part: "s", Expect: []fleet.Row{row},
		Put: []fleet.Row{{Table: TableOwner, Key: KeyOwner, Value: []byte(fmt.Sprint(w.epoch))}},
	})
}

// takeOver starts a new owner without stopping an old one.
func (w *testCluster) takeOver() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var res fleet.TxResult
	for {
		w.epoch++
		var err error
		if res, err = w.writeOwnerRow(); err == nil && res.Applied {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	ended := make(chan error, 1)
	s := New(Settings{
		Name: "s", Epoch: w.epoch, OwnerRow: res.Version,
		Bounds: Bounds{LeaseMax: fleetfake.LeaseMax, GangWait: 3 * time.Second, EndedRetention: 2 * time.Minute, MaxOverTarget: 4 * time.Second},
		Store:  w.store, Workers: w.workers, Registry: w.workers, Adviser: w.adviser,
		Config:         func() *fleet.Config { return w.config },
		BelongsToShard: func(fleet.Worker) bool { return true },
		SteadyClock:    func() time.Duration { return time.Since(w.began) + time.Hour },
		WallClock:      func(c fleet.Clock) time.Time { return time.UnixMilli(int64(c)) },
		Metrics:        NewMetrics(tally.NoopScope),
		OtherShards:    w.others,
	})
	go func() { ended <- s.Run(ctx) }()
	w.owner.Store(s)
	w.cancelOwner, w.ended = cancel, ended
}

// jobWithSteps returns a job whose steps depend on each other in order. tasks holds the
// number of tasks of each step; each task needs one core.
func jobWithSteps(id, queue string, tasks ...int) workload.Spec {
	s := workload.Spec{ID: id, Queue: queue, Payload: "p"}
	for i, n := range tasks {
		st := workload.Step{Tasks: n, Needs: resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, EstimateMillis: 300}
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// submit retries a submission until the job is accepted, as a caller does.
func (w *testCluster) submit(spec workload.Spec) {
	w.t.Helper()
	var err error
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		err = w.shard().Submit(ctx, spec)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("job %s was not accepted: %v", spec.ID, err)
}

// state returns the job's state as reported by the present owner.
func (w *testCluster) state(id string) workload.State {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	s, _, err := w.shard().State(ctx, id)
	if err != nil {
		return workload.State(err.Error())
	}
	return s
}

// await waits up to d until a job has the given state.
func (w *testCluster) await(id string, want workload.State, d time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(d)
	for w.state(id) != want {
		if time.Now().After(deadline) {
			w.t.Fatalf("job %s is %s after %s, want %s", id, w.state(id), d, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitForWorkers sleeps for long enough that the shard has found the workers.
func (w *testCluster) waitForWorkers() { time.Sleep(1500 * time.Millisecond) }

func noMetrics() *Metrics { return NewMetrics(tally.NoopScope) }
