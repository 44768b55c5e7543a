// Command skylark-bench-entry measures an entry against a stand-in upstream in
// one process over loopback, and exits with 1 where a bound is missed.
package main

import (
	"fmt"
	"os"

	"skylarkport/internal/entrybench"
)

func main() {
	met, err := entrybench.Run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !met {
		os.Exit(1)
	}
}
