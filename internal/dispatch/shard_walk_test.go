package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// shardWalk is a walk over several shards, whose workers, labels and owners are lost, beside calls, writes and
// commands that are late.
type shardWalk struct {
	net  *shardNet
	any  *testCluster // for what concerns all shards
	rand *rand.Rand
	gone sync.Map         // ids of workers that don't come back; the ends of faults read it
	jobs []*workload.Spec // submitted and not cancelled

	promises *promiseWalk

	mu    sync.Mutex // guards the following, which the fake workers read
	specs map[string]*workload.Spec
}

// workersPerWalkShard is the number of workers of each shard. The first one has the label.
const workersPerWalkShard = 4

// walkLabel is the label that some jobs need.
const walkLabel = "fast"

func newShardWalk(net *shardNet, seed uint64) *shardWalk {
	w := &shardWalk{net: net, any: net.shards["a"], rand: rand.New(rand.NewPCG(seed, 11)), specs: map[string]*workload.Spec{}}
	var shards []*testCluster
	for _, name := range net.names {
		shards = append(shards, net.shards[name])
	}
	w.promises = newPromiseWalk(rand.New(rand.NewPCG(seed, 60)), shards...)
	net.byLoad, net.moves = true, true
	for i := range w.any.config.Queues {
		w.any.config.Queues[i].Attempts = 20 // faults of workers use up attempts; none must end a job
	}
	workers := w.any.workers
	workers.DeliverLateAfterRestart()
	workers.SetGang(func(task string) string {
		if w.step(task).Gang {
			return task[:strings.LastIndexByte(task, '.')]
		}
		return ""
	})
	workers.SetGangSize(func(task string) int { return w.step(task).Tasks })
	workers.SetLabels(func(task string) string { return w.step(task).Label })
	workers.SetDuration(func(task string) time.Duration {
		if w.step(task).LongRunning {
			return time.Hour
		}
		return time.Duration(200+100*(len(task)+int(task[len(task)-1]))%2500) * time.Millisecond
	})
	for _, name := range net.names {
		workers.SetKind(name+"00", walkLabel)
	}
	return w
}

// step returns the step of a task.
func (w *shardWalk) step(task string) *workload.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, err := workload.ParseTaskID(task)
	if spec := w.specs[id.Job]; err == nil && spec != nil {
		return &spec.Steps[id.Step]
	}
	return &workload.Step{}
}

func (w *shardWalk) shard() string { return w.net.names[w.rand.IntN(len(w.net.names))] }

// within returns a random time up to d.
func (w *shardWalk) within(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(d)))
}

// newJob returns a job of a random kind.
func (w *shardWalk) newJob() *workload.Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := jobWithSteps(fmt.Sprintf("%016x", 0xa0+len(w.specs)), []string{"short", "batch"}[w.rand.IntN(2)], 1+w.rand.IntN(4), 1+w.rand.IntN(3))
	strandedJobs[w.rand.IntN(len(strandedJobs))].change(w.any, &spec)
	for i := range spec.Steps {
		if w.rand.IntN(4) == 0 {
			spec.Steps[i].Label = walkLabel
		}
		spec.Steps[i].Needs = resource.Vector{MilliCPU: int64(100 * (1 + w.rand.IntN(8))), MemoryMB: 64}
		if spec.Steps[i].LongRunning {
			spec.Steps[i].Needs.MilliCPU = 20 // all of them fit on one worker with the label
		}
	}
	spec.Terms = w.any.config.QueueByName(spec.Queue).Terms() // by the instance that takes the request
	w.specs[spec.ID] = &spec
	return &spec
}

// walkFaults are the faults of this walk beside those of loans.
func (w *shardWalk) walkFaults() []loanFault {
	return []loanFault{
		{"shard lost", w.loseShard, w.restoreWorkers},
		{"shard and owner lost", func(net *shardNet) { name := w.shard(); w.loseWorkers(name); killOwner(net.shards[name]) }, w.restoreWorkers},
		{"label lost", func(*shardNet) { w.any.workers.Kill(w.shard() + "00") }, w.restoreWorkers},
		{"worker restarted and cut off", w.restartAndCut, w.endCut},
		{"worker restarted and cut off, owner lost", func(net *shardNet) {
			w.restartAndCut(net)
			killOwner(net.shards[w.shard()])
		}, w.endCut},
		{"cancelled before it is known", w.withdraw, func(*shardNet) {}},
	}
}

func (w *shardWalk) loseShard(*shardNet) { w.loseWorkers(w.shard()) }

func (w *shardWalk) loseWorkers(shard string) {
	for i := range workersPerWalkShard {
		w.any.workers.Kill(fmt.Sprintf("%s%02d", shard, i))
	}
}

// ids returns the ids of all workers.
func (w *shardWalk) ids() []string {
	var out []string
	for _, name := range w.net.names {
		for i := range workersPerWalkShard {
			out = append(out, fmt.Sprintf("%s%02d", name, i))
		}
	}
	return out
}

// restoreWorkers restarts the workers that are dead.
func (w *shardWalk) restoreWorkers(*shardNet) {
	for _, id := range w.ids() {
		if _, gone := w.gone.Load(id); !gone && w.any.workers.DrainingOrDead(id) {
			w.any.workers.Restart(id)
		}
	}
}

