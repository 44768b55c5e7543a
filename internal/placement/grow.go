package placement

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	growMemoryAbove    = 0.9         // use over commitment from which memory grows
	growProcessorAbove = 0.95        // use over commitment from which processors grow
	processorGrowth    = 0.5         // fraction added to the committed processors
	shrinkBelow        = 0.7         // needed over committed processors or memory below which a run shrinks
	minMemoryGrowth    = 1.05        // new over committed memory from which the run grows in place instead of being moved
	minShrinkAge       = time.Minute // a run that started less than this ago is not shrunk
)

// resizeRuns adjusts the commitments of running tasks to their use. A run that
// has nearly used up its memory gets more, by a move if the worker has none left.
// A run that uses all its processors gets more if some are free. While tasks are
// pending, a run that holds far more than its family uses shrinks. Processors do
// not grow on a worker with stopping runs: what these release may be meant for a
// task that preempted them.
func (c *cycle) resizeRuns() {
	for _, n := range c.nodes {
		if n.hasStep || n.worker.Health != Healthy || n.overcommitted {
			continue
		}
		for i, r := range n.worker.Runs {
			if !r.Stopping && !r.Throttled {
				c.resizeRun(n, r, n.view.findRun(r.ID, i))
			}
		}
	}
}

// resizeRun adjusts the commitment of r to its measured use v, with at most one
// step.
func (c *cycle) resizeRun(n *node, r *Run, v *RunView) {
	if v == nil || v.MeasuredAt < r.Started {
		return
	}
	held := clampVector(r.Commit)
	want := held
	if float64(v.Used.MemoryMB) >= growMemoryAbove*float64(held.MemoryMB) {
		want.MemoryMB = max(withMargin(v.Used.MemoryMB, c.view.Config.MemoryMargin), held.MemoryMB+1)
	}
	if want != held {
		c.growMemory(n, r, held, want)
		return
	}
	if n.releasing.IsZero() && float64(v.Used.MilliCPU) >= growProcessorAbove*float64(held.MilliCPU) {
		c.growProcessors(n, r, held)
		return
	}
	c.shrink(n, r, v, held)
}

// growMemory raises the memory of r to want, or to what its family needs if that
// is more. If the worker has too little, r takes all that is left, or a batch run
// is moved to a worker with enough.
func (c *cycle) growMemory(n *node, r *Run, held, want resource.Vector) {
	want = maxVector(want, resource.Vector{MemoryMB: c.commitment(r.Spec, r.ID.Task).MemoryMB})
	if c.tryResize(n, r, held, want, StageGrow, "memory is nearly used up") {
		return
	}
	part := held
	part.MemoryMB += n.free.MemoryMB
	if float64(part.MemoryMB) >= minMemoryGrowth*float64(held.MemoryMB) && c.tryResize(n, r, held, part, StageGrow, "memory is nearly used up; takes what the worker has left") {
		return
	}
	if r.Spec.Kind != job.Batch || !c.fitsSomeWorker(want) {
		return
	}
	c.addStep(Move, n, r, want, StageGrow, "needs %d MiB of memory, which the worker does not have", want.MemoryMB)
}

// growProcessors raises the processors of r by up to processorGrowth, if the
// worker has enough free for it to matter.
func (c *cycle) growProcessors(n *node, r *Run, held resource.Vector) {
	want := held
	want.MilliCPU = withMargin(held.MilliCPU, processorGrowth)
	want.MilliCPU = min(want.MilliCPU, held.MilliCPU+n.free.MilliCPU)
	if float64(want.MilliCPU) < 1.1*float64(held.MilliCPU) {
		return
	}
	c.tryResize(n, r, held, want, StageGrow, "uses nearly all its processors")
}

// shrink lowers the commitment of a batch run to what its family, and the run
// itself, were observed to use, while other tasks are pending.
func (c *cycle) shrink(n *node, r *Run, v *RunView, held resource.Vector) {
	if r.Spec.Kind != job.Batch || len(c.snapshot.Pending) == 0 || c.snapshot.Now-r.Started < minShrinkAge {
		return
	}
	want := minVector(held, c.commitment(r.Spec, r.ID.Task))
	used := resource.Vector{
		MilliCPU: withMargin(v.Used.MilliCPU, c.view.Config.CPUMargin),
		MemoryMB: withMargin(v.Used.MemoryMB, c.view.Config.MemoryMargin),
	}
	want = minVector(held, maxVector(want, used))
	want.Accelerators = held.Accelerators
	cpu := float64(want.MilliCPU) < shrinkBelow*float64(held.MilliCPU)
	memory := float64(want.MemoryMB) < shrinkBelow*float64(held.MemoryMB)
	if cpu || memory {
		c.tryResize(n, r, held, want, StageShrink, "holds far more than its family uses")
	}
}

// tryResize changes the commitment of r if the worker's free capacity and the
// organisation's quota allow it, and reports whether it did.
func (c *cycle) tryResize(n *node, r *Run, held, want resource.Vector, stage, why string) bool {
	more := want.Sub(held)
	if !want.Valid() || !more.Fits(n.free) {
		return false
	}
	if h, limited := c.headroom[r.Spec.Organisation]; limited {
		if !more.Fits(maxVector(h, resource.Vector{})) {
			return false
		}
		c.headroom[r.Spec.Organisation] = h.Sub(more)
	}
	// Resources that a run gives up stay reserved in this cycle: they are free
	// once the worker enforces the lower limit, which a later snapshot shows.
	c.allocate(n, maxVector(more, resource.Vector{}))
	c.addStep(Resize, n, r, want, stage, "%s", why)
	return true
}
