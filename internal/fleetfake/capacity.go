package fleetfake

import (
	"fmt"
	"time"

	"skylarkport/internal/resource"
)

// limitGrace is how long after its capacity has shrunk a worker tolerates starts that exceed it. The
// registration shows the capacity within registrationInterval.
const limitGrace = 3500 * time.Millisecond

// SetNeeds sets the function that returns what a run of a task reserves. Workers then either
// check their capacity and reject what does not fit, or record a violation.
func (w *Workers) SetNeeds(checkCapacity bool, f func(task string) resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checksCapacity, w.needs = checkCapacity, f
}

// SetCapacity changes the capacity of a worker while it runs.
func (w *Workers) SetCapacity(id string, capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fw := w.byID[id]
	fw.capacity = capacity
	if !fw.largest.Fits(capacity) {
		time.AfterFunc(limitGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			fw.largest = fw.capacity
		})
		return
	}
	fw.largest = capacity
}

// fits reports whether the worker accepts a start of a task, and records a violation if it starts more
// than its capacity without a check. Runs that are being stopped count.
func (fw *fakeWorker) fits(task string) bool {
	w := fw.fleet
	if w.needs == nil {
		return true
	}
	used := w.needs(task)
	for running := range fw.runs {
		used = used.Add(w.needs(running))
	}
	if w.checksCapacity {
		return used.Fits(fw.capacity)
	}
	if !used.Fits(fw.largest) {
		w.violations = append(w.violations, fmt.Sprintf("%s on %s needs %v in all, its capacity is %v", task, fw.id, used, fw.largest))
	}
	return true
}
