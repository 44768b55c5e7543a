package shard

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/settings"
)

// The load of the peak, on one shard.
const (
	startsPerSecond = 750
	loadFor         = 20 * time.Second
	urgentWithin    = 5 * time.Second
	tableWrites     = 300 // rows per second
)

// TestStartRate sustains the peak's starts through one shard's group commits,
// with the table limited, and starts urgent tasks in time beside them. All of it
// is virtual time: the processor's part is in the log as real time.
func TestStartRate(t *testing.T) {
	begin := time.Now()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 64, settings.Standin{WritesPerSec: tableWrites, ReadsPerSec: 2000})
		a := w.mustOpen("a")
		time.Sleep(5 * time.Second)
		before := w.sys.Totals()
		start := time.Now()
		submitted := map[string]time.Time{}
		const pace = 100 * time.Millisecond
		const tasks = int(startsPerSecond * pace / time.Second)
		jobs := 0
		for ; time.Since(start) < loadFor; jobs++ {
			spec := batch(fmt.Sprintf("load-%d", jobs), tasks, time.Second)
			spec.Needs.MilliCPU, spec.Needs.MemoryMB = 100, 100
			w.submit(spec)
			if jobs%5 == 0 {
				urgent := batch(fmt.Sprintf("urgent-%d", jobs), 1, time.Second)
				urgent.Urgent, urgent.Priority = true, 90
				submitted[urgent.ID] = time.Now()
				w.submit(urgent)
			}
			time.Sleep(pace)
		}
		after := w.sys.Totals()
		rate := float64(after.RunsStarted-before.RunsStarted) / loadFor.Seconds()
		writes := float64(after.RowsWritten-before.RowsWritten) / loadFor.Seconds()
		time.Sleep(30 * time.Second)
		p99 := w.urgentP99(submitted)
		t.Logf("%.0f starts/s, %.0f rows written/s, %d commits, urgent p99 %v", rate, writes, a.o.log.Commits(), p99)
		// The pipeline is empty at first: what was submitted in the last
		// second may still wait at the end.
		if least := startsPerSecond * (loadFor - time.Second).Seconds() / loadFor.Seconds(); rate < least {
			t.Errorf("%.0f starts/s, want at least %.0f", rate, least)
		}
		if p99 > urgentWithin {
			t.Errorf("urgent p99 %v, want at most %v", p99, urgentWithin)
		}
		w.close()
		expect := []history.Expect{}
		for i := range jobs {
			expect = append(expect, history.Expect{Job: fmt.Sprintf("load-%d", i), Finished: tasks})
		}
		w.mustAudit(expect...)
	})
	t.Logf("real time %v", time.Since(begin).Round(time.Millisecond))
}

// urgentP99 is the 99th percentile of the time from submission to start.
func (w *world) urgentP99(submitted map[string]time.Time) time.Duration {
	w.t.Helper()
	r := w.sys.History()
	zero := time.Now().Add(-r.Now)
	var waits []time.Duration
	for _, e := range r.Runs {
		if at, ok := submitted[e.Run.Task.Job]; ok && e.Kind == history.RunStarted {
			waits = append(waits, e.At-at.Sub(zero))
		}
	}
	if len(waits) < len(submitted) {
		w.t.Errorf("%d of %d urgent tasks started", len(waits), len(submitted))
	}
	if len(waits) == 0 {
		return job.Duration(0).D()
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, len(waits)*99/100)]
}
