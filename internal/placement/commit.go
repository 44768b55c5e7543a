package placement

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	// processorSamples and memoryRuns are how much must have been observed
	// of a family before its observed processors, or its peak of memory over
	// whole runs, take the place of the declaration.
	processorSamples = 20
	memoryRuns       = 5

	minMilliCPU = 50
	minMemoryMB = 32
)

// commitment returns what to commit for a task: what its family was observed to
// use, with margins, or else what it declares. Accelerators are whole devices
// and held as declared. An observation may exceed the declaration; it never
// makes a task too large for every worker.
func (c *cycle) commitment(s *job.Spec, t job.TaskID) resource.Vector {
	declared := sane(s.Needs)
	v := declared
	if u := c.profile(s).usage; u != nil && s.Kind == job.Batch {
		if u.Samples >= processorSamples {
			v.MilliCPU = max(minMilliCPU, grown(u.Used.MilliCPU, c.v.Config.ProcessorMargin))
		}
		if u.Ended >= memoryRuns {
			v.MemoryMB = max(minMemoryMB, grown(u.Used.MemoryMB, c.v.Config.MemoryMargin))
		}
	}
	if f, ok := c.v.Floors[t]; ok {
		v = largest(v, sane(f))
	}
	return c.within(v, declared)
}

// within bounds an observed amount by the largest worker. A declaration that no
// worker holds is returned as it is.
func (c *cycle) within(v, declared resource.Vector) resource.Vector {
	if c.holdable(v) {
		return v
	}
	for _, l := range c.largest {
		if declared.Fits(l) {
			return least(v, l)
		}
	}
	return largest(least(v, declared), resource.Vector{Accelerators: declared.Accelerators})
}
