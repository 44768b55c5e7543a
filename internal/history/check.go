package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Check checks the input against every rule and returns the violations, in an
// order that depends on the input alone.
func Check(in Input) []Violation {
	c := &checker{in: in}
	for _, rule := range []func(){
		c.checkRecordComplete, c.checkRuns, c.checkFinished, c.checkWorkers, c.checkExecutions, c.checkCalls, c.checkStops, c.checkVersions,
	} {
		rule()
	}
	return c.violations
}

// checker holds the input and the violations found so far.
type checker struct {
	in         Input
	violations []Violation
}

func (c *checker) add(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkRecordComplete checks that no record was dropped, because the other rules
// can only be checked on a complete record.
func (c *checker) checkRecordComplete() {
	if n := c.in.Record.Totals.RecordsDropped; n > 0 {
		c.add(RecordComplete, "%d records were dropped", n)
	}
}

// checkWorkers checks that no worker was committed beyond its capacity or
// offered more requests or connections than it accepts.
func (c *checker) checkWorkers() {
	for _, p := range c.in.Record.Workers {
		if p.OvercommitCount > 0 || !p.Committed.Fits(p.Capacity) {
			c.add(NoOvercommit, "%s committed up to %+v of its capacity %+v", p.Worker, p.Committed, p.Capacity)
		}
		if p.SlotsRefused > 0 || p.ConnsRefused > 0 {
			c.add(WithinSlots, "%s refused %d requests and %d connections", p.Worker, p.SlotsRefused, p.ConnsRefused)
		}
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
