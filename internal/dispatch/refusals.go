package dispatch

import (
	"time"

	"skylarkport/internal/workload"
)

// refusals summarises the jobs of a queue that were refused since the last log line.
type refusals struct {
	jobs, returning int
	work            float64            // core-milliseconds
	last            *admissionDecision // the last of them
}

// recordRefusal counts a refused job. The caller holds the lock.
func (s *Shard) recordRefusal(d *admissionDecision) {
	s.cfg.Metrics.JobRefused(d.queue.Name)
	e := s.admission.refusals[d.queue.Name]
	if e == nil {
		e = &refusals{}
		s.admission.refusals[d.queue.Name] = e
	}
	e.jobs++
	if d.request.Returns {
		e.returning++
	}
	e.work, e.last = e.work+d.request.Work, d
}

// logRefusals logs a line for each queue with refused jobs, with what the last decision was made
// from. The caller holds the lock.
func (s *Shard) logRefusals() {
	for queue, e := range s.admission.refusals {
		f := &e.last.forecast
		logger.WithField("shard", s.cfg.Name).WithField("queue", queue).WithField("refused", e.jobs).
			WithField("returning", e.returning).WithField("core_ms", int(e.work)).
			WithField("remembered", s.admission.returns.Len()).WithField("pressure_percent", int(100*e.last.verdict.Pressure)).
			WithField("cores", int(f.Cores)).WithField("idle_cores", int(f.Idle)).WithField("wait_ms", f.Wait().Milliseconds()).
			WithField("drained_ms", f.Drained().Milliseconds()).WithField("slack_ms", e.last.request.Slack.Milliseconds()).
			Info("jobs refused for want of capacity")
	}
	clear(s.admission.refusals)
}

// recordDecision notes when an accepted job is expected to end.
func (j *job) recordDecision(d *admissionDecision) {
	if d != nil && d.verdict.Accepted && d.verdict.InTime {
		j.expectedEnd, j.due = d.request.Now+d.verdict.End, d.request.Due
	}
}

// recordForecastError compares the end of a job with the expected one.
func (s *Shard) recordForecastError(j *job, state workload.State, now time.Duration) {
	if j.expectedEnd > 0 && state == workload.Completed {
		s.cfg.Metrics.ForecastError(now-j.expectedEnd, now <= j.due)
	}
}
