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

// The peak load of one shard and the required start latency.
const (
	startsPerSecond   = 750
	loadDuration      = 20 * time.Second
	maxUrgentP99      = 5 * time.Second
	tableWritesPerSec = 300 // rows per second
)

// TestStartRate checks that group commits let one shard sustain the peak rate of
// starts on a table with limited writes, and that urgent tasks still start in time.
// It runs in virtual time, which excludes processor time; the log shows the real
// time.
func TestStartRate(t *testing.T) {
	begin := time.Now()
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 64, settings.Standin{WritesPerSec: tableWritesPerSec, ReadsPerSec: 2000})
		a := env.mustOpen("a")
		time.Sleep(5 * time.Second)
		before := env.sys.Totals()
		start := time.Now()
		submitted := map[string]time.Time{}
		const submitInterval = 100 * time.Millisecond
		const tasks = int(startsPerSecond * submitInterval / time.Second)
		jobs := 0
		for ; time.Since(start) < loadDuration; jobs++ {
			spec := batch(fmt.Sprintf("load-%d", jobs), tasks, time.Second)
			spec.Needs.MilliCPU, spec.Needs.MemoryMB = 100, 100
			env.submitWithRetry(spec)
			if jobs%5 == 0 {
				urgent := batch(fmt.Sprintf("urgent-%d", jobs), 1, time.Second)
				urgent.Urgent, urgent.Priority = true, 90
				submitted[urgent.ID] = time.Now()
				env.submitWithRetry(urgent)
			}
			time.Sleep(submitInterval)
		}
		after := env.sys.Totals()
		rate := float64(after.RunsStarted-before.RunsStarted) / loadDuration.Seconds()
		writes := float64(after.RowsWritten-before.RowsWritten) / loadDuration.Seconds()
		time.Sleep(30 * time.Second)
		p99 := env.urgentP99(submitted)
		t.Logf("%.0f starts/s, %.0f rows written/s, %d commits, urgent p99 %v", rate, writes, a.o.log.Commits(), p99)
		// Tasks that were submitted in the last second may still wait at the
		// end, so a second's worth of starts may be missing.
		if least := startsPerSecond * (loadDuration - time.Second).Seconds() / loadDuration.Seconds(); rate < least {
			t.Errorf("%.0f starts/s, want at least %.0f", rate, least)
		}
		if p99 > maxUrgentP99 {
			t.Errorf("urgent p99 %v, want at most %v", p99, maxUrgentP99)
		}
		env.close()
		expect := []history.Expectation{}
		for i := range jobs {
			expect = append(expect, history.Expectation{Job: fmt.Sprintf("load-%d", i), Finished: tasks})
		}
		env.mustAudit(expect...)
	})
	t.Logf("real time %v", time.Since(begin).Round(time.Millisecond))
}

// urgentP99 returns the 99th percentile of the time from submission to start.
func (env *testEnv) urgentP99(submitted map[string]time.Time) time.Duration {
	env.t.Helper()
	r := env.sys.History()
	zero := time.Now().Add(-r.Now)
	var waits []time.Duration
	for _, e := range r.Runs {
		if at, ok := submitted[e.Run.Task.Job]; ok && e.Kind == history.RunStarted {
			waits = append(waits, e.At-at.Sub(zero))
		}
	}
	if len(waits) < len(submitted) {
		env.t.Errorf("%d of %d urgent tasks started", len(waits), len(submitted))
	}
	if len(waits) == 0 {
		return job.Duration(0).D()
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, len(waits)*99/100)]
}
