package dispatch

import (
	"testing"
	"time"

	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// orderFixture is a fixture of one worker that orders jobs by what can still end in time and
// takes 900 ms to stop a run.
func orderFixture() *fixture {
	f := newFixture(1)
	f.cfg.Features.Order, f.cfg.Bounds.Stop = true, 900*time.Millisecond
	return f
}

// TestBegunJobIsFinishedFirst: a job of which three of four tasks have run goes before one that
// has not begun and has less slack.
func TestBegunJobIsFinishedFirst(t *testing.T) {
	f := orderFixture()
	f.hosts["w0"].Capacity.MilliCPU = 1000
	waits := f.add("a", "short", workload.Step{Tasks: 4, EstimateMillis: 1000})
	f.now += 200 * time.Millisecond
	begun := f.add("b", "short", workload.Step{Tasks: 4, EstimateMillis: 1000})
	for _, task := range begun.tasks[0][:3] {
		task.Phase = workload.Done
	}
	f.plan(f.now)
	if begun.placed() != 1 || waits.placed() != 0 {
		t.Errorf("%d tasks of the begun job placed and %d of the other", begun.placed(), waits.placed())
	}
}

// TestExpiredJobRunsBesideFreeCapacity: a job that is of no use any more runs where nothing else
// needs the capacity.
func TestExpiredJobRunsBesideFreeCapacity(t *testing.T) {
	f := orderFixture()
	expired := f.add("a", "batch", workload.Step{Tasks: 1})
	f.now += time.Minute
	f.plan(f.now)
	if expired.placed() != 1 {
		t.Error("not placed beside free capacity")
	}
}

// TestEndIsAwaitedInsteadOfStop: a run that ends before a stop would have ended it is not stopped
// for a task of higher priority.
func TestEndIsAwaitedInsteadOfStop(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate int64
		stopped  bool
	}{{"ends soon", 2200, false}, {"lasts", 60_000, true}} {
		f := orderFixture()
		whole := resource.Vector{MilliCPU: 10000, MemoryMB: 1000}
		f.hosts["w0"].Address = "" // stops are not sent in this test
		running := f.add("a", "batch", workload.Step{Tasks: 1, Needs: whole, EstimateMillis: c.estimate, Checkpoints: true})
		f.plan(f.now)
		f.confirmRuns()
		f.now += 1500 * time.Millisecond
		f.add("b", "short", workload.Step{Tasks: 1, Needs: whole, EstimateMillis: 2000})
		f.plan(f.now)
		f.now += wasteDoublingWait
		f.plan(f.now)
		if running.tasks[0][0].stopWanted != c.stopped {
			t.Errorf("%s: stopped %v", c.name, !c.stopped)
		}
	}
}

// TestReliefSparesTheUrgentRun: of two runs that disturb a service alike, that of the expired job is
// stopped, and the worker takes no other before the relief shows.
func TestReliefSparesTheUrgentRun(t *testing.T) {
	f := serviceFixture(1, 40)
	f.cfg.Features.Order, f.cfg.Bounds.Stop = true, 900*time.Millisecond
	f.setWeight("i", 1)
	step := workload.Step{Tasks: 1, Backfill: true, Checkpoints: true, Image: "i", EstimateMillis: 3000}
	expired := f.add("a", "batch", step)
	f.now += time.Minute
	urgent := f.add("b", "batch", step)
	f.plan(f.now)
	f.confirmRuns()
	h := f.hosts["w0"]
	f.exceedTarget(h)
	if !expired.tasks[0][0].stopWanted || urgent.tasks[0][0].stopWanted {
		t.Errorf("stopped: expired %v, urgent %v", expired.tasks[0][0].stopWanted, urgent.tasks[0][0].stopWanted)
	}
	delete(h.tasks, expired.tasks[0][0].name)
	delete(h.tasks, urgent.tasks[0][0].name)
	next := f.add("c", "batch", step)
	for _, task := range h.tasks {
		task.gauge = 40
	}
	f.plan(f.now)
	if next.placed() != 0 {
		t.Error("a backfill run was placed on the worker that was just relieved")
	}
}
