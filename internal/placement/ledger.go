package placement

import (
	"time"

	"skylarkport/internal/job"
)

const entriesPerTask = 8

// LedgerEntry is a decision with its time.
type LedgerEntry struct {
	At       time.Duration
	Decision Decision
}

// Ledger keeps the latest decisions on each task for explain, within a bound.
// It is not safe for concurrent use.
type Ledger struct {
	limit int
	tasks map[job.TaskID][]LedgerEntry
	ring  []job.TaskID // tasks in order of arrival
	next  int
}

// NewLedger returns a ledger for at most limit tasks.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: max(limit, 1), tasks: map[job.TaskID][]LedgerEntry{}}
}

// Add records a plan's decisions. A repeated Wait with the same reason only
// moves the time of the last entry.
func (l *Ledger) Add(now time.Duration, p *Plan) {
	for i := range p.Decisions {
		l.add(LedgerEntry{At: now, Decision: p.Decisions[i]})
	}
}

func (l *Ledger) add(e LedgerEntry) {
	t := e.Decision.Task
	list, ok := l.tasks[t]
	if !ok {
		l.admit(t)
	}
	if n := len(list); n > 0 && list[n-1].Decision.Step == Wait && list[n-1].Decision == e.Decision {
		list[n-1].At = e.At
		return
	}
	if len(list) == entriesPerTask {
		list = append(list[:0], list[1:]...)
	}
	l.tasks[t] = append(list, e)
}

// admit makes room for t by dropping the task that came first.
func (l *Ledger) admit(t job.TaskID) {
	if len(l.ring) < l.limit {
		l.ring = append(l.ring, t)
		return
	}
	delete(l.tasks, l.ring[l.next])
	l.ring[l.next] = t
	l.next = (l.next + 1) % l.limit
}

// Of returns the decisions on a task, oldest first.
func (l *Ledger) Of(t job.TaskID) []LedgerEntry { return l.tasks[t] }
