package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/workload"
)

// priorityWaits returns the waits of new jobs at the priorities of the configured queues. The
// caller holds the lock.
func (s *Shard) priorityWaits(now time.Duration) []PriorityWait {
	cfg := s.cfg.Config()
	if !s.cfg.Features.Admission || cfg == nil || now-s.loadedAt < admitAllFor {
		return nil
	}
	var out []PriorityWait
	for i := range cfg.Queues {
		p := cfg.Queues[i].Priority
		if slices.ContainsFunc(out, func(w PriorityWait) bool { return w.Priority == p }) {
			continue
		}
		f := s.forecast(p, now)
		out = append(out, PriorityWait{Priority: p, Millis: f.Wait().Milliseconds(), Cores: f.Cores})
	}
	return out
}

// Wait returns how long a new job of a priority waits, false if the shard does not say.
func (l *Load) Wait(priority int) (time.Duration, bool) {
	for _, w := range l.Waits {
		if w.Priority == priority {
			return time.Duration(w.Millis) * time.Millisecond, true
		}
	}
	return 0, false
}

// addWaits adds a job that is about to be sent to the shard, by its declared durations: at every
// priority, as the load names no queue.
func (l *Load) addWaits(j *workload.Spec) {
	work := 0.0
	for i := range j.Steps {
		if st := &j.Steps[i]; !st.LongRunning {
			work += float64(st.MilliCPU()) / 1000 * float64(st.EstimateMillis)
		}
	}
	l.Waits = slices.Clone(l.Waits)
	for i := range l.Waits {
		if w := &l.Waits[i]; w.Cores > 0 {
			w.Millis += int64(work / w.Cores)
		}
	}
}
