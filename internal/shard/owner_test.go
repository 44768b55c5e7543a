package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/history"
	"skylarkport/internal/settings"
)

func TestOwnerRunsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestEnv(t, 4, settings.Standin{})
		a := w.mustOpen("a")
		w.submit(service("confirm", 2))
		w.submit(batch("renewal", 10, 20*time.Second))
		time.Sleep(5 * time.Second)
		if got := w.states(a.o, "confirm"); got != "running=2" {
			t.Errorf("service: %s", got)
		}
		time.Sleep(2 * time.Minute)
		if got := w.states(a.o, "renewal"); got != "finished=10" {
			t.Errorf("batch: %s", got)
		}
		w.cancel("confirm")
		time.Sleep(10 * time.Second)
		if got := w.states(a.o, "confirm"); got != "cancelled=2" {
			t.Errorf("cancelled service: %s", got)
		}
		w.close()
		w.mustAudit(history.Expectation{Job: "renewal", Finished: 10})
	})
}
