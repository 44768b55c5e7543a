// Package taskqueue holds the pending tasks of a shard in three queues: active
// tasks are shown to the next scheduling cycle, those in back-off wait for a
// time, and unschedulable ones for an event that may help them. Tasks that were
// set aside wait for an event too, and are counted apart.
package taskqueue

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
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

const (
	// refresh is how long a task stays unschedulable before it is looked at
	// again without an event.
	refresh = 30 * time.Second
	// maxPerJob is how many tasks of one job a cycle is shown, so that a
	// large job costs no more than a cycle can place.
	maxPerJob = 512
)

// entry is a task in the queue.
type entry struct {
	p      *placement.Pending
	place  Place
	reason placement.Reason
	since  time.Duration
}

// group is the tasks of one job, ascending by index. A parked job is
// unschedulable as a whole, so far as its tasks are active.
type group struct {
	entries []*entry
	parked  bool
	reason  placement.Reason
	since   time.Duration
}

// Queue holds pending tasks. It is not safe for concurrent use.
type Queue struct {
	jobs   map[string]*group
	order  []string // jobs in order of arrival
	counts [places]int
	events Event // since the last Active
}

// New returns an empty queue.
func New() *Queue { return &Queue{jobs: map[string]*group{}} }

// Add puts a task into the active queue, or into back-off where it may not
// start yet. A task that is in the queue is replaced.
func (q *Queue) Add(p *placement.Pending, now time.Duration) {
	q.Remove(p.Task)
	g := q.jobs[p.Task.Job]
	if g == nil {
		g = &group{}
		q.jobs[p.Task.Job] = g
		q.order = append(q.order, p.Task.Job)
	}
	e := &entry{p: p, since: now}
	if p.NotBefore > now {
		e.place = BackOff
	}
	at, _ := g.find(p.Task.Index)
	g.entries = slices.Insert(g.entries, at, e)
	g.parked = false
	q.counts[e.place]++
}

func (g *group) find(index int) (int, bool) {
	return slices.BinarySearchFunc(g.entries, index, func(e *entry, i int) int {
		return cmp.Compare(e.p.Task.Index, i)
	})
}

// Remove takes a task out and reports whether it was there.
func (q *Queue) Remove(t job.TaskID) bool {
	g := q.jobs[t.Job]
	if g == nil {
		return false
	}
	at, ok := g.find(t.Index)
	if !ok {
		return false
	}
	q.counts[g.entries[at].place]--
	g.entries = slices.Delete(g.entries, at, at+1)
	return true
}

// RemoveJob takes out all tasks of a job and returns how many there were.
func (q *Queue) RemoveJob(id string) int {
	g := q.jobs[id]
	if g == nil {
		return 0
	}
	n := len(g.entries)
	for _, e := range g.entries {
		q.counts[e.place]--
	}
	g.entries = nil
	return n
}

// Active returns the tasks for the next cycle, job by job. Tasks whose back-off
// is over, those that an event may help, and those not looked at for long come
// back.
func (q *Queue) Active(now time.Duration) []*placement.Pending {
	var out []*placement.Pending
	events := q.events
	q.events = 0
	kept := q.order[:0]
	for _, id := range q.order {
		g := q.jobs[id]
		if len(g.entries) == 0 {
			delete(q.jobs, id)
			continue
		}
		kept = append(kept, id)
		out = q.show(g, out, events, now)
	}
	clear(q.order[len(kept):])
	q.order = kept
	return out
}

// show appends the group's tasks that the next cycle looks at.
func (q *Queue) show(g *group, out []*placement.Pending, events Event, now time.Duration) []*placement.Pending {
	if g.parked && (helps(g.reason)&events != 0 || now-g.since >= refresh) {
		g.parked = false
	}
	n := 0
	for _, e := range g.entries {
		q.wake(e, events, now)
		if e.place != Active || g.parked {
			continue
		}
		out = append(out, e.p)
		if n++; n == maxPerJob {
			break
		}
	}
	return out
}

func (q *Queue) wake(e *entry, events Event, now time.Duration) {
	switch {
	case e.place == BackOff && e.p.NotBefore <= now:
		q.move(e, Active, now)
	case e.place == Unschedulable && now-e.since >= refresh:
		q.move(e, Active, now)
	case (e.place == Unschedulable || e.place == Aside) && helps(e.reason)&events != 0:
		q.move(e, Active, now)
	}
}

// Apply sorts the tasks by what a plan decided: placed ones leave, waiting ones
// become unschedulable, others are set aside. Tasks that the plan says nothing
// of stay active.
func (q *Queue) Apply(p *placement.Plan, now time.Duration) {
	for i := range p.Decisions {
		q.apply(&p.Decisions[i], now)
	}
	for _, w := range p.Waiting {
		if g := q.jobs[w.Job]; g != nil && !placement.Preempting(w.Reason) {
			g.parked, g.reason, g.since = true, w.Reason, now
		}
	}
}

func (q *Queue) apply(d *placement.Decision, now time.Duration) {
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
			q.move(e, Unschedulable, now)
		}
	case placement.SetAside:
		e.reason = d.Reason
		q.move(e, Aside, now)
	}
}

func (q *Queue) entry(t job.TaskID) *entry {
	g := q.jobs[t.Job]
	if g == nil {
		return nil
	}
	at, ok := g.find(t.Index)
	if !ok {
		return nil
	}
	return g.entries[at]
}

func (q *Queue) move(e *entry, to Place, now time.Duration) {
	q.counts[e.place]--
	q.counts[to]++
	e.place, e.since = to, now
}

// Notify notes an event. The tasks that it may help are active at the next call
// of Active, so that a flood of events costs one pass.
func (q *Queue) Notify(ev Event) { q.events |= ev }

// Len returns how many tasks are in a queue. Tasks of a job that waits as a
// whole count as Active.
func (q *Queue) Len(p Place) int { return q.counts[p] }

// Find returns where a task is and why it waits, and false where it is not
// queued.
func (q *Queue) Find(t job.TaskID) (Place, placement.Reason, bool) {
	e := q.entry(t)
	if e == nil {
		return 0, placement.Reason{}, false
	}
	if g := q.jobs[t.Job]; g.parked && e.place == Active {
		return Unschedulable, g.reason, true
	}
	return e.place, e.reason, true
}

// All calls f for every task, job by job, until it returns false.
func (q *Queue) All(f func(p *placement.Pending, place Place) bool) {
	for _, id := range q.order {
		for _, e := range q.jobs[id].entries {
			if !f(e.p, e.place) {
				return
			}
		}
	}
}
