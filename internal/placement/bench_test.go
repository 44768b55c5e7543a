package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	benchRunsPerWorker = 8 // 5,000 running tasks on 615 workers
	benchFamilies      = 40
	benchTasksPerJob   = 25
)

// newBenchZone returns a zone of n workers, most with a service run, whose reports
// have been observed, and with pending batch tasks.
func newBenchZone(n, pending int) (*Snapshot, *View) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New(bundle.Placement{TailLatencyWeight: 6, ThroughputWeight: 2, EvictionWeight: 1})
	s := &Snapshot{Now: time.Hour}
	specs := make([]*job.Spec, benchFamilies)
	for i := range specs {
		specs[i] = batchSpec(fmt.Sprintf("running-%d", i), i, rng)
	}
	service := &job.Spec{
		ID: "reservations", Organisation: "shop", Kind: job.Service, Target: job.Duration(250 * time.Millisecond),
		Needs: resource.Vector{MilliCPU: 8_000, MemoryMB: 12_000},
	}
	for i := range n {
		w := &Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Capacity: resource.Vector{MilliCPU: 32_000, MemoryMB: 125_000}}
		rep := Report{Worker: w.ID, Now: s.Now}
		for k := range benchRunsPerWorker {
			sp := specs[rng.IntN(len(specs))]
			if k == 0 && i%8 != 0 {
				sp = service
			}
			r := &Run{ID: job.RunID{Task: job.TaskID{Job: sp.ID, Index: i*10 + k}, Attempt: 1}, Spec: sp, Commit: sp.Needs, Started: time.Minute}
			if rng.IntN(3) == 0 {
				r.Commit.MilliCPU /= 2
			}
			w.Runs = append(w.Runs, r)
			rep.Runs = append(rep.Runs, RunUsage{Run: r.ID, Spec: sp, Commit: r.Commit, Usage: contract.Usage{
				Used: resource.Vector{MilliCPU: r.Commit.MilliCPU * 4 / 5, MemoryMB: r.Commit.MemoryMB / 2},
				Load: 0.3 + 0.4*rng.Float64(), P99: job.Duration(90 * time.Millisecond),
			}})
		}
		for k := range 3 {
			for j := range rep.Runs {
				rep.Runs[j].MeasuredAt = s.Now - time.Duration(30-k)*time.Second
			}
			e.Observe(rep)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range pending {
		if i%benchTasksPerJob == 0 {
			specs = append(specs, batchSpec(fmt.Sprintf("job-%d", i), rng.IntN(benchFamilies), rng))
		}
		sp := specs[len(specs)-1]
		s.Pending = append(s.Pending, &Pending{Task: job.TaskID{Job: sp.ID, Index: i}, Spec: sp, Submitted: s.Now - time.Second})
	}
	return s, e.View()
}

func batchSpec(id string, family int, rng *rand.Rand) *job.Spec {
	return &job.Spec{
		ID: id, Organisation: "shop", Kind: job.Batch, Family: fmt.Sprintf("f%d", family), Priority: rng.IntN(100),
		Needs: resource.Vector{MilliCPU: 800 + rng.Int64N(1200), MemoryMB: 1000 + rng.Int64N(4000)},
	}
}

// BenchmarkDecide measures the time of a cycle per pending task, placed or not,
// for several numbers of workers and of pending tasks.
func BenchmarkDecide(b *testing.B) {
	for _, pending := range []int{1, 64, 512} {
		for _, n := range []int{50, 150, 615, 1500} {
			b.Run(fmt.Sprintf("pending=%d/workers=%d", pending, n), func(b *testing.B) {
				s, v := newBenchZone(n, pending)
				placed := 0
				b.ReportAllocs()
				for b.Loop() {
					placed = 0
					for _, d := range Decide(s, v).Decisions {
						if d.Step == Place {
							placed++
						}
					}
				}
				perTask := float64(b.Elapsed().Nanoseconds()) / float64(b.N*pending)
				b.ReportMetric(perTask, "ns/task")
				b.ReportMetric(1e9/perTask, "tasks/s")
				b.ReportMetric(float64(placed), "placed")
			})
		}
	}
}
