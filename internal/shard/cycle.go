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

// cycle runs one scheduling cycle: it takes a snapshot, lets the policy decide on
// it and applies the plan. It decides nothing while the tables are unavailable,
// because no decision could be recorded.
func (o *Owner) cycle(ctx context.Context) {
	if outage := o.tableOutage(); outage != nil {
		o.setWaitReasons(fmt.Sprintf("%d %s: the platform's tables have been unavailable for %v",
			result.JournalUnavailable, result.JournalUnavailable, time.Since(outage.Since).Round(time.Second)))
		return
	}
	o.applyBundle()
	o.adjustEscrows(ctx)
	o.mu.Lock()
	if o.idle() {
		o.mu.Unlock()
		return
	}
	o.lastCycle, o.lastCycleProposal = o.now(), o.lastProposal
	s := o.snapshot()
	o.mu.Unlock()
	plan := o.policy.Decide(s)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.applyPlan(plan)
	}
}

// idleCycle is the interval of scheduling cycles while no new record is proposed.
const idleCycle = time.Second

// idle reports whether a cycle can be skipped: no record was proposed since the
// last cycle, so no work was admitted, ended or placed, and the last cycle is
// less than idleCycle ago. The caller holds o.mu.
func (o *Owner) idle() bool {
	return o.lastCycle > 0 && o.lastProposal == o.lastCycleProposal && o.now()-o.lastCycle < idleCycle
}

// applyBundle passes the settings of a newly accepted configuration bundle to the
// policy and updates the quotas.
func (o *Owner) applyBundle() {
	if o.platform.Bundle == nil {
		return
	}
	if b := o.platform.Bundle(); b != nil && b.Version+1 != o.bundleVersion {
		o.bundleVersion = b.Version + 1
		o.policy.Configure(b.Placement)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.quotaVersion = b.Version + 1
		o.updateQuotas(b)
	}
}

// setWaitReasons sets the reason that every waiting task shows.
func (o *Owner) setWaitReasons(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.decidedState.waiting {
		o.waitInfoOf(id).reason = reason
	}
}

func (o *Owner) waitInfoOf(id job.TaskID) *waitInfo {
	w := o.waits[id]
	if w == nil {
		w = &waitInfo{}
		o.waits[id] = w
	}
	return w
}

// snapshot copies the state that the policy decides on. The caller holds o.mu.
func (o *Owner) snapshot() *placement.Snapshot {
	now := o.now()
	s := &placement.Snapshot{Now: now, Headroom: o.quotaHeadroom()}
	wall := time.Now().UnixMilli()
	for id, w := range o.workers {
		s.Workers = append(s.Workers, o.snapshotWorker(id, w, now, wall))
	}
	slices.SortFunc(s.Workers, func(a, b *placement.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for id, t := range o.decidedState.waiting {
		s.Pending = append(s.Pending, &placement.Pending{
			Task: id, Spec: t.job.Spec, Submitted: submissionTime(t.job, now, wall),
			NotBefore: o.waitInfoOf(id).notBefore, Resume: t.Resume,
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
		ID: id, Rack: w.inst.Rack, Capacity: o.capacity(w), Health: o.health(w), LastChange: w.lastChange,
	}
	for rid, r := range o.decidedState.workers[id] {
		out.Runs = append(out.Runs, &placement.Run{
			ID: rid, Spec: r.task.job.Spec, Commit: r.Held, Stopping: r.Stop != "", Throttled: r.Throttled,
			Started: o.runs[rid].started, Submitted: submissionTime(r.task.job, now, wall),
			Resume: r.Resume, Checkpoint: r.Checkpoint, Evictions: r.task.Evictions,
		})
	}
	slices.SortFunc(out.Runs, func(a, b *placement.Run) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	return out
}

// submissionTime converts the job's wall-clock submission time to the owner's
// monotonic clock. A jump of the wall clock changes the ages of all jobs alike, so
// their order stays.
func submissionTime(j *Job, now time.Duration, wall int64) time.Duration {
	age := time.Duration(max(0, wall-j.Submitted)) * time.Millisecond
	return now - age
}

// capacity returns the resources that may be committed on the worker: in each
// dimension the smaller of what the worker reports and what the platform lists,
// or the one that is known.
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

// quotaHeadroom returns, for each organisation with a quota, what it may still
// commit in the shard.
func (o *Owner) quotaHeadroom() map[string]resource.Vector {
	out := map[string]resource.Vector{}
	add := func(org string) {
		if amount, limited := o.quotaLimit(org); limited {
			out[org] = amount.Sub(o.decidedState.OrganisationHeld(org))
		}
	}
	for org := range o.accounts {
		add(org)
	}
	for org := range o.decidedState.Escrow {
		add(org)
	}
	return out
}
