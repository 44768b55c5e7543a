// Package admission decides which request of a service goes next when there
// are more requests than slots: weighted fair queues per tenant and class with
// deadlines, and an early refusal of what cannot be answered in time.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Ticket describes a request that asks for a slot.
type Ticket struct {
	Tenant   string
	Weight   int // at least 1
	Class    job.Class
	Deadline time.Time // of the answer
}

// Source takes slots and estimates how fast they come free. Its methods are
// called under the queue's lock and must not call the queue.
type Source[T any] interface {
	// Take takes a slot for a request of class. With none free now it
	// returns result.QueueFull, which makes the request wait; any other
	// code refuses it.
	Take(class job.Class) (T, result.Code)
	// Pace returns the mean time a slot is held and the number of slots.
	Pace() (held time.Duration, slots int)
}

// Bounds of a queue.
const (
	// MaxWaiting is the number of requests that wait for one service.
	MaxWaiting = 8192
	// tenantPart is the most of MaxWaiting that one tenant may fill: one
	// part in this many, while others wait too.
	tenantPart = 2
	// caution multiplies the expected wait before it is held against the
	// deadline, because later requests of other tenants may go first.
	caution = 4
	// slotsMove is the expected time until an entry without slots gets some;
	// with caution it is the second within which idle shares move.
	slotsMove = 250 * time.Millisecond
	// leastRate is the least part of all slots' rate that a class is taken
	// to get.
	leastRate = 0.02
	// maxIdleTenants is how many tenants without waiting requests a class
	// remembers before it looks for those to forget.
	maxIdleTenants = 256
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Queue orders the requests of one service.
type Queue[T any] struct {
	source  Source[T]
	waiting atomic.Int64

	mu      sync.Mutex
	classes [2]class[T] // latency-critical first
}

// class holds the waiting requests of one class.
type class[T any] struct {
	tenants map[string]*tenant[T]
	active  []*tenant[T] // with requests waiting
	clock   float64      // virtual start time of the newest request served
	count   int
	taken   rate
}

// tenant is the first-in first-out queue of a tenant in a class.
type tenant[T any] struct {
	name   string
	weight float64
	finish float64 // virtual finish time of the newest request queued
	queue  []*waiter[T]
}

type waiter[T any] struct {
	ticket Ticket
	start  float64 // virtual start time
	slot   chan grant[T]
}

type grant[T any] struct {
	slot T
	code result.Code
}

// NewQueue returns an empty queue of the slots of source.
func NewQueue[T any](source Source[T]) *Queue[T] {
	q := &Queue[T]{source: source}
	for i := range q.classes {
		q.classes[i].tenants = make(map[string]*tenant[T])
	}
	return q
}

// Waiting returns the number of requests that wait.
func (q *Queue[T]) Waiting() int { return int(q.waiting.Load()) }

// Acquire returns a slot for the request t, waiting for one where the request
// can still be answered in time. Its errors are *Refusal and prove that the
// request was not run.
func (q *Queue[T]) Acquire(ctx context.Context, t Ticket) (T, error) {
	q.mu.Lock()
	slot, w, err := q.enter(t)
	q.mu.Unlock()
	if w == nil {
		return slot, err
	}
	return q.wait(ctx, t, w)
}

// enter takes a free slot, refuses the request or queues it.
func (q *Queue[T]) enter(t Ticket) (slot T, w *waiter[T], err error) {
	c := &q.classes[classIndex(t.Class)]
	if q.ahead(classIndex(t.Class)) == 0 {
		s, code := q.source.Take(t.Class)
		if code == result.OK {
			c.taken.add(time.Now())
			return s, nil, nil
		}
		if code != result.QueueFull {
			return slot, nil, q.refuse(code, 0)
		}
	}
	if err := q.check(c, t); err != nil {
		return slot, nil, err
	}
	return slot, q.push(c, t), nil
}

// ahead returns the number of waiting requests of classes up to i.
func (q *Queue[T]) ahead(i int) int {
	n := 0
	for j := range i + 1 {
		n += q.classes[j].count
	}
	return n
}

// check refuses what could not be answered before its deadline, and what would
// fill the queue.
func (q *Queue[T]) check(c *class[T], t Ticket) error {
	total := int(q.waiting.Load())
	own := c.queued(t.Tenant)
	wait := q.expected(c, t, own)
	if total >= MaxWaiting {
		return q.refuse(result.QueueFull, wait)
	}
	if own >= MaxWaiting/tenantPart {
		return q.refuse(result.TenantLimited, wait)
	}
	held, _ := q.source.Pace()
	left := time.Until(t.Deadline)
	if caution*float64(wait)+float64(held) <= float64(left) {
		return nil
	}
	if others := c.count - own; others > 0 && own > 0 && q.overShare(c, t, own) {
		return q.refuse(result.TenantLimited, wait)
	}
	return q.refuse(result.TooLate, wait)
}

// overShare reports whether the tenant holds more of the queue than its weight.
func (q *Queue[T]) overShare(c *class[T], t Ticket, own int) bool {
	weights := float64(0)
	for _, a := range c.active {
		weights += a.weight
	}
	return float64(own)*weights > float64(c.count)*float64(t.Weight)
}

// expected is the time until a request that is queued now gets its slot: the
// requests of higher classes, and for each request of its own tenant ahead the
// part of the others that goes in between, at the rate that higher classes
// leave.
func (q *Queue[T]) expected(c *class[T], t Ticket, own int) time.Duration {
	i := classIndex(t.Class)
	held, slots := q.source.Pace()
	if slots == 0 {
		return slotsMove
	}
	turns := float64(own+1) / float64(t.Weight)
	before := float64(q.ahead(i) - c.count + own + 1)
	for _, a := range c.active {
		if a.name != t.Tenant {
			before += min(float64(len(a.queue)), turns*a.weight)
		}
	}
	all := float64(slots) / held.Seconds()
	left := all
	now := time.Now()
	for j := range i {
		left -= q.classes[j].taken.perSecond(now)
	}
	return time.Duration(before / max(left, leastRate*all) * float64(time.Second))
}

func (q *Queue[T]) refuse(code result.Code, wait time.Duration) error {
	return &Refusal{Code: code, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// queued returns how many requests of the tenant wait.
func (c *class[T]) queued(name string) int {
	if n := c.tenants[name]; n != nil {
		return len(n.queue)
	}
	return 0
}

func (c *class[T]) of(t Ticket) *tenant[T] {
	n := c.tenants[t.Tenant]
	if n == nil {
		n = &tenant[T]{name: t.Tenant}
		c.tenants[t.Tenant] = n
	}
	n.weight = float64(max(t.Weight, 1))
	return n
}

func (q *Queue[T]) push(c *class[T], t Ticket) *waiter[T] {
	n := c.of(t)
	w := &waiter[T]{ticket: t, start: max(c.clock, n.finish), slot: make(chan grant[T], 1)}
	n.finish = w.start + 1/n.weight
	if len(n.queue) == 0 {
		c.active = append(c.active, n)
	}
	n.queue = append(n.queue, w)
	c.count++
	q.waiting.Add(1)
	return w
}

// wait blocks until the waiter has a slot or could not be answered in time any
// more.
func (q *Queue[T]) wait(ctx context.Context, t Ticket, w *waiter[T]) (T, error) {
	held, _ := q.source.Pace()
	timer := time.NewTimer(max(0, time.Until(t.Deadline)-held))
	defer timer.Stop()
	// A slot may have come free between Take and push.
	q.Dispatch()
	code := result.TooLate
	select {
	case g := <-w.slot:
		return q.taken(g)
	case <-timer.C:
	case <-ctx.Done():
		code = result.CallerGone
	}
	var none T
	if g, ok := q.leave(t, w); ok {
		return q.taken(g)
	}
	return none, q.refuse(code, held)
}

func (q *Queue[T]) taken(g grant[T]) (T, error) {
	if g.code != result.OK {
		return g.slot, q.refuse(g.code, 0)
	}
	return g.slot, nil
}

// leave takes the waiter out of its queue, or returns the grant that it was
// given in the meantime.
func (q *Queue[T]) leave(t Ticket, w *waiter[T]) (grant[T], bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case g := <-w.slot:
		return g, true
	default:
	}
	c := &q.classes[classIndex(t.Class)]
	c.remove(c.of(t), w)
	q.waiting.Add(-1)
	return grant[T]{}, false
}

func (c *class[T]) remove(n *tenant[T], w *waiter[T]) {
	for i, x := range n.queue {
		if x == w {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			break
		}
	}
	c.count--
	c.retire(n)
}

// retire takes a tenant without waiting requests off the active list.
func (c *class[T]) retire(n *tenant[T]) {
	if len(n.queue) > 0 {
		return
	}
	for i, a := range c.active {
		if a == n {
			c.active = append(c.active[:i], c.active[i+1:]...)
			break
		}
	}
	c.forget()
}

// forget drops the tenants whose past does not count any more. It looks at all
// of them only when their number has grown.
func (c *class[T]) forget() {
	if c.count == 0 {
		clear(c.tenants)
		c.clock = 0
		return
	}
	if len(c.tenants) < maxIdleTenants+len(c.active) {
		return
	}
	for name, n := range c.tenants {
		if len(n.queue) == 0 && n.finish <= c.clock {
			delete(c.tenants, name)
		}
	}
}

// Dispatch hands free slots to the waiting requests. It is called whenever a
// slot may have come free.
func (q *Queue[T]) Dispatch() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		for q.classes[i].count > 0 {
			if !q.serve(&q.classes[i], classes[i]) {
				break
			}
		}
	}
}

// serve hands one slot to the next request of c. It reports false when no slot
// is free.
func (q *Queue[T]) serve(c *class[T], name job.Class) bool {
	slot, code := q.source.Take(name)
	if code == result.QueueFull {
		return false
	}
	n := c.next()
	w := n.queue[0]
	n.queue = n.queue[1:]
	c.count--
	c.clock = max(c.clock, w.start)
	q.waiting.Add(-1)
	if code == result.OK {
		c.taken.add(time.Now())
	}
	w.slot <- grant[T]{slot, code}
	c.retire(n)
	return true
}

// next returns the active tenant whose first request has the least virtual
// start time.
func (c *class[T]) next() *tenant[T] {
	best := c.active[0]
	for _, n := range c.active[1:] {
		if n.queue[0].start < best.queue[0].start {
			best = n
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
