package admission

import (
	"time"

	"skylarkport/internal/result"
)

// Shed refuses the waiting requests that can no longer be answered before their
// deadlines, because slots were lost or become free more slowly than when the
// requests were queued. It is called periodically while requests wait.
func (q *Queue[T]) Shed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	holdTime, _ := q.source.ServiceRate()
	now := time.Now()
	for i := range q.classes {
		c := &q.classes[i]
		for _, oq := range append([]*orgQueue[T](nil), c.active...) {
			q.shedOrganisation(c, oq, now, holdTime)
		}
	}
}

// shedOrganisation examines an organisation's requests from the last to the
// first, and stops at one that can be answered in time.
func (q *Queue[T]) shedOrganisation(c *class[T], oq *orgQueue[T], now time.Time, holdTime time.Duration) {
	for k := len(oq.waiters) - 1; k >= 0; k-- {
		w := oq.waiters[k]
		wait := q.expectedWait(c, w.request, k)
		if float64(wait)+float64(holdTime) <= float64(w.request.Deadline.Sub(now)) {
			return
		}
		oq.virtualFinish = w.virtualStart
		w.slot <- outcome[T]{code: result.TooLate}
		c.remove(oq, w)
		q.waiting.Add(-1)
	}
}
