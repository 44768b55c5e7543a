package dispatch

import (
	"context"
	"fmt"
	"slices"
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
	name        string // of the shard
	ctx         context.Context
	cancel      context.CancelFunc
	began       time.Time
	store       *fleetfake.Store
	rows        fleet.Store // the store as owners see it, if not store itself
	workers     *fleetfake.Workers
	config      *fleet.Config
	inForce     *atomic.Pointer[func() *fleet.Config] // replaces config if set
	owner       atomic.Pointer[Shard]
	mu          bubbleMutex // guards the following: faults replace owners
	epoch       int64
	cancelOwner context.CancelFunc
	ended       chan error
	adviser     fleet.Adviser
	others      OtherShards
	leaseMax    time.Duration // longest lease that the platform accepts
	zoneBound   time.Duration // as ZoneSettings.Bound
	prefetch    bool          // a new owner reads the rows up to 3 s before its claim; every other old one hands off
}

// bubbleMutex is a mutex in virtual time, which goes on while callers wait for it.
type bubbleMutex chan struct{}

func (m bubbleMutex) Lock()   { m <- struct{}{} }
func (m bubbleMutex) Unlock() { <-m }

// withCluster runs f with n workers of 8 cores, two to a rack.
func withCluster(t *testing.T, n int, f func(tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, "s")
		tc.addWorkers("w", n)
		defer func() {
			for _, v := range tc.workers.Violations() {
				t.Error(v)
			}
			tc.cancel()
			tc.stopOwner()
			time.Sleep(20 * time.Second) // delayed calls and timers end within the test
		}()
		tc.takeOver()
		f(tc)
	})
}

// newTestCluster returns a cluster without workers and owner.
func newTestCluster(t *testing.T, name string) *testCluster {
	tc := &testCluster{t: t, name: name, mu: make(bubbleMutex, 1), began: time.Now(), store: fleetfake.NewStore(), leaseMax: fleetfake.LeaseMax}
	tc.inForce = &atomic.Pointer[func() *fleet.Config]{}
	tc.ctx, tc.cancel = context.WithCancel(context.Background())
	tc.workers = fleetfake.NewWorkers(tc.store)
	tc.config = &fleet.Config{Version: 1, Queues: []fleet.Queue{
		{Name: "short", Service: "svc", Priority: 0, Attempts: 3, Slack: 1.5, Target: 250 * time.Millisecond},
		{Name: "batch", Service: "svc", Priority: 2, Attempts: 3, Slack: 2, Target: time.Second},
	}}
	return tc
}

// addWorkers adds n workers of 8 cores, two to a rack, to the shard. Their zone is named
// after it.
func (tc *testCluster) addWorkers(prefix string, n int) {
	for i := range n {
		tc.workers.Add(tc.ctx, fmt.Sprintf("%s%02d", prefix, i), tc.name, fmt.Sprintf("r%d", i/2), resource.Vector{MilliCPU: 8000, MemoryMB: 32000})
	}
}

// configInForce returns the configuration that owners see.
func (tc *testCluster) configInForce() *fleet.Config {
	if f := tc.inForce.Load(); f != nil {
		return (*f)()
	}
	return tc.config
}

// setConfig puts a configuration in force, nil for none yet.
func (tc *testCluster) setConfig(c *fleet.Config) {
	f := func() *fleet.Config { return c }
	tc.inForce.Store(&f)
}

// configWithout returns the configuration of the cluster without a queue.
func (tc *testCluster) configWithout(queue string) *fleet.Config {
	c := *tc.config
	c.Version++
	c.Queues = slices.DeleteFunc(slices.Clone(c.Queues), func(q fleet.Queue) bool { return q.Name == queue })
	return &c
}

// shard returns the shard of the present owner.
func (tc *testCluster) shard() *Shard { return tc.owner.Load() }

// stopOwner stops the owner and waits for it.
func (tc *testCluster) stopOwner() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.cancelOwner != nil {
		tc.cancelOwner()
		<-tc.ended
		tc.cancelOwner = nil
	}
}

// writeOwnerRow writes the present epoch to the owner row, on condition that the row is
// unchanged since it was read.
func (tc *testCluster) writeOwnerRow() (fleet.TxResult, error) {
	ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
	defer cancel()
	page, err := tc.store.Range(ctx, TableOwner, tc.name, "", "", 0)
	if err != nil {
		return fleet.TxResult{}, err
	}
	row := fleet.Row{Table: TableOwner, Key: KeyOwner}
	if len(page.Rows) > 0 {
		row.Version = page.Rows[0].Version
	}
	return tc.store.Commit(ctx, fleet.Tx{
		Part: tc.name, Expect: []fleet.Row{row},
		Put: []fleet.Row{{Table: TableOwner, Key: KeyOwner, Value: []byte(fmt.Sprint(tc.epoch))}},
	})
}

