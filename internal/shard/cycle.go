package shard

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// cycle takes one snapshot, lets the policy decide on it and applies the plan.
// Nothing new is decided while decisions cannot be recorded.
func (o *Owner) cycle(ctx context.Context) {
	if a := o.away(); a != nil {
		o.suspend(fmt.Sprintf("%d %s: the platform's tables have not answered for %v",
			result.JournalAway, result.JournalAway, time.Since(a.Since).Round(time.Second)))
		return
	}
	o.configure()
	o.escrow(ctx)
	o.mu.Lock()
	if o.idle() {
		o.mu.Unlock()
		return
	}
	o.cycledAt, o.cycled = o.now(), o.decided
	s := o.snapshot()
	o.mu.Unlock()
	plan := o.policy.Decide(s)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.apply(plan)
	}
}

// idleCycle is the time between two cycles while nothing was decided or taken in.
const idleCycle = time.Second

// idle reports whether a cycle would look at what the last one saw: no work was
// taken in or ended and nothing was decided since. The lock is held.
func (o *Owner) idle() bool {
	return o.cycledAt > 0 && o.decided == o.cycled && o.now()-o.cycledAt < idleCycle
}

// configure puts a newly accepted bundle in force.
func (o *Owner) configure() {
	if o.ext.Bundle == nil {
		return
	}
	if b := o.ext.Bundle(); b != nil && b.Version+1 != o.bundle {
		o.bundle = b.Version + 1
		o.policy.Configure(b.Placement)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.quotas = b.Version + 1
		o.limit(b)
	}
}

// suspend notes why waiting tasks are not looked at.
func (o *Owner) suspend(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.st.waiting {
		o.waitOf(id).reason = reason
	}
}

func (o *Owner) waitOf(id job.TaskID) *wait {
	w := o.tasks[id]
	if w == nil {
		w = &wait{}
		o.tasks[id] = w
	}
	return w
}

// snapshot copies what the policy may look at. The lock is held.
func (o *Owner) snapshot() *placement.Snapshot {
	now := o.now()
	s := &placement.Snapshot{Now: now, Headroom: o.headroom()}
	wall := time.Now().UnixMilli()
	for id, w := range o.workers {
		s.Workers = append(s.Workers, o.snapshotWorker(id, w, now, wall))
	}
	slices.SortFunc(s.Workers, func(a, b *placement.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for id, t := range o.st.waiting {
		s.Pending = append(s.Pending, &placement.Pending{
			Task: id, Spec: t.job.Spec, Submitted: submitted(t.job, now, wall),
			NotBefore: o.waitOf(id).notBefore, Resume: t.Resume,
			Evictions: t.Evictions, Failures: t.Failures, FailedOn: slices.Clone(t.FailedOn),
		})
	}
	slices.SortFunc(s.Pending, func(a, b *placement.Pending) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return s
}

func (o *Owner) snapshotWorker(id string, w *worker, now time.Duration, wall int64) *placement.Worker {
	out := &placement.Worker{
		ID: id, Rack: w.inst.Rack, Capacity: o.capacity(w), Health: o.health(w), Changed: w.changed,
	}
	for rid, r := range o.st.workers[id] {
		out.Runs = append(out.Runs, &placement.Run{
			ID: rid, Spec: r.task.job.Spec, Commit: r.Held, Stopping: r.Stop != "", Throttled: r.Throttled,
			Started: o.runs[rid].started, Submitted: submitted(r.task.job, now, wall),
			Resume: r.Resume, Checkpoint: r.Checkpoint, Evictions: r.task.Evictions,
		})
	}
	slices.SortFunc(out.Runs, func(a, b *placement.Run) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return out
}

// submitted turns the job's age by the wall clock into a reading of the owner's
// clock. A wall clock that jumped shifts ages and orders nothing.
func submitted(j *Job, now time.Duration, wall int64) time.Duration {
	age := time.Duration(max(0, wall-j.Submitted)) * time.Millisecond
	return now - age
}

// capacity is what the worker may hold: the smaller of what it and the
// platform's list say.
func (o *Owner) capacity(w *worker) resource.Vector {
	if w.capacity.IsZero() || w.inst.Capacity.IsZero() {
		return w.inst.Capacity.Add(w.capacity)
	}
	return resource.Vector{
		MilliCPU:     min(w.capacity.MilliCPU, w.inst.Capacity.MilliCPU),
		MemoryMB:     min(w.capacity.MemoryMB, w.inst.Capacity.MemoryMB),
		Accelerators: min(w.capacity.Accelerators, w.inst.Capacity.Accelerators),
	}
}

// headroom is what each tenant with a quota may still commit here.
func (o *Owner) headroom() map[string]resource.Vector {
	out := map[string]resource.Vector{}
	note := func(tenant string) {
		if amount, limited := o.affordable(tenant); limited {
			out[tenant] = amount.Sub(o.st.TenantHeld(tenant))
		}
	}
	for tenant := range o.accounts {
		note(tenant)
	}
	for tenant := range o.st.Escrow {
		note(tenant)
	}
	return out
}
