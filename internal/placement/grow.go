package placement

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

const (
	tightMemory    = 0.9  // use over commitment at which memory grows
	tightProcessor = 0.95 // use over commitment at which processors grow
	growProcessor  = 0.5  // fraction by which processors grow
	shrinkBelow    = 0.7  // wanted over committed processors or memory at which a run shrinks
	leastGrowth    = 1.05 // of memory that is worth having instead of a move
	shrinkAge      = time.Minute
)

// grow sizes running tasks again: more memory before it runs out, by a move
// where the worker has none left; more processors where some are free; less
// where tasks wait and the run holds far more than its family uses. Room that is
// being made for a task is left to it.
func (c *cycle) grow() {
	for _, n := range c.nodes {
		if n.busy || n.w.Health != Healthy || n.over {
			continue
		}
		for i, r := range n.w.Runs {
			if !r.Stopping && !r.Throttled {
				c.size(n, r, n.view.run(r.ID, i))
			}
		}
	}
}

func (c *cycle) size(n *node, r *Run, v *RunView) {
	if v == nil || v.At < r.Started {
		return
	}
	held := sane(r.Commit)
	want := held
	if float64(v.Used.MemoryMB) >= tightMemory*float64(held.MemoryMB) {
		want.MemoryMB = max(grown(v.Used.MemoryMB, c.v.Config.MemoryMargin), held.MemoryMB+1)
	}
	if want != held {
		c.growMemory(n, r, held, want)
		return
	}
	if n.leaving.IsZero() && float64(v.Used.MilliCPU) >= tightProcessor*float64(held.MilliCPU) {
		c.growProcessors(n, r, held)
		return
	}
	c.shrink(n, r, v, held)
}

func (c *cycle) growMemory(n *node, r *Run, held, want resource.Vector) {
	want = largest(want, resource.Vector{MemoryMB: c.commitment(r.Spec, r.ID.Task).MemoryMB})
	if c.resize(n, r, held, want, StageGrow, "memory is nearly used up") {
		return
	}
	part := held
	part.MemoryMB += n.free.MemoryMB
	if float64(part.MemoryMB) >= leastGrowth*float64(held.MemoryMB) && c.resize(n, r, held, part, StageGrow, "memory is nearly used up; the worker has no more") {
		return
	}
	if r.Spec.Kind != job.Batch || !c.holdable(want) {
		return
	}
	c.step(Move, n, r, want, StageGrow, "needs %d MiB and the worker has no more", want.MemoryMB)
}

func (c *cycle) growProcessors(n *node, r *Run, held resource.Vector) {
	want := held
	want.MilliCPU = grown(held.MilliCPU, growProcessor)
	want.MilliCPU = min(want.MilliCPU, held.MilliCPU+n.free.MilliCPU)
	if float64(want.MilliCPU) < 1.1*float64(held.MilliCPU) {
		return
	}
	c.resize(n, r, held, want, StageGrow, "uses all its processors")
}

func (c *cycle) shrink(n *node, r *Run, v *RunView, held resource.Vector) {
	if r.Spec.Kind != job.Batch || len(c.s.Pending) == 0 || c.s.Now-r.Started < shrinkAge {
		return
	}
	want := least(held, c.commitment(r.Spec, r.ID.Task))
	used := resource.Vector{
		MilliCPU: grown(v.Used.MilliCPU, c.v.Config.ProcessorMargin),
		MemoryMB: grown(v.Used.MemoryMB, c.v.Config.MemoryMargin),
	}
	want = least(held, largest(want, used))
	want.Accelerators = held.Accelerators
	cpu := float64(want.MilliCPU) < shrinkBelow*float64(held.MilliCPU)
	memory := float64(want.MemoryMB) < shrinkBelow*float64(held.MemoryMB)
	if cpu || memory {
		c.resize(n, r, held, want, StageShrink, "its family uses less than it holds")
	}
}

// resize changes what r holds, if that fits worker and quota.
func (c *cycle) resize(n *node, r *Run, held, want resource.Vector, stage, why string) bool {
	more := want.Sub(held)
	if !want.Valid() || !more.Fits(n.free) {
		return false
	}
	if h, limited := c.headroom[r.Spec.Tenant]; limited {
		if !more.Fits(largest(h, resource.Vector{})) {
			return false
		}
		c.headroom[r.Spec.Tenant] = h.Sub(more)
	}
	// What a run gives up is free once the worker holds the run to it, which
	// the next snapshot shows.
	c.take(n, largest(more, resource.Vector{}))
	c.step(Resize, n, r, want, stage, "%s", why)
	return true
}
