// Command skylark-bench-policy measures the placement policy on fake workers in
// virtual time and prints a table. It exits with status 1 if a target is missed or
// the results cannot be written.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"skylarkport/internal/policybench"
)

func main() {
	seeds := flag.Int("seeds", 2, "number of seeds per case")
	firstSeed := flag.Uint64("seed", 1, "first seed")
	dayLength := flag.Duration("day", time.Hour, "virtual duration of a run")
	concurrency := flag.Int("workers", 4, "number of runs at the same time")
	file := flag.String("json", "", "file to which the results are also written as JSON")
	flag.Parse()
	options := policybench.Options{DayLength: *dayLength, Concurrency: *concurrency}
	for i := range *seeds {
		options.Seeds = append(options.Seeds, *firstSeed+uint64(i))
	}
	if !run(options, *file) {
		os.Exit(1)
	}
}

func run(options policybench.Options, file string) bool {
	start := time.Now()
	results := policybench.RunAll(policybench.Cases(options), options.Concurrency)
	report := &policybench.Report{Results: results, Checks: policybench.Checks(results)}
	ok := report.WriteTable(os.Stdout)
	fmt.Printf("\n%d runs of %s, seeds %v, in %s\n", len(results), options.DayLength, options.Seeds, time.Since(start).Round(time.Second))
	if file == "" {
		return ok
	}
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench: cannot write results:", err)
		return false
	}
	defer f.Close()
	return report.WriteJSON(f) == nil && ok
}
