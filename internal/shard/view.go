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

func taskOf(a *AdmitRecord) job.TaskID { return job.TaskID{Job: a.Spec.ID, Index: a.From} }

// Status describes the shard.
func (o *Owner) Status() api.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := api.Shard{
		Shard: o.cfg.Shard, Owner: o.cfg.Owner, Epoch: o.log.Epoch(),
		Workers: len(o.workers), Waiting: len(o.st.waiting), Running: len(o.runs), Platform: "ok",
	}
	if a := o.away(); a != nil {
		s.Platform = a.Err.Error()
	}
	return s
}

// Totals returns the counts of ended tasks.
func (o *Owner) Totals() Totals {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.durable.Totals
}

// Tasks returns the state of the job's tasks in the shard, ascending by index.
func (o *Owner) Tasks(id string) []api.Task {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.st.Jobs[id]
	if j == nil {
		return nil
	}
	out := make([]api.Task, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		if t.Phase != Moved {
			out = append(out, o.task(t))
		}
	}
	slices.SortFunc(out, func(a, b api.Task) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
	return out
}

// AllTasks returns the state of every task in the shard, in no order.
func (o *Owner) AllTasks() []api.Task {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []api.Task{}
	for _, j := range o.st.Jobs {
		for _, t := range j.Tasks {
			if t.Phase != Moved {
				out = append(out, o.task(t))
			}
		}
	}
	return out
}

func (o *Owner) task(t *Task) api.Task {
	a := api.Task{
		Task: t.ID, Shard: o.cfg.Shard, Attempt: t.Attempt, Progress: t.Resume,
		Evictions: t.Evictions, Failures: t.Failures, Reason: t.Reason, State: o.taskState(t),
	}
	if t.Run != nil {
		a.Worker, a.Commit, a.Progress = t.Run.Worker, t.Run.Commit, t.Run.Checkpoint
		a.Reason = ""
	}
	if w := o.tasks[t.ID]; t.Phase == Waiting && w != nil && w.reason != "" {
		a.Reason = w.reason
	}
	return a
}

func (o *Owner) taskState(t *Task) api.TaskState {
	switch t.Phase {
	case Waiting:
		if w := o.tasks[t.ID]; w != nil && w.aside {
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
	case o.runs[t.Run.ID].seen:
		return api.TaskRunning
	}
	return api.TaskStarting
}

// Workers describes the shard's workers, ascending by id.
func (o *Owner) Workers() []api.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	quarantined := o.policy.Quarantined()
	out := make([]api.Worker, 0, len(o.workers))
	for id, w := range o.workers {
		out = append(out, api.Worker{
			ID: id, Zone: o.cfg.Zone, Rack: w.inst.Rack, Shard: o.cfg.Shard, Owner: o.cfg.Owner,
			Health: healthName(o.health(w)), Capacity: o.capacity(w), Committed: o.st.Held(id),
			Runs: len(o.st.workers[id]), Quarantined: quarantined[id],
		})
	}
	slices.SortFunc(out, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func healthName(h placement.Health) string {
	switch h {
	case placement.Healthy:
		return "healthy"
	case placement.Leaving:
		return "leaving"
	}
	return "unreachable"
}

// Explain returns the events about a job, task ("job/index") or worker, oldest
// first, and the subject's state where the shard knows it.
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
	return events, o.stateOf(subject)
}

func (o *Owner) stateOf(subject string) string {
	if j := o.st.Jobs[subject]; j != nil {
		return fmt.Sprintf("%d of %d tasks open in %s", j.open, len(j.Tasks), o.cfg.Shard)
	}
	for _, j := range o.st.Jobs {
		for _, t := range j.Tasks {
			if t.ID.String() == subject {
				a := o.task(t)
				return fmt.Sprintf("%s %s", a.State, a.Reason)
			}
		}
	}
	return ""
}

// Routes returns the services that run in the shard, or nil when have is the
// present version.
func (o *Owner) Routes(have feed.Version) *feed.Shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if have == o.routes {
		return nil
	}
	s := &feed.Shard{Shard: o.cfg.Shard, Version: o.routes}
	for id, t := range o.runs {
		r := o.st.Run(id)
		if r == nil || t.report.State != contract.Running || t.report.BaseURL == "" {
			continue
		}
		w := o.workerOf(r.Worker)
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: id.Task.Job, Tenant: r.task.job.Spec.Tenant, Run: id, Worker: r.Worker, Zone: o.cfg.Zone,
			BaseURL: t.report.BaseURL, Slots: w.inst.Slots, Conns: w.inst.Conns,
			Leaving: r.Stop != "" || t.report.Leaving || w.leaving,
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b feed.Upstream) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	return s
}
