package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// TestConfirms: only what is stored of a caller's own request confirms it.
func TestConfirms(t *testing.T) {
	rows := func(s workload.State, commit int) durable { return durable{rows: true, state: s, commit: commit} }
	for _, c := range []struct {
		name                                  string
		stored                                durable
		submission, cancellation, thirdChange bool
	}{
		{"nothing", durable{state: workload.Queued}, false, false, false},
		{"submission in the inbox", durable{submitInInbox: true, state: workload.Queued}, true, false, false},
		{"cancellation in the inbox", durable{cancelInInbox: true, state: workload.Queued}, false, true, false},
		{"both in the inbox", durable{submitInInbox: true, cancelInInbox: true, state: workload.Queued}, true, true, false},
		{"queued", rows(workload.Queued, 1), true, false, false},
		{"running", rows(workload.Running, 2), true, false, false},
		{"running, third commit", rows(workload.Running, 3), true, false, true},
		{"running, a later commit", rows(workload.Running, 4), true, false, true},
		{"completed", rows(workload.Completed, 2), true, true, false},
		{"failed", rows(workload.Failed, 2), true, true, false},
		{"cancelled", rows(workload.Cancelled, 3), true, true, true},
		{"withdrawn", rows(workload.Withdrawn, 1), false, true, false},
		{"withdrawn, submission in the inbox", durable{submitInInbox: true, rows: true, state: workload.Withdrawn}, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for w, want := range map[waiter]bool{
				{request: submission}:        c.submission,
				{request: cancellation}:      c.cancellation,
				{request: change, commit: 3}: c.thirdChange,
			} {
				if got := c.stored.confirms(w); got != want {
					t.Errorf("request %d: %t, want %t", w.request, got, want)
				}
			}
		})
	}
}

// failCommits applies a fault to the owner's commits of a job, and to no other write.
func (tc *testCluster) failCommits(id string, f fleetfake.Fault) {
	tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
		if tx != nil && slices.ContainsFunc(tx.Put, func(r fleet.Row) bool { return r.Table == TableProgress && r.Key == id }) {
			return f
		}
		return fleetfake.NoFault
	})
}

// call runs f, whose caller waits for up to d, in the background and returns its result.
func (tc *testCluster) call(d time.Duration, f func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(tc.ctx, d)
		defer cancel()
		done <- f(ctx)
	}()
	return done
}

