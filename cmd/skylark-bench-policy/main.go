// Command skylark-bench-policy measures the placement policy against fake
// workers in virtual time, prints a table, and exits with status 1 where a
// target is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"skylarkport/internal/policybench"
)

func main() {
	seeds := flag.Int("seeds", 2, "seeds per case")
	first := flag.Uint64("seed", 1, "first seed")
	day := flag.Duration("day", time.Hour, "virtual length of a run")
	workers := flag.Int("workers", 4, "runs at a time")
	file := flag.String("json", "", "also write the results to this file")
	flag.Parse()
	o := policybench.Options{Day: *day, Workers: *workers}
	for i := range *seeds {
		o.Seeds = append(o.Seeds, *first+uint64(i))
	}
	if !run(o, *file) {
		os.Exit(1)
	}
}

func run(o policybench.Options, file string) bool {
	start := time.Now()
	results := policybench.RunAll(policybench.Cases(o), o.Workers)
	r := &policybench.Report{Results: results, Checks: policybench.Checks(results)}
	ok := r.WriteTable(os.Stdout)
	fmt.Printf("\n%d runs of %s, seeds %v, in %s\n", len(results), o.Day, o.Seeds, time.Since(start).Round(time.Second))
	if file == "" {
		return ok
	}
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench: cannot write results:", err)
		return false
	}
	defer f.Close()
	return r.WriteJSON(f) == nil && ok
}
