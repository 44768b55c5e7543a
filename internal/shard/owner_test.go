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
		env := newTestEnv(t, 4, settings.Standin{})
		a := env.mustOpen("a")
		env.submitWithRetry(service("confirm", 2))
		env.submitWithRetry(batch("renewal", 10, 20*time.Second))
		time.Sleep(5 * time.Second)
		if got := env.states(a.o, "confirm"); got != "running=2" {
			t.Errorf("service: %s", got)
		}
		time.Sleep(2 * time.Minute)
		if got := env.states(a.o, "renewal"); got != "finished=10" {
			t.Errorf("batch: %s", got)
		}
		env.cancel("confirm")
		time.Sleep(10 * time.Second)
		if got := env.states(a.o, "confirm"); got != "cancelled=2" {
			t.Errorf("cancelled service: %s", got)
		}
		env.close()
		env.mustAudit(history.Expectation{Job: "renewal", Finished: 10})
	})
}
