package dispatch

import (
	"time"

	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// waitReason is why a plan left a startable task waiting.
type waitReason uint8

const (
	waitBehind    waitReason = iota // not tried: an earlier task of its step found no worker
	waitNoVictims                   // no stop of runs of lower priority would free enough capacity at an allowed cost
	waitRelease                     // the runs that it waits for are being stopped
	waitReserved                    // a worker is reserved for it until short runs there have ended
	waitRow                         // the row of its job has no room for another run
)

var waitReasonNames = [...]string{"behind", "no victims", "release", "reserved", "row full"}

func (r waitReason) String() string { return waitReasonNames[r] }

// waitLogInterval is how often the waiting long-running tasks of a job are logged.
const waitLogInterval = 2 * time.Second

// logWait logs what the long-running task t waits for, on behalf of all waiting tasks of its
// job. noBorrower says why no other shard can run it. The caller holds the lock.
func (s *Shard) logWait(t *task, noBorrower string, now time.Duration) {
	if now-t.job.waitLoggedAt < waitLogInterval {
		return
	}
	t.job.waitLoggedAt = now
	w := s.examineWait(t, now)
	logger.WithField("task", t.name).WithField("shard", s.cfg.Name).WithField("waited", (now-t.pendingSince).String()).
		WithField("waiting", w.waiting).WithField("reason", t.waitReason.String()).
		WithField("need_mcpu", t.step.Needs.MilliCPU).WithField("need_mb", t.step.Needs.MemoryMB).
		WithField("eligible_workers", w.eligible).WithField("fitting_workers", w.fitting).
		WithField("cpu_fitting_workers", w.fittingCPU).WithField("memory_fitting_workers", w.fittingMemory).
		WithField("no_borrower", noBorrower).Info("long-running task waits for capacity")
}

// wait describes the capacity that a waiting task finds in its shard, before the plan
// reserves any for other waiting tasks.
type wait struct {
	waiting       int // waiting tasks of the job
	eligible      int // workers that pass all filters
	fitting       int // eligible workers with enough free capacity
	fittingCPU    int // eligible workers with enough free CPU
	fittingMemory int // eligible workers with enough free memory
}

// examineWait returns what t waits for. The caller holds the lock.
func (s *Shard) examineWait(t *task, now time.Duration) wait {
	var w wait
	for _, tasks := range t.job.tasks {
		for _, o := range tasks {
			if o.Phase == workload.Pending {
				w.waiting++
			}
		}
	}
	q := queueOf(s.cfg.Config(), t.job)
	need := t.step.Committed()
	for _, sl := range s.slots(now) {
		if !isEligible(t, q, sl) {
			continue
		}
		w.eligible++
		if need.Fits(sl.free) {
			w.fitting++
		}
		if need.MilliCPU <= sl.free.MilliCPU {
			w.fittingCPU++
		}
		if need.MemoryMB <= sl.free.MemoryMB {
			w.fittingMemory++
		}
	}
	return w
}

// longRunningWaits summarises the long-running tasks without a run.
type longRunningWaits struct {
	count   int
	longest time.Duration
}

// longRunningWaits counts the waiting long-running tasks. The caller holds the lock.
func (s *Shard) longRunningWaits(now time.Duration) longRunningWaits {
	var w longRunningWaits
	for _, j := range s.jobs {
		if !j.active() {
			continue
		}
		for _, tasks := range j.tasks {
			for _, t := range tasks {
				if t.step.LongRunning && t.Phase == workload.Pending {
					w.count++
					w.longest = max(w.longest, now-t.pendingSince)
				}
			}
		}
	}
	return w
}

// largest returns, for each resource, the larger amount of the two.
func largest(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
