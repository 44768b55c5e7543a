package dispatch

import (
	"context"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// host is a worker as the owner sees it. It stays while runs may exist on the
// worker, also when the registry no longer lists it.
type host struct {
	fleet.Worker
	listed  bool
	tasks   map[string]*task // runs that may exist here, by task name
	strange map[string]bool  // runs seen here that the rows do not name

	seen        bool          // this owner has fenced the worker's present life
	clock       int64         // worker's clock at clockAt
	clockAt     time.Duration // when the answer with clock arrived
	leaseUntil  int64         // highest lease ever sent, on the worker's clock
	lapseAt     time.Duration // when every lease that may have been given is over
	silent      time.Duration // since when holds stay unanswered, 0 for none
	applied     int64         // ends applied to the jobs
	durable     int64         // ends whose effect is durable
	wake        chan struct{} // new runs, or durable has risen
	cancel      context.CancelFunc
	busyUntil   time.Duration        // takes no starts until then
	unanswered  map[string]lateStart // starts that may still be carried out, by task
	strikes     int                  // failures in a row, by different jobs
	strikeJob   string
	quarantine  time.Duration // set aside until then
	quarantines int
	filledAt    time.Duration // when a filling run was last seen here
}

func newHost(w fleet.Worker) *host {
	return &host{Worker: w, tasks: map[string]*task{}, strange: map[string]bool{}, unanswered: map[string]lateStart{}, wake: make(chan struct{}, 1)}
}

// lateStart is a start without an answer, which a worker may carry out until then.
type lateStart struct {
	run   int
	until time.Duration
}

// lateFor is how long after it was sent an order may still be carried out.
const lateFor = 13 * time.Second

// free is the room that no run takes.
func (h *host) free() resource.Vector {
	v := h.Capacity
	for _, t := range h.tasks {
		v = v.Sub(t.step.Committed())
	}
	return v
}

// workerClock estimates the worker's clock.
func (h *host) workerClock(now time.Duration) int64 {
	return h.clock + (now - h.clockAt).Milliseconds()
}

// driftFactor covers worker clocks that are 2% slow, by the platform's bound.
const driftFactor = 1.021

// lapseMargin covers the rounding of clocks to milliseconds and the end of a
// lapsed run itself.
const lapseMargin = 150 * time.Millisecond

// grant notes that a lease until the worker's clock reads until is sent.
func (h *host) grant(until int64) {
	if until <= h.leaseUntil {
		return
	}
	h.leaseUntil = until
	left := time.Duration(float64(until-h.clock)*driftFactor) * time.Millisecond
	h.lapseAt = max(h.lapseAt, h.clockAt+left+lapseMargin)
}

// listedGrace is how long after its lease the run of a task that ends by itself is
// waited for while the registry lists the worker. Such a worker lives and is only out
// of reach, and the run may have succeeded: another one would do its work twice. The
// registry drops a dead worker before its leases are over.
const listedGrace = 3 * time.Second

// lapsed reports whether the run of t is over because the worker's leases are.
func (h *host) lapsed(t *task, now time.Duration) bool {
	if h.silent == 0 {
		return false
	}
	if h.listed && !t.step.Lasting && !t.step.Gang {
		return now > h.lapseAt+listedGrace
	}
	return now > h.lapseAt
}

// heard notes an answer with the worker's clock.
func (h *host) heard(clock int64, now time.Duration) {
	h.clock, h.clockAt = clock, now
	h.silent = 0
	left := time.Duration(float64(h.leaseUntil-clock)*driftFactor) * time.Millisecond
	h.lapseAt = now + max(left, 0) + lapseMargin
}

// reborn resets what was known of an earlier life.
func (h *host) reborn(life int64) {
	h.Life = life
	h.seen, h.clock, h.leaseUntil = false, 0, 0
	h.applied, h.durable = 0, 0
	h.strange = map[string]bool{}
}

func (h *host) kick() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// takes reports whether new runs may be placed here.
func (h *host) takes(now time.Duration) bool {
	return h.listed && !h.Draining && h.seen && h.silent == 0 && now >= h.busyUntil && now >= h.quarantine
}

// usedCPU estimates the processor time that runs use, in thousandths of a core:
// lasting runs use less than they declare, filling runs what is left.
func (h *host) usedCPU() int64 {
	used := int64(0)
	for _, t := range h.tasks {
		switch {
		case t.step.Lasting:
			used += int64(float64(t.step.Needs.MilliCPU) * max(lastingUse, t.load))
		default:
			used += t.step.Needs.MilliCPU
		}
	}
	return used
}

// servingImages lists the images of the serving runs on h.
func (h *host) servingImages() []string {
	var out []string
	for _, t := range h.tasks {
		if t.serving() && !slices.Contains(out, t.step.Image) {
			out = append(out, t.step.Image)
		}
	}
	return out
}

// lastingUse is the least share of its declared processors that a lasting run
// is taken to use.
const lastingUse = 0.4

// place binds a new run of t to the host.
func (h *host) place(t *task, now time.Duration) {
	t.Phase, t.Run = workload.Placed, t.Run+1
	t.Worker, t.Life = h.ID, h.Life
	t.stage, t.since = stagePlanned, now
	t.stopWanted, t.stopSent, t.stopAnswer = false, 0, 0
	t.percent, t.progressed, t.gauge, t.pace, t.overTarget, t.loadAt = 0, now, 0, 0, 0, 0
	t.startPace = 0
	h.tasks[t.name] = t
	t.job.dirty = true
	if t.job.rec.State == workload.Queued {
		t.job.rec.State = workload.Running
	}
}
