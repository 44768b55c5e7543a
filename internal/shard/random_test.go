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

// randomRun is the state of one random run.
type randomRun struct {
	env           *testEnv
	proxies       []*proxy
	jobs          int
	cancel        map[string]bool
	killedWorkers int
}

func runRandomEvents(t *testing.T, events []randomEvent) []string {
	r := &randomRun{env: newTestEnv(t, 4, settings.Standin{}), cancel: map[string]bool{}}
	r.env.finishSeen = r.finishSeen
	r.open()
	r.env.submit(service("confirm", 2))
	r.batch()
	for _, a := range events {
		time.Sleep(a.After)
		r.play(a)
	}
	time.Sleep(time.Minute)
	r.env.sys.Clear()
	for _, p := range r.proxies {
		p.unblockCalls()
	}
	time.Sleep(time.Minute)
	r.open()
	// If a worker and the only owner that knew its lease both died, the
	// worker's tasks wait until the lease bound has passed.
	time.Sleep(r.env.cfg.LeaseBound + 5*time.Minute)
	return r.checkOutcome()
}

func (r *randomRun) finishSeen(id job.RunID) bool {
	for _, p := range r.proxies {
		if p.hasFinish(id) {
			return true
		}
	}
	return false
}

// open starts another owner, even if the current one still works.
func (r *randomRun) open() {
	p := newProxy(r.env.platform("x"))
	r.proxies = append(r.proxies, p)
	cfg := r.env.cfg
	cfg.Owner = fmt.Sprint("owner", len(r.proxies))
	go func() {
		for range 300 {
			if _, err := r.env.openPolicy(cfg, p.platform(), NewPolicy(placementDefaults)); err == nil || p.isDead() {
				return
			}
			time.Sleep(time.Second)
		}
	}()
}

func (p *proxy) hasFinish(id job.RunID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.finishSeen[id]
}

func (p *proxy) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (r *randomRun) batch() {
	r.jobs++
	r.env.submit(batch(fmt.Sprint("batch", r.jobs), 5, 8*time.Second))
}

func (r *randomRun) play(a randomEvent) {
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
		if r.killedWorkers++; r.killedWorkers == 1 {
			r.env.kill(worker)
		}
	case "worker-restarts":
		r.mayDie(worker)
		inject(standin.Fault{Kind: standin.Restart, Target: worker, Delay: job.Duration(a.For / 10)})
	case "owner-paused":
		newest.blockCalls()
		time.AfterFunc(a.For, newest.unblockCalls)
	case "owner-killed":
		newest.failCalls()
		r.open()
	case "owner-opens":
		r.open()
	case "batch":
		r.batch()
	case "cancel":
		id := fmt.Sprint("batch", r.jobs)
		r.cancel[id] = true
		go r.env.cancel(id)
	}
}

// mayDie records that any of the worker's first 20 incarnations may have been
// killed.
func (r *randomRun) mayDie(worker string) {
	for i := range 20 {
		r.env.killed[fmt.Sprintf("%s#%d", worker, i+1)] = true
	}
}

func (o *Owner) failure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

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
	for i := range r.jobs {
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
	if t := o.Totals(); t.Finished+t.Cancelled != int64(5*r.jobs) {
		out = append(out, fmt.Sprintf("totals: %+v", t))
	}
	r.env.close()
	out = append(out, r.env.checkReplay(o)...)
	return append(out, r.env.audit(expect...)...)
}
