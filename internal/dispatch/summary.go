package dispatch

import (
	"time"

	"skylarkport/internal/workload"
)

// summaryInterval is how often a shard logs its load.
const summaryInterval = time.Second

// summarize logs what waits and what is idle. The caller holds the lock.
func (s *Shard) summarize(now time.Duration) {
	if now-s.summarized < summaryInterval {
		return
	}
	s.summarized = now
	waiting, filling := 0, 0
	for _, c := range s.candidates(now) {
		waiting += len(c.tasks)
		if c.first().step.Fills {
			filling += len(c.tasks)
		}
	}
	var idleOpen, idleServing, capacity int64
	runs, fills, served, images := 0, 0, 0, 0
	for _, h := range s.hosts {
		if !h.takes(now) {
			continue
		}
		idle := h.Capacity.MilliCPU - h.usedCPU()
		capacity += h.Capacity.MilliCPU
		serves := false
		for _, t := range h.tasks {
			serves = serves || t.serving()
			if t.step.Fills {
				fills++
			}
			if t.Phase == workload.Placed {
				runs++
			}
		}
		if serves {
			served++
			images += len(h.servingImages())
			idleServing += idle
		} else {
			idleOpen += idle
		}
	}
	logger.WithField("shard", s.cfg.Name).WithField("waiting", waiting).WithField("waiting_fills", filling).
		WithField("runs", runs).WithField("fills", fills).WithField("hosts_serving", served).WithField("serving_images", images).
		WithField("idle_open_mcpu", idleOpen).WithField("idle_serving_mcpu", idleServing).
		WithField("capacity_mcpu", capacity).Info("shard load")
}
