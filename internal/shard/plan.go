package shard

import (
	"fmt"

	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// applyPlan checks every decision of a plan against the current state and
// proposes those that are still valid. The others are rejected with an event
// that gives the reason; the next cycle decides again. The caller holds o.mu.
func (o *Owner) applyPlan(plan *placement.Plan) {
	done := &placement.Plan{}
	for i := range plan.Decisions {
		d := &plan.Decisions[i]
		r, err := o.checkDecision(d)
		if err != nil {
			o.addEvent(Event{Task: d.Task, Run: d.Run, Worker: d.Worker, Step: "rejected " + string(d.Step), Stage: "Applier", Detail: err.Error()})
			continue
		}
		done.Decisions = append(done.Decisions, *d)
		o.addDecisionEvent(d)
		if r == nil {
			continue
		}
		o.propose([]*Record{r}, nil, o.wakeWorker(d.Worker))
	}
	o.policy.RecordApplied(o.now(), done)
}

// wakeWorker returns a callback that starts an exchange with the worker at once,
// so that a decision is sent as soon as it is durable.
func (o *Owner) wakeWorker(worker string) func() {
	return func() {
		if w := o.workers[worker]; w != nil {
			signal(w.wake)
		}
	}
}

// checkDecision returns the record of a decision, nil for a decision that needs
// no record, or an error that says why the decision is no longer valid.
func (o *Owner) checkDecision(d *placement.Decision) (*Record, error) {
	switch d.Step {
	case placement.Place:
		return o.checkPlace(d)
	case placement.Throttle, placement.Unthrottle, placement.Resize:
		return o.checkResize(d)
	case placement.Move, placement.Preempt, placement.Evict:
		return o.checkStop(d)
	case placement.Checkpoint:
		if o.decidedState.Run(d.Run) == nil {
			return nil, result.Errorf(result.JobUnknown, "run %s has ended", d.Run)
		}
		o.runs[d.Run].wantCheckpoint = true
	case placement.Wait, placement.SetAside:
		if t := o.decidedState.Task(d.Task); t == nil || t.Phase != Waiting {
			return nil, result.Errorf(result.JobUnknown, "task %s is not waiting", d.Task)
		}
		if d.Step == placement.SetAside && o.moveToOtherShard(d) {
			return nil, nil
		}
		w := o.waitInfoOf(d.Task)
		w.reason, w.setAside = d.Reason.Stage+": "+d.Reason.Detail, d.Step == placement.SetAside
	}
	return nil, nil
}

func (o *Owner) checkPlace(d *placement.Decision) (*Record, error) {
	t := o.decidedState.Task(d.Task)
	w := o.workers[d.Worker]
	switch {
	case t == nil || t.Phase != Waiting:
		return nil, result.Errorf(result.JobUnknown, "task %s is not waiting", d.Task)
	case w == nil || o.health(w) != placement.Healthy:
		return nil, result.Errorf(result.WorkerUnavailable, "worker %s does not accept new runs", d.Worker)
	}
	if err := o.checkCapacity(w, d.Commit); err != nil {
		return nil, err
	}
	if err := o.checkQuota(t, d.Commit); err != nil {
		return nil, err
	}
	run := PlaceRecord{Worker: d.Worker, Incarnation: w.incarnation, Commit: d.Commit, Resume: t.Resume}
	run.Run.Task, run.Run.Attempt = d.Task, t.Attempt+1
	w.lastChange = o.now()
	return &Record{Place: &run}, nil
}

// checkCapacity returns an error if adding the amount would commit more than the
// worker's capacity in any dimension.
func (o *Owner) checkCapacity(w *worker, add resource.Vector) error {
	if !add.Valid() {
		return result.Errorf(result.JobBad, "commitment is negative")
	}
	if held := o.decidedState.Held(w.inst.ID).Add(add); !held.Fits(o.capacity(w)) {
		return result.Errorf(result.WorkerFull, "worker %s has too little free capacity", w.inst.ID)
	}
	return nil
}

// checkQuota returns an error if adding the amount would exceed the part of the
// organisation's quota that the shard holds in escrow.
func (o *Owner) checkQuota(t *Task, add resource.Vector) error {
	org := t.job.Spec.Organisation
	limit, ok := o.quotaLimit(org)
	if ok && !o.decidedState.OrganisationHeld(org).Add(add).Fits(limit) {
		return result.Errorf(result.QuotaExceeded, "organisation %s has too little quota in this shard", org)
	}
	return nil
}

func (o *Owner) checkResize(d *placement.Decision) (*Record, error) {
	r := o.decidedState.Run(d.Run)
	if r == nil || r.Stop != "" {
		return nil, result.Errorf(result.JobUnknown, "run %s has ended or is stopping", d.Run)
	}
	w := o.workerOf(r.Worker)
	grown := maxVector(r.Held, d.Commit).Sub(r.Held)
	if !d.Commit.Valid() {
		return nil, result.Errorf(result.JobBad, "commitment is negative")
	}
	if !grown.IsZero() {
		if err := o.checkCapacity(w, grown); err != nil {
			return nil, err
		}
		if err := o.checkQuota(r.task, grown); err != nil {
			return nil, err
		}
	}
	w.lastChange = o.now()
	throttled := d.Step == placement.Throttle || d.Step == placement.Resize && r.Throttled
	return &Record{Resize: &ResizeRecord{Run: d.Run, Commit: d.Commit, Throttled: throttled}}, nil
}

func (o *Owner) checkStop(d *placement.Decision) (*Record, error) {
	r := o.decidedState.Run(d.Run)
	if r == nil || r.Stop != "" {
		return nil, result.Errorf(result.JobUnknown, "run %s has ended or is stopping", d.Run)
	}
	cause := StopMoved
	if d.Step == placement.Preempt {
		cause = StopPreempted
	}
	return o.newStopRecord(r, cause, d.Step != placement.Evict, d.Reason.Detail), nil
}

// addDecisionEvent keeps the reason of an applied decision for explain.
func (o *Owner) addDecisionEvent(d *placement.Decision) {
	if d.Step == placement.Wait || d.Step == placement.SetAside {
		return
	}
	detail := d.Reason.Detail
	if d.Reason.Score != 0 {
		detail = fmt.Sprintf("%s (score %.3g)", detail, d.Reason.Score)
	}
	o.addEvent(Event{Task: d.Task, Run: d.Run, Worker: d.Worker, Step: string(d.Step), Stage: d.Reason.Stage, Detail: detail})
}

// addEvent keeps an event for explain. It replaces the oldest when maxEvents are kept.
func (o *Owner) addEvent(e Event) {
	e.At = o.now()
	o.events.add(e)
}

// eventRing holds the newest maxEvents events.
type eventRing struct {
	events []Event
	next   int
}

func (r *eventRing) add(e Event) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// each calls f with every event, oldest first.
func (r *eventRing) each(f func(*Event)) {
	for i := range r.events {
		f(&r.events[(r.next+i)%len(r.events)])
	}
}
