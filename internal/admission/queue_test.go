package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// slots is a source with a number of equal slots.
type slots struct {
	mu    sync.Mutex
	total int
	used  int
	held  time.Duration
	none  bool // no upstream at all
}

func (s *slots) Take(job.Class) (int, result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.none {
		return 0, result.NoUpstream
	}
	if s.used >= s.total {
		return 0, result.QueueFull
	}
	s.used++
	return 1, result.OK
}

func (s *slots) Pace() (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, s.total
}

func (s *slots) put() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

// serving counts what was answered and refused by tenant and class.
type serving struct {
	q  *Queue[int]
	s  *slots
	mu sync.Mutex
	wg sync.WaitGroup

	answered map[string]int
	refused  map[string][]*Refusal
	waits    map[string][]time.Duration // from arrival to slot or refusal

	lateRefusals map[string]int // later than refusalBound
}

func newServing(total int, held time.Duration) *serving {
	s := &slots{total: total, held: held}
	return &serving{
		q: NewQueue[int](s), s: s, lateRefusals: map[string]int{}, answered: map[string]int{}, refused: map[string][]*Refusal{}, waits: map[string][]time.Duration{},
	}
}

// offer sends a request every so often for a while.
func (v *serving) offer(name string, t Ticket, every, span, timeout time.Duration) {
	v.wg.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(every) {
			v.wg.Go(func() { v.one(name, t, timeout) })
		}
	})
}

func (v *serving) one(name string, t Ticket, timeout time.Duration) {
	start := time.Now()
	t.Deadline = start.Add(timeout)
	_, err := v.q.Acquire(context.Background(), t)
	v.mu.Lock()
	v.waits[name] = append(v.waits[name], time.Since(start))
	if err != nil {
		v.refused[name] = append(v.refused[name], err.(*Refusal))
		if time.Since(start) > refusalBound {
			v.lateRefusals[name]++
		}
		v.mu.Unlock()
		return
	}
	v.answered[name]++
	v.mu.Unlock()
	time.Sleep(v.s.held)
	v.s.put()
	v.q.Dispatch()
}

func (v *serving) longest(name string) time.Duration {
	var most time.Duration
	for _, w := range v.waits[name] {
		most = max(most, w)
	}
	return most
}

// refusalBound is the target for the answer of a refusal.
const refusalBound = 5 * time.Millisecond

const (
	held = 10 * time.Millisecond
	span = 2 * time.Second
)

func ticket(tenant string, class job.Class) Ticket {
	return Ticket{Tenant: tenant, Weight: 1, Class: class}
}

// TestFlood lets one tenant offer four times the capacity beside two quiet ones.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newServing(10, held) // 1000/s
		v.offer("quiet1", ticket("quiet1", job.LatencyCritical), 10*time.Millisecond, span, 200*time.Millisecond)
		v.offer("quiet2", ticket("quiet2", job.LatencyCritical), 10*time.Millisecond, span, 200*time.Millisecond)
		v.offer("flood", ticket("flood", job.LatencyCritical), 250*time.Microsecond, span, 200*time.Millisecond)
		v.wg.Wait()
		for _, name := range []string{"quiet1", "quiet2"} {
			if n := len(v.refused[name]); n != 0 {
				t.Errorf("%s: %d refused", name, n)
			}
			if got := v.longest(name); got > held {
				t.Errorf("%s waited %v, more than one service time", name, got)
			}
		}
		all := v.answered["quiet1"] + v.answered["quiet2"] + v.answered["flood"]
		if least := int(0.9 * 1000 * span.Seconds()); all < least {
			t.Errorf("%d answered, want at least %d", all, least)
		}
	})
}

