package dispatch

import (
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
	Stranded  bool          // no worker of its shard can run it
	RefusedBy []string      // shards that returned the task
}

// step is the step of the task or gang.
func (r *LoanRequest) step() *workload.Step { return &r.Spec.Steps[0] }

// ChooseBorrower returns the named shard that should run the task, whose queue has the service, or
// "" if none probably has a worker for it. Shards without a worker that could run it are left out.
//
// It answers the load of a fleet in which most capacity is held by long-running tasks: the load
// of a whole shard tells little then, as the tasks in its queue count and a single worker may be
// free all the same. A shard with a free worker is taken first. If the own shard has no worker
// on which the task fits even once all short runs have ended, a shard that has one is taken.
// A task that still runs is only given to a shard in which nothing waits for the free worker,
// and whose list tells what that worker is: its run is stopped first, and must not be stopped for a
// place that it does not get. Shards whose lists are cut off before a worker that may fit come last, in
// turn, as each one that returns the task is left out. A stranded task is given to a full shard rather
// than to none: runs of lower priority are stopped for it there.
func ChooseBorrower(r *LoanRequest, service string, loads map[string]Load, names []string) string {
	st, need := r.step(), r.step().Committed()
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		l := loads[name]
		return slices.Contains(r.RefusedBy, name) || !l.CanRun(st, service)
	})
	if !st.LongRunning {
		return roomiest(st, loads, names)
	}
	name := leastLoaded(loads, names, func(l *Load) bool {
		return l.fitsListed(l.FreeWorkers, st, service) && (!r.Running || l.tellsWorkers(st) && l.Utilisation(need.MilliCPU) <= 1)
	})
	if name != "" || r.Running {
		return name
	}
	name = leastLoaded(loads, names, func(l *Load) bool {
		if len(l.SpareWorkers) == 0 {
			return l.Utilisation(need.MilliCPU) <= maxBorrowerLoad
		}
		return !r.FitsLater && l.fitsListed(l.SpareWorkers, st, service)
	})
	if name != "" || r.FitsLater {
		return name
	}
	name = leastLoaded(loads, names, func(l *Load) bool { return l.mayFitUnlisted(l.SpareWorkers, st, service) })
	if name != "" || !r.Stranded {
		return name
	}
	return leastLoaded(loads, names, func(*Load) bool { return true }) // it may stop runs of lower priority there
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
func workerCapacity(v resource.Vector, kind int) WorkerCapacity {
	return WorkerCapacity{v.MilliCPU, v.MemoryMB, v.Accelerators, kind}
}