// TestCancellationOutlivesItsOwner: while commits get no answer, a job is submitted to the owner and to the inbox,
// and cancelled at the owner, which is lost once that is answered. It guards against a cancellation that is
// acknowledged by the write of the submission, and a job that runs after it.
func TestCancellationOutlivesItsOwner(t *testing.T) {
	for name, f := range map[string]fleetfake.Fault{
		"late": fleetfake.Late, "responses lost": fleetfake.ResponseLost, "requests lost": fleetfake.RequestLost, "refused": fleetfake.Refused,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 2, func(tc *testCluster) {
				tc.waitForWorkers()
				spec := jobWithSteps("00000000000000aa", "short", 2, 2)
				tc.failCommits(spec.ID, f)
				submitted := tc.call(2*time.Second, func(ctx context.Context) error { return tc.shard().Submit(ctx, spec) })
				time.Sleep(100 * time.Millisecond) // its commit is in flight
				cancelled := tc.call(1500*time.Millisecond, func(ctx context.Context) error {
					_, err := tc.shard().Cancel(ctx, spec.ID)
					return err
				})
				time.Sleep(200 * time.Millisecond)
				if _, err := tc.store.Commit(tc.ctx, tc.lateInboxTx(spec)); err != nil {
					t.Fatal(err)
				}
				err := <-cancelled
				starts := tc.workers.Starts()
				killOwner(tc)
				tc.store.SetFault(nil)
				<-submitted
				time.Sleep(10 * time.Second)
				if n := tc.workers.Starts() - starts; err == nil && n > 0 {
					t.Errorf("%d starts after the cancellation was acknowledged", n)
				}
				if err != nil { // the caller tries again
					if _, err := tc.shard().Cancel(tc.ctx, spec.ID); err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// TestInboxRowConfirmsNoOtherRequest: an inbox row with the submission of a job is read while a cancellation and the
// return of a loan of the job wait for the commit after one that gets no answer. It guards against a lender that
// forgets a returned loan and lends the task again.
func TestInboxRowConfirmsNoOtherRequest(t *testing.T) {
	takeBack := func(s *Shard, ctx context.Context, spec workload.Spec) error {
		return s.TakeBack(ctx, workload.ReturnedLoan{Loan: workload.Loan{Task: spec.ID + ".0.0.0", Lender: s.Name(), Run: 1}})
	}
	for _, c := range []struct {
		name string
		call func(s *Shard, ctx context.Context, spec workload.Spec) error
	}{
		{"cancellation", func(s *Shard, ctx context.Context, spec workload.Spec) error {
			_, err := s.Cancel(ctx, spec.ID)
			return err
		}},
		{"returned loan", takeBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 2, func(tc *testCluster) {
				tc.waitForWorkers()
				spec := jobWithSteps("00000000000000aa", "short", 1)
				tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
				tc.submit(spec)
				time.Sleep(time.Second)
				tc.failCommits(spec.ID, fleetfake.RequestLost)
				tc.call(time.Second, func(ctx context.Context) error { return takeBack(tc.shard(), ctx, spec) })
				time.Sleep(100 * time.Millisecond) // a commit of the job is in flight
				answered := tc.call(900*time.Millisecond, func(ctx context.Context) error { return c.call(tc.shard(), ctx, spec) })
				time.Sleep(200 * time.Millisecond)
				// The row was written before the owner stored the job, and is read only now.
				row := tc.lateInboxTx(spec).Put[0]
				row.Part = tc.name
				tc.shard().applyInbox([]fleet.Row{row})
				if err := <-answered; err == nil {
					t.Error("confirmed, though nothing was committed")
				}
				tc.store.SetFault(nil)
			})
		})
	}
}

// TestSubmissionOfAWithdrawnJob: the inbox holds the cancellation of a job that nobody knew, and the owner cannot commit. It
// guards against a submission that is accepted then, without being stored.
func TestSubmissionOfAWithdrawnJob(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.waitForWorkers()
		spec := jobWithSteps("00000000000000aa", "short", 1)
		tc.failCommits(spec.ID, fleetfake.RequestLost)
		if _, err := tc.store.Commit(tc.ctx, CancelInInbox(tc.name, spec.ID)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		submit := func(ctx context.Context) error { return tc.shard().Submit(ctx, spec) }
		if err := <-tc.call(600*time.Millisecond, submit); result.Of(err) != result.OutcomeUnknown {
			t.Errorf("%v, though nothing of the submission is stored", err)
		}
		tc.store.SetFault(nil)
		tc.submit(spec)
		if s := tc.state(spec.ID); s != workload.Cancelled {
			t.Errorf("state %s, want %s", s, workload.Cancelled)
		}
	})
}

// TestCancellationOfAnUnreadableJob: a cancellation was acknowledged by its inbox row, and the owner cannot read the job. It
// guards against a row that is deleted before a commit stores its effect.
func TestCancellationOfAnUnreadableJob(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.waitForWorkers()
		spec := jobWithSteps("00000000000000aa", "short", 1)
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		tc.submit(spec)
		time.Sleep(time.Second)
		tc.stopOwner()
		rows, err := tc.store.Range(tc.ctx, TableProgress, tc.name, spec.ID, "", 1)
		if err != nil {
			t.Fatal(err)
		}
		tc.write(fleet.Row{Table: TableProgress, Key: spec.ID, Value: []byte("[")})
		if _, err := tc.store.Commit(tc.ctx, CancelInInbox(tc.name, spec.ID)); err != nil {
			t.Fatal(err)
		}
		tc.takeOver()
		time.Sleep(5 * time.Second)
		tc.stopOwner()
		tc.write(fleet.Row{Table: TableProgress, Key: spec.ID, Value: rows.Rows[0].Value})
		tc.takeOver() // this owner can read it
		tc.await(spec.ID, workload.Cancelled, 5*time.Second)
	})
}

// write replaces a row of the shard.
func (tc *testCluster) write(r fleet.Row) {
	tc.t.Helper()
	if _, err := tc.store.Commit(tc.ctx, fleet.Tx{Part: tc.name, Put: []fleet.Row{r}}); err != nil {
		tc.t.Fatal(err)
	}
}
