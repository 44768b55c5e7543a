package placement

import (
	"time"

	"skylarkport/internal/job"
)

// maxEntriesPerTask is the number of latest decisions kept for a task.
const maxEntriesPerTask = 8

// LedgerEntry is a decision and the time at which it was recorded.
type LedgerEntry struct {
	At       time.Duration
	Decision Decision
}

// Ledger keeps the latest decisions on a bounded number of tasks, to explain why
// a task runs where it does or waits. It is not safe for concurrent use.
type Ledger struct {
	limit int
	tasks map[job.TaskID][]LedgerEntry
	ring  []job.TaskID // kept tasks; the oldest is at next once the ring is full
	next  int
}

// NewLedger returns a ledger for at most limit tasks.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: max(limit, 1), tasks: map[job.TaskID][]LedgerEntry{}}
}

// Add records a plan's decisions. A repeated Wait with the same reason updates
// the time of the last entry instead of adding one.
func (l *Ledger) Add(now time.Duration, p *Plan) {
	for i := range p.Decisions {
		l.add(LedgerEntry{At: now, Decision: p.Decisions[i]})
	}
}

func (l *Ledger) add(e LedgerEntry) {
	t := e.Decision.Task
	list, ok := l.tasks[t]
	if !ok {
		l.addTask(t)
	}
	if n := len(list); n > 0 && list[n-1].Decision.Step == Wait && list[n-1].Decision == e.Decision {
		list[n-1].At = e.At
		return
	}
	if len(list) == maxEntriesPerTask {
		list = append(list[:0], list[1:]...)
	}
	l.tasks[t] = append(list, e)
}

// addTask adds t to the kept tasks and drops the oldest if the limit is reached.
func (l *Ledger) addTask(t job.TaskID) {
	if len(l.ring) < l.limit {
		l.ring = append(l.ring, t)
		return
	}
	delete(l.tasks, l.ring[l.next])
	l.ring[l.next] = t
	l.next = (l.next + 1) % l.limit
}

// Decisions returns the decisions on a task, oldest first.
func (l *Ledger) Decisions(t job.TaskID) []LedgerEntry { return l.tasks[t] }
