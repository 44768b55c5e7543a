package policybench

import (
	"sync"
	"time"
)

// Options say which part of the matrix runs.
type Options struct {
	Seeds   []uint64
	Day     time.Duration // length of a run
	Workers int           // runs at a time
}

// Cases returns the matrix: every deployment, policy and seed, without a fault
// at each load level and with each fault at the normal one.
func Cases(o Options) []Case {
	var out []Case
	for _, d := range Deployments() {
		for _, seed := range o.Seeds {
			for _, l := range Levels() {
				out = appendPolicies(out, Case{Deployment: d, Level: l, Fault: NoFault, Seed: seed, Day: o.Day})
			}
			for _, f := range Faults() {
				out = appendPolicies(out, Case{Deployment: d, Level: Levels()[1], Fault: f, Seed: seed, Day: o.Day})
			}
		}
	}
	return out
}

func appendPolicies(out []Case, c Case) []Case {
	for _, p := range []Policy{Learning, Blind, FirstFit} {
		c.Policy = p
		out = append(out, c)
	}
	return out
}

// RunAll runs the cases, workers at a time, and returns the results in order.
func RunAll(cases []Case, workers int) []Result {
	out := make([]Result, len(cases))
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(workers, 1) {
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
