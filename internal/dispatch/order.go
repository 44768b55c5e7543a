package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/queueorder"
	"skylarkport/internal/workload"
)

// occurrenceKey names one occurrence of a job.
type occurrenceKey struct {
	job        *job
	occurrence int
}

// classOf maps the standing of a job to the class of its tasks.
var classOf = map[queueorder.Standing]int{
	queueorder.Finishable: classOnTime, queueorder.Doubtful: classDoubtful, queueorder.Late: classLate, queueorder.Expired: classExpired,
}

// rankCandidates sets the classes and ranks of the candidates whose jobs end by themselves.
func (s *Shard) rankCandidates(candidates []*candidate) {
	ranked := map[occurrenceKey]*queueorder.Job{}
	var jobs []*queueorder.Job
	for _, c := range candidates {
		if c.step().LongRunning {
			continue
		}
		key := occurrenceKey{c.job, c.first().id.Occurrence}
		if ranked[key] == nil {
			j := s.orderJob(c)
			ranked[key], jobs = j, append(jobs, j)
			if j.Elapsed > j.Allowed {
				s.observeOutcome(c.job, j.Work, false)
			}
		}
	}
	if len(jobs) == 0 {
		return
	}
	queueorder.Rank(jobs, s.capacityByPriority())
	for _, c := range candidates {
		if j := ranked[occurrenceKey{c.job, c.first().id.Occurrence}]; j != nil {
			c.class, c.density = classOf[j.Standing], j.Density
		}
	}
}

// orderJob describes the job of c for its rank.
func (s *Shard) orderJob(c *candidate) *queueorder.Job {
	j, k := c.job, c.first().id.Occurrence
	out := &queueorder.Job{
		ID: j.spec.ID, Priority: c.priority, Allowed: c.allowed, Elapsed: c.elapsed, Chain: c.remaining,
		MeanWork: s.meanWork[j.spec.Queue],
	}
	for step := range j.spec.Steps {
		work := float64(j.spec.Steps[step].Needs.MilliCPU) / 1000 * float64(s.durationModel.taskMillis(j, step))
		for _, t := range j.stepTasks(k, step) {
			out.Work += work
			switch t.Phase {
			case workload.Done:
				out.Begun = true
				continue
			case workload.Pending:
				out.Waiting += work * (1 - t.saved())
			default:
				out.Begun = true
			}
			out.Begun = out.Begun || t.Run > 0
			out.Left += work * (1 - t.saved())
		}
	}
	out.Boost = s.shares.Boost(queueorder.Group{Queue: j.spec.Queue, Size: queueorder.SizeOf(out.Work, out.MeanWork)})
	return out
}

// allowedTime is the time from its arrival in which a job of the queue q is to end, whose steps begin
// chains of the given milliseconds: the longest one times the slack factor of the queue, plus its target.
func allowedTime(chains []int64, q *fleet.Queue) time.Duration {
	slackFactor, target := defaultSlack, time.Duration(0)
	if q != nil {
		slackFactor, target = q.Slack, q.Target
	}
	return time.Duration(float64(slices.Max(chains))*slackFactor)*time.Millisecond + target
}

// expectedLeft is the expected time until the run of t ends by itself, by its progress where that
// says more than the expected duration.
func (s *Shard) expectedLeft(t *task, now time.Duration) time.Duration {
	if t.percent >= minProgress && t.uninterrupted {
		ran := t.progressedAt - t.stageSince
		return max(0, ran*time.Duration(startedPercent-t.percent)/time.Duration(t.percent)-(now-t.progressedAt))
	}
	return max(0, s.expectedDuration(t)-(now-t.stageSince))
}

// minProgress is the progress, in percent, from which the time left is extrapolated.
const minProgress = 25

// saved is the share of its work that a finite task need not repeat: what it has reported, if it
// runs or its checkpoint keeps that.
func (t *task) saved() float64 {
	if t.Phase == workload.Pending && t.Checkpoint == "" {
		return 0
	}
	return min(1, float64(t.percent)/startedPercent)
}

// capacityByPriority returns the cores that the jobs of a priority follow in: those of the runs
// of that priority and of those after it which end by themselves.
func (s *Shard) capacityByPriority() func(priority int) float64 {
	cfg, now := s.cfg.Config(), s.now()
	cores := map[int]float64{}
	for _, h := range s.hosts {
		if !h.acceptsRuns(now) {
			continue
		}
		for _, t := range h.tasks {
			if q := queueOf(cfg, t.job); q != nil && !t.step.LongRunning {
				cores[q.Priority] += float64(t.step.Needs.MilliCPU) / 1000
			}
		}
	}
	return func(priority int) float64 {
		sum := 0.0
		for p, c := range cores {
			if p >= priority {
				sum += c
			}
		}
		return sum
	}
}

// compareRanked orders candidates by priority, class and, among jobs that end by themselves, by
// what they earn per work left.
func compareRanked(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.class, b.class),
		-cmp.Compare(a.density, b.density),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
	)
}

// sortCandidates sorts the candidates in the order of placement.
func (s *Shard) sortCandidates(candidates []*candidate) {
	if s.cfg.Features.Order {
		s.rankCandidates(candidates)
	}
	slices.SortFunc(candidates, compareRanked)
}
