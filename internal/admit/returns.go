package admit

import "time"

// refusal is a refused job whose caller was told when to return.
type refusal struct {
	firstSeen time.Duration // when it was first refused
	returnAt  time.Duration // when its caller was last told to return
	startBy   time.Duration // by when it has to start to end in time
	kept      float64       // core-milliseconds for which capacity is kept for its return
	priority  int           // of its queue
	times     int           // how often it was refused
}

// Returns remembers refused jobs and spreads the times at which their callers return over the
// capacity expected then. It answers a burst whose refused callers would come back as a burst, and
// find that later ones took the capacity freed meanwhile. Its memory is bounded; a job that it does
// not know is treated as new.
type Returns struct {
	refused   map[string]*refusal
	booked    map[time.Duration]float64 // core-milliseconds that return in each second, by its start
	expiredAt time.Duration
}

// NewReturns returns an empty Returns.
func NewReturns() *Returns {
	return &Returns{refused: map[string]*refusal{}, booked: map[time.Duration]float64{}}
}

const (
	// maxRefused bounds the remembered jobs.
	maxRefused = 4096
	// rememberFor is how long after its promised time a refused job is remembered.
	rememberFor = 15 * time.Second
	// keepFor is how long after the promised time capacity is kept for a return.
	keepFor = time.Second
	// keptShare is the most work for which capacity is kept, as a share of what the shard completes
	// while the jobs of a queue can wait. With more, new jobs would be refused for callers who may
	// never return.
	keptShare = 0.1
	// earliestReturn and latestReturn bound the times to return.
	earliestReturn = time.Second
	latestReturn   = 30 * time.Second
	// inTimeReturns is how often a job returns while it can still end in time. Callers return a few
	// times only; the last is left for when the shard has capacity to spare.
	inTimeReturns = 3
)

// ReturnAfter returns how long a caller waits until the accepted work is expected to be done, within
// bounds.
func (f *Forecast) ReturnAfter() time.Duration {
	return min(max(f.Drained(), earliestReturn), latestReturn)
}

// FirstSeen returns when a job was first refused, false if it is not known.
func (r *Returns) FirstSeen(id string) (time.Duration, bool) {
	if e := r.refused[id]; e != nil {
		return e.firstSeen, true
	}
	return 0, false
}

// Forget removes a job that was accepted.
func (r *Returns) Forget(id string) { delete(r.refused, id) }

// Len returns the number of remembered jobs.
func (r *Returns) Len() int { return len(r.refused) }

// Promise remembers a refused job and returns how long its caller should wait, in whole seconds. One
// that can still end in time returns within half of its slack, and capacity is kept for it as far
// as that is bounded. Any other returns when the accepted work is expected to be done.
func (r *Returns) Promise(id string, q Request, f *Forecast, priority int) time.Duration {
	r.expire(q.Now)
	e, known := r.refused[id], true
	if e == nil {
		e, known = &refusal{firstSeen: q.Now, priority: priority}, false
	}
	e.times++
	first, last := f.ReturnAfter(), latestReturn
	slack := q.startBy() - q.Now
	inTime := slack >= earliestReturn && e.times <= inTimeReturns
	if inTime {
		first, last = earliestReturn, max(slack/2, earliestReturn)
	}
	wait := r.book(q, first, last, f)
	e.returnAt, e.startBy, e.kept = q.Now+wait, q.startBy(), 0
	if inTime && r.kept(priority, q.Now)+q.Work <= f.Cores*float64(q.Slack.Milliseconds())*keptShare {
		e.kept = q.Work
	}
	if known || len(r.refused) < maxRefused {
		r.refused[id] = e
	}
	return wait
}

// book returns the first wait of whole seconds between two at which less work returns than is
// done in a second, or else the one with the least.
func (r *Returns) book(q Request, first, last time.Duration, f *Forecast) time.Duration {
	best := first.Round(time.Second)
	for wait := best; wait <= last; wait += time.Second {
		booked := r.booked[second(q.Now+wait)]
		if booked < r.booked[second(q.Now+best)] {
			best = wait
		}
		if booked < f.Cores*float64(time.Second.Milliseconds()) {
			break
		}
	}
	r.booked[second(q.Now+best)] += q.Work
	return best
}

func second(at time.Duration) time.Duration { return at.Truncate(time.Second) }

// kept returns the core-milliseconds for which capacity is kept at a priority.
func (r *Returns) kept(priority int, now time.Duration) float64 {
	sum := 0.0
	for _, e := range r.refused {
		if e.priority == priority && now < e.returnAt+keepFor {
			sum += e.kept
		}
	}
	return sum
}

// AddKept adds the work to f for which capacity is kept at the given priority and those before it,
// except that of one job.
func (r *Returns) AddKept(f *Forecast, priority int, now time.Duration, except string) {
	for id, e := range r.refused {
		if e.kept > 0 && e.priority <= priority && now < e.returnAt+keepFor && id != except {
			f.Add(Demand{StartBy: e.startBy, Work: e.kept})
		}
	}
}

// expire forgets, once a second, what is long past.
func (r *Returns) expire(now time.Duration) {
	if now-r.expiredAt < time.Second {
		return
	}
	r.expiredAt = now
	for at := range r.booked {
		if at+time.Second < now {
			delete(r.booked, at)
		}
	}
	for id, e := range r.refused {
		if now > e.returnAt+rememberFor {
			delete(r.refused, id)
		}
	}
}
