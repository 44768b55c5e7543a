package dispatch

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// BenchmarkPlan plans over 48 workers full of services, with a thousand waiting backfill
// tasks of nine images, as under the heaviest load.
func BenchmarkPlan(b *testing.B) {
	f := newFixture(48)
	f.cfg.Metrics = noMetrics()
	for i := range 40 {
		f.add(fmt.Sprint("serve", i), "short", workload.Step{
			Tasks: 6, LongRunning: true, Image: fmt.Sprint("s", i%5), TargetMillis: 150, Needs: resource.Vector{MilliCPU: 1900, MemoryMB: 9000},
		})
	}
	f.plan(f.now)
	f.confirmRuns()
	e := colocation.Estimates{BaselineTails: map[string]float64{}}
	for i := range 5 {
		e.BaselineTails[fmt.Sprint("s", i)] = 33
		for j := range 9 {
			e.Pairs = append(e.Pairs, colocation.PairEstimate{
				BackfillImage: fmt.Sprint("f", j), ServiceImage: fmt.Sprint("s", i), Mean: float64((i+j)%2) * 3, Variance: 0.01,
			})
		}
	}
	f.colocation.Restore(e)
	for _, h := range f.hosts {
		for _, t := range h.tasks {
			t.gauge = 100
		}
	}
	for i := range 130 {
		f.add(fmt.Sprint("fill", i), "batch", workload.Step{Tasks: 8, Backfill: true, Image: fmt.Sprint("f", i%9), Needs: resource.Vector{MilliCPU: 3500, MemoryMB: 13000}})
	}
	f.plan(f.now)
	b.ResetTimer()
	for range b.N {
		f.plan(f.now)
	}
}

// BenchmarkPlanCrowded plans over 350 workers that long-running tasks and short runs fill, with
// 1,500 waiting tasks of many sizes.
func BenchmarkPlanCrowded(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("reservations=", on), func(b *testing.B) {
			f := newFixture(350)
			f.cfg.Metrics, f.cfg.Features.Reservations = noMetrics(), on
			for i := range 100 {
				f.add(fmt.Sprint("serve", i), "short", workload.Step{Tasks: 7, LongRunning: true, Needs: cores(4)})
			}
			f.plan(f.now)
			for i := range 200 {
				f.add(fmt.Sprint("run", i), "short", workload.Step{Tasks: 6, Needs: resource.Vector{MilliCPU: int64(700 + 100*(i%10)), MemoryMB: 1000}})
			}
			f.plan(f.now)
			f.confirmRuns()
			for i := range 100 {
				needs := resource.Vector{MilliCPU: int64(1500 + 40*i), MemoryMB: 1000}
				f.add(fmt.Sprint("wait", i), "short", workload.Step{Tasks: 10, Needs: needs})
			}
			for i := range 50 {
				f.add(fmt.Sprint("fill", i), "batch", workload.Step{Tasks: 10, Backfill: true, Image: "f", Needs: cores(9)})
			}
			f.plan(f.now)
			f.now += 200 * time.Millisecond
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.plan(f.now)
			}
		})
	}
}
