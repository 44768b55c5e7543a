package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// otherShard accepts every waiting job and records the calls.
type otherShard struct {
	mu        sync.Mutex
	jobs      []string
	cancelled []string
	failures  int  // number of further calls of Cancel that fail
	forgotten bool // it no longer has any job
	takesNew  bool // it accepts new jobs, too
}

func (o *otherShard) ShardWithRoom(*workload.Spec, func(time.Duration) bool) (string, bool) {
	return "", false
}

func (o *otherShard) FasterShard(_ *workload.Spec, isNew bool) (string, bool) {
	return "other", !isNew || o.takesNew
}

func (o *otherShard) InUse() bool { return true }

func (o *otherShard) Deliver(_ context.Context, _ string, a workload.Accepted) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs = append(o.jobs, a.Spec.ID)
	return nil
}

func (o *otherShard) Cancel(_ context.Context, _, id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Contains(o.jobs, id) {
		return errors.New("unknown job")
	}
	if o.failures > 0 {
		o.failures--
		return errors.New("no owner")
	}
	o.cancelled = append(o.cancelled, id)
	return nil
}

func (o *otherShard) HasJob(context.Context, string, string) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.forgotten, nil
}

func (o *otherShard) InterferenceEstimates(context.Context) (colocation.Estimates, error) {
	return colocation.Estimates{}, errors.New("no estimates")
}

func (o *otherShard) Borrower(*LoanRequest) (string, string) { return "", "no loans" }

func (o *otherShard) Lend(context.Context, string, workload.Accepted) error {
	return errors.New("no loans")
}

func (o *otherShard) Return(context.Context, workload.ReturnedLoan) error {
	return errors.New("no loans")
}

// wasDelivered reports whether the job was delivered.
func (o *otherShard) wasDelivered(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.jobs, id)
}

// wasCancelled reports whether the cancellation of the job was delivered.
func (o *otherShard) wasCancelled(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.cancelled, id)
}

// inboxRows counts the rows of the shard's inbox.
func (tc *testCluster) inboxRows() int {
	tc.t.Helper()
	p, err := tc.store.Range(tc.ctx, TableInbox, "s", "", "", 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	return len(p.Rows)
}

// withMovedJob runs f once the only job, for which no worker is large enough, has moved to
// other.
func withMovedJob(t *testing.T, other *otherShard, f func(tc *testCluster)) {
	withCluster(t, 1, func(tc *testCluster) {
		tc.others = other
		tc.stopOwner()
		tc.takeOver()
		tc.waitForWorkers()
		spec := jobWithSteps("a", "batch", 1)
		spec.Steps[0].Needs.MilliCPU = 9000 // more than any worker has
		tc.submit(spec)
		time.Sleep(time.Second)
		if !other.wasDelivered("a") {
			t.Fatal("the job did not move")
		}
		f(tc)
	})
}

// TestNewJobGoesToALessLoadedShard: a submission that succeeds means that the job is stored,
// and no run of it starts on its home shard.
func TestNewJobGoesToALessLoadedShard(t *testing.T) {
	other := &otherShard{takesNew: true}
	withCluster(t, 1, func(tc *testCluster) {
		tc.others = other
		tc.stopOwner()
		tc.takeOver()
		tc.waitForWorkers()
		tc.submit(jobWithSteps("a", "batch", 1))
		if p, err := tc.store.Range(tc.ctx, TableAccepted, "s", "", "", 0); err != nil || len(p.Rows) != 1 {
			t.Fatalf("%d accepted rows, %v", len(p.Rows), err)
		}
		time.Sleep(500 * time.Millisecond)
		tc.submit(jobWithSteps("a", "batch", 1)) // a caller's retry
		time.Sleep(time.Second)
		if n := tc.workers.Starts(); n != 0 {
			t.Errorf("%d starts on the home shard", n)
		}
		other.mu.Lock()
		defer other.mu.Unlock()
		if !slices.Equal(other.jobs, []string{"a"}) {
			t.Errorf("delivered %v", other.jobs)
		}
	})
}

// TestCancellationIsForwarded: a cancellation stored in the inbox of a moved job's home
// shard reaches its new shard, also after a takeover in between.
func TestCancellationIsForwarded(t *testing.T) {
	for name, between := range map[string]func(*testCluster){
		"same owner": func(*testCluster) {},
		"takeover":   func(tc *testCluster) { tc.stopOwner(); tc.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			other := &otherShard{failures: 5}
			withMovedJob(t, other, func(tc *testCluster) {
				_, err := tc.store.Commit(tc.ctx, fleet.Tx{Part: "s", Put: []fleet.Row{{Table: TableInbox, Key: InboxCancel + "a", Value: []byte("{}")}}})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				if tc.inboxRows() != 1 {
					t.Error("the row is gone before the other shard has the cancellation")
				}
				between(tc)
				time.Sleep(4 * time.Second)
				if !other.wasCancelled("a") {
					t.Error("the cancellation was lost")
				}
				if n := tc.inboxRows(); n != 0 {
					t.Errorf("%d rows stay in the inbox", n)
				}
			})
		})
	}
}

// TestMovedJobIsFoundUntilDropped: the home shard redirects callers to the new shard
// of a moved job until that shard no longer has the job.
func TestMovedJobIsFoundUntilDropped(t *testing.T) {
	other := &otherShard{}
	withMovedJob(t, other, func(tc *testCluster) {
		lookUp := func() (*workload.Moved, error) {
			_, moved, err := tc.shard().State(tc.ctx, "a")
			return moved, err
		}
		time.Sleep(5 * time.Minute) // longer than the two minutes that an ended job is kept
		if m, err := lookUp(); err != nil || m == nil || m.Shard != "other" {
			t.Errorf("moved %v, %v", m, err)
		}
		other.mu.Lock()
		other.forgotten = true
		other.mu.Unlock()
		time.Sleep(5 * time.Minute)
		if m, err := lookUp(); err == nil {
			t.Errorf("moved %v after the job was forgotten", m)
		}
	})
}

// TestMoveIsDeliveredAfterItsCommit: a commit that was built before a job was moved does not
// store the move, so the job must not be delivered when that commit becomes durable.
func TestMoveIsDeliveredAfterItsCommit(t *testing.T) {
	f := newFixture(0)
	f.cfg.Metrics, f.cfg.OtherShards = noMetrics(), &otherShard{}
	f.hostCtx = t.Context()
	j := f.add("a", "batch", workload.Step{Tasks: 1})
	earlier := f.buildBatch()
	f.markMoved(j, "other")
	f.applyCommitted(t.Context(), earlier, fleet.TxResult{})
	if j.delivering {
		t.Error("the job is delivered before its move is durable")
	}
	f.applyCommitted(t.Context(), f.buildBatch(), fleet.TxResult{})
	if !j.delivering {
		t.Error("the job is not delivered after its move is durable")
	}
}
