// Package taskqueue holds the pending tasks of a shard in three queues: active
// tasks are shown to the next scheduling cycle, those in back-off wait for a
// time, and unschedulable ones for an event that may help them. Tasks that were
// set aside wait for an event too, and are counted apart.
package taskqueue

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
)

// Event is a change that may make a task schedulable.
type Event uint16

// The events.
const (
	RoomFreed       Event = 1 << iota // a run ended or shrank
	WorkerAdded                       // a worker came, or grew
	WorkerCleared                     // a worker is healthy or out of quarantine again
	QuotaGrew                         // of any tenant
	LoadFell                          // services are calmer
	SettingsChanged                   // a bundle was accepted
	Retried                           // an operator asked
)

// Place is the queue that a task is in.
type Place uint8

// The queues.
const (
	Active Place = iota
	BackOff
	Unschedulable
	Aside
	places
)

// refresh is how long a task stays unschedulable before it is looked at again
// without an event.
const refresh = 30 * time.Second

type entry struct {
	p      *placement.Pending
	place  Place
	reason placement.Reason
	since  time.Duration
}

// Queue holds pending tasks. It is not safe for concurrent use.
type Queue struct {
	entries map[job.TaskID]*entry
	counts  [places]int
	events  Event // since the last Active
}

// New returns an empty queue.
func New() *Queue { return &Queue{entries: map[job.TaskID]*entry{}} }

// Add puts a task into the active queue, or into back-off where it may not
// start yet. A task that is in the queue is replaced.
func (q *Queue) Add(p *placement.Pending, now time.Duration) {
	q.Remove(p.Task)
	e := &entry{p: p, since: now}
	if p.NotBefore > now {
		e.place = BackOff
	}
	q.entries[p.Task] = e
	q.counts[e.place]++
}

// Remove takes a task out and reports whether it was there.
func (q *Queue) Remove(t job.TaskID) bool {
	e, ok := q.entries[t]
	if !ok {
		return false
	}
	q.counts[e.place]--
	delete(q.entries, t)
	return true
}

// RemoveJob takes out all tasks of a job and returns how many there were.
func (q *Queue) RemoveJob(id string) int {
	n := 0
	for t := range q.entries {
		if t.Job == id && q.Remove(t) {
			n++
		}
	}
	return n
}

// Active returns the tasks for the next cycle, in no order: Decide orders them.
// Tasks whose back-off is over, and those not looked at for long, come back.
func (q *Queue) Active(now time.Duration) []*placement.Pending {
	out := make([]*placement.Pending, 0, q.counts[Active])
	events := q.events
	q.events = 0
	for _, e := range q.entries {
		q.wake(e, events, now)
		if e.place == Active {
			out = append(out, e.p)
		}
	}
	return out
}

func (q *Queue) wake(e *entry, events Event, now time.Duration) {
	switch {
	case e.waits() && helps(e)&events != 0:
		q.move(e, Active, now)
	case e.place == BackOff && e.p.NotBefore <= now:
		q.move(e, Active, now)
	case e.place == Unschedulable && now-e.since >= refresh:
		q.move(e, Active, now)
	}
}

// Apply sorts the tasks by what a plan decided: placed ones leave, waiting ones
// become unschedulable, others are set aside. Tasks that the plan does not name
// stay active.
func (q *Queue) Apply(p *placement.Plan, now time.Duration) {
	for i := range p.Decisions {
		q.apply(&p.Decisions[i], now)
	}
}

func (q *Queue) apply(d *placement.Decision, now time.Duration) {
	e, ok := q.entries[d.Task]
	if !ok {
		return
	}
	switch d.Step {
	case placement.Place:
		q.Remove(d.Task)
	case placement.Wait:
		e.reason = d.Reason
		if !placement.Preempting(d.Reason) {
			q.move(e, Unschedulable, now)
		}
	case placement.SetAside:
		e.reason = d.Reason
		q.move(e, Aside, now)
	}
}

// Notify notes an event. The tasks that it may help are active at the next call
// of Active, so that a flood of events costs one pass.
func (q *Queue) Notify(ev Event) { q.events |= ev }

func (e *entry) waits() bool { return e.place == Unschedulable || e.place == Aside }

// helps returns the events that may help e.
func helps(e *entry) Event {
	switch {
	case e.reason.Stage == placement.StageNeverRuns:
		return WorkerAdded | SettingsChanged | Retried
	case e.reason.Stage == placement.StageRetryLimit:
		return SettingsChanged | Retried
	case e.reason.Stage == placement.StageHeadroom:
		return QuotaGrew | RoomFreed | SettingsChanged | Retried
	default:
		return RoomFreed | WorkerAdded | WorkerCleared | LoadFell | SettingsChanged | Retried
	}
}

func (q *Queue) move(e *entry, to Place, now time.Duration) {
	q.counts[e.place]--
	q.counts[to]++
	e.place, e.since = to, now
}

// Len returns how many tasks are in a queue.
func (q *Queue) Len(p Place) int { return q.counts[p] }

// Find returns where a task is and why it waits, and false where it is not
// queued.
func (q *Queue) Find(t job.TaskID) (Place, placement.Reason, bool) {
	e, ok := q.entries[t]
	if !ok {
		return 0, placement.Reason{}, false
	}
	return e.place, e.reason, true
}

// All calls f for every task until it returns false.
func (q *Queue) All(f func(p *placement.Pending, place Place) bool) {
	for _, e := range q.entries {
		if !f(e.p, e.place) {
			return
		}
	}
}
