package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// unreachableGrace is how long a listed worker may give no answer before its shard no longer
// counts on it. Most workers answer again sooner, and a task that leaves its shard takes about as long.
const unreachableGrace = 2 * time.Second

// traits are what a worker, or a kind of workers, is beside its capacity.
type traits struct {
	service string
	labels  []string
}

// traitFilter reports whether workers with these traits may run tasks of the step, whose queue
// has the service.
type traitFilter func(st *workload.Step, service string, w traits) bool

// traitFilters must all pass, for a placement as for the choice of the shard that makes it. A
// shard that is chosen by less gets tasks that it can never run.
var traitFilters = []traitFilter{serviceFits, labelFits}

// serviceFits requires a worker of the queue's service.
func serviceFits(_ *workload.Step, service string, w traits) bool { return w.service == service }

// labelFits requires the label that the step names, if any.
func labelFits(st *workload.Step, _ string, w traits) bool {
	return st.Label == "" || slices.Contains(w.labels, st.Label)
}

// suits reports whether workers with these traits pass all trait filters.
func suits(st *workload.Step, service string, w traits) bool {
	for _, f := range traitFilters {
		if !f(st, service, w) {
			return false
		}
	}
	return true
}

// traits returns the traits of the worker.
func (h *host) traits() traits { return traits{h.Service, h.Labels} }

// places returns how many tasks of the step an empty worker runs at a time, at most all of them.
func places(st *workload.Step, capacity resource.Vector) int {
	limit := st.Tasks
	if st.MaxPerWorker > 0 {
		limit = min(limit, st.MaxPerWorker)
	}
	n, need := 0, st.Committed()
	for n < limit && need.Fits(capacity) {
		capacity = capacity.Sub(need)
		n++
	}
	return n
}

// together returns how many tasks of the step have to run at the same time.
func together(st *workload.Step) int {
	if st.Gang {
		return st.Tasks
	}
	return 1
}

// usable reports whether the shard counts on h for later runs, however busy it is now.
func (s *Shard) usable(h *host, now time.Duration) bool {
	return h.listed && !h.Draining && !s.zones.closed[h.Zone] && (h.unreachableSince == 0 || now-h.unreachableSince < unreachableGrace)
}

// canRun reports whether the workers of this shard could run t, or its gang, if nothing else ran
// there. A shard keeps no task that it cannot run. The tasks of a queue that is not configured
// wait for their queue.
func (s *Shard) canRun(t *task, now time.Duration) bool {
	q := queueOf(s.cfg.Config(), t.job)
	return q == nil || s.hasPlaces(t.step, q, now) && !s.adviceExhausted(t)
}

// hasPlaces reports whether the workers of this shard have places for as many tasks of the step as have to
// run at the same time.
func (s *Shard) hasPlaces(st *workload.Step, q *fleet.Queue, now time.Duration) bool {
	missing := together(st)
	for _, h := range s.hosts {
		if !s.usable(h, now) || !suits(st, q.Service, h.traits()) {
			continue
		}
		if missing -= places(st, h.Capacity); missing <= 0 {
			return true
		}
	}
	return false
}
