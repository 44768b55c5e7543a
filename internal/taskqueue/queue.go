// Package taskqueue holds the pending tasks of a shard in three queues. Active
// tasks are passed to the next scheduling cycle, tasks in back-off become active
// after a time, and unschedulable tasks after an event that may let them be placed.
// Tasks that are set aside wait for an event as well and are counted separately.
package taskqueue

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
)

// State is the queue in which a task is.
type State uint8

// The states of a task.
const (
	Active State = iota
	BackOff
	Unschedulable
	SetAside
	numStates
)

const (
	// unschedulableTimeout is the time after which an unschedulable task becomes
	// active without an event.
	unschedulableTimeout = 30 * time.Second
	// maxTasksPerJob is the number of tasks of one job passed to a cycle. More would
	// cost time without being placed in the same cycle.
	maxTasksPerJob = 512
)

// entry is a queued task with its state.
type entry struct {
	pending    *placement.Pending
	state      State
	reason     placement.Reason
	stateSince time.Duration
}

// jobTasks holds the queued tasks of one job, ascending by index. While the job is
// unschedulable, so are all its tasks whose own state is Active.
type jobTasks struct {
	entries            []*entry
	unschedulable      bool
	reason             placement.Reason
	unschedulableSince time.Duration
}

// Queue holds pending tasks. It is not safe for concurrent use.
type Queue struct {
	jobs     map[string]*jobTasks
	jobOrder []string // jobs by arrival
	counts   [numStates]int
	events   Event // since the last call of Active
}

// New returns an empty queue.
func New() *Queue { return &Queue{jobs: map[string]*jobTasks{}} }

// Add puts a task into the active queue, or into back-off if it may not start yet.
// It replaces a task with the same id and makes an unschedulable job active.
func (q *Queue) Add(p *placement.Pending, now time.Duration) {
	q.Remove(p.Task)
	j := q.jobs[p.Task.Job]
	if j == nil {
		j = &jobTasks{}
		q.jobs[p.Task.Job] = j
		q.jobOrder = append(q.jobOrder, p.Task.Job)
	}
	e := &entry{pending: p, stateSince: now}
	if p.NotBefore > now {
		e.state = BackOff
	}
	at, _ := j.find(p.Task.Index)
	j.entries = slices.Insert(j.entries, at, e)
	j.unschedulable = false
	q.counts[e.state]++
}

// find returns the position of the task with the index, or where to insert it, and
// whether it is there.
func (j *jobTasks) find(index int) (int, bool) {
	return slices.BinarySearchFunc(j.entries, index, func(e *entry, i int) int {
		return cmp.Compare(e.pending.Task.Index, i)
	})
}

// Remove removes a task and reports whether it was queued.
func (q *Queue) Remove(t job.TaskID) bool {
	j := q.jobs[t.Job]
	if j == nil {
		return false
	}
	at, ok := j.find(t.Index)
	if !ok {
		return false
	}
	q.counts[j.entries[at].state]--
	j.entries = slices.Delete(j.entries, at, at+1)
	return true
}

// RemoveJob removes all tasks of a job and returns their number.
func (q *Queue) RemoveJob(id string) int {
	j := q.jobs[id]
	if j == nil {
		return 0
	}
	n := len(j.entries)
	for _, e := range j.entries {
		q.counts[e.state]--
	}
	j.entries = nil
	return n
}

// Active returns the tasks for the next cycle, job by job. Before that, it makes
// tasks active whose back-off is over, that an event since the last call may let be
// placed, or that were unschedulable for unschedulableTimeout.
func (q *Queue) Active(now time.Duration) []*placement.Pending {
	var out []*placement.Pending
	events := q.events
	q.events = 0
	kept := q.jobOrder[:0]
	for _, id := range q.jobOrder {
		j := q.jobs[id]
		if len(j.entries) == 0 {
			delete(q.jobs, id)
			continue
		}
		kept = append(kept, id)
		out = q.appendActive(j, out, events, now)
	}
	clear(q.jobOrder[len(kept):])
	q.jobOrder = kept
	return out
}

