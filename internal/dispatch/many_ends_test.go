package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// smallTasks returns a job of n tasks of which a worker runs many.
func smallTasks(id string, n int) workload.Spec {
	spec := jobWithSteps(id, "batch", n)
	spec.Steps[0].Needs = resource.Vector{MilliCPU: 20, MemoryMB: 64}
	return spec
}

// Guards against runs that have succeeded being repeated because a worker's list of ends is cut off: a
// run that such a list does not name was taken for one that does not exist.
func TestEndsBeyondTheListAreNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration // from the submission
		fault func(tc *testCluster)
	}{
		{"store away while the runs end", time.Second, func(tc *testCluster) {
			storeFault(fleetfake.Refused)(tc)
			time.Sleep(faultDuration + 500*time.Millisecond)
			clearStoreFault(tc)
		}},
		{"owner killed while the store is away", time.Second, func(tc *testCluster) {
			storeFault(fleetfake.Refused)(tc)
			time.Sleep(faultDuration)
			tc.stopOwner()
			clearStoreFault(tc)
			tc.takeOver()
		}},
		{"owner killed as the runs end", 3100 * time.Millisecond, killOwner},
		{"owner replaced as the runs end", 3100 * time.Millisecond, replaceOwner},
		{"workers unreachable while the runs end", 2 * time.Second, func(tc *testCluster) {
			for _, id := range []string{"w00", "w01", "w02"} {
				tc.workers.SetUnreachable(id, true)
			}
			time.Sleep(3 * time.Second)
			for _, id := range []string{"w00", "w01", "w02"} {
				tc.workers.SetUnreachable(id, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 3, func(tc *testCluster) {
				tc.config.Services = []fleet.Service{{Name: "svc", ChecksCapacity: true}} // starts need no recent registry
				tc.workers.SetMaxReported(20)
				tc.workers.SetDuration(func(string) time.Duration { return 3 * time.Second })
				tc.waitForWorkers()
				for i := range 4 {
					tc.submit(smallTasks(fmt.Sprint("a", i), 150))
				}
				time.Sleep(c.after)
				c.fault(tc)
				for i := range 4 {
					tc.await(fmt.Sprint("a", i), workload.Completed, 30*time.Second)
				}
				if n := tc.workers.Starts(); n != 600 {
					t.Errorf("%d starts, want 600", n)
				}
			})
		})
	}
}
