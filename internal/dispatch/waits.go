package dispatch

import "time"

// sizeClass groups tasks by the share of a worker's CPU that they need.
type sizeClass uint8

const (
	sizeSmall  sizeClass = iota // up to an eighth
	sizeMedium                  // up to a quarter
	sizeLarge
	sizeClasses
)

var sizeNames = [sizeClasses]string{"small", "medium", "large"}

// sizeOn returns the size class of t on h.
func (t *task) sizeOn(h *host) sizeClass {
	switch need := t.step.Needs.MilliCPU; {
	case 8*need <= h.Capacity.MilliCPU:
		return sizeSmall
	case 4*need <= h.Capacity.MilliCPU:
		return sizeMedium
	}
	return sizeLarge
}

// waitsBySize sums up the waits of the tasks that were started since the last log entry, apart
// for backfill tasks and others, and what became of reservations. Long-running tasks are left out.
type waitsBySize struct {
	tasks [2][sizeClasses]struct {
		starts int
		wait   time.Duration
	}
	reserved, ended int
	used            int // of the ended ones
	idle            time.Duration
}

// recordWait records that t is started on h, and how long it could have been started before.
func (s *Shard) recordWait(t *task, h *host, now time.Duration) {
	if t.step.LongRunning || t.startableSince == 0 {
		return
	}
	kind, size, wait := 0, t.sizeOn(h), now-t.startableSince
	if t.step.Backfill {
		kind = 1
	}
	sum := &s.lookahead.waits.tasks[kind][size]
	sum.starts, sum.wait = sum.starts+1, sum.wait+wait
	s.cfg.Metrics.WaitedBySize(size, wait)
}

// logWaits logs the waits by size and resets them. The caller holds the lock.
func (s *Shard) logWaits() {
	entry := logger.WithField("shard", s.cfg.Name)
	any := false
	for kind, prefix := range []string{"", "fill_"} {
		for size, sum := range s.lookahead.waits.tasks[kind] {
			if sum.starts > 0 {
				any = true
				entry = entry.WithField(prefix+sizeNames[size]+"_starts", sum.starts).
					WithField(prefix+sizeNames[size]+"_wait_ms", (sum.wait / time.Duration(sum.starts)).Milliseconds())
			}
		}
	}
	if w := &s.lookahead.waits; w.reserved+w.ended > 0 {
		any = true
		entry = entry.WithField("reserved", w.reserved).WithField("reservations_ended", w.ended).
			WithField("reservations_used", w.used).WithField("reserved_idle_ms", w.idle.Milliseconds())
	}
	if any {
		entry.Info("waits by size")
	}
	s.lookahead.waits = waitsBySize{}
}