// restartAndCut restarts a worker while half of the commands to it get no response and are carried out late, and
// cuts it off soon after.
func (w *shardWalk) restartAndCut(*shardNet) {
	shard := w.shard()
	id := fmt.Sprintf("%s%02d", shard, w.rand.IntN(workersPerWalkShard))
	w.any.workers.SetLateDelay(time.Second + w.within(10*time.Second))
	n := 0
	w.any.workers.SetFault(func(kind, worker string) fleetfake.Fault {
		if n++; worker == id && kind != "hold" && n%2 == 0 {
			return fleetfake.Late
		}
		return fleetfake.NoFault
	})
	for range 3 {
		w.submit(shard)
	}
	time.Sleep(w.within(300 * time.Millisecond))
	w.any.workers.Restart(id)
	time.AfterFunc(w.within(1500*time.Millisecond), func() { w.any.workers.SetUnreachable(id, true) })
}

func (w *shardWalk) endCut(*shardNet) {
	w.any.workers.SetFault(nil)
	for _, id := range w.ids() {
		w.any.workers.SetUnreachable(id, false)
	}
}

// submit submits a job to a shard until it is accepted.
func (w *shardWalk) submit(shard string) {
	spec := w.newJob()
	w.jobs = append(w.jobs, spec)
	go submitUntilAccepted(w.net.shards[shard], *spec)
}

// withdraw cancels a job whose submission is on its way to the inbox or to the owner, and reports
// starts after the answer that there is no such job.
func (w *shardWalk) withdraw(net *shardNet) {
	spec, tc := w.newJob(), net.shards[w.shard()]
	time.AfterFunc(w.within(11*time.Second), func() {
		_, _ = tc.store.Commit(tc.ctx, tc.lateInboxTx(*spec)) // nobody waits for the response
	})
	time.AfterFunc(w.within(11*time.Second), func() {
		ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
		defer cancel()
		_ = tc.shard().Submit(ctx, *spec) // nobody waits for the response
	})
	go func() {
		for tc.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
			_, err := tc.shard().Cancel(ctx, spec.ID)
			cancel()
			if result.Of(err) == result.JobUnknown {
				tc.workers.Forbid(spec.ID)
			}
			if err == nil || result.Of(err) == result.JobUnknown {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// run plays random faults, which overlap, and submits jobs meanwhile. All jobs must complete once the
// faults have ended, also if a shard has lost its workers, or those with the label, for good.
func (w *shardWalk) run() {
	time.Sleep(longUptime)
	faults := append(w.walkFaults(), w.walkFaults()...)
	faults = append(faults, loanFaults()...)
	for range 5 + w.rand.IntN(5) {
		f := faults[w.rand.IntN(len(faults))]
		f.begin(w.net)
		time.AfterFunc(w.within(9*time.Second), func() { f.end(w.net) })
		w.promises.step()
		for range w.rand.IntN(3) {
			w.submit(w.shard())
			time.Sleep(w.within(400 * time.Millisecond))
		}
		time.Sleep(w.within(3 * time.Second))
	}
	w.loseForGood()
	time.Sleep(10 * time.Second)
	w.net.setFault(nil)
	for _, f := range faults {
		f.end(w.net)
	}
	w.promises.end()
	time.Sleep(5 * time.Second)
	for range 6 {
		w.submit(w.shard())
	}
	for _, spec := range w.jobs {
		w.awaitEnd(spec)
	}
	w.promises.check(2 * time.Minute)
}

// loseForGood kills the worker of a shard with the label, all its workers, or none.
func (w *shardWalk) loseForGood() {
	shard := w.shard()
	for i := range []int{0, 1, workersPerWalkShard}[w.rand.IntN(3)] {
		id := fmt.Sprintf("%s%02d", shard, i)
		w.gone.Store(id, true)
		w.any.workers.Kill(id)
	}
}

// awaitEnd waits until the job has ended or, if its last step is long-running, runs.
func (w *shardWalk) awaitEnd(spec *workload.Spec) {
	if !spec.LongRunning() {
		w.net.awaitCompleted([]string{spec.ID}, 2*time.Minute)
		return
	}
	want := spec.Steps[len(spec.Steps)-1].Tasks * spec.Occurrences()
	deadline := time.Now().Add(2 * time.Minute)
	for w.any.workers.Running(spec.ID) != want {
		if time.Now().After(deadline) {
			w.any.t.Fatalf("%d runs of %s, want %d\n%s", w.any.workers.Running(spec.ID), spec.Summary(), want, w.describe(spec))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// describe returns what the shards know of a job.
func (w *shardWalk) describe(spec *workload.Spec) string {
	var b strings.Builder
	for _, name := range w.net.names {
		fmt.Fprintf(&b, "%s: %s\n", name, w.net.shards[name].state(spec.ID))
		for k := range spec.Occurrences() {
			for i := range spec.Steps {
				for n := range spec.Steps[i].Tasks {
					b.WriteString(w.net.shards[name].shard().describeTask(workload.TaskID{Job: spec.ID, Occurrence: k, Step: i, Index: n}.String()))
				}
			}
		}
	}
	return b.String()
}
