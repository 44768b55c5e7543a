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

// byPriority orders the jobs by priority and age. The snapshot holds the tasks
// of a job side by side.
func byPriority(s *placement.Snapshot) []*placement.Pending {
	var jobs [][]*placement.Pending
	for i, p := range s.Pending {
		if i == 0 || p.Task.Job != s.Pending[i-1].Task.Job {
			jobs = append(jobs, nil)
		}
		jobs[len(jobs)-1] = append(jobs[len(jobs)-1], p)
	}
	slices.SortFunc(jobs, func(a, b []*placement.Pending) int {
		return cmp.Or(
			cmp.Compare(b[0].Spec.Priority, a[0].Spec.Priority),
			cmp.Compare(a[0].Submitted, b[0].Submitted),
			cmp.Compare(a[0].Task.Job, b[0].Task.Job),
		)
	})
	return slices.Concat(jobs...)
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
