package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
	"skylarkport/internal/resource"
)

// TestDecide runs the cases of testdata/decide. Each describes workers, runs and
// pending tasks, one per line, and the plan expected for them.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		fix := newDecideFixture()
		for _, line := range strings.Split(d.Input, "\n") {
			fix.addLine(t, line)
		}
		return formatPlan(Decide(fix.s, fix.e.View()))
	})
}

// decideFixture is a snapshot and an engine built from the lines of a case.
type decideFixture struct {
	s    *Snapshot
	e    *Engine
	last *Worker
}

func newDecideFixture() *decideFixture {
	return &decideFixture{
		s: &Snapshot{Now: time.Hour, Headroom: map[string]resource.Vector{}},
		e: New(bundle.Placement{TailLatencyWeight: 6, ThroughputWeight: 2, EvictionWeight: 1}),
	}
}

// addLine adds what one line describes: "worker id rack amount [flags]", "run job
// kind amount [flags]" on the last worker, "pending job kind amount [flags]", or
// "headroom organisation amount". An amount is
// millicores/mebibytes/accelerators.
func (fix *decideFixture) addLine(t *testing.T, s string) {
	f := strings.Fields(s)
	if len(f) == 0 {
		return
	}
	flags := map[string]bool{}
	for _, x := range f {
		flags[x] = true
	}
	var v resource.Vector
	if _, err := fmt.Sscanf(f[len(f)-1-countFlags(f)], "%d/%d/%d", &v.MilliCPU, &v.MemoryMB, &v.Accelerators); err != nil {
		t.Fatalf("%q: %v", s, err)
	}
	switch f[0] {
	case "worker":
		fix.addWorker(f, flags, v)
	case "run":
		fix.addRun(f, flags, v)
	case "pending":
		fix.addPending(f, flags, v)
	case "headroom":
		fix.s.Headroom[f[1]] = v
	}
}

// countFlags returns the number of words after the amount.
func countFlags(f []string) int {
	n := 0
	for i := len(f) - 1; !strings.Contains(f[i], "/"); i-- {
		n++
	}
	return n
}

func (fix *decideFixture) addWorker(f []string, flags map[string]bool, v resource.Vector) {
	fix.last = &Worker{ID: f[1], Rack: f[2], Capacity: v}
	if flags["unreachable"] {
		fix.last.Health = Unreachable
	}
	if flags["leaving"] {
		fix.last.Health = Draining
	}
	if flags["quarantined"] {
		for i := range 3 {
			fix.e.RecordEnd(RunEnd{
				Now: fix.s.Now, Worker: fix.last.ID, State: contract.Failed,
				Spec: &job.Spec{ID: fmt.Sprintf("failed-%d", i), Kind: job.Batch},
			})
		}
	}
	fix.s.Workers = append(fix.s.Workers, fix.last)
}

func parseSpec(f []string, flags map[string]bool, v resource.Vector) *job.Spec {
	s := &job.Spec{ID: f[1], Organisation: "a", Kind: job.Kind(f[2]), Needs: v, Priority: 50, Urgent: flags["urgent"], Retries: 2}
	if flags["low"] {
		s.Priority = 10
	}
	if flags["high"] {
		s.Priority = 90
	}
	if s.Kind == job.Service {
		s.Target = job.Duration(100 * time.Millisecond)
	}
	return s
}

func (fix *decideFixture) addRun(f []string, flags map[string]bool, v resource.Vector) {
	s := parseSpec(f, flags, v)
	r := &Run{
		ID: job.RunID{Task: job.TaskID{Job: s.ID, Index: len(fix.last.Runs)}, Attempt: 1}, Spec: s, Commit: v,
		Stopping: flags["stopping"], Throttled: flags["throttled"], Started: fix.s.Now - time.Minute,
	}
	fix.last.Runs = append(fix.last.Runs, r)
	if !flags["full-memory"] && !flags["full-processors"] {
		return
	}
	u := contract.Usage{Used: resource.Vector{MilliCPU: v.MilliCPU / 2, MemoryMB: v.MemoryMB / 2}}
	if flags["full-memory"] {
		u.Used.MemoryMB = v.MemoryMB
	}
	if flags["full-processors"] {
		u.Used.MilliCPU = v.MilliCPU
	}
	fix.e.Observe(Report{Worker: fix.last.ID, Now: fix.s.Now, Runs: []RunUsage{{
		Run: r.ID, Spec: s, Commit: v, MeasuredAt: fix.s.Now - time.Second, Usage: u,
	}}})
}