// settings returns the settings of an owner but for its epoch.
func (tc *testCluster) settings() Settings {
	rows := tc.rows
	if rows == nil {
		rows = tc.store
	}
	return Settings{
		Name:   tc.name,
		Bounds: Bounds{LeaseMax: tc.leaseMax, GangWait: 3 * time.Second, EndedRetention: 2 * time.Minute, MaxOverTarget: 4 * time.Second},
		Store:  rows, Workers: tc.workers, Registry: tc.workers, Adviser: tc.adviser,
		Zones:          ZoneSettings{Source: tc.workers, Known: []string{"a", "b", "c", "s"}, Bound: tc.zoneBound},
		Config:         tc.configInForce,
		BelongsToShard: func(w fleet.Worker) bool { return w.Zone == tc.name },
		SteadyClock:    func() time.Duration { return time.Since(tc.began) + time.Hour },
		WallClock:      func(c fleet.Clock) time.Time { return time.UnixMilli(int64(c)) },
		Metrics:        NewMetrics(tally.NoopScope),
		OtherShards:    tc.others,
	}
}

// prefetched returns the rows as read some time ago and, of two owners, from one what it says that it
// has stored since. They are nil if the cluster does not prefetch or the store does not answer. The
// present owner commits again once resume is called.
func (tc *testCluster) prefetched() (p *Prefetched, h *Handoff, resume func()) {
	resume = func() {}
	if !tc.prefetch {
		return nil, nil, resume
	}
	ctx, cancel := context.WithTimeout(tc.ctx, 3*time.Second)
	defer cancel()
	p, err := Prefetch(ctx, tc.settings())
	if err != nil {
		return nil, nil, resume
	}
	tc.mu.Lock()
	n := tc.epoch
	tc.mu.Unlock()
	time.Sleep(time.Duration(n%4) * time.Second)
	if old := tc.shard(); old != nil && n%2 == 0 {
		hctx, cancel := context.WithTimeout(tc.ctx, 300*time.Millisecond)
		defer cancel()
		old.Drain(hctx)
		h, resume = old.HandOff(hctx, p.Version()), old.Resume
	}
	return p, h, resume
}

// takeOver starts a new owner without stopping an old one.
func (tc *testCluster) takeOver() {
	tc.t.Helper()
	p, h, resume := tc.prefetched()
	defer resume()
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var res fleet.TxResult
	for {
		tc.epoch++
		var err error
		if res, err = tc.writeOwnerRow(); err == nil && res.Applied {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(tc.ctx)
	ended := make(chan error, 1)
	cfg := tc.settings()
	cfg.Epoch, cfg.OwnerRow, cfg.Prefetched, cfg.Handoff = tc.epoch, res.Version, p, h
	s := New(cfg)
	go func() {
		defer close(ended) // several faults may wait for the end
		ended <- s.Run(ctx)
	}()
	tc.owner.Store(s)
	tc.cancelOwner, tc.ended = cancel, ended
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
func (tc *testCluster) submit(spec workload.Spec) {
	tc.t.Helper()
	var err error
	deadline := time.Now().Add(time.Minute)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
		err = tc.shard().Submit(ctx, spec)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	tc.t.Fatalf("job %s was not accepted: %v", spec.ID, err)
}

// state returns the job's state as reported by the present owner.
func (tc *testCluster) state(id string) workload.State {
	ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
	defer cancel()
	s, _, err := tc.shard().State(ctx, id)
	if err != nil {
		return workload.State(err.Error())
	}
	return s
}

// await waits up to d until a job has the given state.
func (tc *testCluster) await(id string, want workload.State, d time.Duration) {
	tc.t.Helper()
	deadline := time.Now().Add(d)
	for tc.state(id) != want {
		if time.Now().After(deadline) {
			tc.t.Fatalf("job %s is %s after %s, want %s", id, tc.state(id), d, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitForWorkers sleeps for long enough that the shard has found the workers.
func (tc *testCluster) waitForWorkers() { time.Sleep(1500 * time.Millisecond) }

func noMetrics() *Metrics { return NewMetrics(tally.NoopScope) }
