package fleetfake

import (
	"fmt"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// DefaultCrashDelay is the time from the start of a run that crashes its worker to the crash, unless
	// SetCrashDelay changes it.
	DefaultCrashDelay = 10 * time.Millisecond
	// ReplacementDelay is the time from the crash of a worker to the start of its replacement.
	ReplacementDelay = 3 * time.Second
	// crashedListedFor is how long the registration of a crashed worker remains.
	crashedListedFor = 4500 * time.Millisecond
)

// SetCrashes sets the function that decides whether a run crashes its worker soon after its
// start.
func (w *Workers) SetCrashes(f func(task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = f
}

// SetGang sets the function that names the gang of a task, or returns "" if it is in none. A gang
// ends with the worker of one of its tasks.
func (w *Workers) SetGang(f func(task string) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gang = f
}

// GangWait is how long a member of a gang waits for the others.
const GangWait = 3 * time.Second

// SetGangSize sets the function that returns how many tasks the gang of a task has. Members of an incomplete gang
// end after GangWait.
func (w *Workers) SetGangSize(f func(task string) int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gangSize = f
}

// joinGang records that the members of the gang of r have all started, if they have. The caller holds the lock.
func (w *Workers) joinGang(r *run) {
	if w.gang == nil || w.gangSize == nil || w.gang(r.task) == "" {
		r.joined = true
		return
	}
	gang := w.gang(r.task)
	var members []*run
	for _, fw := range w.byID {
		for _, m := range fw.runs {
			if m.number == r.number && w.gang(m.task) == gang {
				members = append(members, m)
			}
		}
	}
	for _, m := range members {
		m.joined = len(members) == w.gangSize(r.task)
	}
}

// breakGangs ends the runs on other workers of the gangs that have a run on fw. The caller holds
// the lock.
func (w *Workers) breakGangs(fw *fakeWorker) {
	if w.gang == nil {
		return
	}
	for task := range fw.runs {
		gang := w.gang(task)
		for _, o := range w.byID {
			for _, r := range o.runs {
				if o != fw && gang != "" && w.gang(r.task) == gang {
					o.endRun(r, fleet.EndGangBroken)
				}
			}
		}
	}
}

// breakGang ends the other runs of the gang of r, which has ended. The caller holds the lock.
func (w *Workers) breakGang(r *run) {
	if w.gang == nil || w.gang(r.task) == "" {
		return
	}
	gang := w.gang(r.task)
	for _, o := range w.byID {
		for _, other := range o.runs {
			if other.number == r.number && w.gang(other.task) == gang {
				o.endRun(other, fleet.EndGangBroken)
			}
		}
	}
}

// SetCrashDelay sets the time from the start of a run that crashes its worker to the crash.
func (w *Workers) SetCrashDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashDelay = d
}

// CrashesBy returns how many workers a task has crashed.
func (w *Workers) CrashesBy(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashCount[task]
}

// Crashes counts the workers that tasks have crashed.
func (w *Workers) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.crashCount {
		n += c
	}
	return n
}

// Crash kills a worker, which leaves the registry some seconds later. Another worker then starts
// at its address, under a new id.
func (w *Workers) Crash(id string) {
	w.Kill(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].listedUntil = time.Now().Add(crashedListedFor)
	time.AfterFunc(ReplacementDelay, func() { w.replace(id) })
}

// replace starts a worker at the address of a crashed one.
func (w *Workers) replace(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.byID[id]
	w.replacements++
	w.start(&fakeWorker{
		fleet: w, id: fmt.Sprintf("%s-%d", old.address, w.replacements), address: old.address, zone: old.zone, rack: old.rack,
		ctx: old.ctx, capacity: old.capacity, largest: old.capacity, slowdown: old.slowdown,
	})
}

// replacementOf reports whether another worker runs at the address of the dead worker fw.
func (w *Workers) replacementOf(fw *fakeWorker) bool {
	for _, o := range w.byID {
		if o != fw && o.address == fw.address && !o.dead && !o.unreachable {
			return true
		}
	}
	return false
}

// crashAfterStart crashes the worker if the run of a task that does so has begun.
func (w *Workers) crashAfterStart(fw *fakeWorker, task string) {
	if w.crashes == nil || !w.crashes(task) {
		return
	}
	incarnation := fw.incarnation
	time.AfterFunc(w.crashDelay, func() {
		w.mu.Lock()
		crashes := fw.incarnation == incarnation && !fw.dead && fw.runs[task] != nil
		if crashes {
			w.crashCount[task]++
		}
		w.mu.Unlock()
		if crashes {
			w.Crash(fw.id)
		}
	})
}