func (fix *decideFixture) addPending(f []string, flags map[string]bool, v resource.Vector) {
	s := parseSpec(f, flags, v)
	p := &Pending{Task: job.TaskID{Job: s.ID, Index: len(fix.s.Pending)}, Spec: s, Submitted: fix.s.Now - time.Second}
	if flags["backing-off"] {
		p.NotBefore = fix.s.Now + time.Second
	}
	if flags["failed"] {
		p.Failures, p.FailedOn = 3, []string{"w1", "w1", "w1"}
	}
	if flags["failed-once"] {
		p.Failures, p.FailedOn = 1, []string{"w1"}
	}
	if flags["waited"] {
		p.Submitted = 0
	}
	if flags["due"] {
		s.RunTime, s.Deadline = job.Duration(time.Minute), job.Duration(2*time.Minute)
	}
	fix.s.Pending = append(fix.s.Pending, p)
}

func formatPlan(p *Plan) string {
	var b strings.Builder
	for _, d := range p.Decisions {
		fmt.Fprintf(&b, "%s %s", d.Step, d.Task)
		if d.Worker != "" {
			fmt.Fprintf(&b, " on %s", d.Worker)
		}
		if !d.Commit.IsZero() {
			fmt.Fprintf(&b, " with %d/%d/%d", d.Commit.MilliCPU, d.Commit.MemoryMB, d.Commit.Accelerators)
		}
		fmt.Fprintf(&b, ": %s\n", d.Reason.Stage)
	}
	for _, w := range p.Waiting {
		fmt.Fprintf(&b, "waiting %s: %s: %s\n", w.Job, w.Reason.Stage, w.Reason.Detail)
	}
	return b.String()
}

// newInterferenceFixture returns a fixture with one worker that runs a service, a
// batch run of a family observed to slow the service down, and one of a family
// observed not to. The service's latency is reported as ratio times its target.
func newInterferenceFixture(t *testing.T, ratio float64, changed time.Duration) *decideFixture {
	t.Helper()
	fix := newDecideFixture()
	target := 100 * time.Millisecond
	service := &job.Spec{ID: "s", Organisation: "a", Kind: job.Service, Target: job.Duration(target)}
	noisy := &job.Spec{ID: "n", Organisation: "a", Kind: job.Batch, Family: "noisy"}
	quiet := &job.Spec{ID: "q", Organisation: "a", Kind: job.Batch, Family: "quiet"}
	commit := resource.Vector{MilliCPU: 4000, MemoryMB: 1000}
	usage := func(s *job.Spec, at time.Duration, p99 float64) RunUsage {
		return RunUsage{
			Run: job.RunID{Task: job.TaskID{Job: s.ID}, Attempt: 1}, Spec: s, Commit: commit, MeasuredAt: at,
			Usage: contract.Usage{Used: resource.Vector{MilliCPU: 3000, MemoryMB: 500}, Load: 0.7, P99: job.Duration(p99 * float64(target))},
		}
	}
	for i := range 60 {
		at := time.Duration(i+1) * 10 * time.Second
		beside := [][]*job.Spec{{service}, {service, quiet}, {service, noisy}}[i%3]
		p99 := []float64{0.4, 0.41, 1.1}[i%3]
		rep := Report{Worker: "w0", Now: at}
		for _, s := range beside {
			rep.Runs = append(rep.Runs, usage(s, at, p99))
		}
		fix.e.Observe(rep)
	}
	worker := &Worker{ID: "w1", Rack: "r1", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, LastChange: changed}
	for _, s := range []*job.Spec{service, quiet, noisy} {
		worker.Runs = append(worker.Runs, &Run{ID: job.RunID{Task: job.TaskID{Job: s.ID}, Attempt: 1}, Spec: s, Commit: commit})
	}
	fix.s.Workers = []*Worker{worker}
	for i := range 3 {
		at := fix.s.Now - time.Duration(30-i)*time.Second
		rep := Report{Worker: "w1", Now: fix.s.Now, LastChange: changed}
		for _, s := range []*job.Spec{service, quiet, noisy} {
			rep.Runs = append(rep.Runs, usage(s, at, ratio))
		}
		fix.e.Observe(rep)
	}
	return fix
}

