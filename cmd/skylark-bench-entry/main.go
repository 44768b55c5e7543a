// Command skylark-bench-entry measures an entry in front of a stand-in upstream in
// one process over loopback. It exits with status 1 if a bound is missed, and with
// 2 if a measurement fails.
package main

import (
	"fmt"
	"os"

	"skylarkport/internal/entrybench"
)

func main() {
	allMet, err := entrybench.Run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !allMet {
		os.Exit(1)
	}
}
