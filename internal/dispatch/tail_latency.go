package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
)

const (
	// throttleLimit is the CPU limit, in percent, of a backfill run that disturbs a service
	// and would lose its work by a stop.
	throttleLimit = 20
	// reliefMargin is how far below the utilisation of the target an intervention aims.
	reliefMargin = 0.06
	// unthrottleHeadroom is the headroom that all services on a host must have before its
	// throttled runs are sped up again.
	unthrottleHeadroom = 0.1
)

// controlTailLatencies updates the colocation model with what h reported of its services and
// backfill runs, and throttles or stops backfill runs there if a service exceeds its target.
func (s *Shard) controlTailLatencies(h *host, now time.Duration) {
	var services, backfills []*task
	for _, t := range h.tasks {
		switch {
		case t.isService() && t.stage == stageRunning && t.percent == startedPercent && t.gauge > 0:
			services = append(services, t)
		case t.step.Backfill:
			backfills = append(backfills, t)
			s.colocation.ObserveUse(t.step.Image, t.run(h).Use)
		}
	}
	runs := h.reportedRuns(now)
	for _, t := range services {
		if t.gauge == t.observed && now-t.observedAt < colocation.ReportWindow/2 {
			continue // the worker has not measured it again
		}
		t.observed, t.observedAt = t.gauge, now
		t.loadError = s.colocation.Observe(t.service(), runs, now)
		t.baseLoad = s.colocation.Load(t.service().Step, now)
	}
	s.colocation.Maintain(now)
	s.relieveServices(h, services, backfills, now)
}

// startedPercent is the progress that a long-running task reports once it has started up.
const startedPercent = 100

// settleTime is how long it takes until the start or throttling of a run shows in a
// tail latency.
const settleTime = 700 * time.Millisecond

// relieveServices throttles or stops the backfill runs that disturb a service over its
// target most, and speeds throttled runs up again when every service has headroom. Of a service that
// has exceeded its target for more than a third of the allowed time, all are throttled or stopped.
func (s *Shard) relieveServices(h *host, services, backfills []*task, now time.Duration) {
	if len(backfills) == 0 {
		return
	}
	hasHeadroom := true
	for _, t := range services {
		targetUtilisation := s.colocation.TargetUtilisation(t.service())
		u := s.colocation.Utilisation(t.step.Image, t.gauge)
		hasHeadroom = hasHeadroom && targetUtilisation-u > unthrottleHeadroom
		if t.gauge <= float64(t.step.TargetMillis) {
			t.overTargetSince = 0
			continue
		}
		if t.overTargetSince == 0 {
			t.overTargetSince = now
		}
		all := now-t.overTargetSince > s.cfg.Bounds.MaxOverTarget/3
		if excess := s.presentUtilisation(t, h, now) - targetUtilisation; excess > 0 || all {
			s.relieveService(h, t, backfills, excess+reliefMargin, all, now)
		}
	}
	for _, backfill := range backfills {
		if hasHeadroom && backfill.cpuLimit > 0 && backfill.cpuLimit < 100 && !backfill.stopWanted && now-backfill.throttledAt > settleTime {
			s.setCPULimit(backfill, h, min(100, 2*backfill.cpuLimit), now)
		}
	}
}

// presentUtilisation is the utilisation that the service t on h is expected to have with the runs that
// are there now. The last reading may show runs that have ended since, and not yet those that began.
func (s *Shard) presentUtilisation(t *task, h *host, now time.Duration) float64 {
	sv := t.service()
	return s.colocation.Load(sv.Step, now) + t.loadError + s.colocation.AddedBy(h.backfillRuns(), sv.Image)
}

// relieveService stops or throttles the backfill runs on h, those that disturb t most first,
// until together they account for excess of the utilisation of t, or all of them.
func (s *Shard) relieveService(h *host, t *task, backfills []*task, excess float64, all bool, now time.Duration) {
	byImpact := slices.Clone(backfills)
	slices.SortFunc(byImpact, func(a, b *task) int {
		return cmp.Compare(s.addedUtilisation(b, t, h), s.addedUtilisation(a, t, h))
	})
	if s.cfg.Features.Order {
		s.sortForRelief(byImpact, t, h)
	}
	for _, backfill := range byImpact {
		if excess <= 0 && !all {
			return
		}
		if backfill.stopWanted {
			continue
		}
		if s.cfg.Features.Order && !all && s.endsWithin(backfill, reliefWait, now) {
			excess -= s.addedUtilisation(backfill, t, h)
			continue
		}
		excess -= s.addedUtilisation(backfill, t, h)
		if backfill.startCPULimit > 0 && backfill.cpuLimit > minCPULimit {
			s.setCPULimit(backfill, h, max(minCPULimit, backfill.cpuLimit/3), now) // not stopped: it is the only run of its job
			continue
		}
		if backfill.step.Checkpoints || backfill.cpuLimit > 0 && backfill.cpuLimit <= throttleLimit || all {
			s.stopRun(backfill, h, stopRelief, now)
			continue
		}
		s.setCPULimit(backfill, h, throttleLimit, now)
	}
}

// setCPULimit sends a command that limits the running task t on h to percent of its full
// speed.
func (s *Shard) setCPULimit(t *task, h *host, percent int, now time.Duration) {
	if t.cpuLimit == percent || t.stage != stageRunning {
		return
	}
	former := t.cpuLimit
	t.cpuLimit, t.throttledAt, t.uninterrupted = percent, now, false
	command := fleet.RunRef{Worker: h.Worker, Task: t.name, Run: t.Run, Token: s.token(h)}
	s.hostWG.Go(func() {
		ctx, cancel := context.WithTimeout(s.hostCtx, commandTimeout)
		defer cancel()
		if _, err := s.cfg.Workers.LimitCPU(ctx, command, percent); err != nil {
			logger.WithField("task", command.Task).WithError(err).Info("CPU limit command failed")
			s.mu.Lock()
			defer s.mu.Unlock()
			if t.Run == command.Run && t.cpuLimit == percent {
				t.cpuLimit = former // the next reading may set it again
			}
		}
	})
}
