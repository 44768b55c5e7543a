package policybench

import (
	"cmp"
	"slices"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
)

// firstFit is the baseline policy: it places tasks by priority and age, each on
// the first worker that has the task's declared resources free. Replicas of
// services prefer workers that host no service yet. A task that ran out of memory
// gets twice its former memory. It never moves, throttles or preempts a run.
func firstFit(s *placement.Snapshot, raisedMemory map[job.TaskID]int64) *placement.Plan {
	p := &placement.Plan{}
	free := make([]resource.Vector, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Capacity
		for _, r := range w.Runs {
			free[i] = free[i].Sub(r.Commit)
		}
	}
	hostsService := workersWithService(s)
	jobsWithoutCapacity := map[string]bool{}
	for _, t := range byPriority(s) {
		if jobsWithoutCapacity[t.Task.Job] || t.NotBefore > s.Now {
			continue
		}
		needs := t.Spec.Needs
		needs.MemoryMB = max(needs.MemoryMB, raisedMemory[t.Task])
		i := firstWorkerWithCapacity(s, free, hostsService, t.Spec, needs)
		if i < 0 {
			jobsWithoutCapacity[t.Task.Job] = needs == t.Spec.Needs
			continue
		}
		free[i] = free[i].Sub(needs)
		hostsService[i] = hostsService[i] || t.Spec.Kind == job.Service
		p.Decisions = append(p.Decisions, placement.Decision{
			Step: placement.Place, Task: t.Task, Worker: s.Workers[i].ID, Commit: needs, Resume: t.Resume,
			Reason: placement.Reason{Stage: "FirstFit", Detail: "first worker with enough free capacity"},
		})
	}
	return p
}

// workersWithService reports for each worker whether it hosts a replica of a
// service.
func workersWithService(s *placement.Snapshot) []bool {
	hostsService := make([]bool, len(s.Workers))
	for i, w := range s.Workers {
		for _, r := range w.Runs {
			hostsService[i] = hostsService[i] || r.Spec.Kind == job.Service
		}
	}
	return hostsService
}

// byPriority returns the pending tasks with their jobs ordered by priority and
// age. It relies on the snapshot holding the tasks of a job next to each other.
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

// firstWorkerWithCapacity returns the index of the first healthy worker that has
// needs free, or -1. For a replica of a service it prefers one without services.
func firstWorkerWithCapacity(s *placement.Snapshot, free []resource.Vector, hostsService []bool, t *job.Spec, needs resource.Vector) int {
	fallback := -1
	for i, w := range s.Workers {
		if w.Health != placement.Healthy || !needs.Fits(free[i]) {
			continue
		}
		if t.Kind != job.Service || !hostsService[i] {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}
