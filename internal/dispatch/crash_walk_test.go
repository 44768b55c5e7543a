package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/workload"
)

var (
	crashSeeds = flag.Int("crash-seeds", 16, "number of seeds of TestCrashingTasksWalk")
	crashFirst = flag.Uint64("crash-first", 1, "first seed of TestCrashingTasksWalk")
)

// TestCrashingTasksWalk submits jobs of all kinds, some with a task that crashes its workers, beside
// overlapping faults. No task may crash more workers than allowed, and no other job may fail. A longer run:
//
//	go test ./internal/dispatch -run '^TestCrashingTasksWalk$' -crash-first 1000 -crash-seeds 400
func TestCrashingTasksWalk(t *testing.T) {
	for i := range uint64(*crashSeeds) {
		seed := *crashFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			withCluster(t, 8, func(tc *testCluster) { runCrashWalk(tc, seed) })
		})
	}
}

// runCrashWalk runs the walk of a seed, which the ids of its jobs contain.
func runCrashWalk(tc *testCluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 8))
	tc.workers.SetCrashes(isCrashing)
	tc.workers.SetDuration(func(task string) time.Duration {
		if strings.HasPrefix(task, "long") {
			return time.Hour
		}
		return time.Duration(200+150*(int(task[len(task)-1])%8)) * time.Millisecond
	})
	tc.waitForWorkers()
	lasting := longRunningJob("long", 4, 2000)
	tc.submit(lasting)
	var good, bad []string
	for range 8 + r.IntN(8) {
		fault := faultScenarios[r.IntN(len(faultScenarios))]
		fault.begin(tc)
		time.AfterFunc(time.Duration(r.IntN(5000))*time.Millisecond, func() { fault.end(tc) })
		for range 1 + r.IntN(5) {
			spec := jobWithSteps(fmt.Sprintf("good%dx%d", seed, len(good)), []string{"short", "batch"}[r.IntN(2)], 1+r.IntN(6), 1+r.IntN(3))
			ids := &good
			if len(bad) < 4 && r.IntN(8) == 0 {
				spec.ID, ids = fmt.Sprintf("bad%dx%d", seed, len(bad)), &bad
			}
			crashingJobs[[]int{0, 3, 4, 5}[r.IntN(4)]].edit(&spec)
			go submitUntilAccepted(tc, spec)
			*ids = append(*ids, spec.ID)
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		}
	}
	clearStoreFault(tc)
	clearCommandFault(tc)
	time.Sleep(6 * time.Second)
	for _, w := range tc.workers.States() {
		tc.workers.SetUnreachable(w.ID, false)
		if tc.workers.DrainingOrDead(w.ID) {
			tc.workers.Restart(w.ID)
		}
	}
	for _, id := range good {
		tc.await(id, workload.Completed, 2*time.Minute)
	}
	for _, id := range bad {
		tc.await(id, workload.Failed, 2*time.Minute)
		for step := range 2 {
			if n := tc.workers.CrashesBy(fmt.Sprintf("%s.0.%d.0", id, step)); n > allowedCrashes {
				tc.t.Errorf("a task of %s crashed %d workers, at most %d are allowed", id, n, allowedCrashes)
			}
		}
	}
	tc.awaitRuns(lasting.ID, 4, 30*time.Second)
}
