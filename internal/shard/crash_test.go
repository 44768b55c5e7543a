package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// allowedCrashes is how many workers one task may crash.
const allowedCrashes = 5

func TestTaskThatCrashesItsWorkersIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 8, settings.Standin{})
		a := env.mustOpen("a")
		env.submitWithRetry(batch("deadly", 1, time.Minute))
		env.submitWithRetry(batch("beside", 40, 20*time.Second))
		crashes, last := 0, uint32(0)
		for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, task := range a.o.Tasks("deadly") {
				if task.Worker == "" || task.Attempt == last {
					continue
				}
				last = task.Attempt
				time.Sleep(2 * time.Second) // the start has reached the worker
				if err := env.sys.Inject(standin.Fault{Kind: standin.Restart, Target: task.Worker, Delay: job.Duration(time.Second)}); err != nil {
					t.Fatal(err)
				}
				crashes++
			}
		}
		if crashes == 0 || crashes > allowedCrashes {
			t.Errorf("the task crashed %d workers in 10 minutes, want 1 to %d", crashes, allowedCrashes)
		}
		if got := env.states(a.o, "beside"); got != "finished=40" {
			t.Errorf("tasks beside it: %s", got)
		}
		if task := a.o.Tasks("deadly")[0]; task.State != api.TaskSetAside {
			t.Errorf("the task is %s: %s", task.State, task.Reason)
		}
		env.close()
	})
}
