package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
)

// capacityFaults are what happens while the capacity of a worker changes.
var capacityFaults = []struct {
	name  string
	begin func(tc *testCluster)
	end   func(tc *testCluster)
}{
	{"no fault", noEnd, noEnd},
	{"store silent", storeFault(fleetfake.RequestLost), clearStoreFault},
	{"commits lost", everyCommitFault(fleetfake.RequestLost), clearStoreFault},
	{"commit responses lost", everyCommitFault(fleetfake.ResponseLost), clearStoreFault},
	{"registry unreadable", func(tc *testCluster) {
		tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
			if tx == nil {
				return fleetfake.RequestLost
			}
			return fleetfake.NoFault
		})
	}, clearStoreFault},
	{"starts late", commandFault("start", fleetfake.Late), clearCommandFault},
	{"stops lost", commandFault("stop", fleetfake.RequestLost), clearCommandFault},
	{"owner killed", killOwner, noEnd},
	{"owner replaced", replaceOwner, noEnd},
}

// everyCommitFault applies a fault to every commit and to no read.
func everyCommitFault(f fleetfake.Fault) func(tc *testCluster) {
	return func(tc *testCluster) {
		tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
			if tx == nil {
				return fleetfake.NoFault
			}
			return f
		})
	}
}

func TestStartsKeepToTheCapacityOfAWorkerThatShrinksAndGrows(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, fault := range capacityFaults {
			t.Run(fmt.Sprintf("checks %v, %s", checks, fault.name), func(t *testing.T) {
				t.Parallel()
				withCluster(t, 3, func(tc *testCluster) {
					tc.config.Services = []fleet.Service{{Name: "svc", ChecksCapacity: checks}}
					tc.workers.SetNeeds(checks, func(string) resource.Vector { return resource.Vector{MilliCPU: 1000, MemoryMB: 1000} })
					tc.setDurations("aa", 700*time.Millisecond)
					tc.waitForWorkers()
					tc.submit(longRunningJob("aa", 3, 1000))
					stop := tc.fill(40)
					full := resource.Vector{MilliCPU: 8000, MemoryMB: 32000}
					for round := range 3 {
						time.Sleep(time.Duration(300+110*round) * time.Millisecond)
						fault.begin(tc)
						time.Sleep(50 * time.Millisecond)
						tc.workers.SetCapacity("w00", resource.Vector{MilliCPU: 2000, MemoryMB: 32000})
						time.Sleep(6 * time.Second)
						fault.end(tc)
						time.Sleep(6 * time.Second)
						tc.workers.SetCapacity("w00", full)
						tc.awaitRunningOn("w00", 8, 10*time.Second)
					}
					stop()
				})
			})
		}
	}
}

// fill keeps the shard full of short tasks, up to n at a time beyond those that run, until the
// returned function is called.
func (tc *testCluster) fill(n int) (stop func()) {
	done := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			go submitUntilAccepted(tc, jobWithSteps(fmt.Sprintf("fill%03d", i), "short", n))
		}
	}()
	return func() { close(done) }
}

// awaitRunningOn waits up to d until n tasks run on a worker.
func (tc *testCluster) awaitRunningOn(id string, n int, d time.Duration) {
	tc.t.Helper()
	for deadline := time.Now().Add(d); tc.workers.RunningOn(id) < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			tc.t.Fatalf("%d runs on %s after %s, want %d", tc.workers.RunningOn(id), id, d, n)
		}
	}
}

// A gang of which one member no longer fits is not started at all.
func TestGangIsNotStartedInPartOnAWorkerThatShrank(t *testing.T) {
	withCluster(t, 2, func(tc *testCluster) {
		tc.workers.SetDuration(func(string) time.Duration { return time.Hour })
		tc.waitForWorkers()
		everyCommitFault(fleetfake.RequestLost)(tc)
		gang := jobWithSteps("aa", "short", 4)
		gang.Steps[0].Gang, gang.Steps[0].Needs.MilliCPU = true, 4000
		go submitUntilAccepted(tc, gang)
		time.Sleep(time.Second)
		tc.workers.SetCapacity("w00", resource.Vector{MilliCPU: 4000, MemoryMB: 32000})
		time.Sleep(time.Second)
		clearStoreFault(tc)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if n := tc.workers.Running("aa"); n != 0 {
				t.Fatalf("%d of 4 members run, want none", n)
			}
		}
		tc.workers.SetCapacity("w00", resource.Vector{MilliCPU: 8000, MemoryMB: 32000})
		tc.awaitRuns("aa", 4, 3*time.Second)
	})
}
