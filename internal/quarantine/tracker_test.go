package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var testConfig = Config{FailedJobs: 3, Window: time.Minute, Duration: 10 * time.Minute, MaxFraction: 0.2}

// newTestTracker returns a tracker of ten workers with five finished runs each.
func newTestTracker(now time.Duration) *Tracker {
	t := NewTracker(testConfig)
	t.SetWorkerCount(10)
	for w := range 10 {
		for k := range 5 {
			t.RecordEnd(workerID(w), fmt.Sprintf("ok-%d", k), false, now)
		}
	}
	return t
}

func workerID(i int) string { return fmt.Sprintf("w%d", i) }

func TestQuarantine(t *testing.T) {
	tests := []struct {
		name string
		fail func(tr *Tracker, now time.Duration)
		want int
	}{
		{"fails different jobs", func(tr *Tracker, now time.Duration) {
			for k := range 8 {
				tr.RecordEnd(workerID(1), fmt.Sprintf("j%d", k), true, now)
			}
		}, 1},
		{"fails one job often", func(tr *Tracker, now time.Duration) {
			for range 20 {
				tr.RecordEnd(workerID(1), "j", true, now)
			}
		}, 0},
		{"jobs that fail everywhere", func(tr *Tracker, now time.Duration) {
			for k := range 8 {
				for w := range 10 {
					tr.RecordEnd(workerID(w), fmt.Sprintf("j%d", k), true, now)
				}
			}
		}, 0},
		{"different jobs fail on every worker", func(tr *Tracker, now time.Duration) {
			for k := range 8 {
				for w := range 10 {
					tr.RecordEnd(workerID(w), fmt.Sprintf("j%d-%d", w, k), true, now)
				}
			}
		}, 0},
		{"more bad workers than the fraction", func(tr *Tracker, now time.Duration) {
			for w := range 4 {
				for k := range 20 {
					tr.RecordEnd(workerID(w), fmt.Sprintf("j%d-%d", w, k), true, now)
				}
			}
		}, 2},
		{"few jobs only", func(tr *Tracker, now time.Duration) {
			for k := range 12 {
				tr.RecordEnd(workerID(1), fmt.Sprintf("j%d", k%2), true, now)
			}
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTestTracker(time.Hour)
			tt.fail(tr, time.Hour+time.Second)
			if got := len(tr.Statuses(time.Hour + time.Second)); got != tt.want {
				t.Errorf("%d workers are in quarantine, want %d", got, tt.want)
			}
		})
	}
}

func TestReadmission(t *testing.T) {
	now := time.Hour
	tr := newTestTracker(now)
	fail := func(n int) {
		for k := range n {
			tr.RecordEnd("w1", fmt.Sprintf("j%d-%d", now, k), true, now)
		}
	}
	expect := func(after time.Duration, want Status) {
		t.Helper()
		now += after
		if got := tr.Statuses(now)["w1"]; got != want {
			t.Fatalf("at %s the status is %d, want %d", now, got, want)
		}
	}
	fail(8)
	expect(0, Quarantined)
	expect(9*time.Minute, Quarantined)
	expect(time.Minute, Probation)
	fail(1) // a failure on probation: twice as long
	expect(10*time.Minute, Quarantined)
	expect(10*time.Minute, Probation)
	tr.RecordEnd("w1", "j", false, now)
	expect(0, Clear)
	tr.Forget("w1")
	expect(0, Clear)
}
