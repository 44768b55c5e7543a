package standin

import (
	"testing"
	"testing/synctest"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// TestDeathDuringExchange checks that a message starts no run if the worker dies after the
// message was admitted and before it takes effect.
func TestDeathDuringExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, testSettings())
		w := o.sys.workers[0]
		run := job.RunID{Task: job.TaskID{Job: "renewal"}, Attempt: 1}
		req := o.withGrant(contract.ExchangeRequest{Start: []contract.StartCommand{{Run: run, Kind: job.Watch}}})
		w.kill()
		_, err := w.exchange(req)
		wantError(t, err, result.WorkerUnavailable, contract.Refused)
		if n := o.sys.History().Totals.RunsStarted; n != 0 {
			t.Errorf("%d runs started on a dead worker", n)
		}
	})
}
