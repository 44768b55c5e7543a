package policybench

import (
	"sync"
	"time"
)

// Options holds the seeds and the length of the cases, and how many run at once.
type Options struct {
	Seeds       []uint64
	DayLength   time.Duration // virtual length of a run
	Concurrency int           // cases that run at the same time
}

// Cases returns the test matrix: for every deployment, policy and seed, each load
// level without a fault and each fault at the normal load level.
func Cases(o Options) []Case {
	var out []Case
	for _, d := range Deployments() {
		for _, seed := range o.Seeds {
			for _, l := range Levels() {
				out = appendPolicies(out, Case{Deployment: d, Level: l, Fault: NoFault, Seed: seed, DayLength: o.DayLength})
			}
			for _, f := range Faults() {
				out = appendPolicies(out, Case{Deployment: d, Level: Levels()[1], Fault: f, Seed: seed, DayLength: o.DayLength})
			}
		}
	}
	return out
}

// appendPolicies appends c once for each placement policy.
func appendPolicies(out []Case, c Case) []Case {
	for _, p := range []Policy{Learning, ResourceOnly, FirstFit} {
		c.Policy = p
		out = append(out, c)
	}
	return out
}

// RunAll runs the cases concurrently and returns their results in the order of
// the cases.
func RunAll(cases []Case, concurrency int) []Result {
	out := make([]Result, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(concurrency, 1) {
		wg.Go(func() {
			for i := range next {
				out[i] = Run(cases[i])
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}
