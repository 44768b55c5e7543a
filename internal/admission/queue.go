// Package admission queues the requests of a service while no slot is free. It
// serves latency-critical before best-effort requests, shares the slots of a
// class between organisations by weighted fair queueing, and refuses early the
// requests that cannot be answered before their deadlines.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Request describes a request that needs a slot.
type Request struct {
	Organisation string
	Weight       int // at least 1
	Class        job.Class
	Deadline     time.Time // by which the caller needs the response
}

// SlotSource provides slots and estimates how fast they become free. Its methods
// are called with the queue's lock held and must not call the queue.
type SlotSource[T any] interface {
	// TryTake takes a slot for a request of class. It returns result.QueueFull
	// if no slot is free, which makes the request wait. Any other code except
	// result.OK refuses the request.
	TryTake(class job.Class) (T, result.Code)
	// ServiceRate returns the mean time for which a request holds a slot, and the
	// number of slots.
	ServiceRate() (held time.Duration, slots int)
}

// Limits and estimates of a queue.
const (
	// MaxWaiting is the maximum number of requests that wait for one service.
	MaxWaiting = 8192
	// organisationFraction limits the waiting requests of one organisation in
	// one class to MaxWaiting divided by it.
	organisationFraction = 2
	// waitSafetyFactor multiplies the expected wait before it is compared with
	// the deadline, because later requests of other organisations may go first.
	waitSafetyFactor = 4
	// slotArrivalDelay is the expected time until an entry without slots gets
	// some. Multiplied by waitSafetyFactor it is one second, the time within
	// which idle capacity moves between entries.
	slotArrivalDelay = 250 * time.Millisecond
	// minRateFraction is the fraction of the total service rate that a class is
	// assumed to get at least, however much the higher classes take.
	minRateFraction = 0.02
	// maxIdleOrganisations is the number of organisations without waiting
	// requests that a class keeps before it searches for those that can be
	// removed.
	maxIdleOrganisations = 256
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Queue holds the requests of one service that wait for a slot, and decides
// which of them gets the next free one.
type Queue[T any] struct {
	source  SlotSource[T]
	waiting atomic.Int64

	mu      sync.Mutex
	classes [2]class[T] // in order of priority, latency-critical first
}

// class holds the waiting requests of one class.
type class[T any] struct {
	organisations map[string]*orgQueue[T]
	active        []*orgQueue[T] // queues with waiting requests
	virtualTime   float64        // greatest virtual start time of the requests served
	count         int            // waiting requests
	takeRate      rate           // slots taken by the class
}

// orgQueue is the FIFO queue of one organisation's requests in one class.
type orgQueue[T any] struct {
	name          string
	weight        float64
	virtualFinish float64 // virtual finish time of the request queued last
	waiters       []*waiter[T]
}

// waiter is a request that waits for a slot.
type waiter[T any] struct {
	request      Request
	virtualStart float64         // virtual start time in the fair queue
	slot         chan outcome[T] // receives the outcome, buffered
}

// outcome is what a waiter gets: a slot if code is OK, otherwise a refusal.
type outcome[T any] struct {
	slot T
	code result.Code
}

// NewQueue returns an empty queue for the slots of source.
func NewQueue[T any](source SlotSource[T]) *Queue[T] {
	q := &Queue[T]{source: source}
	for i := range q.classes {
		q.classes[i].organisations = make(map[string]*orgQueue[T])
	}
	return q
}

// Waiting returns the number of waiting requests.
func (q *Queue[T]) Waiting() int { return int(q.waiting.Load()) }

// Acquire returns a slot for the request r. It waits for one as long as the
// request can still be answered before its deadline. Every error is a *Refusal
// and guarantees that the request was not run.
func (q *Queue[T]) Acquire(ctx context.Context, r Request) (T, error) {
	q.mu.Lock()
	slot, w, err := q.admit(r)
	q.mu.Unlock()
	if w == nil {
		return slot, err
	}
	return q.wait(ctx, r, w)
}

// admit takes a slot for the request if one is free and no request of the same
// or a higher class waits. Otherwise it refuses or queues the request.
func (q *Queue[T]) admit(r Request) (slot T, w *waiter[T], err error) {
	c := &q.classes[classIndex(r.Class)]
	if q.waitingUpTo(classIndex(r.Class)) == 0 {
		s, code := q.source.TryTake(r.Class)
		if code == result.OK {
			c.takeRate.add(time.Now())
			return s, nil, nil
		}
		if code != result.QueueFull {
			return slot, nil, q.refuse(code, 0)
		}
	}
	if err := q.checkAdmission(c, r); err != nil {
		return slot, nil, err
	}
	return slot, q.enqueue(c, r), nil
}

// waitingUpTo returns the number of waiting requests in class i and the higher
// classes.
func (q *Queue[T]) waitingUpTo(i int) int {
	n := 0
	for j := range i + 1 {
		n += q.classes[j].count
	}
	return n
}

// checkAdmission returns a refusal if the queue is full, if the organisation
// has too many waiting requests, or if the request could not be answered before
// its deadline. In the last case the code is result.OrganisationLimited if the
// organisation's own requests use more than its share of the queue.
func (q *Queue[T]) checkAdmission(c *class[T], r Request) error {
	total := int(q.waiting.Load())
	ownWaiting := c.waitingOf(r.Organisation)
	wait := q.expectedWait(c, r, ownWaiting)
	if total >= MaxWaiting {
		return q.refuse(result.QueueFull, wait)
	}
	if ownWaiting >= MaxWaiting/organisationFraction {
		return q.refuse(result.OrganisationLimited, wait)
	}
	holdTime, _ := q.source.ServiceRate()
	remaining := time.Until(r.Deadline)
	if waitSafetyFactor*float64(wait)+float64(holdTime) <= float64(remaining) {
		return nil
	}
	if othersWaiting := c.count - ownWaiting; othersWaiting > 0 && ownWaiting > 0 && q.overShare(c, r, ownWaiting) {
		return q.refuse(result.OrganisationLimited, wait)
	}
	return q.refuse(result.TooLate, wait)
}

// overShare reports whether the organisation has more of the waiting requests
// than its share by weight.
func (q *Queue[T]) overShare(c *class[T], r Request, ownWaiting int) bool {
	weights := float64(0)
	for _, a := range c.active {
		weights += a.weight
	}
	return float64(ownWaiting)*weights > float64(c.count)*float64(r.Weight)
}

// expectedWait returns the estimated time until a request queued now gets a
// slot. It is the number of requests served before it, divided by the service
// rate that the higher classes leave. Those requests are all waiting ones of
// higher classes, the organisation's own, and the requests of the other
// organisations that weighted fair queueing puts between the organisation's
// own.
func (q *Queue[T]) expectedWait(c *class[T], r Request, ownWaiting int) time.Duration {
	i := classIndex(r.Class)
	holdTime, slots := q.source.ServiceRate()
	if slots == 0 {
		return slotArrivalDelay
	}
	ownTurns := float64(ownWaiting+1) / float64(r.Weight)
	servedBefore := float64(q.waitingUpTo(i) - c.count + ownWaiting + 1)
	for _, a := range c.active {
		if a.name != r.Organisation {
			servedBefore += min(float64(len(a.waiters)), ownTurns*a.weight)
		}
	}
	totalRate := float64(slots) / holdTime.Seconds()
	remainingRate := totalRate
	now := time.Now()
	for j := range i {
		remainingRate -= q.classes[j].takeRate.perSecond(now)
	}
	return time.Duration(servedBefore / max(remainingRate, minRateFraction*totalRate) * float64(time.Second))
}

func (q *Queue[T]) refuse(code result.Code, wait time.Duration) error {
	return &Refusal{Code: code, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// waitingOf returns the number of waiting requests of the organisation.
func (c *class[T]) waitingOf(name string) int {
	if oq := c.organisations[name]; oq != nil {
		return len(oq.waiters)
	}
	return 0
}

// queueOf returns the organisation's queue, with the weight of r. It adds the
// queue if there is none.
func (c *class[T]) queueOf(r Request) *orgQueue[T] {
	oq := c.organisations[r.Organisation]
	if oq == nil {
		oq = &orgQueue[T]{name: r.Organisation}
		c.organisations[r.Organisation] = oq
	}
	oq.weight = float64(max(r.Weight, 1))
	return oq
}

// enqueue queues the request.
func (q *Queue[T]) enqueue(c *class[T], r Request) *waiter[T] {
	oq := c.queueOf(r)
	w := &waiter[T]{request: r, virtualStart: max(c.virtualTime, oq.virtualFinish), slot: make(chan outcome[T], 1)}
	oq.virtualFinish = w.virtualStart + 1/oq.weight
	if len(oq.waiters) == 0 {
		c.active = append(c.active, oq)
	}
	oq.waiters = append(oq.waiters, w)
	c.count++
	q.waiting.Add(1)
	return w
}

// wait blocks until the waiter gets a slot or a refusal, the caller is gone, or
// the time to the deadline is shorter than the mean time that a slot is held.
func (q *Queue[T]) wait(ctx context.Context, r Request, w *waiter[T]) (T, error) {
	holdTime, _ := q.source.ServiceRate()
	timer := time.NewTimer(max(0, time.Until(r.Deadline)-holdTime))
	defer timer.Stop()
	// A slot may have become free between TryTake and enqueue.
	q.Dispatch()
	code := result.TooLate
	select {
	case out := <-w.slot:
		return q.slotOrRefusal(out)
	case <-timer.C:
	case <-ctx.Done():
		code = result.CallerGone
	}
	var none T
	if out, ok := q.withdraw(r, w); ok {
		return q.slotOrRefusal(out)
	}
	return none, q.refuse(code, holdTime)
}

// slotOrRefusal converts an outcome to the results of Acquire.
func (q *Queue[T]) slotOrRefusal(out outcome[T]) (T, error) {
	if out.code != result.OK {
		return out.slot, q.refuse(out.code, 0)
	}
	return out.slot, nil
}

// withdraw removes the waiter from its queue. If the waiter was served in the
// meantime, withdraw returns its outcome and true instead.
func (q *Queue[T]) withdraw(r Request, w *waiter[T]) (outcome[T], bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case out := <-w.slot:
		return out, true
	default:
	}
	c := &q.classes[classIndex(r.Class)]
	c.remove(c.queueOf(r), w)
	q.waiting.Add(-1)
	return outcome[T]{}, false
}

// remove removes the waiter from the queue oq.
func (c *class[T]) remove(oq *orgQueue[T], w *waiter[T]) {
	for i, x := range oq.waiters {
		if x == w {
			oq.waiters = append(oq.waiters[:i], oq.waiters[i+1:]...)
			break
		}
	}
	c.count--
	c.deactivateIfEmpty(oq)
}

// deactivateIfEmpty removes an organisation without waiting requests from the
// active list.
func (c *class[T]) deactivateIfEmpty(oq *orgQueue[T]) {
	if len(oq.waiters) > 0 {
		return
	}
	for i, a := range c.active {
		if a == oq {
			c.active = append(c.active[:i], c.active[i+1:]...)
			break
		}
	}
	c.removeIdle()
}

// removeIdle removes the organisations whose virtual finish time no longer
// affects the order: all of them when nothing waits, otherwise those that have
// nothing waiting and whose finish time has passed. To keep it cheap, it
// searches only once maxIdleOrganisations organisations are idle.
func (c *class[T]) removeIdle() {
	if c.count == 0 {
		clear(c.organisations)
		c.virtualTime = 0
		return
	}
	if len(c.organisations) < maxIdleOrganisations+len(c.active) {
		return
	}
	for name, oq := range c.organisations {
		if len(oq.waiters) == 0 && oq.virtualFinish <= c.virtualTime {
			delete(c.organisations, name)
		}
	}
}

// Dispatch gives free slots to waiting requests. It is called whenever a slot
// may have become free.
func (q *Queue[T]) Dispatch() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		for q.classes[i].count > 0 {
			if !q.serveNext(&q.classes[i], classes[i]) {
				break
			}
		}
	}
}

// serveNext gives one slot, or the refusal of the source, to the next request
// of c. It returns false if no slot is free.
func (q *Queue[T]) serveNext(c *class[T], name job.Class) bool {
	slot, code := q.source.TryTake(name)
	if code == result.QueueFull {
		return false
	}
	oq := c.nextQueue()
	w := oq.waiters[0]
	oq.waiters = oq.waiters[1:]
	c.count--
	c.virtualTime = max(c.virtualTime, w.virtualStart)
	q.waiting.Add(-1)
	if code == result.OK {
		c.takeRate.add(time.Now())
	}
	w.slot <- outcome[T]{slot, code}
	c.deactivateIfEmpty(oq)
	return true
}

// nextQueue returns the queue of the organisation whose first request has the lowest
// virtual start time, among those that have requests waiting.
func (c *class[T]) nextQueue() *orgQueue[T] {
	best := c.active[0]
	for _, oq := range c.active[1:] {
		if oq.waiters[0].virtualStart < best.waiters[0].virtualStart {
			best = oq
		}
	}
	return best
}

var classes = [2]job.Class{job.LatencyCritical, job.BestEffort}

func classIndex(c job.Class) int {
	if c == job.BestEffort {
		return 1
	}
	return 0
}
