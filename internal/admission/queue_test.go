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

// fakeSource is a SlotSource with a fixed number of equal slots.
type fakeSource struct {
	mu         sync.Mutex
	total      int
	used       int
	holdTime   time.Duration
	noUpstream bool // refuse with result.NoUpstream
}

func (s *fakeSource) TryTake(job.Class) (int, result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noUpstream {
		return 0, result.NoUpstream
	}
	if s.used >= s.total {
		return 0, result.QueueFull
	}
	s.used++
	return 1, result.OK
}

func (s *fakeSource) ServiceRate() (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdTime, s.total
}

func (s *fakeSource) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

// loadSimulation sends requests through a queue and counts the answered and
// refused ones by the name of the load.
type loadSimulation struct {
	q  *Queue[int]
	s  *fakeSource
	mu sync.Mutex
	wg sync.WaitGroup

	answered map[string]int
	refused  map[string][]*Refusal
	waits    map[string][]time.Duration // time from arrival to slot or refusal

	lateRefusals map[string]int // refusals that took longer than maxRefusalTime
}

func newLoadSimulation(total int, holdTime time.Duration) *loadSimulation {
	s := &fakeSource{total: total, holdTime: holdTime}
	return &loadSimulation{
		q: NewQueue[int](s), s: s, lateRefusals: map[string]int{}, answered: map[string]int{}, refused: map[string][]*Refusal{}, waits: map[string][]time.Duration{},
	}
}

// startLoad starts a load: a request at each interval of length every, for the
// duration loadDuration.
func (sim *loadSimulation) startLoad(name string, r Request, every, loadDuration, timeout time.Duration) {
	sim.wg.Go(func() {
		for end := time.Now().Add(loadDuration); time.Now().Before(end); time.Sleep(every) {
			sim.wg.Go(func() { sim.sendRequest(name, r, timeout) })
		}
	})
}

// sendRequest sends a request, and holds its slot for the source's hold time.
func (sim *loadSimulation) sendRequest(name string, r Request, timeout time.Duration) {
	start := time.Now()
	r.Deadline = start.Add(timeout)
	_, err := sim.q.Acquire(context.Background(), r)
	sim.mu.Lock()
	sim.waits[name] = append(sim.waits[name], time.Since(start))
	if err != nil {
		sim.refused[name] = append(sim.refused[name], err.(*Refusal))
		if time.Since(start) > maxRefusalTime {
			sim.lateRefusals[name]++
		}
		sim.mu.Unlock()
		return
	}
	sim.answered[name]++
	sim.mu.Unlock()
	time.Sleep(sim.s.holdTime)
	sim.s.release()
	sim.q.Dispatch()
}

// longestWait returns the longest wait of the load.
func (sim *loadSimulation) longestWait(name string) time.Duration {
	var most time.Duration
	for _, w := range sim.waits[name] {
		most = max(most, w)
	}
	return most
}

// maxRefusalTime is the target for the time to a refusal on arrival.
const maxRefusalTime = 5 * time.Millisecond

const (
	holdTime     = 10 * time.Millisecond
	loadDuration = 2 * time.Second
)

func newRequest(organisation string, class job.Class) Request {
	return Request{Organisation: organisation, Weight: 1, Class: class}
}

// TestFlood guards against starvation: one organisation offers four times the
// capacity, and two others with low load must not be refused or delayed.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newLoadSimulation(10, holdTime) // capacity: 1000 requests per second
		sim.startLoad("quiet1", newRequest("quiet1", job.LatencyCritical), 10*time.Millisecond, loadDuration, 200*time.Millisecond)
		sim.startLoad("quiet2", newRequest("quiet2", job.LatencyCritical), 10*time.Millisecond, loadDuration, 200*time.Millisecond)
		sim.startLoad("flood", newRequest("flood", job.LatencyCritical), 250*time.Microsecond, loadDuration, 200*time.Millisecond)
		sim.wg.Wait()
		for _, name := range []string{"quiet1", "quiet2"} {
			if n := len(sim.refused[name]); n != 0 {
				t.Errorf("%s: %d refused", name, n)
			}
			if got := sim.longestWait(name); got > holdTime {
				t.Errorf("%s waited %v, more than one service time", name, got)
			}
		}
		all := sim.answered["quiet1"] + sim.answered["quiet2"] + sim.answered["flood"]
		if least := int(0.9 * 1000 * loadDuration.Seconds()); all < least {
			t.Errorf("%d answered, want at least %d", all, least)
		}
	})
}

