package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

var (
	featureSeeds = flag.Int("feature-seeds", 24, "number of seeds of TestFeatureWalk")
	featureFirst = flag.Uint64("feature-first", 1, "first seed of TestFeatureWalk")
)

// featureFaults are faults that concern timed jobs, gangs, advice and long lists of ends.
var featureFaults = []faultScenario{
	{"worker fails all runs", func(tc *testCluster) { tc.workers.SetFailing("w05", true) }, func(tc *testCluster) { tc.workers.SetFailing("w05", false) }},
	{"adviser silent", func(tc *testCluster) {
		tc.adviser.(*fleetfake.Adviser).SetFault(func() fleetfake.Fault { return fleetfake.RequestLost })
	}, func(tc *testCluster) { tc.adviser.(*fleetfake.Adviser).SetFault(nil) }},
	{"approved worker restarted", func(tc *testCluster) { tc.workers.Restart("w09") }, noEnd},
	{"commits malformed at random", func(tc *testCluster) {
		r := rand.New(rand.NewPCG(7, 7))
		var mu sync.Mutex // two owners may commit at a time
		tc.store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
			mu.Lock()
			defer mu.Unlock()
			if tx != nil && r.IntN(3) == 0 {
				return fleetfake.Malformed
			}
			return fleetfake.NoFault
		})
	}, clearStoreFault},
}

// TestFeatureWalk runs timed jobs, gangs, advised jobs, long-running ones and jobs of hundreds of tasks
// beside each other under random faults, several at a time. All accepted jobs must complete, no task may run
// twice at a time or after its success, and no timed job before its time. The walks of series shards lose zones, labels
// and shards, cancel jobs beside late writes, and cut off workers that have started again under their ids; there,
// no job may start after the answer that there is none. Beside both, jobs are cancelled while answers are lost and owners
// killed, and queues are dropped and restored beside takeovers; see promiseWalk. A longer run:
//
//	go test ./internal/dispatch -run '^TestFeatureWalk$' -feature-first 1000 -feature-seeds 300
func TestFeatureWalk(t *testing.T) {
	for i := range uint64(*featureSeeds) {
		seed := *featureFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, 10, func(tc *testCluster) { walkFeatures(tc, seed) })
		})
		t.Run(fmt.Sprint("shards/", seed), func(t *testing.T) {
			withShards(t, []int{workersPerWalkShard, workersPerWalkShard, workersPerWalkShard}, func(net *shardNet) {
				newShardWalk(net, seed).run()
			})
		})
	}
}

func walkFeatures(tc *testCluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	tc.config.Services = []fleet.Service{{Name: "svc", ChecksCapacity: r.IntN(2) == 0}}
	for i := range tc.config.Queues {
		tc.config.Queues[i].Attempts = 20 // faults of workers use up attempts; none must end a job
	}
	tc.advisedQueue("w02", "w09")
	tc.config.Queues[len(tc.config.Queues)-1].Attempts = 20
	killOwner(tc)
	tc.workers.SetMaxReported(30)
	tc.workers.SetGang(gangOf)
	tc.workers.SetDuration(func(task string) time.Duration {
		if task[0] == 'l' {
			return time.Hour
		}
		return time.Duration(200+100*(len(task)+int(task[len(task)-1]))%1500) * time.Millisecond
	})
	promises := newPromiseWalk(rand.New(rand.NewPCG(seed, 59)), tc)
	tc.waitForWorkers()
	faults := append(append([]faultScenario(nil), faultScenarios...), featureFaults...)
	var ids []string
	for i := range 6 + r.IntN(5) {
		f := faults[r.IntN(len(faults))]
		f.begin(tc)
		time.AfterFunc(time.Duration(r.IntN(6000))*time.Millisecond, func() { f.end(tc) })
		promises.step()
		for k := range r.IntN(4) {
			spec := featureJob(tc, r, fmt.Sprint(i, "-", k))
			spec.Terms = tc.config.QueueByName(spec.Queue).Terms() // by the instance that takes the request
			tc.submit(spec)
			if !spec.LongRunning() {
				ids = append(ids, spec.ID)
			}
			time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	for _, f := range faults {
		f.end(tc)
	}
	promises.end()
	for i := range 10 {
		id := fmt.Sprintf("w%02d", i)
		tc.workers.SetUnreachable(id, false)
		if tc.workers.DrainingOrDead(id) {
			tc.workers.Restart(id)
		}
	}
	for _, id := range ids {
		tc.await(id, workload.Completed, 2*time.Minute)
	}
	promises.check(2 * time.Minute)
}

// featureJob returns a job of a random kind. The first letter of its id tells the fake workers of which.
func featureJob(tc *testCluster, r *rand.Rand, id string) workload.Spec {
	switch r.IntN(6) {
	case 0:
		spec := jobWithSteps("t"+id, "batch", 1+r.IntN(4), 1)
		spec.Schedule = workload.Schedule{
			Times: 1 + r.IntN(60), StartMillis: tc.wallMillis() - 2000 + int64(r.IntN(4000)), IntervalMillis: int64(r.IntN(500)),
		}
		for i := range spec.Steps {
			spec.Steps[i].Needs = resource.Vector{MilliCPU: 100, MemoryMB: 64}
		}
		return spec
	case 1:
		spec := jobWithSteps("g"+id, "batch", 2+r.IntN(12))
		spec.Steps[0].Gang, spec.Steps[0].OneRack = true, r.IntN(2) == 0
		spec.Steps[0].Checkpoints = r.IntN(2) == 0
		return spec
	case 2:
		spec := jobWithSteps("q"+id, "advised", 1+r.IntN(4), 1+r.IntN(2))
		return spec
	case 3:
		return smallTasks("m"+id, 100+r.IntN(200))
	case 4:
		spec := jobWithSteps("l"+id, "short", 1+r.IntN(2))
		spec.Steps[0].LongRunning = true
		return spec
	}
	return jobWithSteps("a"+id, []string{"short", "batch"}[r.IntN(2)], 1+r.IntN(5), 1+r.IntN(3))
}
