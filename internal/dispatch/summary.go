package dispatch

import (
	"time"

	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// loadLogInterval is how often a shard logs its load.
const loadLogInterval = time.Second

// logLoad logs the waiting tasks, the runs and the idle CPU, the latter apart for hosts
// with and without services. The caller holds the lock.
func (s *Shard) logLoad(now time.Duration) {
	if now-s.loadLoggedAt < loadLogInterval {
		return
	}
	s.loadLoggedAt = now
	s.logRefusals()
	waiting, waitingBackfills := 0, 0
	candidates := s.candidates(now)
	for _, c := range candidates {
		waiting += len(c.tasks)
		if c.first().step.Backfill {
			waitingBackfills += len(c.tasks)
		}
	}
	s.logWaits()
	standings := s.countStandings(candidates)
	waits := s.longRunningWaits(now)
	s.cfg.Metrics.LongRunningWaiting(s.cfg.Name, waits.count, waits.longest)
	s.cfg.Metrics.LoadPredicted(s.cfg.Name, s.colocation.PredictionError(), s.colocation.Period())
	s.logZoneWait(waiting)
	var idleWithoutServices, idleWithServices, capacity int64
	runs, backfills, serviceHosts, images := 0, 0, 0, 0
	var maxFree resource.Vector
	var longRunning, batch int64
	for _, h := range s.hosts {
		if !h.acceptsRuns(now) {
			continue
		}
		idle := h.Capacity.MilliCPU - h.usedCPU()
		capacity += h.Capacity.MilliCPU
		maxFree = largest(maxFree, h.free())
		hasService := false
		for _, t := range h.tasks {
			hasService = hasService || t.isService()
			if t.step.Backfill {
				backfills++
			}
			if t.Phase == workload.Placed {
				runs++
			}
			switch q := queueOf(s.cfg.Config(), t.job); {
			case t.step.LongRunning:
				longRunning += t.step.Committed().MilliCPU
			case q != nil && q.Priority > 0:
				batch += t.step.Committed().MilliCPU
			}
		}
		if hasService {
			serviceHosts++
			images += len(h.serviceImages())
			idleWithServices += idle
		} else {
			idleWithoutServices += idle
		}
	}
	logger.WithFields(standings).WithField("shard", s.cfg.Name).WithField("waiting", waiting).WithField("waiting_fills", waitingBackfills).
		WithField("runs", runs).WithField("fills", backfills).WithField("hosts_serving", serviceHosts).WithField("serving_images", images).
		WithField("idle_open_mcpu", idleWithoutServices).WithField("idle_serving_mcpu", idleWithServices).
		WithField("capacity_mcpu", capacity).WithField("committed_mcpu", s.currentLoad(now).Committed).
		WithField("long_running_mcpu", longRunning).WithField("preemptible_mcpu", batch).
		WithField("max_free_mcpu", maxFree.MilliCPU).WithField("max_free_mb", maxFree.MemoryMB).
		WithField("prediction_error", s.colocation.PredictionError()).WithField("load_period_ms", s.colocation.Period().Milliseconds()).
		WithField("waiting_long_running", waits.count).WithField("longest_wait_ms", waits.longest.Milliseconds()).Info("shard load")
}