// appendActive appends the active tasks of a job, at most maxTasksPerJob, to out.
func (q *Queue) appendActive(j *jobTasks, out []*placement.Pending, events Event, now time.Duration) []*placement.Pending {
	if j.unschedulable && (eventsFor(j.reason)&events != 0 || now-j.unschedulableSince >= unschedulableTimeout) {
		j.unschedulable = false
	}
	n := 0
	for _, e := range j.entries {
		q.reactivate(e, events, now)
		if e.state != Active || j.unschedulable {
			continue
		}
		out = append(out, e.pending)
		if n++; n == maxTasksPerJob {
			break
		}
	}
	return out
}

// reactivate makes a task active if its time or one of its events has come.
func (q *Queue) reactivate(e *entry, events Event, now time.Duration) {
	switch {
	case e.state == BackOff && e.pending.NotBefore <= now:
		q.setState(e, Active, now)
	case e.state == Unschedulable && now-e.stateSince >= unschedulableTimeout:
		q.setState(e, Active, now)
	case (e.state == Unschedulable || e.state == SetAside) && eventsFor(e.reason)&events != 0:
		q.setState(e, Active, now)
	}
}

// Apply updates the queues by a plan: placed tasks are removed, waiting ones become
// unschedulable, and others are set aside. Tasks without a decision stay active, and
// so do those for which a preemption is freeing capacity.
func (q *Queue) Apply(p *placement.Plan, now time.Duration) {
	for i := range p.Decisions {
		q.applyDecision(&p.Decisions[i], now)
	}
	for _, w := range p.Waiting {
		if j := q.jobs[w.Job]; j != nil && !placement.Preempting(w.Reason) {
			j.unschedulable, j.reason, j.unschedulableSince = true, w.Reason, now
		}
	}
}

// applyDecision removes a placed task, or moves a task that waits or is set aside to the
// queue of that state. A task for which a preemption is freeing capacity stays active.
func (q *Queue) applyDecision(d *placement.Decision, now time.Duration) {
	e := q.entry(d.Task)
	if e == nil {
		return
	}
	switch d.Step {
	case placement.Place:
		q.Remove(d.Task)
	case placement.Wait:
		e.reason = d.Reason
		if !placement.Preempting(d.Reason) {
			q.setState(e, Unschedulable, now)
		}
	case placement.SetAside:
		e.reason = d.Reason
		q.setState(e, SetAside, now)
	}
}

// entry returns the entry of a task, or nil.
func (q *Queue) entry(t job.TaskID) *entry {
	j := q.jobs[t.Job]
	if j == nil {
		return nil
	}
	at, ok := j.find(t.Index)
	if !ok {
		return nil
	}
	return j.entries[at]
}

func (q *Queue) setState(e *entry, to State, now time.Duration) {
	q.counts[e.state]--
	q.counts[to]++
	e.state, e.stateSince = to, now
}

// Notify records an event. The next call of Active applies all recorded events in
// one pass over the tasks, however often Notify was called.
func (q *Queue) Notify(ev Event) { q.events |= ev }

// Len returns the number of tasks in a state. Only the state of each task counts: an
// active task counts as Active even while its whole job is unschedulable.
func (q *Queue) Len(state State) int { return q.counts[state] }

// Find returns the state of a task and the reason why it waits, or false if it is
// not queued.
func (q *Queue) Find(t job.TaskID) (State, placement.Reason, bool) {
	e := q.entry(t)
	if e == nil {
		return 0, placement.Reason{}, false
	}
	if j := q.jobs[t.Job]; j.unschedulable && e.state == Active {
		return Unschedulable, j.reason, true
	}
	return e.state, e.reason, true
}

// All calls f for every task, job by job, until it returns false.
func (q *Queue) All(f func(p *placement.Pending, state State) bool) {
	for _, id := range q.jobOrder {
		for _, e := range q.jobs[id].entries {
			if !f(e.pending, e.state) {
				return
			}
		}
	}
}
