package dispatch

import (
	"cmp"
	"math"
	"slices"

	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// maxBorrowerLoad is the load up to which a shard is lent single tasks if it does not list its
// free workers, as instances of earlier versions do not.
const maxBorrowerLoad = 0.95

// LoanRequest describes a task that finds no worker in its own shard.
type LoanRequest struct {
	Spec      workload.Spec // the job that the borrower would store: one step of one task
	Running   bool          // the task still runs, on a draining worker
	FitsLater bool          // it fits on a worker of its shard once short runs there have ended
	RefusedBy []string      // shards that returned the task
}

// step is the step of the task.
func (r *LoanRequest) step() *workload.Step { return &r.Spec.Steps[0] }

// ChooseBorrower returns the named shard that should run the task, or "" if none probably has a
// worker for it.
//
// It answers the load of a fleet in which most capacity is held by long-running tasks: the load
// of a whole shard tells little then, as the tasks in its queue count and a single worker may be
// free all the same. A shard with a free worker is taken first. If the own shard has no worker
// on which the task fits even once all short runs have ended, a shard that has one is taken.
// A task that still runs is only given to a shard in which nothing waits for the free worker,
// and whose workers are all of one service, as the lists don't tell services apart: its run is
// stopped first, and must not be stopped for a place that it does not get. Shards whose lists are cut off
// before a worker that may fit come last, in turn, as each one that returns the task is left out.
func ChooseBorrower(r *LoanRequest, loads map[string]Load, names []string) string {
	need := r.step().Committed()
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(r.RefusedBy, name) })
	if !r.step().LongRunning {
		return roomiest(r.step(), loads, names)
	}
	name := leastLoaded(loads, names, func(l *Load) bool {
		return fitsListed(l.FreeWorkers, need) && (!r.Running || len(l.Services) == 1 && l.Utilisation(need.MilliCPU) <= 1)
	})
	if name != "" || r.Running {
		return name
	}
	name = leastLoaded(loads, names, func(l *Load) bool {
		if len(l.SpareWorkers) == 0 {
			return l.Utilisation(need.MilliCPU) <= maxBorrowerLoad
		}
		return !r.FitsLater && fitsListed(l.SpareWorkers, need)
	})
	if name != "" || r.FitsLater {
		return name
	}
	return leastLoaded(loads, names, func(l *Load) bool { return mayFitUnlisted(l.SpareWorkers, need) })
}

// mayFitUnlisted reports whether a worker that the list leaves out may fit need. A full list proves only
// that the others have no more CPU than its last entry, and nothing of their memory and accelerators.
func mayFitUnlisted(workers []WorkerCapacity, need resource.Vector) bool {
	return len(workers) == maxListedWorkers && workers[maxListedWorkers-1].MilliCPU >= need.MilliCPU
}

// roomiest returns the named shard with the most room for a task that ends by itself, however full
// that is, or "" if none has a worker. Such a task is lent only by a shard that cannot run it at
// all.
func roomiest(st *workload.Step, loads map[string]Load, names []string) string {
	if !st.Backfill {
		return leastLoaded(loads, names, func(*Load) bool { return true })
	}
	best, most := "", int64(math.MinInt64)
	for _, name := range names {
		l := loads[name]
		if available := l.BackfillAvailable(st.Image); l.Capacity > 0 && available > most {
			best, most = name, available
		}
	}
	return best
}

// leastLoaded returns the named shard with the lowest load among those that pass the filter, or
// "".
func leastLoaded(loads map[string]Load, names []string, filter func(*Load) bool) string {
	best, least := "", noCapacityUtilisation
	for _, name := range names {
		l := loads[name]
		if u := l.Utilisation(0); u < least && filter(&l) {
			best, least = name, u
		}
	}
	return best
}

// vector returns c as a vector.
func (c WorkerCapacity) vector() resource.Vector {
	return resource.Vector{MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators}
}

// workerCapacity returns v as an entry of a list of workers.
func workerCapacity(v resource.Vector) WorkerCapacity {
	return WorkerCapacity{v.MilliCPU, v.MemoryMB, v.Accelerators}
}

// fitsListed reports whether need fits on a listed worker.
func fitsListed(workers []WorkerCapacity, need resource.Vector) bool {
	return slices.ContainsFunc(workers, func(c WorkerCapacity) bool { return need.Fits(c.vector()) })
}

// listWorker adds a worker's capacity to the list, which keeps the maxListedWorkers entries with
// the most CPU, largest first.
func listWorker(workers []WorkerCapacity, capacity resource.Vector) []WorkerCapacity {
	c := workerCapacity(capacity)
	i, _ := slices.BinarySearchFunc(workers, c, func(a, b WorkerCapacity) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	if i == maxListedWorkers {
		return workers
	}
	workers = slices.Insert(workers, i, c)
	return workers[:min(len(workers), maxListedWorkers)]
}

// reserveListed returns the list with need taken from the last worker on which it fits. The
// argument, which other loads may share, is not changed.
func reserveListed(workers []WorkerCapacity, need resource.Vector) []WorkerCapacity {
	for i := len(workers) - 1; i >= 0; i-- {
		if c := workers[i].vector(); need.Fits(c) {
			workers = slices.Clone(workers)
			workers[i] = workerCapacity(c.Sub(need))
			return workers
		}
	}
	return workers
}
