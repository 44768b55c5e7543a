package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/queueorder"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// Urgency classes of startable tasks of equal priority, in the order of placement.
const (
	classInterrupted = iota // long-running, and has run before
	classOverdue            // long-running, and has waited for long
	classOnTime             // its job can still end in time; it ends soon and frees its capacity
	classLongRunning        // long-running; its users wait as long as it does not run
	classDoubtful           // its job can end in time only if capacity is freed sooner than expected
	classLate               // its job can still end within lateFactor times the allowed time
	classExpired            // its job will be later than that and only has to complete
)

// lateFactor is the multiple of its allowed time after which a job is assumed to be of no
// use to its caller.
const lateFactor = queueorder.LateFactor

// candidate is a unit of placement: the waiting tasks of a step, which are placed one by
// one, or all members of a gang, which are placed together.
type candidate struct {
	tasks    []*task
	job      *job
	priority int
	class    int
	// slack is the time left before it must start to end in time. It is increased for large
	// backfill jobs, and is minus the longest wait for long-running tasks.
	slack time.Duration
	// density is what the job earns per work left, 0 where jobs are ordered by slack.
	density                     float64
	allowed, elapsed, remaining time.Duration // of a job that ends by itself: see setUrgency
}

// first returns the task that represents the candidate.
func (c *candidate) first() *task { return c.tasks[0] }

// step is the step of the candidate's tasks.
func (c *candidate) step() *workload.Step { return c.tasks[0].step }

// longestWait returns the longest wait of the candidate's tasks.
func (c *candidate) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range c.tasks {
		longest = max(longest, now-t.pendingSince)
	}
	return longest
}

// plan places the tasks that can start, in two passes: the first places backfill tasks only
// where they add little utilisation to services, the second places the remaining ones
// wherever they fit. The caller holds the lock.
func (s *Shard) plan(now time.Duration) {
	s.nextPlanAt = 0
	s.lookahead.plans++
	s.startDueOccurrences(now)
	if s.paused {
		return
	}
	startable := s.candidates(now)
	migrating := s.runsToMigrate()
	if len(startable) == 0 && len(migrating) == 0 {
		s.dropReservations(now)
		return
	}
	p := s.newPlanPass(startable, now)
	if len(migrating) > 0 {
		// Interrupted tasks come before the runs that a stop would interrupt.
		var interrupted []*candidate
		interrupted, startable = splitInterrupted(startable)
		p.placeAll(interrupted)
		p.migrateFromDraining(migrating)
	}
	p.lowInterferenceOnly = true
	p.placeAll(startable)
	p.lowInterferenceOnly = false
	p.unplaceable = map[string]resource.Vector{}
	p.placeAll(slices.DeleteFunc(startable, func(c *candidate) bool { return !c.step().Backfill }))
	s.dropReservations(now)
}

// splitInterrupted separates the candidates with long-running tasks that have run before from
// the others.
func splitInterrupted(startable []*candidate) (interrupted, others []*candidate) {
	for _, c := range startable {
		if c.step().LongRunning && slices.ContainsFunc(c.tasks, (*task).interrupted) {
			interrupted = append(interrupted, c)
		} else {
			others = append(others, c)
		}
	}
	return interrupted, others
}

// placeAll places the candidates in their order.
func (p *planPass) placeAll(startable []*candidate) {
	cfg := p.s.cfg.Config()
	for _, c := range startable {
		q := queueOf(cfg, c.job)
		if q == nil {
			p.s.replanAt(p.now + missingQueueRetry)
			continue // neither the queue nor the terms of the job are known: its tasks wait until one is
		}
		p.placeCandidate(c, q)
	}
}

// missingQueueRetry is the pause before a task whose queue is not configured is considered
// again.
const missingQueueRetry = 500 * time.Millisecond

// replanAt requests another plan at the given time, when a waiting task may become
// placeable.
func (s *Shard) replanAt(at time.Duration) {
	if s.nextPlanAt == 0 || at < s.nextPlanAt {
		s.nextPlanAt = at
	}
}

