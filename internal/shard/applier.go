package shard

import (
	"fmt"

	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// apply checks every decision of a plan again, against the state as it is now,
// and proposes those that hold. The others are dropped with a reason; the next
// cycle decides anew. The lock is held.
func (o *Owner) apply(plan *placement.Plan) {
	done := &placement.Plan{}
	for i := range plan.Decisions {
		d := &plan.Decisions[i]
		r, err := o.check(d)
		if err != nil {
			o.note(Event{Task: d.Task, Run: d.Run, Worker: d.Worker, Step: "rejected " + string(d.Step), Stage: "Applier", Detail: err.Error()})
			continue
		}
		done.Decisions = append(done.Decisions, *d)
		o.explain(d)
		if r == nil {
			continue
		}
		o.propose([]*Record{r}, nil, o.kicker(d.Worker))
	}
	o.policy.Applied(o.now(), done)
}

// kicker sends the worker its orders as soon as the decision is durable.
func (o *Owner) kicker(worker string) func() {
	return func() {
		if w := o.workers[worker]; w != nil {
			signal(w.kick)
		}
	}
}

// check returns the record of a decision, or nil for one that needs none, or
// why the decision does not hold any more.
func (o *Owner) check(d *placement.Decision) (*Record, error) {
	switch d.Step {
	case placement.Place:
		return o.checkPlace(d)
	case placement.Throttle, placement.Unthrottle, placement.Resize:
		return o.checkResize(d)
	case placement.Move, placement.Preempt, placement.Evict:
		return o.checkStop(d)
	case placement.Checkpoint:
		if o.st.Run(d.Run) == nil {
			return nil, result.Errorf(result.JobUnknown, "%s has ended", d.Run)
		}
		o.runs[d.Run].save = true
	case placement.Wait, placement.SetAside:
		if t := o.st.Task(d.Task); t == nil || t.Phase != Waiting {
			return nil, result.Errorf(result.JobUnknown, "%s does not wait", d.Task)
		}
		if d.Step == placement.SetAside && o.moveOut(d) {
			return nil, nil
		}
		w := o.waitOf(d.Task)
		w.reason, w.aside = d.Reason.Stage+": "+d.Reason.Detail, d.Step == placement.SetAside
	}
	return nil, nil
}

func (o *Owner) checkPlace(d *placement.Decision) (*Record, error) {
	t := o.st.Task(d.Task)
	w := o.workers[d.Worker]
	switch {
	case t == nil || t.Phase != Waiting:
		return nil, result.Errorf(result.JobUnknown, "%s does not wait", d.Task)
	case w == nil || o.health(w) != placement.Healthy:
		return nil, result.Errorf(result.WorkerAway, "%s takes no new run", d.Worker)
	}
	if err := o.fits(w, d.Commit); err != nil {
		return nil, err
	}
	if err := o.affords(t, d.Commit); err != nil {
		return nil, err
	}
	run := PlaceRecord{Worker: d.Worker, Incarnation: w.incarnation, Commit: d.Commit, Resume: t.Resume}
	run.Run.Task, run.Run.Attempt = d.Task, t.Attempt+1
	w.changed = o.now()
	return &Record{Place: &run}, nil
}

// fits refuses an amount that would commit the worker beyond its capacity in
// any dimension.
func (o *Owner) fits(w *worker, add resource.Vector) error {
	if !add.Valid() {
		return result.Errorf(result.JobBad, "negative amount")
	}
	if held := o.st.Held(w.inst.ID).Add(add); !held.Fits(o.capacity(w)) {
		return result.Errorf(result.WorkerFull, "%s", w.inst.ID)
	}
	return nil
}

// affords refuses an amount beyond the tenant's escrow.
func (o *Owner) affords(t *Task, add resource.Vector) error {
	tenant := t.job.Spec.Tenant
	limit, ok := o.affordable(tenant)
	if ok && !o.st.TenantHeld(tenant).Add(add).Fits(limit) {
		return result.Errorf(result.QuotaExceeded, "%s", tenant)
	}
	return nil
}

func (o *Owner) checkResize(d *placement.Decision) (*Record, error) {
	r := o.st.Run(d.Run)
	if r == nil || r.Stop != "" {
		return nil, result.Errorf(result.JobUnknown, "%s has ended or stops", d.Run)
	}
	w := o.workerOf(r.Worker)
	grown := largest(r.Held, d.Commit).Sub(r.Held)
	if !d.Commit.Valid() {
		return nil, result.Errorf(result.JobBad, "negative amount")
	}
	if !grown.IsZero() {
		if err := o.fits(w, grown); err != nil {
			return nil, err
		}
		if err := o.affords(r.task, grown); err != nil {
			return nil, err
		}
	}
	w.changed = o.now()
	throttled := d.Step == placement.Throttle || d.Step == placement.Resize && r.Throttled
	return &Record{Resize: &ResizeRecord{Run: d.Run, Commit: d.Commit, Throttled: throttled}}, nil
}

func (o *Owner) checkStop(d *placement.Decision) (*Record, error) {
	r := o.st.Run(d.Run)
	if r == nil || r.Stop != "" {
		return nil, result.Errorf(result.JobUnknown, "%s has ended or stops", d.Run)
	}
	cause := StopMoved
	if d.Step == placement.Preempt {
		cause = StopPreempted
	}
	return o.stopping(r, cause, d.Step != placement.Evict, d.Reason.Detail), nil
}

// explain keeps the reason of a decision that holds.
func (o *Owner) explain(d *placement.Decision) {
	if d.Step == placement.Wait || d.Step == placement.SetAside {
		return
	}
	detail := d.Reason.Detail
	if d.Reason.Score != 0 {
		detail = fmt.Sprintf("%s (score %.3g)", detail, d.Reason.Score)
	}
	o.note(Event{Task: d.Task, Run: d.Run, Worker: d.Worker, Step: string(d.Step), Stage: d.Reason.Stage, Detail: detail})
}

// note keeps an event for explain; the oldest falls out.
func (o *Owner) note(e Event) {
	e.At = o.now()
	o.events.add(e)
}

// ring holds the newest events.
type ring struct {
	events []Event
	next   int
}

func (r *ring) add(e Event) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// each calls f with every event, oldest first.
func (r *ring) each(f func(*Event)) {
	for i := range r.events {
		f(&r.events[(r.next+i)%len(r.events)])
	}
}
