package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/result"
)

// TestSlotsMove asks while the entry has no slots and gets some later.
func TestSlotsMove(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		after   time.Duration // until the slots come
		want    result.Code
		within  time.Duration // of the answer or refusal
	}{
		{"come in time", 2 * time.Second, 300 * time.Millisecond, result.OK, 310 * time.Millisecond},
		{"come too late", 2 * time.Second, 5 * time.Second, result.TooLate, 2 * time.Second},
		{"no time to wait for them", 900 * time.Millisecond, 300 * time.Millisecond, result.TooLate, refusalBound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newServing(0, held)
				time.AfterFunc(tt.after, func() {
					v.s.mu.Lock()
					v.s.total = 4
					v.s.mu.Unlock()
					v.q.Dispatch()
				})
				start := time.Now()
				err := v.ask(t.Context(), tt.timeout)
				if got := result.Of(err); got != tt.want {
					t.Errorf("code %d, want %d", got, tt.want)
				}
				if took := time.Since(start); took > tt.within {
					t.Errorf("after %v, want within %v", took, tt.within)
				}
				time.Sleep(tt.after)
			})
		})
	}
}