// startDueOccurrences creates the tasks of the occurrences that are due, as far as the job has room for
// them.
func (s *Shard) startDueOccurrences(now time.Duration) {
	for _, j := range s.jobs {
		if !j.spec.Timed() || !j.active() {
			continue
		}
		unix := s.cfg.WallClock(s.storeNow()).UnixMilli()
		for k := j.record.Begun; k < j.spec.Occurrences() && s.mayBegin(j); k++ {
			if left := j.spec.DueMillis(k) - unix; left > 0 {
				s.replanAt(now + time.Duration(min(left, maxReplanMillis))*time.Millisecond)
				break
			}
			j.createTasks(k, now)
		}
	}
}

// maxReplanMillis bounds the time to the next plan, which may be centuries by a job's schedule.
const maxReplanMillis = 3_600_000

// runsToMigrate returns the runs on draining workers that are to continue on other workers of
// this shard because they lose little by a stop:
// long-running ones, which are back at work sooner elsewhere, and those with checkpoints.
// Runs that are being stopped come first, so that they keep the slots reserved for them.
func (s *Shard) runsToMigrate() []*task {
	var out []*task
	for _, h := range s.hosts {
		if !h.Draining {
			continue
		}
		for _, t := range h.tasks {
			if t.stage == stageRunning && t.lendTo == "" && (t.step.LongRunning || t.step.Checkpoints) {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return slices.Concat(filterTasks(out, true), filterTasks(out, false))
}

// filterTasks returns the tasks whose run is being stopped, or the others.
func filterTasks(tasks []*task, stopWanted bool) []*task {
	return slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return t.stopWanted != stopWanted })
}

// migrateFromDraining stops runs on draining workers, so that they continue elsewhere. A
// long-running one is stopped only if a slot on another worker can be reserved for it in
// this pass. Otherwise the stop would leave the task without a run until a slot is free.
func (p *planPass) migrateFromDraining(runs []*task) {
	cfg := p.s.cfg.Config()
	stopped, kept := 0, 0
	for _, t := range runs {
		if !t.step.LongRunning {
			t.stopWanted = true
			continue
		}
		q := queueOf(cfg, t.job)
		sl := p.bestSlot(t, q, p.slots, "", p.s.tickets(t, q, p.now))
		t.drainKept = sl == nil
		if sl == nil {
			kept++
			switch {
			case p.s.isAdvised(q):
				p.s.seekAdvice(t, q, p.slots, p.now)
			case q != nil:
				p.preempt(&candidate{tasks: []*task{t}, job: t.job, class: classLongRunning}, t, q)
			}
			continue
		}
		sl.reserve(t)
		if !t.stopWanted {
			stopped++
		}
		t.stopWanted = true
	}
	if stopped > 0 {
		logger.WithField("shard", p.s.cfg.Name).WithField("stopped", stopped).WithField("kept", kept).
			WithField("waiting_long_running", p.s.longRunningWaits(p.now).count).Info("stopping long-running tasks on draining workers")
	}
}

// candidates returns the startable tasks, ordered by the priority of their queue, their
// class and their slack.
func (s *Shard) candidates(now time.Duration) []*candidate {
	var out []*candidate
	cfg := s.cfg.Config()
	for _, j := range s.jobs {
		if !j.active() {
			continue
		}
		if s.adoptTerms(j); !j.active() {
			continue
		}
		q := queueOf(cfg, j)
		for k := range j.tasks {
			out = s.occurrenceCandidates(out, j, k, q, now)
		}
	}
	s.sortCandidates(out)
	return out
}

// occurrenceCandidates appends the startable tasks of occurrence k of j to out. A gang
// starts only when all its members wait.
func (s *Shard) occurrenceCandidates(out []*candidate, j *job, k int, q *fleet.Queue, now time.Duration) []*candidate {
	for step := range j.spec.Steps {
		tasks := j.stepTasks(k, step)
		if tasks == nil || !j.dependenciesDone(k, step) {
			continue
		}
		if j.spec.Steps[step].Gang {
			if len(s.waiting(tasks, now)) == len(tasks) {
				out = append(out, s.setUrgency(&candidate{tasks: tasks}, j, k, step, q))
			}
			continue
		}
		if waiting := s.waiting(tasks, now); len(waiting) > 0 {
			out = append(out, s.setUrgency(&candidate{tasks: waiting}, j, k, step, q))
		}
	}
	return out
}

// waiting returns the pending tasks that are to run here and whose backoff is over, and
// requests another plan for the end of each other backoff.
func (s *Shard) waiting(tasks []*task, now time.Duration) []*task {
	var out []*task
	for _, t := range tasks {
		if t.Phase != workload.Pending || t.lendTo != "" {
			continue
		}
		if now < t.notBefore {
			s.replanAt(t.notBefore)
			continue
		}
		if s.releaseBound(t, now); t.boundTo != "" {
			s.replanAt(s.lateRunEnd(t.boundUntil))
		}
		if t.startableSince == 0 {
			t.startableSince = now
		}
		out = append(out, t)
	}
	return out
}

// longRunningOverdueAfter is how long a long-running task waits before it goes ahead of
// short ones. Ending short tasks usually free capacity for it sooner. The platform counts a
// long-running task that does not run as lost after six seconds.
const longRunningOverdueAfter = 2500 * time.Millisecond

// setUrgency sets the urgency of c. A job's allowed time is its longest dependency chain times
// the queue's slack factor, plus the queue's target; its slack is what remains of that
// after its age and the chain still to run.
func (s *Shard) setUrgency(c *candidate, j *job, k, step int, q *fleet.Queue) *candidate {
	c.job = j
	if q != nil {
		c.priority = q.Priority
	}
	if j.spec.Steps[step].LongRunning {
		c.class = classLongRunning
		c.slack = -c.longestWait(s.now())
		switch {
		case slices.ContainsFunc(c.tasks, (*task).interrupted):
			c.class = classInterrupted
		case -c.slack > longRunningOverdueAfter:
			c.class = classOverdue
		}
		return c
	}
	criticalPaths := s.durationModel.criticalPaths(j)
	allowed := allowedTime(criticalPaths, q)
	elapsed := s.occurrenceAge(j, k)
	remaining := time.Duration(criticalPaths[step]) * time.Millisecond
	c.slack = allowed - elapsed - remaining
	c.allowed, c.elapsed, c.remaining = allowed, elapsed, remaining
	switch {
	case c.slack >= 0:
		c.class = classOnTime
		if j.spec.Steps[step].Backfill {
			relativeWork := s.meanWork.relative(j.spec.Queue, s.durationModel.expectedWork(&j.spec, step))
			c.slack += time.Duration(relativeWork * float64(s.sizeWeight))
		}
	case elapsed+remaining < lateFactor*allowed:
		c.class = classLate
	default:
		c.class = classExpired
	}
	return c
}

// sizeWeight is added to the slack of a backfill job of mean size, and in proportion for
// other sizes. When more jobs arrive than can run, an order by slack alone finishes every
// job slightly too late. With small jobs first, more of them end in time.
const sizeWeight = 2 * time.Second

// interrupted reports whether a waiting task has run before.
func (t *task) interrupted() bool { return t.Run > 0 }

// defaultSlack is the slack factor of queues that are no longer configured.
const defaultSlack = 1.5

// occurrenceAge returns the time since the job was accepted or, for a scheduled job, since
// occurrence k was due.
func (s *Shard) occurrenceAge(j *job, k int) time.Duration {
	if j.spec.Timed() {
		due := time.UnixMilli(j.spec.DueMillis(k))
		return s.cfg.WallClock(s.storeNow()).Sub(due)
	}
	return time.Duration(s.storeNow()-j.acceptedAt) * time.Millisecond
}
