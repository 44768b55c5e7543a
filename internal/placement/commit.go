package placement

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	// minProcessorSamples is the number of usage samples, and minMemoryRuns the
	// number of finished runs, after which a family's observed processor use and
	// memory peak replace the declared amounts. Memory needs whole runs, because
	// its peak may come at any time during a run.
	minProcessorSamples = 20
	minMemoryRuns       = 5

	// minMilliCPU and minMemoryMB are the smallest commitments that follow from
	// observed use.
	minMilliCPU = 50
	minMemoryMB = 32
)

// commitment returns the resources to commit for a task. A batch task gets what
// its family was observed to use, plus margins, once there are enough
// observations; any other task gets what it declares. Accelerators are whole
// devices and committed as declared. The minimum commitment of a task that outgrew
// an earlier one is a lower bound. Neither it nor observed use raises the commitment
// so far above the declaration that no worker could hold the task.
func (c *cycle) commitment(s *job.Spec, t job.TaskID) resource.Vector {
	declared := clampVector(s.Needs)
	v := declared
	if u := c.profile(s).usage; u != nil && s.Kind == job.Batch {
		if u.Samples >= minProcessorSamples {
			v.MilliCPU = max(minMilliCPU, withMargin(u.Used.MilliCPU, c.view.Config.CPUMargin))
		}
		if u.FinishedRuns >= minMemoryRuns {
			v.MemoryMB = max(minMemoryMB, withMargin(u.Used.MemoryMB, c.view.Config.MemoryMargin))
		}
	}
	if f, ok := c.view.MinCommitments[t]; ok {
		v = maxVector(v, clampVector(f))
	}
	return c.capToLargestWorker(v, declared)
}

// capToLargestWorker reduces the observed amount v to the capacity of a worker
// that could hold the declared amount, unless v fits on some worker as it is. If
// no worker could hold the declared amount either, it returns the smaller of both
// in each dimension, with the declared accelerators.
func (c *cycle) capToLargestWorker(v, declared resource.Vector) resource.Vector {
	if c.fitsSomeWorker(v) {
		return v
	}
	for _, l := range c.largestCapacities {
		if declared.Fits(l) {
			return minVector(v, l)
		}
	}
	return maxVector(minVector(v, declared), resource.Vector{Accelerators: declared.Accelerators})
}
