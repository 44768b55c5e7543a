package queueorder

import (
	"testing"
	"time"
)

// job returns a job of mean size with a chain of two seconds, which may take five.
func job(id string, change func(*Job)) *Job {
	j := &Job{ID: id, Allowed: 5 * time.Second, Chain: 2 * time.Second, Work: 1000, MeanWork: 1000, Left: 1000, Waiting: 1000}
	if change != nil {
		change(j)
	}
	return j
}

// TestRank: which of two jobs comes first, where half a core is to be had.
func TestRank(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second func(*Job)
	}{
		{"the priority of the queue", func(j *Job) { j.Elapsed = 20 * time.Second }, func(j *Job) { j.Priority = 1 }},
		{"on time before late", nil, func(j *Job) { j.Elapsed = 4 * time.Second }},
		{"late before expired", func(j *Job) { j.Elapsed = 4 * time.Second }, func(j *Job) { j.Elapsed = 20 * time.Second }},
		{"nearly done before begun", func(j *Job) { j.Left, j.Begun = 100, true }, func(j *Job) { j.Left, j.Begun = 900, true }},
		{"begun before not begun", func(j *Job) { j.Left, j.Begun = 800, true }, nil},
		{"small before large", func(j *Job) { j.Work, j.Left = 500, 500 }, func(j *Job) { j.Work, j.Left = 2000, 2000 }},
		{"on time before one that others make late", nil, func(j *Job) { j.Elapsed = 2900 * time.Millisecond }},
	} {
		jobs := []*Job{job("b", c.first), job("a", c.second)}
		Rank(jobs, func(int) float64 { return 0.5 })
		if jobs[0].ID != "b" {
			t.Errorf("%s: standings %v and %v, densities %.2f and %.2f", c.name, jobs[0].Standing, jobs[1].Standing, jobs[0].Density, jobs[1].Density)
		}
	}
}

// TestDoubtfulJobsTakeNoCapacity: a job that cannot end in time behind the others does not make those
// behind it late.
func TestDoubtfulJobsTakeNoCapacity(t *testing.T) {
	jobs := []*Job{
		job("a", func(j *Job) { j.Work, j.Left, j.Waiting = 900, 900, 900 }),
		job("b", func(j *Job) { j.Elapsed = 2 * time.Second; j.Work, j.Left, j.Waiting = 950, 950, 950 }),
		job("c", nil),
	}
	Rank(jobs, func(int) float64 { return 1 })
	if got := []Standing{jobs[0].Standing, jobs[1].Standing, jobs[2].Standing}; jobs[1].ID != "c" || got[1] != Finishable || got[2] != Doubtful {
		t.Errorf("%s %s %s with %v", jobs[0].ID, jobs[1].ID, jobs[2].ID, got)
	}
}

// TestStopLoss: a stop costs what it discards, and the worth of a job that it makes late.
func TestStopLoss(t *testing.T) {
	run := Run{Cores: 2, Unsaved: 100 * time.Millisecond, Stop: 900 * time.Millisecond, Restore: 250 * time.Millisecond}
	discarded := run.Discarded()
	for _, c := range []struct {
		name   string
		change func(*Job)
		want   float64
	}{
		{"on time in spite of the stop", nil, discarded},
		{"late by the stop", func(j *Job) { j.Elapsed = 2500 * time.Millisecond }, discarded + (1-lateWorth)*1000},
		{"late already", func(j *Job) { j.Elapsed = 4 * time.Second }, discarded},
	} {
		if got := job("a", c.change).StopLoss(run); got != c.want {
			t.Errorf("%s: %.0f core-milliseconds, want %.0f", c.name, got, c.want)
		}
	}
}

// TestSharesRaiseTheSizeThatFallsBehind: the size of which few jobs end in time gets a larger density.
func TestSharesRaiseTheSizeThatFallsBehind(t *testing.T) {
	s := NewShares()
	common, largest := Group{"q", SizeOf(500, 1000)}, Group{"q", SizeOf(3000, 1000)}
	if s.Boost(largest) != 1 {
		t.Errorf("raised by %.2f before any outcome", s.Boost(largest))
	}
	for range 50 {
		s.Observe(common, true)
		s.Observe(largest, false)
	}
	if s.Boost(common) != 1 || s.Boost(largest) != maxBoost {
		t.Errorf("raised by %.2f and %.2f, want 1 and %d", s.Boost(common), s.Boost(largest), maxBoost)
	}
}

// TestUrgency: which of two jobs loses more by a delay.
func TestUrgency(t *testing.T) {
	for _, c := range []struct {
		name       string
		more, less func(*Job)
	}{
		{"less slack", func(j *Job) { j.Elapsed = 2 * time.Second }, nil},
		{"nearly done", func(j *Job) { j.Left = 100 }, nil},
		{"on time rather than late", nil, func(j *Job) { j.Elapsed = 4 * time.Second }},
		{"late rather than expired", func(j *Job) { j.Elapsed = 4 * time.Second }, func(j *Job) { j.Elapsed = 20 * time.Second }},
	} {
		if more, less := job("a", c.more).Urgency(), job("b", c.less).Urgency(); more <= less {
			t.Errorf("%s: %.2f and %.2f", c.name, more, less)
		}
	}
}
