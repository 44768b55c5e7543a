package admission

import (
	"time"

	"skylarkport/internal/result"
)

// Shed refuses the waiting requests that cannot be answered in time any more,
// because slots were lost or come free more slowly than when they were queued.
// It is called now and then while requests wait.
func (q *Queue[T]) Shed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	held, _ := q.source.Pace()
	now := time.Now()
	for i := range q.classes {
		c := &q.classes[i]
		for _, n := range append([]*tenant[T](nil), c.active...) {
			q.shedTenant(c, n, now, held)
		}
	}
}

// shedTenant looks at a tenant's requests from the last one on, and stops at
// the first that can be answered.
func (q *Queue[T]) shedTenant(c *class[T], n *tenant[T], now time.Time, held time.Duration) {
	for k := len(n.queue) - 1; k >= 0; k-- {
		w := n.queue[k]
		wait := q.expected(c, w.ticket, k)
		if float64(wait)+float64(held) <= float64(w.ticket.Deadline.Sub(now)) {
			return
		}
		n.finish = w.start
		w.slot <- grant[T]{code: result.TooLate}
		c.remove(n, w)
		q.waiting.Add(-1)
	}
}
