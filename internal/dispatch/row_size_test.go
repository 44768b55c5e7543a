package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// wallMillis returns the time of day on which the instances of tc agree, in Unix milliseconds.
func (tc *testCluster) wallMillis() int64 {
	return tc.settings().WallClock(tc.store.Clock()).UnixMilli()
}

// timedJob returns a job of one step that is due at times from a second from now on.
func (tc *testCluster) timedJob(id string, times int, interval time.Duration, tasks int) workload.Spec {
	spec := jobWithSteps(id, "batch", tasks)
	spec.Schedule = workload.Schedule{Times: times, StartMillis: tc.wallMillis() + 1000, IntervalMillis: interval.Milliseconds()}
	return spec
}

// countMalformed counts the commits that the store rejects for what they contain.
func (tc *testCluster) countMalformed() *atomic.Int64 {
	store := &malformedCounter{Store: tc.store}
	tc.rows = store
	return &store.count
}

type malformedCounter struct {
	*fleetfake.Store
	count atomic.Int64
}

func (s *malformedCounter) Commit(ctx context.Context, tx fleet.Tx) (fleet.TxResult, error) {
	res, err := s.Store.Commit(ctx, tx)
	if result.Of(err) == result.PlatformBadCall {
		s.count.Add(1)
	}
	return res, err
}

// Guards against a timed job that nobody can run stopping its shard: all its occurrences were kept in one
// row, which outgrew the store's limit, and the commit was repeated without end by each owner.
func TestTimedJobThatNoWorkerCanRunStopsNothing(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		malformed := tc.countMalformed()
		killOwner(tc)
		tc.waitForWorkers()
		spec := tc.timedJob("t", 200, 300*time.Millisecond, 300)
		spec.Steps[0].Label = "b"
		tc.submit(spec)
		for i := range 40 {
			time.Sleep(time.Second)
			tc.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2, 1))
			if i%10 == 9 {
				killOwner(tc)
			}
		}
		for i := range 40 {
			tc.await(fmt.Sprint("a", i), workload.Completed, 20*time.Second)
		}
		if n := malformed.Load(); n > 0 {
			t.Errorf("the store rejected %d commits as malformed", n)
		}
	})
}

// Guards against an ordinary schedule stopping its shard after some thousand ended occurrences, which
// took space in the row for ever.
func TestEndedOccurrencesTakeNoSpace(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return 20 * time.Millisecond })
		malformed := tc.countMalformed()
		killOwner(tc)
		tc.waitForWorkers()
		spec := tc.timedJob("t", 8000, 8*time.Millisecond, 1)
		spec.Steps[0].Needs = resource.Vector{MilliCPU: 100, MemoryMB: 64}
		tc.submit(spec)
		for range 4 {
			time.Sleep(15 * time.Second)
			killOwner(tc)
		}
		tc.await("t", workload.Completed, 30*time.Second)
		if n := tc.workers.Starts(); n < 8000 {
			t.Errorf("%d starts, want 8000", n)
		}
		if n := malformed.Load(); n > 0 {
			t.Errorf("the store rejected %d commits as malformed", n)
		}
	})
}

// Guards against a schedule in the past, or one that was due while all instances were down, creating all
// missed occurrences at once, in memory and in one row.
func TestMissedOccurrencesBeginInTurn(t *testing.T) {
	withCluster(t, 4, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return 100 * time.Millisecond })
		malformed := tc.countMalformed()
		killOwner(tc)
		tc.waitForWorkers()
		spec := jobWithSteps("t", "batch", 4)
		spec.Schedule = workload.Schedule{Times: 1 << 40, StartMillis: 0, IntervalMillis: 1}
		tc.submit(spec)
		time.Sleep(10 * time.Second)
		s := tc.shard()
		s.mu.Lock()
		begun, open := s.jobs["t"].record.Begun, len(s.jobs["t"].tasks)
		s.mu.Unlock()
		if open > workload.MaxOpenTasks/4 {
			t.Errorf("%d occurrences are open", open)
		}
		if begun < open+200 || tc.workers.Starts() < 800 {
			t.Errorf("%d occurrences have begun and %d are open after ten seconds, %d starts", begun, open, tc.workers.Starts())
		}
		tc.submit(jobWithSteps("a", "short", 2))
		tc.await("a", workload.Completed, 5*time.Second)
		if n := malformed.Load(); n > 0 {
			t.Errorf("the store rejected %d commits as malformed", n)
		}
	})
}

// Guards against the names of workers and checkpoints making the row of a job of many tasks too large.
func TestRowsOfManyRunsStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct {
		name       string
		id         string // prefix of the workers' names
		checkpoint string
	}{
		{"long names", strings.Repeat("w", 190), ""},
		{"long checkpoints", "w", strings.Repeat("c", 400)},
		{"both", strings.Repeat("w", 190), strings.Repeat("c", 400)},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 0, func(tc *testCluster) {
				for i := range 10 {
					tc.workers.Add(tc.ctx, fmt.Sprint(c.id, i), tc.name, "r0", resource.Vector{MilliCPU: 100_000, MemoryMB: 1 << 20})
				}
				tc.workers.SetCheckpoint(c.checkpoint)
				malformed := tc.countMalformed()
				killOwner(tc)
				tc.waitForWorkers()
				tc.submit(jobWithSteps("t", "batch", 500, 80))
				tc.submit(jobWithSteps("a", "short", 2))
				time.Sleep(200 * time.Millisecond)
				killOwner(tc)
				tc.await("t", workload.Completed, 40*time.Second)
				tc.await("a", workload.Completed, time.Second)
				if n := malformed.Load(); n > 0 {
					t.Errorf("the store rejected %d commits as malformed", n)
				}
			})
		})
	}
}

