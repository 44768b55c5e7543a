package dispatch

import (
	"testing"
	"time"

	"skylarkport/internal/workload"
)

// The rows of a job that has ended become short, are read by an earlier version, and show its state to
// the next owner, which does not run it again when its submission is repeated.
func TestEndedJobsHaveShortRows(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.waitForWorkers()
		done, cancelled := jobWithSteps("done", "short", 2, 3), jobWithSteps("cancelled", "short", 4)
		tc.submit(done)
		tc.submit(cancelled)
		if _, err := tc.shard().Cancel(tc.ctx, "cancelled"); err != nil {
			t.Fatal(err)
		}
		tc.await("done", workload.Completed, 10*time.Second)
		time.Sleep(5 * time.Second)
		for _, id := range []string{"done", "cancelled"} {
			accepted, err := tc.store.Range(tc.ctx, TableAccepted, "s", id, id+"\x00", 0)
			if err != nil || len(accepted.Rows) != 1 {
				t.Fatal(accepted, err)
			}
			a, err := decodeAccepted(accepted.Rows[0], id)
			if err != nil || a.Spec.Payload != "" || len(a.Spec.Steps) != 1 {
				t.Errorf("accepted row %s, %v", accepted.Rows[0].Value, err)
			}
			progress, err := tc.store.Range(tc.ctx, TableProgress, "s", id, id+"\x00", 0)
			if err != nil || len(progress.Rows) != 1 {
				t.Fatal(progress, err)
			}
			if r, err := workload.DecodeRecord(progress.Rows[0].Value); err != nil || r.Validate(&a.Spec) != nil {
				t.Errorf("progress row %s, %v", progress.Rows[0].Value, err)
			}
		}
		tc.stopOwner()
		tc.takeOver()
		tc.submit(done)
		tc.submit(cancelled)
		time.Sleep(2 * time.Second)
		if a, b := tc.state("done"), tc.state("cancelled"); a != workload.Completed || b != workload.Cancelled {
			t.Errorf("states %s and %s", a, b)
		}
	})
}
