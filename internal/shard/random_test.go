package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// Defaults of -rapid.seed and -rapid.checks.
const (
	randomSeed   = "1"
	randomChecks = "15"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": randomSeed, "rapid.checks": randomChecks, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestRandomRuns injects random faults at random times, while owners are opened,
// paused and killed and jobs are submitted and cancelled. It looks for lost or
// duplicated work in combinations that no other test lists. rapid prints the seed of a
// failure. The seed is fixed unless -rapid.seed is given.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawRandomEvent), 3, 10).Draw(rt, "acts")
		var errs []string
		synctest.Test(t, func(t *testing.T) { errs = runRandomEvents(t, events) })
		if len(errs) > 0 {
			rt.Fatalf("%q", errs)
		}
	})
}

// randomEvent is one fault or operation of a random run.
type randomEvent struct {
	Kind  string
	After time.Duration // since the previous event
	For   time.Duration
	Index int
}

var randomEventKinds = []string{
	"table-down", "table-slow", "table-late", "answer-lost", "cut", "worker-paused", "worker-answer-lost",
	"worker-fails", "worker-late", "worker-killed", "worker-restarts", "owner-paused", "owner-killed", "owner-opens", "batch", "cancel",
}

func drawRandomEvent(t *rapid.T) randomEvent {
	return randomEvent{
		Kind:  rapid.SampledFrom(randomEventKinds).Draw(t, "kind"),
		After: time.Duration(rapid.IntRange(0, 20000).Draw(t, "after")) * time.Millisecond,
		For:   time.Duration(rapid.IntRange(100, 30000).Draw(t, "for")) * time.Millisecond,
		Index: rapid.IntRange(0, 3).Draw(t, "index"),
	}
}

// randomRun holds the environment of one sequence of random events and what the
// sequence has done so far.
type randomRun struct {
	env        *testEnv
	proxies    []*proxy        // of the owners, newest last
	batchJobs  int             // batch jobs submitted
	cancel     map[string]bool // IDs of jobs whose cancellation was requested
	killEvents int             // "worker-killed" events so far
}

// runRandomEvents applies the events in a new environment, clears all faults, waits for
// the recovery and returns what is wrong with the final state.
func runRandomEvents(t *testing.T, events []randomEvent) []string {
	r := &randomRun{env: newTestEnv(t, 4, settings.Standin{}), cancel: map[string]bool{}}
	r.env.finishReported = r.finishReported
	r.openOwner()
	r.env.submitWithRetry(service("confirm", 2))
	r.batch()
	for _, a := range events {
		time.Sleep(a.After)
		r.applyEvent(a)
	}
	time.Sleep(time.Minute)
	r.env.sys.Clear()
	for _, p := range r.proxies {
		p.unblockCalls()
	}
	time.Sleep(time.Minute)
	r.openOwner()
	// If a worker and the only owner that knew its lease both died, the
	// worker's tasks wait until the lease bound has passed.
	time.Sleep(r.env.cfg.LeaseBound + 5*time.Minute)
	return r.checkOutcome()
}

// finishReported reports whether any owner received the finish of the run.
func (r *randomRun) finishReported(id job.RunID) bool {
	for _, p := range r.proxies {
		if p.hasFinish(id) {
			return true
		}
	}
	return false
}

// openOwner starts another owner, even if the current one still works.
func (r *randomRun) openOwner() {
	p := newProxy(r.env.platform("x"))
	r.proxies = append(r.proxies, p)
	cfg := r.env.cfg
	cfg.Owner = fmt.Sprint("owner", len(r.proxies))
	go func() {
		for range 300 {
			if _, err := r.env.openOwnerWithPolicy(cfg, p.platform(), NewPolicy(placementDefaults)); err == nil || p.isDead() {
				return
			}
			time.Sleep(time.Second)
		}
	}()
}

// hasFinish reports whether a reply through the proxy reported the run as finished.
func (p *proxy) hasFinish(id job.RunID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finishReported[id]
}

