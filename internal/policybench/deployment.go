// Package policybench measures the placement policy in a simulation: the real
// decision code places tasks on fake workers, in virtual time and from a fixed
// seed. A hidden table says how much each batch family slows each service down;
// the policy sees only the workers' delayed and noisy reports.
package policybench

import (
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Deployment describes the workers, services, watches and placement settings of
// one association.
type Deployment struct {
	Name           string
	Workers        int
	WorkersPerRack int
	Capacity       resource.Vector
	Services       []job.Spec // latency is measured and checked for the first
	Watches        []job.Spec
	Policy         bundle.Placement
}

// Deployments returns the two deployments that the benchmark simulates. Headquarters weights
// tail latency most, dealers weights throughput and few evictions.
func Deployments() []Deployment { return []Deployment{headquarters(), dealers()} }

func headquarters() Deployment {
	return Deployment{
		Name: "headquarters", Workers: 48, WorkersPerRack: 8,
		Capacity: resource.Vector{MilliCPU: 32_000, MemoryMB: 125_000},
		Services: []job.Spec{
			serviceSpec("reservations", 28, 8_000, 12_000, 250*time.Millisecond),
			serviceSpec("orders", 16, 6_000, 8_000, 400*time.Millisecond),
		},
		Watches: []job.Spec{watchSpec("reminders", 12)},
		Policy:  policy(6, 2, 1),
	}
}

func dealers() Deployment {
	return Deployment{
		Name: "dealers", Workers: 48, WorkersPerRack: 8,
		Capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000},
		Services: []job.Spec{
			serviceSpec("lookups", 30, 14_000, 20_000, 150*time.Millisecond),
			serviceSpec("listings", 12, 10_000, 12_000, 500*time.Millisecond),
		},
		Watches: []job.Spec{watchSpec("feeds", 40)},
		Policy:  policy(2, 4, 4),
	}
}

func policy(tail, throughput, eviction float64) bundle.Placement {
	return bundle.Placement{
		TailLatencyWeight: tail, ThroughputWeight: throughput, EvictionWeight: eviction,
		UsagePercentile: 0.95, CPUMargin: 0.1, MemoryMargin: 0.2,
		SlowdownThreshold:   1.5,
		Window:              job.Duration(2 * time.Minute),
		Cooldown:            job.Duration(20 * time.Second),
		MaxEvictionsPerTask: 3, MaxEvictionsPerHour: 400,
		QuarantineFailedJobs: 3, QuarantineDuration: job.Duration(5 * time.Minute), MaxQuarantineFraction: 0.15,
	}
}

func serviceSpec(id string, n int, cpu, memory int64, target time.Duration) job.Spec {
	return job.Spec{
		ID: id, Organisation: "shop", Kind: job.Service, Family: id, Priority: 90, Tasks: n, Retries: 1000,
		Needs:  resource.Vector{MilliCPU: cpu, MemoryMB: memory},
		Target: job.Duration(target),
	}
}

func watchSpec(id string, n int) job.Spec {
	return job.Spec{
		ID: id, Organisation: "shop", Kind: job.Watch, Family: id, Priority: 80, Tasks: n, Retries: 1000,
		Needs: resource.Vector{MilliCPU: 500, MemoryMB: 1_000},
	}
}

// Level is how much work is submitted.
type Level struct {
	Name        string
	BatchLoad   float64 // processors that batch work needs, relative to those that services leave
	ServiceLoad float64 // factor on the services' load over the day
}

// Levels returns the load levels, lightest first. In the last one more batch work
// is submitted than can run, so there is always a backlog.
func Levels() []Level {
	return []Level{{"light", 0.35, 0.8}, {"normal", 0.7, 1}, {"heavy", 1.3, 1.08}}
}
