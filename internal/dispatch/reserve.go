package dispatch

import (
	"math"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// Reservations keep a worker's capacity together for a task that fits into no present gap,
// while smaller tasks arrive that would each take a part of it.

// reservation is a worker's capacity that a waiting task is expected to get.
type reservation struct {
	task     *task
	worker   string
	madeAt   time.Duration
	at       time.Duration // when the task is expected to fit there
	deadline time.Duration // when the estimate has proved wrong
	renewed  int           // number of the plan that last renewed it
	denied   int           // number of the plan in which it last kept another task off the worker
	deniedAt time.Duration // when that was
	idle     time.Duration // how long it has kept others off
}

const (
	// maxReservedShare bounds the workers with a reservation, as a share of those that accept
	// runs.
	maxReservedShare = 0.03
	// largeShare is the part of the needs of the largest waiting task from which on a task counts
	// as large. Smaller ones find a gap sooner than a reservation helps them.
	largeShare = 2.0 / 3
	// maxOfferWait is how long the other shards may take to be asked for a waiting job.
	maxOfferWait = 100 * time.Millisecond
	// reservationGrace is how much later than expected a reserved worker may become free.
	reservationGrace = 250 * time.Millisecond
	// maxReservationAhead is how far ahead capacity is reserved: the ends of runs beyond it are
	// too uncertain, and jobs arrive and end on other workers meanwhile.
	maxReservationAhead = 2 * time.Second
	// reservationMoveGain is how much sooner another worker must be expected to hold the task
	// for its reservation to move there.
	reservationMoveGain = 200 * time.Millisecond
)

// lookahead is the state of a shard that outlives a plan.
type lookahead struct {
	plans        int                     // number of plans made
	reservations map[string]*reservation // by task name
	outlooks     []outlook               // buffer for one plan
	releases     []release               // the same
	waits        waitsBySize             // since the last log entry
}

// outlook is what a plan expects of a slot.
type outlook struct {
	hold       hold
	forecasted bool
	releases   []release // if forecasted
}

// clone returns a copy of o, or nil.
func (o *outlook) clone() *outlook {
	if o == nil {
		return nil
	}
	dup := *o
	return &dup
}

// hold is what a slot withholds from the tasks that come after the holder of its reservation.
type hold struct {
	reservation *reservation
	at          time.Duration
	spare       resource.Vector // expected to be left beside the holder at that time
}

// admits reports whether a task may start beside the hold: it ends before the holder starts, or
// fits beside it.
func (h *hold) admits(t *task, lateEnd time.Duration) bool {
	if h.reservation == nil || h.reservation.task == t {
		return true
	}
	return !t.step.LongRunning && lateEnd <= h.at || t.step.Committed().Fits(h.spare)
}

// take counts a task that starts beside the hold.
func (h *hold) take(t *task) {
	if h.reservation != nil && t.step.Committed().Fits(h.spare) {
		h.spare = h.spare.Sub(t.step.Committed())
	}
}

// lookAhead prepares the pass for reservations.
func (p *planPass) lookAhead(startable []*candidate) {
	l := &p.s.lookahead
	l.releases = l.releases[:0]
	l.outlooks = slices.Grow(l.outlooks[:0], len(p.slots))[:len(p.slots)]
	clear(l.outlooks)
	for i, sl := range p.slots {
		sl.outlook = &l.outlooks[i]
	}
	p.largest = largestWaiting(startable, p.now)
	p.maxReserved = int(math.Ceil(maxReservedShare * float64(len(p.slots))))
}

// keepsReservation reports whether t may start on sl as far as reservations there go.
func (p *planPass) keepsReservation(t *task, sl *slot) bool {
	if sl.outlook == nil {
		return true
	}
	hold := &sl.outlook.hold
	r := hold.reservation
	if r == nil || hold.admits(t, p.now+p.s.lateDuration(t)) {
		return true
	}
	if r.denied != p.s.lookahead.plans && capacityFits(t, sl) {
		if r.denied == p.s.lookahead.plans-1 {
			r.idle += p.now - r.deniedAt
		}
		r.denied, r.deniedAt = p.s.lookahead.plans, p.now
	}
	return false
}

// reserveFor reserves capacity for the waiting short tasks of c, the first of which found no worker, if
// they are large and their job can still end in time. The candidates come in the order of the
// queue, so that only later ones have to respect it.
func (p *planPass) reserveFor(c *candidate, q *fleet.Queue) {
	if !p.s.cfg.Features.Reservations || c.step().Backfill || c.step().Gang || c.class != classOnTime {
		return
	}
	if float64(c.step().Needs.MilliCPU) < largeShare*float64(p.largest.MilliCPU) {
		return
	}
	if p.s.mayStillMove(c.job, p.now) {
		return
	}
	for _, t := range c.tasks {
		if t.Phase != workload.Pending || t.onProbation() {
			continue
		}
		if p.reserved >= p.maxReserved || !p.reserve(t, q) {
			return
		}
		p.reserved++
	}
}

// mayStillMove reports whether j has not been offered to the other shards yet: one of them may
// have a worker free for it. The caller holds the lock.
func (s *Shard) mayStillMove(j *job, now time.Duration) bool {
	if s.cfg.OtherShards == nil || j.started() || j.movedHere || j.loan != nil || j.spec.Timed() || len(j.tasks[0]) == 0 {
		return false
	}
	return now-j.tasks[0][0].pendingSince <= moveAfter+maxOfferWait
}

// reserve renews the reservation of t, or reserves the worker that is expected to hold t first.
func (p *planPass) reserve(t *task, q *fleet.Queue) bool {
	old := p.s.lookahead.reservations[t.name]
	if old != nil && old.renewed == p.s.lookahead.plans {
		return true
	}
	var best *slot
	var bestAt, oldAt time.Duration
	var kept *slot
	for _, sl := range p.slots {
		if sl.outlook.hold.reservation != nil || !isEligible(t, q, sl) {
			continue
		}
		isOld := old != nil && old.worker == sl.host.ID
		if isOld && p.now > old.deadline {
			continue
		}
		at, ok := earliestFit(t.step.Committed(), sl.free, p.forecast(sl), p.now)
		if !ok || at > p.now+maxReservationAhead {
			continue
		}
		if isOld {
			kept, oldAt = sl, at
		}
		if best == nil || at < bestAt {
			best, bestAt = sl, at
		}
	}
	if best == nil {
		return false
	}
	if kept != nil && bestAt+reservationMoveGain > oldAt {
		best, bestAt = kept, oldAt
	}
	r := old
	if r == nil || r.worker != best.host.ID {
		if old != nil {
			p.s.endReservation(old, reservationMoved, p.now)
		}
		r = &reservation{task: t, worker: best.host.ID, madeAt: p.now, deadline: bestAt + reservationGrace}
		p.s.lookahead.reservations[t.name] = r
		p.s.lookahead.waits.reserved++
		p.s.cfg.Metrics.Reserved()
	}
	r.at, r.renewed = bestAt, p.s.lookahead.plans
	p.withhold(best, r)
	t.waitReason = waitReserved
	return true
}

// withhold sets the hold of a reservation on its slot.
func (p *planPass) withhold(sl *slot, r *reservation) {
	spare := freeAt(sl.free, p.forecast(sl), r.at).Sub(r.task.step.Committed())
	sl.outlook.hold = hold{reservation: r, at: r.at, spare: spare}
}

// restoreHolds sets the holds of the reservations that the last plan left.
func (p *planPass) restoreHolds() {
	for _, r := range p.s.lookahead.reservations {
		i := slices.IndexFunc(p.slots, func(sl *slot) bool { return sl.host.ID == r.worker })
		if i >= 0 {
			p.withhold(p.slots[i], r)
		}
	}
}

// forecast returns the expected releases on sl, computed once in a pass.
func (p *planPass) forecast(sl *slot) []release {
	o := sl.outlook
	if !o.forecasted {
		buffer := &p.s.lookahead.releases
		first := len(*buffer)
		*buffer = p.s.releases(*buffer, sl.host, p.now)
		o.releases, o.forecasted = (*buffer)[first:], true
	}
	return o.releases
}

// reservationEnd says why a reservation ended.
type reservationEnd string

const (
	reservationUsed      reservationEnd = "used"       // the task was placed on the worker
	reservationMoved     reservationEnd = "moved"      // another worker is expected to be free sooner
	reservationLapsed    reservationEnd = "lapsed"     // the worker was not free in time, is lost or drains
	reservationNotNeeded reservationEnd = "not needed" // the task started elsewhere or no longer waits
)

// dropReservations ends the reservations that the last plan has not renewed.
func (s *Shard) dropReservations(now time.Duration) {
	for _, r := range s.lookahead.reservations {
		if r.renewed == s.lookahead.plans {
			continue
		}
		why := reservationLapsed
		switch {
		case r.task.Phase == workload.Placed && r.task.Worker == r.worker:
			why = reservationUsed
		case r.task.Phase != workload.Pending || !r.task.job.active():
			why = reservationNotNeeded
		}
		s.endReservation(r, why, now)
	}
}

// endReservation removes a reservation.
func (s *Shard) endReservation(r *reservation, why reservationEnd, now time.Duration) {
	delete(s.lookahead.reservations, r.task.name)
	s.lookahead.waits.ended++
	s.lookahead.waits.idle += r.idle
	if why == reservationUsed {
		s.lookahead.waits.used++
	}
	s.cfg.Metrics.ReservationEnded(why, r.idle)
	logger.WithField("task", r.task.name).WithField("worker", r.worker).WithField("end", string(why)).
		WithField("held_ms", (now-r.madeAt).Milliseconds()).WithField("idle_ms", r.idle.Milliseconds()).
		WithField("need_mcpu", r.task.step.Needs.MilliCPU).Debug("reservation ended")
}