func (p *proxy) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// batch submits the next batch job, of five tasks.
func (r *randomRun) batch() {
	r.batchJobs++
	r.env.submitWithRetry(batch(fmt.Sprint("batch", r.batchJobs), 5, 8*time.Second))
}

// applyEvent injects a fault or does an operation. Of several "worker-killed" events only
// the first has an effect.
func (r *randomRun) applyEvent(a randomEvent) {
	worker := r.env.fleet()[a.Index].ID
	inject := func(f standin.Fault) {
		if f.Duration == 0 {
			f.Duration = job.Duration(a.For)
		}
		if err := r.env.sys.Inject(f); err != nil {
			panic(err)
		}
	}
	newest := r.proxies[len(r.proxies)-1]
	switch a.Kind {
	case "table-down":
		inject(standin.Fault{Kind: standin.Down, Target: "tables"})
	case "table-slow":
		inject(standin.Fault{Kind: standin.Slow, Target: "tables", Delay: job.Duration(a.For / 10)})
	case "table-late":
		inject(standin.Fault{Kind: standin.Late, Target: "tables", Delay: job.Duration(a.For / 10)})
	case "answer-lost":
		inject(standin.Fault{Kind: standin.LostResponse, Target: "tables", Count: a.Index + 1})
	case "cut":
		inject(standin.Fault{Kind: standin.Partition, From: testZone, To: standin.PlatformZone})
	case "worker-paused":
		inject(standin.Fault{Kind: standin.Pause, Target: worker})
	case "worker-answer-lost":
		inject(standin.Fault{Kind: standin.LostResponse, Target: worker, Count: 3})
	case "worker-fails":
		inject(standin.Fault{Kind: standin.FailAll, Target: worker})
	case "worker-late":
		inject(standin.Fault{Kind: standin.ReportLate, Target: worker, Delay: job.Duration(a.For)})
	case "worker-killed":
		if r.killEvents++; r.killEvents == 1 {
			r.env.killWorker(worker)
		}
	case "worker-restarts":
		r.markIncarnationsKilled(worker)
		inject(standin.Fault{Kind: standin.Restart, Target: worker, Delay: job.Duration(a.For / 10)})
	case "owner-paused":
		newest.blockCalls()
		time.AfterFunc(a.For, newest.unblockCalls)
	case "owner-killed":
		newest.failCalls()
		r.openOwner()
	case "owner-opens":
		r.openOwner()
	case "batch":
		r.batch()
	case "cancel":
		id := fmt.Sprint("batch", r.batchJobs)
		r.cancel[id] = true
		go r.env.cancel(id)
	}
}

// markIncarnationsKilled records the worker's first 20 incarnations as killed, because
// each restart kills one and may lose a finish that no owner has received. A sequence
// has at most 10 events, so there are no more incarnations than that.
func (r *randomRun) markIncarnationsKilled(worker string) {
	for i := range 20 {
		r.env.killed[fmt.Sprintf("%s#%d", worker, i+1)] = true
	}
}

func (o *Owner) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// checkOutcome returns what is wrong with the final state: jobs that are not in the
// expected state, a failed owner, or violations in the journal or the history.
func (r *randomRun) checkOutcome() []string {
	var out []string
	o := r.env.owner()
	if o == nil {
		return []string{"nobody owns the shard"}
	}
	if got := r.env.states(o, "confirm"); got != "running=2" {
		out = append(out, "service: "+got)
	}
	if err := o.failure(); err != nil {
		out = append(out, "the owner failed: "+err.Error())
	}
	var expect []history.Expectation
	for i := range r.batchJobs {
		id := fmt.Sprint("batch", i+1)
		got := r.env.states(o, id)
		if r.cancel[id] {
			continue
		}
		if got != "finished=5" {
			out = append(out, id+": "+got)
		}
		expect = append(expect, history.Expectation{Job: id, Finished: 5})
	}
	if t := o.Totals(); t.Finished+t.Cancelled != int64(5*r.batchJobs) {
		out = append(out, fmt.Sprintf("totals: %+v", t))
	}
	r.env.close()
	out = append(out, r.env.checkReplay(o)...)
	return append(out, r.env.audit(expect...)...)
}
