package shard

import (
	"cmp"
	"fmt"
	"slices"

	"skylarkport/internal/contract"
	"skylarkport/internal/feed"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/placement"
)

// firstTask returns the id of the first task of an admission.
func firstTask(a *AdmitRecord) job.TaskID { return job.TaskID{Job: a.Spec.ID, Index: a.From} }

// Status returns a summary of the shard for operators.
func (o *Owner) Status() api.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := api.Shard{
		Shard: o.cfg.Shard, Owner: o.cfg.Owner, Epoch: o.log.Epoch(),
		Workers: len(o.workers), Waiting: len(o.decidedState.waiting), Running: len(o.runs), Platform: "ok",
	}
	if outage := o.tableOutage(); outage != nil {
		s.Platform = outage.Err.Error()
	}
	return s
}

// Totals returns how many tasks the shard has admitted and how they ended. It counts
// only what is in durable records.
func (o *Owner) Totals() Totals {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.durableState.Totals
}

// Tasks returns the state of the job's tasks in the shard, ordered by index.
func (o *Owner) Tasks(id string) []api.Task {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.decidedState.Jobs[id]
	if j == nil {
		return nil
	}
	out := make([]api.Task, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		if t.Phase != Moved {
			out = append(out, o.taskView(t))
		}
	}
	slices.SortFunc(out, func(a, b api.Task) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
	return out
}

// AllTasks returns the state of every task in the shard, in no particular order.
func (o *Owner) AllTasks() []api.Task {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []api.Task{}
	for _, j := range o.decidedState.Jobs {
		for _, t := range j.Tasks {
			if t.Phase != Moved {
				out = append(out, o.taskView(t))
			}
		}
	}
	return out
}

func (o *Owner) taskView(t *Task) api.Task {
	a := api.Task{
		Task: t.ID, Shard: o.cfg.Shard, Attempt: t.Attempt, Progress: t.Resume,
		Evictions: t.Evictions, Failures: t.Failures, Reason: t.Reason, State: o.taskState(t),
	}
	if t.Run != nil {
		a.Worker, a.Commit, a.Progress = t.Run.Worker, t.Run.Commit, t.Run.Checkpoint
		a.Reason = ""
	}
	if w := o.waits[t.ID]; t.Phase == Waiting && w != nil && w.reason != "" {
		a.Reason = w.reason
	}
	return a
}

func (o *Owner) taskState(t *Task) api.TaskState {
	switch t.Phase {
	case Waiting:
		if w := o.waits[t.ID]; w != nil && w.setAside {
			return api.TaskSetAside
		}
		return api.TaskWaiting
	case Finished:
		return api.TaskFinished
	case Cancelled:
		return api.TaskCancelled
	case Moved:
		return api.TaskUnknown
	}
	switch {
	case t.Run.Stop != "":
		return api.TaskStopping
	case o.runs[t.Run.ID].reported:
		return api.TaskRunning
	}
	return api.TaskStarting
}

// Workers returns a summary of each of the shard's workers, ordered by id.
func (o *Owner) Workers() []api.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	quarantined := o.policy.Quarantined()
	out := make([]api.Worker, 0, len(o.workers))
	for id, w := range o.workers {
		out = append(out, api.Worker{
			ID: id, Zone: o.cfg.Zone, Rack: w.inst.Rack, Shard: o.cfg.Shard, Owner: o.cfg.Owner,
			Health: healthName(o.health(w)), Capacity: o.capacity(w), Committed: o.decidedState.Held(id),
			Runs: len(o.decidedState.workers[id]), Quarantined: quarantined[id],
		})
	}
	slices.SortFunc(out, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func healthName(h placement.Health) string {
	switch h {
	case placement.Healthy:
		return "healthy"
	case placement.Draining:
		return "leaving"
	}
	return "unreachable"
}

// Explain returns the events about a job, a task ("job/index") or a worker, oldest
// first, and the state of a job or task that the shard has.
func (o *Owner) Explain(subject string) (events []api.Event, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	o.events.each(func(e *Event) {
		if subject != e.Task.Job && subject != e.Task.String() && subject != e.Worker {
			return
		}
		out := api.Event{Age: job.Duration(now - e.At), Worker: e.Worker, Step: e.Step, Stage: e.Stage, Detail: e.Detail}
		if e.Task.Job != "" {
			out.Task = e.Task.String()
		}
		if e.Run.Task.Job != "" {
			out.Run = e.Run.String()
		}
		events = append(events, out)
	})
	return events, o.subjectState(subject)
}

func (o *Owner) subjectState(subject string) string {
	if j := o.decidedState.Jobs[subject]; j != nil {
		return fmt.Sprintf("%d of %d tasks open in %s", j.open, len(j.Tasks), o.cfg.Shard)
	}
	for _, j := range o.decidedState.Jobs {
		for _, t := range j.Tasks {
			if t.ID.String() == subject {
				a := o.taskView(t)
				return fmt.Sprintf("%s %s", a.State, a.Reason)
			}
		}
	}
	return ""
}

// Routes returns the upstreams of the services that run in the shard, or nil if have
// is the current version.
func (o *Owner) Routes(have feed.Version) *feed.ShardList {
	o.mu.Lock()
	defer o.mu.Unlock()
	if have == o.routesVersion {
		return nil
	}
	s := &feed.ShardList{Shard: o.cfg.Shard, Version: o.routesVersion}
	for id, info := range o.runs {
		r := o.decidedState.Run(id)
		if r == nil || info.report.State != contract.Running || info.report.BaseURL == "" {
			continue
		}
		w := o.workerOf(r.Worker)
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: id.Task.Job, Organisation: r.task.job.Spec.Organisation, Run: id, Worker: r.Worker, Zone: o.cfg.Zone,
			BaseURL: info.report.BaseURL, Slots: w.inst.Slots, Conns: w.inst.Conns,
			Leaving: r.Stop != "" || info.report.Leaving || w.leaving,
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b feed.Upstream) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	return s
}
