package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Check returns every violation in the input, in a fixed order.
func Check(in Input) []Violation {
	c := &checker{in: in}
	for _, rule := range []func(){
		c.complete, c.runs, c.finished, c.workers, c.executions, c.calls, c.stops, c.versions,
	} {
		rule()
	}
	return c.found
}

type checker struct {
	in    Input
	found []Violation
}

func (c *checker) add(rule Rule, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) complete() {
	if n := c.in.Record.Totals.RecordsDropped; n > 0 {
		c.add(Complete, "%d records were dropped", n)
	}
}

func (c *checker) workers() {
	for _, m := range c.in.Record.Workers {
		if m.Over > 0 || !m.Committed.Fits(m.Capacity) {
			c.add(NoOvercommit, "%s committed %+v of %+v", m.Worker, m.Committed, m.Capacity)
		}
		if m.SlotsRefused > 0 || m.ConnsRefused > 0 {
			c.add(WithinSlots, "%s refused %d requests and %d connections", m.Worker, m.SlotsRefused, m.ConnsRefused)
		}
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
