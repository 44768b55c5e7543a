// Command cases runs one case of the review: it starts skylark-node as processes beside
// stand-ins on loopback, brings the disruption about unless TROUBLE is 0, and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"skylarkport/review/stand"
)

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

var cases = map[string]func(program string, trouble bool, rec *stand.Record) error{
	"unrunnable":    unrunnable,
	"often":         often,
	"many-ends":     manyEnds,
	"dropped-route": droppedRoute,
	"advice":        advice,
	"gang":          gang,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME SKYLARK-NODE FOLDER")
		os.Exit(couldNotRun)
	}
	rec, err := stand.NewRecord(filepath.Join(os.Args[3], "record.txt"))
	if err == nil {
		err = cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", rec)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	if n := rec.Close(); n > 0 {
		fmt.Println("rules broken:", n)
		os.Exit(ruleBroken)
	}
	os.Exit(ruleHeld)
}
