package dispatch

import (
	"cmp"
	"slices"

	"skylarkport/internal/workload"
)

// WorkerKind describes workers that differ at most in their racks and in their capacity.
type WorkerKind struct {
	Service string         `json:"s"`
	Labels  []string       `json:"l,omitempty"` // without the rack
	Workers int            `json:"n"`
	Largest WorkerCapacity `json:"max"` // the most that one of them has of each resource
}

// maxKinds bounds Load.Kinds. Workers of further kinds run only jobs of their own shard.
const maxKinds = 32

// addKind counts h to its kind and returns the index of that, or -1 beyond maxKinds.
func (l *Load) addKind(h *host) int {
	labels := slices.DeleteFunc(slices.Clone(h.Labels), func(label string) bool { return label == h.Rack })
	i := slices.IndexFunc(l.Kinds, func(k WorkerKind) bool { return k.Service == h.Service && slices.Equal(k.Labels, labels) })
	if i < 0 {
		if i = len(l.Kinds); i == maxKinds {
			return -1
		}
		l.Kinds = append(l.Kinds, WorkerKind{Service: h.Service, Labels: labels})
	}
	k := &l.Kinds[i]
	k.Workers++
	k.Largest = workerCapacity(largest(k.Largest.vector(), h.Capacity), 0)
	return i
}

// kindSuits reports whether workers of the kind with index i may run tasks of the step, whose
// queue has the service. An instance of an earlier version names no kinds.
func (l *Load) kindSuits(i int, st *workload.Step, service string) bool {
	if len(l.Kinds) == 0 {
		return !l.Empty
	}
	if i >= len(l.Kinds) {
		return false
	}
	labels := l.Kinds[i].Labels
	if st.Label != "" && slices.Contains(l.Racks, st.Label) {
		labels = append(slices.Clone(labels), st.Label) // which kinds the rack has is not known
	}
	return suits(st, service, traits{l.Kinds[i].Service, labels})
}

// CanRun reports whether the shard's workers have places for as many tasks of the step as have to run at
// the same time, if nothing else ran there. The step's queue has the service.
func (l *Load) CanRun(st *workload.Step, service string) bool {
	if len(l.Kinds) == 0 {
		return !l.Empty && !l.Closed && (len(l.Services) == 0 || slices.Contains(l.Services, service))
	}
	n := 0
	for i := range l.Kinds {
		if l.kindSuits(i, st, service) {
			n += l.Kinds[i].Workers * places(st, l.Kinds[i].Largest.vector())
		}
	}
	return n >= together(st)
}

// canRunAll reports whether the shard's workers can run every step of the job.
func (l *Load) canRunAll(j *workload.Spec, service string) bool {
	return !slices.ContainsFunc(j.Steps, func(st workload.Step) bool { return !l.CanRun(&st, service) })
}

// tellsWorkers reports whether the lists tell which workers may run tasks of the step. Those of an earlier
// version don't tell services and labels apart.
func (l *Load) tellsWorkers(st *workload.Step) bool {
	return len(l.Kinds) > 0 || len(l.Services) == 1 && st.Label == ""
}

// fitsListed reports whether a task of the step fits on a listed worker.
func (l *Load) fitsListed(workers []WorkerCapacity, st *workload.Step, service string) bool {
	return l.lastFit(workers, st, service) >= 0
}

// lastFit returns the index of the last listed worker on which a task of the step fits, or -1.
func (l *Load) lastFit(workers []WorkerCapacity, st *workload.Step, service string) int {
	need := st.Committed()
	for i := len(workers) - 1; i >= 0; i-- {
		if need.Fits(workers[i].vector()) && l.kindSuits(workers[i].Kind, st, service) {
			return i
		}
	}
	return -1
}

// mayFitUnlisted reports whether a task of the step may fit on a worker that the list leaves out. A full list
// proves only that the others of the kind have no more CPU than its last one, and nothing of their
// memory and accelerators.
func (l *Load) mayFitUnlisted(workers []WorkerCapacity, st *workload.Step, service string) bool {
	listed := make([]int, max(1, len(l.Kinds)))
	for _, w := range workers {
		if w.Kind >= len(listed) {
			continue
		}
		listed[w.Kind]++
		if listed[w.Kind] == listLimit(len(l.Kinds)) && w.MilliCPU >= st.Committed().MilliCPU && l.kindSuits(w.Kind, st, service) {
			return true
		}
	}
	return false
}

// reserveListed returns the list with a place for a task of the step taken from the last worker on which
// it fits. The argument, which other loads may share, is not changed.
func (l *Load) reserveListed(workers []WorkerCapacity, st *workload.Step, service string) []WorkerCapacity {
	i := l.lastFit(workers, st, service)
	if i < 0 {
		return workers
	}
	workers = slices.Clone(workers)
	workers[i] = workerCapacity(workers[i].vector().Sub(st.Committed()), workers[i].Kind)
	return workers
}

// listLimit is the number of workers of each kind in a list, of one kind or none.
func listLimit(kinds int) int {
	return max(minListedWorkers, maxListedWorkers/max(1, kinds))
}

// listWorker adds a worker's capacity to the list, which keeps the maxListedWorkers entries of each
// kind with the most CPU, largest first.
func listWorker(workers []WorkerCapacity, c WorkerCapacity) []WorkerCapacity {
	i, _ := slices.BinarySearchFunc(workers, c, func(a, b WorkerCapacity) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	workers = slices.Insert(workers, i, c)
	same, last := 0, 0
	for k, w := range workers {
		if w.Kind == c.Kind {
			same, last = same+1, k
		}
	}
	if same > maxListedWorkers {
		workers = slices.Delete(workers, last, last+1)
	}
	return workers
}

// trimListed shortens the list, of so many kinds of workers, to listLimit entries of each.
func trimListed(workers []WorkerCapacity, kinds int) []WorkerCapacity {
	if len(workers) <= maxListedWorkers {
		return workers
	}
	listed := make([]int, kinds)
	return slices.DeleteFunc(workers, func(w WorkerCapacity) bool {
		listed[w.Kind]++
		return listed[w.Kind] > listLimit(kinds)
	})
}