// withoutTarget returns an edit that sets the slowdown threshold, removes the
// service's target and reports its latency again.
func withoutTarget(threshold float64) func(*decideFixture) {
	return func(fix *decideFixture) {
		fix.e.Configure(bundle.Placement{TailLatencyWeight: 6, ThroughputWeight: 2, EvictionWeight: 1, SlowdownThreshold: threshold})
		dropTarget(fix)
	}
}

// dropTarget removes the service's target and reports a latency of 110 ms.
func dropTarget(fix *decideFixture) {
	worker := fix.s.Workers[0]
	service := *worker.Runs[0].Spec
	service.Target = 0
	worker.Runs[0].Spec = &service
	old := fix.e.View().Workers["w1"]
	for i := range 5 {
		rep := Report{Worker: "w1", Now: fix.s.Now}
		for k, r := range worker.Runs {
			v := &old.Runs[k]
			rep.Runs = append(rep.Runs, RunUsage{
				Run: r.ID, Spec: r.Spec, Commit: r.Commit, MeasuredAt: fix.s.Now - time.Duration(20-i)*time.Second,
				Usage: contract.Usage{Used: v.Used, Load: 0.7, P99: job.Duration(110 * time.Millisecond)},
			})
		}
		fix.e.Observe(rep)
	}
}

