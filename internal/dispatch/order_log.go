package dispatch

import (
	"time"

	"github.com/apex/log"

	"skylarkport/internal/queueorder"
	"skylarkport/internal/workload"
)

// recordJobEnd counts a job that has completed by whether it was in time, and logs how long it
// took and how long it was begun.
func (s *Shard) recordJobEnd(j *job, state workload.State) {
	if !s.cfg.Features.Order || state != workload.Completed || j.spec.Timed() {
		return
	}
	allowed := allowedTime(s.durationModel.criticalPaths(j), queueOf(s.cfg.Config(), j))
	took := s.occurrenceAge(j, 0)
	s.cfg.Metrics.JobEnded(took <= allowed)
	s.observeOutcome(j, s.durationModel.expectedWork(&j.spec, 0), took <= allowed)
	begun := time.Duration(0)
	if j.begunAt > 0 {
		begun = s.now() - j.begunAt
	}
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("queue", j.spec.Queue).WithField("took_ms", took.Milliseconds()).
		WithField("allowed_ms", allowed.Milliseconds()).WithField("begun_ms", begun.Milliseconds()).Debug("job completed")
}

// observeOutcome counts once, for the share of its group, whether j was in time.
func (s *Shard) observeOutcome(j *job, work float64, inTime bool) {
	if j.outcomeSeen {
		return
	}
	j.outcomeSeen = true
	size := queueorder.SizeOf(work, s.meanWork[j.spec.Queue])
	s.shares.Observe(queueorder.Group{Queue: j.spec.Queue, Size: size}, inTime)
}

// countStandings counts, for the log of the load, the jobs of the candidates by what they can still
// achieve, and those that have begun. It returns no fields where jobs are ordered by slack.
func (s *Shard) countStandings(candidates []*candidate) log.Fields {
	if !s.cfg.Features.Order {
		return nil
	}
	names := map[int]string{classOnTime: "finishable", classDoubtful: "doubtful", classLate: "late", classExpired: "expired"}
	counts := map[string]int{"finishable": 0, "doubtful": 0, "late": 0, "expired": 0, "begun_jobs": 0}
	seen := map[occurrenceKey]bool{}
	for _, c := range candidates {
		key := occurrenceKey{c.job, c.first().id.Occurrence}
		if c.step().LongRunning || seen[key] {
			continue
		}
		seen[key] = true
		counts[names[c.class]]++
		if c.job.started() {
			counts["begun_jobs"]++
		}
	}
	fields := log.Fields{}
	for name, n := range counts {
		fields[name] = n
	}
	return fields
}
