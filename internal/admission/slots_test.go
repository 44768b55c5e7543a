package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/result"
)

// TestSlotsMove requests a slot while the entry has none and gets some later.
func TestSlotsMove(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		after   time.Duration // time until the entry gets slots
		want    result.Code
		within  time.Duration // longest time to the slot or refusal
	}{
		{"slots arrive in time", 2 * time.Second, 300 * time.Millisecond, result.OK, 310 * time.Millisecond},
		{"slots arrive too late", 2 * time.Second, 5 * time.Second, result.TooLate, 2 * time.Second},
		{"deadline too close to wait", 900 * time.Millisecond, 300 * time.Millisecond, result.TooLate, maxRefusalTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newLoadSimulation(0, holdTime)
				time.AfterFunc(tt.after, func() {
					sim.s.mu.Lock()
					sim.s.total = 4
					sim.s.mu.Unlock()
					sim.q.Dispatch()
				})
				start := time.Now()
				err := sim.acquire(t.Context(), tt.timeout)
				if got := result.Of(err); got != tt.want {
					t.Errorf("code %d, want %d", got, tt.want)
				}
				if took := time.Since(start); took > tt.within {
					t.Errorf("Acquire took %v, want at most %v", took, tt.within)
				}
				time.Sleep(tt.after)
			})
		})
	}
}