// TestRefusedAtOnce offers twice the capacity and checks that at most one in a
// hundred refusals is later than maxRefusalTime after arrival.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newLoadSimulation(10, holdTime)
		sim.startLoad("latency", newRequest("a", job.LatencyCritical), time.Millisecond, loadDuration, 250*time.Millisecond)
		sim.startLoad("batch", newRequest("b", job.BestEffort), time.Millisecond, loadDuration, 250*time.Millisecond)
		sim.wg.Wait()
		if n := len(sim.refused["latency"]); n != 0 {
			t.Errorf("%d latency-critical requests refused at their capacity", n)
		}
		late, all := 0, 0
		for _, name := range []string{"latency", "batch"} {
			all += len(sim.refused[name])
			late += sim.lateRefusals[name]
		}
		t.Logf("%d refused, %d of them late", all, late)
		if all == 0 || late*100 > all {
			t.Errorf("%d of %d refusals were late, want at most one in a hundred", late, all)
		}
	})
}

// TestShed removes slots while requests wait, and checks that Shed refuses
// those that can no longer be answered in time, before their deadlines.
func TestShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newLoadSimulation(10, holdTime)
		sim.s.used = 10
		const n = 20
		for range n {
			sim.wg.Go(func() { sim.sendRequest("a", newRequest("a", job.LatencyCritical), time.Second) })
		}
		synctest.Wait()
		if got := sim.q.Waiting(); got != n {
			t.Fatalf("%d wait, want %d", got, n)
		}
		sim.q.Shed()
		if got := sim.q.Waiting(); got != n {
			t.Fatalf("%d wait after Shed without a change, want %d", got, n)
		}
		sim.s.total, sim.s.holdTime = 1, 100*time.Millisecond
		sim.q.Shed()
		synctest.Wait()
		if got, kept := sim.q.Waiting(), 9; got != kept {
			t.Errorf("%d wait, want the %d that one slot can answer in a second", got, kept)
		}
		sim.s.holdTime = time.Minute
		sim.q.Shed()
		sim.wg.Wait()
		if got := sim.longestWait("a"); got != 0 {
			t.Errorf("a request was refused only after %v, want at once", got)
		}
	})
}

// TestWeights checks that an organisation with three times the weight of
// another gets three times as many responses.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newLoadSimulation(10, holdTime)
		heavy, light := newRequest("heavy", job.LatencyCritical), newRequest("light", job.LatencyCritical)
		heavy.Weight = 3
		sim.startLoad("heavy", heavy, 500*time.Microsecond, loadDuration, 200*time.Millisecond)
		sim.startLoad("light", light, 500*time.Microsecond, loadDuration, 200*time.Millisecond)
		sim.wg.Wait()
		ratio := float64(sim.answered["heavy"]) / float64(sim.answered["light"])
		if ratio < 2.7 || ratio > 3.3 {
			t.Errorf("answered %d and %d, ratio %.2f, want 3", sim.answered["heavy"], sim.answered["light"], ratio)
		}
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		run  func(sim *loadSimulation, ctx context.Context) error
		want result.Code
	}{
		{"no upstream", func(sim *loadSimulation, ctx context.Context) error {
			sim.s.noUpstream = true
			return sim.acquire(ctx, time.Second)
		}, result.NoUpstream},
		{"no slots", func(sim *loadSimulation, ctx context.Context) error {
			sim.s.total = 0
			return sim.acquire(ctx, time.Second)
		}, result.TooLate},
		{"deadline shorter than the hold time", func(sim *loadSimulation, ctx context.Context) error {
			sim.s.used = sim.s.total
			return sim.acquire(ctx, holdTime/2)
		}, result.TooLate},
		{"slots stay in use", func(sim *loadSimulation, ctx context.Context) error {
			sim.s.used = sim.s.total
			return sim.acquire(ctx, time.Second)
		}, result.TooLate},
		{"the caller is gone", func(sim *loadSimulation, ctx context.Context) error {
			sim.s.used = sim.s.total
			ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			return sim.acquire(ctx, time.Second)
		}, result.CallerGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newLoadSimulation(4, holdTime)
				err := tt.run(sim, t.Context())
				if got := result.Of(err); got != tt.want {
					t.Errorf("code %d, want %d", got, tt.want)
				}
				if r := err.(*Refusal); r.RetryAfter < minRetryAfter {
					t.Errorf("RetryAfter is %v, less than the minimum", r.RetryAfter)
				}
				if n := sim.q.Waiting(); n != 0 {
					t.Errorf("%d requests still wait", n)
				}
			})
		})
	}
}

func (sim *loadSimulation) acquire(ctx context.Context, timeout time.Duration) error {
	r := newRequest("a", job.LatencyCritical)
	r.Deadline = time.Now().Add(timeout)
	_, err := sim.q.Acquire(ctx, r)
	return err
}
