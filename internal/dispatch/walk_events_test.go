package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// between returns a random time.
func (w *walk) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.rand.Int64N(int64(to-from)))/walkTick*walkTick
}

// add schedules an event.
func (w *walk) add(at time.Duration, do func(), format string, args ...any) {
	w.events = append(w.events, walkEvent{at: at, name: fmt.Sprintf(format, args...), do: do})
	w.end = max(w.end, at)
}

// schedule schedules bursts of jobs and a series of overlapping events, and a quiet time after
// them.
func (w *walk) schedule() {
	from := w.end
	disturbances := []func(at time.Duration){
		w.drain, w.drainThird, w.drainAndReplaceOwner, w.kill, w.restart, w.unreachable,
		w.addWorkers, w.addWorkers, w.faultCalls, w.faultCommands, w.failRuns,
	}
	at := from
	for range 3 + w.rand.IntN(5) {
		at += w.between(0, 3*time.Second)
		disturbances[w.rand.IntN(len(disturbances))](at)
	}
	w.end += walkQuiet
	for at := from; at < w.end; at += w.between(time.Second, 8*time.Second) {
		w.burst(at)
	}
}

// burst schedules the submission of some jobs that end by themselves.
func (w *walk) burst(at time.Duration) {
	tc := w.net.shards[w.shard()]
	var specs []*workload.Spec
	for range 1 + w.rand.IntN(4) {
		queue := []string{"short", "batch"}[w.rand.IntN(2)]
		spec := w.newJob("job", queue, 1+w.rand.IntN(8), int64(500*(1+w.rand.IntN(6))))
		spec.Steps[0].EstimateMillis = int64(200 + w.rand.IntN(1800))
		if w.rand.IntN(3) == 0 {
			spec.Steps[0].Backfill, spec.Steps[0].Image = true, "fill"
		}
		specs = append(specs, spec)
	}
	w.events = append(w.events, walkEvent{at: at, load: true, do: func() {
		for _, spec := range specs {
			go submitUntilAccepted(tc, *spec)
		}
	}})
}

// submitUntilAccepted submits a job beside the events, as a caller does.
func submitUntilAccepted(tc *testCluster, spec workload.Spec) {
	for tc.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
		err := tc.shard().Submit(ctx, spec)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(walkTick)
	}
}

func (w *walk) shard() string { return w.net.names[w.rand.IntN(len(w.net.names))] }

// pick returns up to n workers of a shard. At least one worker remains if they leave.
func (w *walk) pick(shard string, n int, leave bool) []string {
	ids := w.workers[shard]
	w.rand.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	n = max(0, min(n, len(ids)-1))
	if leave {
		w.workers[shard] = slices.Clone(ids[n:])
	}
	return slices.Clone(ids[:n])
}

func (w *walk) drain(at time.Duration)      { w.drainSome(at, w.shard(), 1) }
func (w *walk) drainThird(at time.Duration) { s := w.shard(); w.drainSome(at, s, len(w.workers[s])/3) }

// drainSome schedules a drain of n workers, which leave some seconds later.
func (w *walk) drainSome(at time.Duration, shard string, n int) {
	workers := w.first.workers
	for _, id := range w.pick(shard, n, true) {
		w.add(at, func() { workers.Drain(id) }, "drain %s", id)
		w.add(at+w.between(2*time.Second, 10*time.Second), func() { workers.Kill(id) }, "%s leaves", id)
	}
}

func (w *walk) drainAndReplaceOwner(at time.Duration) {
	shard := w.shard()
	w.drainSome(at, shard, 1+w.rand.IntN(2))
	tc := w.net.shards[shard]
	w.add(at+w.between(0, 3*time.Second), func() { replaceOwner(tc) }, "new owner of %s", shard)
}

func (w *walk) kill(at time.Duration) {
	for _, id := range w.pick(w.shard(), 1, true) {
		w.add(at, func() { w.first.workers.Kill(id) }, "kill %s", id)
	}
}

func (w *walk) restart(at time.Duration) {
	for _, id := range w.pick(w.shard(), 1, false) {
		w.add(at, func() { w.first.workers.Restart(id) }, "restart %s", id)
	}
}

func (w *walk) unreachable(at time.Duration) {
	for _, id := range w.pick(w.shard(), 1+w.rand.IntN(2), false) {
		w.add(at, func() { w.first.workers.SetUnreachable(id, true) }, "%s is unreachable", id)
		w.add(at+w.between(time.Second, 9*time.Second), func() { w.first.workers.SetUnreachable(id, false) }, "%s is reachable", id)
	}
}

func (w *walk) addWorkers(at time.Duration) {
	shard := w.shard()
	for range 1 + w.rand.IntN(3) {
		w.added++
		id := fmt.Sprintf("%sx%02d", shard, w.added)
		w.workers[shard] = append(w.workers[shard], id)
		w.add(at, func() {
			w.first.workers.Add(w.first.ctx, id, shard, "r0", resource.Vector{MilliCPU: 8000, MemoryMB: 32000})
		}, "add %s", id)
	}
}

func (w *walk) faultCalls(at time.Duration) {
	method := []string{"lend", "return", ""}[w.rand.IntN(3)]
	fault := w.fault()
	f := callFault(method, fault)
	w.addFault(at, fault, func() { f.begin(w.net) }, func() { f.end(w.net) }, f.name)
}

func (w *walk) faultCommands(at time.Duration) {
	kind := []string{"start", "stop", "hold"}[w.rand.IntN(3)]
	fault := w.fault()
	begin := commandFault(kind, fault)
	w.addFault(at, fault, func() { begin(w.first) }, func() { clearCommandFault(w.first) }, fmt.Sprintf("%s fault %d", kind, fault))
}

func (w *walk) fault() fleetfake.Fault {
	return []fleetfake.Fault{fleetfake.Refused, fleetfake.ResponseLost, fleetfake.Late}[w.rand.IntN(3)]
}

// addFault schedules a fault of every second call. The end of an earlier one may end it too.
func (w *walk) addFault(at time.Duration, fault fleetfake.Fault, begin, end func(), name string) {
	w.add(at, begin, "%s", name)
	at += w.between(500*time.Millisecond, 3*time.Second)
	w.add(at, end, "end of %s", name)
	if fault == fleetfake.Late {
		w.add(at+fleetfake.LateDelay, func() {}, "last late call arrives")
	}
}

func (w *walk) failRuns(at time.Duration) {
	for range 1 + w.rand.IntN(4) {
		name := w.tasks[w.rand.IntN(len(w.tasks))].name
		w.add(at, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.failing[name] = true
		}, "a run of %s fails", name)
	}
}
