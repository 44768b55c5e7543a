package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// promiseWalk submits jobs, with repetitions and copies in the inbox, and cancels some of them, while the owner's commits
// of them get no answer and owners are killed; and it drops and changes queues, or the whole configuration, beside takeovers,
// while tasks of its jobs fail. No start may be sent later than cancelBound after a cancellation was acknowledged, no job may
// have fewer attempts than its queue had when it was accepted, and every accepted job must end.
type promiseWalk struct {
	shards []*testCluster // of one store and one configuration
	rand   *rand.Rand
	jobs   int

	mu        sync.Mutex
	accepted  map[string]*testCluster // by the id of a job that is not cancelled
	cancelled []string
}

const (
	// cancelBound is the platform's bound on starts after the acknowledgement of a cancellation.
	cancelBound = 3 * time.Second
	// promiseFailures is how many runs of each task of the walk's jobs fail before one succeeds.
	promiseFailures = 2
)

func newPromiseWalk(r *rand.Rand, shards ...*testCluster) *promiseWalk {
	w := &promiseWalk{shards: shards, rand: r, accepted: map[string]*testCluster{}}
	shards[0].workers.SetFails(func(task string, run int) bool { return task[0] == 'f' && run <= promiseFailures })
	return w
}

func (w *promiseWalk) within(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(d)))
}

func (w *promiseWalk) shard() *testCluster { return w.shards[w.rand.IntN(len(w.shards))] }

// step starts one event in the background.
func (w *promiseWalk) step() {
	events := []func(){w.cancelJob, w.cancelJob, w.runJob, w.changeConfig, w.changeConfig}
	events[w.rand.IntN(len(events))]()
}

// newJob returns a job of several steps. The tasks of ids that begin with an f fail.
func (w *promiseWalk) newJob(kind string) workload.Spec {
	w.jobs++
	queue := w.shards[0].config.Queues[w.rand.IntN(2)]
	spec := jobWithSteps(fmt.Sprintf("%s%015x", kind, w.jobs), queue.Name, 1, 1, 1, 1, 1)
	spec.Terms = queue.Terms() // by the instance that takes the request
	for i := range spec.Steps {
		spec.Steps[i].Needs = resource.Vector{MilliCPU: 200, MemoryMB: 64}
	}
	return spec
}

// submit submits the job to the owner and, like an instance whose call got no answer, to the inbox.
func (w *promiseWalk) submit(tc *testCluster, spec workload.Spec) {
	toInbox := w.within(900 * time.Millisecond)
	go func() {
		ctx, cancel := context.WithTimeout(tc.ctx, 700*time.Millisecond)
		defer cancel()
		_ = tc.shard().Submit(ctx, spec) // the inbox takes it as well
	}()
	if w.rand.IntN(4) > 0 {
		time.AfterFunc(toInbox, func() { _, _ = tc.store.Commit(tc.ctx, tc.lateInboxTx(spec)) })
	}
}

// loseAnswers applies a fault to the owner's commits of a job for a while.
func (w *promiseWalk) loseAnswers(tc *testCluster, id string) {
	faults := []fleetfake.Fault{fleetfake.Late, fleetfake.ResponseLost, fleetfake.RequestLost}
	tc.failCommits(id, faults[w.rand.IntN(len(faults))])
	time.AfterFunc(time.Second+w.within(2*time.Second), func() { tc.store.SetFault(nil) })
}

// cancelJob cancels a job that has just been submitted, until that is answered. In most cases the owner is killed
// then.
func (w *promiseWalk) cancelJob() {
	tc, spec := w.shard(), w.newJob("c")
	if w.rand.IntN(4) > 0 {
		w.loseAnswers(tc, spec.ID)
	}
	w.submit(tc, spec)
	wait, kill := w.within(1200*time.Millisecond), w.rand.IntN(3) > 0
	go func() {
		time.Sleep(wait)
		for tc.ctx.Err() == nil {
			switch err := w.cancel(tc, spec.ID); {
			case err == nil:
				tc.workers.ForbidSince(spec.ID, time.Now().Add(cancelBound))
				w.mu.Lock()
				w.cancelled = append(w.cancelled, spec.ID)
				w.mu.Unlock()
			case result.Of(err) == result.JobUnknown:
				tc.workers.Forbid(spec.ID)
			default:
				time.Sleep(50 * time.Millisecond)
				continue
			}
			if kill {
				killOwner(tc)
			}
			return
		}
	}()
}

// cancel cancels a job at the shard that has it.
func (w *promiseWalk) cancel(tc *testCluster, id string) error {
	ctx, cancel := context.WithTimeout(tc.ctx, 700*time.Millisecond)
	defer cancel()
	for range 3 {
		moved, err := tc.shard().Cancel(ctx, id)
		if moved == nil {
			return err
		}
		tc = w.shards[slices.IndexFunc(w.shards, func(s *testCluster) bool { return s.name == moved.Shard })]
	}
	return result.Errorf(result.JobWaiting, "job %s moves", id)
}

// runJob submits a job whose tasks fail at first, until it is accepted.
func (w *promiseWalk) runJob() {
	tc, spec := w.shard(), w.newJob("f")
	go func() {
		submitUntilAccepted(tc, spec)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.accepted[spec.ID] = tc
	}()
}

// changeConfig drops a queue, or changes its attempts, or the whole configuration is not known, and restores it later.
// Some owners are killed meanwhile.
func (w *promiseWalk) changeConfig() {
	tc := w.shard()
	queue := w.rand.IntN(2)
	c := tc.configWithout(tc.config.Queues[queue].Name)
	switch w.rand.IntN(4) {
	case 0:
		c = nil
	case 1:
		changed := tc.config.Queues[queue]
		changed.Attempts = 1
		c.Queues = append(c.Queues, changed)
	}
	for range w.rand.IntN(3) {
		w.runJob()
	}
	killed := w.shard()
	before, kill, after := w.within(2*time.Second), w.rand.IntN(2) == 0, w.within(4*time.Second)
	time.AfterFunc(before, func() { tc.setConfig(c) })
	if kill {
		time.AfterFunc(before+after/2, func() { killOwner(killed) })
	}
	time.AfterFunc(before+after, func() { tc.setConfig(tc.config) })
}

// end ends the faults.
func (w *promiseWalk) end() {
	w.shards[0].setConfig(w.shards[0].config)
	w.shards[0].store.SetFault(nil)
}

// check waits until all accepted jobs have completed, and reports jobs that go on after their cancellation.
func (w *promiseWalk) check(d time.Duration) {
	t := w.shards[0].t
	deadline := time.Now().Add(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, tc := range w.accepted {
		for w.state(tc, id) != workload.Completed {
			if time.Now().After(deadline) || w.state(tc, id).Final() {
				t.Errorf("job %s is %s", id, w.state(tc, id))
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, id := range w.cancelled {
		if n := w.shards[0].workers.Running(id); n > 0 {
			t.Errorf("%d runs of the cancelled job %s", n, id)
		}
	}
}

// state returns the state of a job at the shard that has it.
func (w *promiseWalk) state(tc *testCluster, id string) workload.State {
	ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
	defer cancel()
	for range 3 {
		state, moved, err := tc.shard().State(ctx, id)
		if err != nil {
			return workload.State(err.Error())
		}
		if moved == nil {
			return state
		}
		tc = w.shards[slices.IndexFunc(w.shards, func(s *testCluster) bool { return s.name == moved.Shard })]
	}
	return ""
}
