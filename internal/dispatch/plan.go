package dispatch

import (
	"cmp"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// Urgency classes of startable tasks, the first to be placed first.
const (
	classOverdue  = iota // lasting, and waits for long already or has run before
	classOnTime          // its job can still end in time; it is short and soon gives its room back
	classLasting         // users wait for it all the time
	classLate            // its job can still end within lateFactor times its time
	classHopeless        // only the job's completion counts any more
)

// lateFactor is how many times its allowed time a job may take and still be of
// use to its caller.
const lateFactor = 3

// candidate is a unit of placement: the tasks of a step that wait, which are
// placed one by one, or all members of a gang, which are placed together.
type candidate struct {
	tasks    []*task
	job      *job
	priority int
	class    int
	slack    time.Duration // until the latest start in time, longer for large jobs that fill
}

// first is the task that stands for the candidate.
func (c *candidate) first() *task { return c.tasks[0] }

// step is the step of the candidate's tasks.
func (c *candidate) step() *workload.Step { return c.tasks[0].step }

// plan places what may start. The caller holds the lock.
func (s *Shard) plan(now time.Duration) {
	s.planAgain = 0
	s.beginOccurrences(now)
	if s.paused {
		return
	}
	ready := s.candidates(now)
	leaving := s.onDraining()
	if len(ready) == 0 && len(leaving) == 0 {
		return
	}
	p := s.newPass(ready, now)
	p.leaveDraining(leaving)
	p.gentle = true
	p.run(ready)
	p.gentle = false
	p.full = map[string]resource.Vector{}
	p.run(slices.DeleteFunc(ready, func(c *candidate) bool { return !c.step().Fills }))
}

// run places the candidates in their order.
func (p *pass) run(ready []*candidate) {
	cfg := p.s.cfg.Config()
	for _, c := range ready {
		q := queueOf(cfg, c.job)
		if q == nil {
			p.s.later(p.now + configPause)
			continue // the queue is not configured: its tasks wait for it to return
		}
		p.placeCandidate(c, q)
	}
}

// configPause is how soon a task whose queue is not configured is looked at again.
const configPause = 500 * time.Millisecond

// later notes that a plan may change at that time.
func (s *Shard) later(at time.Duration) {
	if s.planAgain == 0 || at < s.planAgain {
		s.planAgain = at
	}
}

func queueOf(cfg *fleet.Config, j *job) *fleet.Queue {
	if cfg == nil {
		return nil
	}
	return cfg.ByName(j.spec.Queue)
}

// beginOccurrences makes the tasks of the occurrences whose time has come.
func (s *Shard) beginOccurrences(now time.Duration) {
	for _, j := range s.jobs {
		if !j.spec.Timed() || !j.active() {
			continue
		}
		unix := s.cfg.Unix(s.storeNow()).UnixMilli()
		for k := len(j.rec.Tasks); k < j.spec.Occurrences(); k++ {
			if left := j.spec.DueMillis(k) - unix; left > 0 {
				s.later(now + time.Duration(left)*time.Millisecond)
				break
			}
			j.begin(k, now)
		}
	}
}

// onDraining returns the runs on draining workers that lose little by a stop: lasting
// ones, which are at work elsewhere sooner, and those with checkpoints.
func (s *Shard) onDraining() []*task {
	var out []*task
	for _, h := range s.hosts {
		if !h.Draining {
			continue
		}
		for _, t := range h.tasks {
			if t.stage == stageRunning && (t.step.Lasting || t.step.Checkpoints) {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return out
}

// leaveDraining stops runs on draining workers. A lasting one goes only where a slot is
// kept for it: without one it is at work longest where it is.
func (p *pass) leaveDraining(runs []*task) {
	cfg := p.s.cfg.Config()
	for _, t := range runs {
		if !t.step.Lasting {
			t.stopWanted = true
			continue
		}
		sl := p.best(t, queueOf(cfg, t.job), p.slots, "", nil)
		if sl == nil {
			continue
		}
		sl.take(t)
		t.stopWanted = true
	}
}

// candidates returns the startable tasks in the order of their urgency.
func (s *Shard) candidates(now time.Duration) []*candidate {
	var out []*candidate
	cfg := s.cfg.Config()
	for _, j := range s.jobs {
		if !j.active() {
			continue
		}
		q := queueOf(cfg, j)
		for k := range j.tasks {
			out = s.occurrenceCandidates(out, j, k, q, now)
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		)
	})
	return out
}

func (s *Shard) occurrenceCandidates(out []*candidate, j *job, k int, q *fleet.Queue, now time.Duration) []*candidate {
	for step := range j.spec.Steps {
		tasks := j.stepTasks(k, step)
		if tasks == nil || !j.open(k, step) {
			continue
		}
		if j.spec.Steps[step].Gang {
			if len(s.waiting(tasks, now)) == len(tasks) {
				out = append(out, s.rank(&candidate{tasks: tasks}, j, k, step, q))
			}
			continue
		}
		if waiting := s.waiting(tasks, now); len(waiting) > 0 {
			out = append(out, s.rank(&candidate{tasks: waiting}, j, k, step, q))
		}
	}
	return out
}

// waiting returns the tasks that may be placed now.
func (s *Shard) waiting(tasks []*task, now time.Duration) []*task {
	var out []*task
	for _, t := range tasks {
		if t.Phase != workload.Pending {
			continue
		}
		if now < t.notBefore {
			s.later(t.notBefore)
			continue
		}
		out = append(out, t)
	}
	return out
}

// overdueAfter is how long a lasting task waits until it goes before short ones.
// Between the ends and starts of short tasks some room is always free, and the
// platform holds a lasting task that does not run for lost after six seconds.
const overdueAfter = 2500 * time.Millisecond

// rank sets the urgency of c.
func (s *Shard) rank(c *candidate, j *job, k, step int, q *fleet.Queue) *candidate {
	c.job = j
	allowed, target := defaultSlack, time.Duration(0)
	if q != nil {
		c.priority, allowed, target = q.Priority, q.Slack, q.Target
	}
	if j.spec.Steps[step].Lasting {
		c.class = classLasting
		if s.now()-c.first().readyAt > overdueAfter || slices.ContainsFunc(c.tasks, (*task).interrupted) {
			c.class = classOverdue
		}
		return c
	}
	chain := s.durations.chain(j)
	longest := slices.Max(chain)
	whole := time.Duration(float64(longest)*allowed)*time.Millisecond + target
	spent := s.age(j, k)
	left := time.Duration(chain[step]) * time.Millisecond
	c.slack = whole - spent - left
	switch {
	case c.slack >= 0:
		c.class = classOnTime
		if j.spec.Steps[step].Fills {
			share := s.sizes.relative(j.spec.Queue, s.durations.work(&j.spec, step))
			c.slack += time.Duration(share * float64(s.sizeWeight))
		}
	case spent+left < lateFactor*whole:
		c.class = classLate
	default:
		c.class = classHopeless
	}
	return c
}

// sizeWeight is how much later than by its slack alone a filling job of mean size has
// its turn. Where more is handed in than can be served, an order by slack serves every
// job just too late; with small jobs first, more of them end in time.
const sizeWeight = 2 * time.Second

// interrupted reports whether a waiting task has run before.
func (t *task) interrupted() bool { return t.Run > 0 }

// defaultSlack is used for queues that are not configured any more.
const defaultSlack = 1.5

// age is the time since the job was accepted, or since occurrence k was due.
func (s *Shard) age(j *job, k int) time.Duration {
	if j.spec.Timed() {
		due := time.UnixMilli(j.spec.DueMillis(k))
		return s.cfg.Unix(s.storeNow()).Sub(due)
	}
	return time.Duration(s.storeNow()-j.at) * time.Millisecond
}