func TestRespond(t *testing.T) {
	long := 10 * time.Minute
	tests := []struct {
		name    string
		ratio   float64
		changed time.Duration
		edit    func(*decideFixture)
		want    string
	}{
		{name: "well within the target", ratio: 0.6, want: ""},
		{name: "over target", ratio: 1.2, want: "throttle n/0 on w1 with 1600/1000/0: Interference\n"},
		{name: "no target, within the threshold", ratio: 1.1, edit: withoutTarget(4), want: ""},
		{name: "no target, over the threshold", ratio: 1.1, edit: withoutTarget(2.2), want: "throttle n/0 on w1 with 1600/1000/0: Interference\n"},
		{name: "severe", ratio: 1.8, want: "move n/0 on w1: Interference\n"},
		{name: "reports older than the last change", ratio: 1.8, changed: time.Hour - 20*time.Second, want: ""},
		{name: "in cooldown", ratio: 1.2, edit: func(fix *decideFixture) {
			fix.e.RecordApplied(fix.s.Now-time.Second, &Plan{Decisions: []Decision{{Step: Throttle, Worker: "w1", Reason: Reason{Stage: StageInterference}}}})
		}, want: ""},
		{name: "throttled already", ratio: 1.2, edit: func(fix *decideFixture) {
			fix.s.Workers[0].Runs[2].Throttled = true
		}, want: "move n/0 on w1: Interference\n"},
		{name: "budget of the tasks spent", ratio: 1.8, edit: func(fix *decideFixture) {
			fix.s.Workers[0].Runs[1].Evictions = 3
			fix.s.Workers[0].Runs[2].Evictions = 3
		}, want: ""},
		{name: "budget of the shard spent", ratio: 1.8, edit: func(fix *decideFixture) {
			for range 120 {
				fix.e.RecordApplied(fix.s.Now-long, &Plan{Decisions: []Decision{{Step: Move, Worker: "w9", Reason: Reason{Stage: StageInterference}}}})
			}
		}, want: ""},
		{name: "a move did not help", ratio: 1.8, edit: func(fix *decideFixture) {
			fix.e.RecordApplied(fix.s.Now-time.Minute, &Plan{Decisions: []Decision{{Step: Move, Worker: "w1", Reason: Reason{Stage: StageInterference}}}})
		}, want: "evict n/0 on w1: Interference\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fix := newInterferenceFixture(t, tt.ratio, tt.changed)
			if tt.edit != nil {
				tt.edit(fix)
			}
			if got := formatPlan(Decide(fix.s, fix.e.View())); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestLearnedInterference checks that a task is not placed beside a service that its
// family was observed to slow down.
func TestLearnedInterference(t *testing.T) {
	for _, family := range []string{"noisy", "quiet"} {
		fix := newInterferenceFixture(t, 0.5, 0)
		fix.s.Workers[0].Runs = fix.s.Workers[0].Runs[:1]
		fix.s.Pending = []*Pending{{Task: job.TaskID{Job: "p"}, Spec: &job.Spec{
			ID: "p", Organisation: "a", Kind: job.Batch, Family: family, Needs: resource.Vector{MilliCPU: 100, MemoryMB: 100},
		}}}
		got := formatPlan(Decide(fix.s, fix.e.View()))
		if placed := strings.HasPrefix(got, "place"); placed != (family == "quiet") {
			t.Errorf("%s: %s", family, got)
		}
	}
}

// TestFailuresOnQuarantinedWorkers checks that failures on a worker in quarantine
// do not exhaust a task's retries.
func TestFailuresOnQuarantinedWorkers(t *testing.T) {
	fix := newDecideFixture()
	for _, l := range []string{"worker w1 r1 8000/8000/0 quarantined", "worker w2 r1 8000/8000/0", "pending p batch 100/100/0 failed"} {
		fix.addLine(t, l)
	}
	v := fix.e.View()
	if v.Quarantine["w1"] != quarantine.Quarantined {
		t.Fatalf("w1 is not in quarantine: %v", v.Quarantine)
	}
	if got := formatPlan(Decide(fix.s, v)); !strings.HasPrefix(got, "place p/0 on w2") {
		t.Errorf("got %s", got)
	}
}

// TestOutgrownTask checks that a task that ran out of memory is committed twice the
// memory next time.
func TestOutgrownTask(t *testing.T) {
	fix := newDecideFixture()
	fix.addLine(t, "worker w1 r1 8000/8000/0")
	fix.addLine(t, "pending p batch 100/1000/0")
	p := fix.s.Pending[0]
	fix.e.RecordEnd(RunEnd{Run: job.RunID{Task: p.Task}, Spec: p.Spec, Commit: p.Spec.Needs, State: contract.Failed, Reason: ReasonMemory})
	if got := formatPlan(Decide(fix.s, fix.e.View())); !strings.HasPrefix(got, "place p/0 on w1 with 100/2000/0") {
		t.Errorf("got %s", got)
	}
}

// TestCommitmentFollowsObservation checks that the commitment follows a family's
// observed use, also above its declaration, and never exceeds the largest worker.
func TestCommitmentFollowsObservation(t *testing.T) {
	tests := []struct {
		name     string
		used     resource.Vector
		min, max resource.Vector
	}{
		// The bounds are the use plus the margins of 15% for processors and 25% for
		// memory, and up to 10% for the width of a histogram bucket.
		{
			"far below the declaration",
			resource.Vector{MilliCPU: 500, MemoryMB: 300},
			resource.Vector{MilliCPU: 575, MemoryMB: 375},
			resource.Vector{MilliCPU: 632, MemoryMB: 412},
		},
		{
			"above the declaration",
			resource.Vector{MilliCPU: 5000, MemoryMB: 300},
			resource.Vector{MilliCPU: 5750, MemoryMB: 375},
			resource.Vector{MilliCPU: 6325, MemoryMB: 412},
		},
		{
			"above the worker",
			resource.Vector{MilliCPU: 50000, MemoryMB: 300},
			resource.Vector{MilliCPU: 8000, MemoryMB: 375},
			resource.Vector{MilliCPU: 8000, MemoryMB: 412},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fix := newDecideFixture()
			fix.addLine(t, "worker w1 r1 8000/8000/0")
			fix.addLine(t, "pending p batch 2000/4000/0")
			s := fix.s.Pending[0].Spec
			commit := resource.Vector{MilliCPU: 60000, MemoryMB: 4000}
			for i := range 40 {
				id := job.RunID{Task: job.TaskID{Job: "old", Index: i}, Attempt: 1}
				at := time.Duration(i+1) * time.Second
				fix.e.Observe(Report{Worker: "w1", Now: at, Runs: []RunUsage{{Run: id, Spec: s, Commit: commit, MeasuredAt: at, Usage: contract.Usage{Used: tt.used}}}})
				fix.e.RecordEnd(RunEnd{Now: at, Worker: "w1", Run: id, Spec: s, State: contract.Finished, RunTime: time.Minute})
			}
			p := Decide(fix.s, fix.e.View())
			if len(p.Decisions) != 1 || p.Decisions[0].Step != Place {
				t.Fatalf("got %s", formatPlan(p))
			}
			if got := p.Decisions[0].Commit; !tt.min.Fits(got) || !got.Fits(tt.max) {
				t.Errorf("commits %+v, want %+v to %+v", got, tt.min, tt.max)
			}
		})
	}
}
