package policybench

import (
	"cmp"
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
)

// firstFit is the baseline: tasks by priority and age, each on the first worker
// that has its declared size free. Replicas of a service go on workers of their
// own where there are any. A task that ran out of memory gets twice as much. It
// moves nothing.
func firstFit(s *placement.Snapshot, grown map[job.TaskID]int64) *placement.Plan {
	p := &placement.Plan{}
	free := make([]resource.Vector, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Capacity
		for _, r := range w.Runs {
			free[i] = free[i].Sub(r.Commit)
		}
	}
	hosts := serviceHosts(s)
	full := map[string]bool{}
	for _, t := range byPriority(s) {
		if full[t.Task.Job] || t.NotBefore > s.Now {
			continue
		}
		needs := t.Spec.Needs
		needs.MemoryMB = max(needs.MemoryMB, grown[t.Task])
		i := firstWith(s, free, hosts, t.Spec, needs)
		if i < 0 {
			full[t.Task.Job] = needs == t.Spec.Needs
			continue
		}
		free[i] = free[i].Sub(needs)
		hosts[i] = hosts[i] || t.Spec.Kind == job.Service
		p.Decisions = append(p.Decisions, placement.Decision{
			Step: placement.Place, Task: t.Task, Worker: s.Workers[i].ID, Commit: needs, Resume: t.Resume,
			Reason: placement.Reason{Stage: "FirstFit", Detail: "first worker with room"},
		})
	}
	return p
}

func serviceHosts(s *placement.Snapshot) []bool {
	hosts := make([]bool, len(s.Workers))
	for i, w := range s.Workers {
		for _, r := range w.Runs {
			hosts[i] = hosts[i] || r.Spec.Kind == job.Service
		}
	}
	return hosts
}

func byPriority(s *placement.Snapshot) []*placement.Pending {
	list := slices.Clone(s.Pending)
	slices.SortFunc(list, func(a, b *placement.Pending) int {
		return cmp.Or(
			cmp.Compare(b.Spec.Priority, a.Spec.Priority),
			cmp.Compare(a.Submitted, b.Submitted),
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
		)
	})
	return list
}

func firstWith(s *placement.Snapshot, free []resource.Vector, hosts []bool, t *job.Spec, needs resource.Vector) int {
	second := -1
	for i, w := range s.Workers {
		if w.Health != placement.Healthy || !needs.Fits(free[i]) {
			continue
		}
		if t.Kind != job.Service || !hosts[i] {
			return i
		}
		if second < 0 {
			second = i
		}
	}
	return second
}