// TestRefusedAtOnce offers twice the capacity: what is refused is refused on
// arrival, but for a bounded part.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newServing(10, held)
		v.offer("latency", ticket("a", job.LatencyCritical), time.Millisecond, span, 250*time.Millisecond)
		v.offer("batch", ticket("b", job.BestEffort), time.Millisecond, span, 250*time.Millisecond)
		v.wg.Wait()
		if n := len(v.refused["latency"]); n != 0 {
			t.Errorf("%d latency-critical requests refused at their capacity", n)
		}
		late, all := 0, 0
		for _, name := range []string{"latency", "batch"} {
			all += len(v.refused[name])
			late += v.lateRefusals[name]
		}
		t.Logf("%d refused, %d of them late", all, late)
		if all == 0 || late*100 > all {
			t.Errorf("%d of %d refusals were late, want at most one in a hundred", late, all)
		}
	})
}

// TestShed takes slots away while requests wait: those that have become too late
// are refused at the next look, before their deadline.
func TestShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newServing(10, held)
		v.s.used = 10
		const n = 20
		for range n {
			v.wg.Go(func() { v.one("a", ticket("a", job.LatencyCritical), time.Second) })
		}
		synctest.Wait()
		if got := v.q.Waiting(); got != n {
			t.Fatalf("%d wait, want %d", got, n)
		}
		v.q.Shed()
		if got := v.q.Waiting(); got != n {
			t.Fatalf("%d wait after a look without a change, want %d", got, n)
		}
		v.s.total, v.s.held = 1, 100*time.Millisecond
		v.q.Shed()
		synctest.Wait()
		if got, kept := v.q.Waiting(), 9; got != kept {
			t.Errorf("%d wait, want the %d that one slot can answer in a second", got, kept)
		}
		v.s.held = time.Minute
		v.q.Shed()
		v.wg.Wait()
		if got := v.longest("a"); got != 0 {
			t.Errorf("a request that was given up on was held back for %v", got)
		}
	})
}

// TestWeights gives one tenant three times the other's weight.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newServing(10, held)
		heavy, light := ticket("heavy", job.LatencyCritical), ticket("light", job.LatencyCritical)
		heavy.Weight = 3
		v.offer("heavy", heavy, 500*time.Microsecond, span, 200*time.Millisecond)
		v.offer("light", light, 500*time.Microsecond, span, 200*time.Millisecond)
		v.wg.Wait()
		ratio := float64(v.answered["heavy"]) / float64(v.answered["light"])
		if ratio < 2.7 || ratio > 3.3 {
			t.Errorf("answered %d and %d, ratio %.2f, want 3", v.answered["heavy"], v.answered["light"], ratio)
		}
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		run  func(v *serving, ctx context.Context) error
		want result.Code
	}{
		{"no upstream", func(v *serving, ctx context.Context) error {
			v.s.none = true
			return v.ask(ctx, time.Second)
		}, result.NoUpstream},
		{"no slot at all", func(v *serving, ctx context.Context) error {
			v.s.total = 0
			return v.ask(ctx, time.Second)
		}, result.TooLate},
		{"deadline below a service time", func(v *serving, ctx context.Context) error {
			v.s.used = v.s.total
			return v.ask(ctx, held/2)
		}, result.TooLate},
		{"slots stay taken", func(v *serving, ctx context.Context) error {
			v.s.used = v.s.total
			return v.ask(ctx, time.Second)
		}, result.TooLate},
		{"the caller leaves", func(v *serving, ctx context.Context) error {
			v.s.used = v.s.total
			ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			return v.ask(ctx, time.Second)
		}, result.CallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newServing(4, held)
				err := tt.run(v, t.Context())
				if got := result.Of(err); got != tt.want {
					t.Errorf("code %d, want %d", got, tt.want)
				}
				if r := err.(*Refusal); r.RetryAfter < minRetryAfter {
					t.Errorf("come back after %v", r.RetryAfter)
				}
				if n := v.q.Waiting(); n != 0 {
					t.Errorf("%d still wait", n)
				}
			})
		})
	}
}

func (v *serving) ask(ctx context.Context, timeout time.Duration) error {
	k := ticket("a", job.LatencyCritical)
	k.Deadline = time.Now().Add(timeout)
	_, err := v.q.Acquire(ctx, k)
	return err
}