// Guards against a job whose description is too large for a row: it was refused together with all jobs of
// its commit, as often as its caller came back.
func TestJobTooLargeForARowIsRefusedAlone(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		malformed := tc.countMalformed()
		killOwner(tc)
		tc.waitForWorkers()
		large := jobWithSteps("large", "batch", 1)
		large.Steps[0].Image = strings.Repeat("i", 70<<10)
		if err := tc.shard().Submit(tc.ctx, large); result.Of(err) != result.JobTooLarge {
			t.Errorf("a job of 70 KB is answered %v", err)
		}
		tc.submit(jobWithSteps("a", "short", 2))
		tc.await("a", workload.Completed, 5*time.Second)
		if n := malformed.Load(); n > 0 {
			t.Errorf("the store rejected %d commits as malformed", n)
		}
	})
}

// Guards against a row that the store rejects for any other reason stopping the shard: the job alone is
// held back, and its ended runs are neither forgotten nor repeated.
func TestRejectedRowHoldsBackItsJobAlone(t *testing.T) {
	for _, phase := range []struct {
		name  string
		after time.Duration // from the submission to the first rejection
	}{{"before the starts", 0}, {"while it runs", 200 * time.Millisecond}, {"between the steps", 340 * time.Millisecond}} {
		t.Run(phase.name, func(t *testing.T) {
			withCluster(t, 3, func(tc *testCluster) {
				tc.waitForWorkers()
				tc.submit(jobWithSteps("bad", "batch", 4, 4))
				time.Sleep(phase.after)
				rejectProgressOf(tc, "bad")
				for i := range 60 {
					tc.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2, 1))
				}
				for i := range 60 {
					tc.await(fmt.Sprint("a", i), workload.Completed, 20*time.Second)
				}
				killOwner(tc)
				tc.submit(jobWithSteps("b", "short", 2, 1))
				tc.await("b", workload.Completed, 20*time.Second)
				clearStoreFault(tc)
				tc.await("bad", workload.Completed, time.Minute)
				if n := tc.workers.Starts(); n != 60*3+3+8 {
					t.Errorf("%d starts, want %d", n, 60*3+3+8)
				}
			})
		})
	}
}

// Guards against members of a gang running again after their success was acknowledged: while the end of the gang
// was not stored, the ends of those that were done after the first were acknowledged, and the first one was
// lost with its worker.
func TestRejectedRowOfAGangKeepsItsEnds(t *testing.T) {
	withCluster(t, 3, func(tc *testCluster) {
		tc.workers.SetGang(gangOf)
		tc.workers.SetDuration(func(task string) time.Duration {
			return time.Duration(300+100*int(task[len(task)-1]-'0')) * time.Millisecond
		})
		tc.waitForWorkers()
		tc.submit(gangJob("g", 6))
		time.Sleep(200 * time.Millisecond)
		rejectProgressOf(tc, "g")
		first := tc.workers.WorkerOf("g.0.0.0")
		for i := range 10 {
			tc.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2))
			time.Sleep(200 * time.Millisecond)
		}
		tc.workers.Restart(first)
		killOwner(tc)
		time.Sleep(3 * time.Second)
		clearStoreFault(tc)
		tc.await("g", workload.Completed, time.Minute)
	})
}

// rejectProgressOf makes the store reject the progress row of a job as malformed.
func rejectProgressOf(tc *testCluster, id string) {
	tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
		if tx != nil && slices.ContainsFunc(tx.Put, func(r fleet.Row) bool { return r.Table == TableProgress && r.Key == id }) {
			return fleetfake.Malformed
		}
		return fleetfake.NoFault
	})
}

// Guards against estimates of ever more images outgrowing their row.
func TestEstimatesOfManyImagesFitTheirRow(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		malformed := tc.countMalformed()
		killOwner(tc)
		tc.waitForWorkers()
		s := tc.shard()
		s.mu.Lock()
		for i := range 300 {
			observePair(s, fmt.Sprintf("service-%04d-%s", i, strings.Repeat("s", 40)), fmt.Sprintf("backfill-%04d", i%50))
		}
		s.mu.Unlock()
		for i := range 10 {
			tc.submit(jobWithSteps(fmt.Sprint("a", i), "short", 2))
			tc.await(fmt.Sprint("a", i), workload.Completed, 5*time.Second)
			time.Sleep(time.Second)
		}
		if n := malformed.Load(); n > 0 {
			t.Errorf("the store rejected %d commits as malformed", n)
		}
		page, err := tc.store.Range(tc.ctx, TableInterference, tc.name, "", "", 0)
		if err != nil || len(page.Rows) != 1 || len(page.Rows[0].Value) < 16<<10 {
			t.Errorf("%d rows of estimates are stored (%v)", len(page.Rows), err)
		}
	})
}

// observePair lets s observe a service beside a backfill run.
func observePair(s *Shard, service, backfill string) {
	now := s.now()
	for i := range 4 {
		at := now + time.Duration(i)*time.Second
		s.colocation.Observe(
			colocation.Service{Step: colocation.StepKey{Job: service}, Image: service, Tail: 50 + float64(i), Target: 100},
			[]colocation.Run{{Image: backfill, Share: 0.2, Use: colocation.UseFull, Shown: 1}}, at,
		)
	}
}
