package history

import (
	"slices"
	"time"

	"skylarkport/internal/job"
)

// runSpan is the start and the end of a run on a worker.
type runSpan struct {
	start RunEvent
	end   RunEvent // Kind is empty while the run continues
}

// endOr returns when the run ended, or now if it continues.
func (s runSpan) endOr(now time.Duration) time.Duration {
	if s.end.Kind == "" {
		return now
	}
	return s.end.At
}

// runPlace is a run on one incarnation of a worker.
type runPlace struct {
	run         job.RunID
	incarnation string
}

// checkRuns checks every pair of runs of every task, and the progress from
// which each run resumed.
func (c *checker) checkRuns() {
	spans := c.runSpans()
	for _, task := range sortedKeys(spans) {
		list := spans[task]
		slices.SortStableFunc(list, func(a, b runSpan) int { return int(a.start.At - b.start.At) })
		for i, next := range list {
			for _, before := range list[:i] {
				c.checkPair(before, next)
			}
			if i > 0 {
				c.checkResumed(list[:i], next)
			}
		}
	}
}

// runSpans returns the runs of every task, by the task's id.
func (c *checker) runSpans() map[string][]runSpan {
	spans := map[string][]runSpan{}
	open := map[runPlace]int{}
	for _, e := range c.in.Record.Runs {
		task := e.Run.Task.String()
		at := runPlace{e.Run, e.Incarnation}
		switch e.Kind {
		case RunRefused:
		case RunStarted:
			open[at] = len(spans[task])
			spans[task] = append(spans[task], runSpan{start: e})
		default:
			if i, ok := open[at]; ok {
				spans[task][i].end = e
			}
		}
	}
	return spans
}

// checkPair checks that two runs of one task, the earlier one first, did not
// overlap, have ascending attempts, and that the later one did not start after
// the earlier one was reported finished.
func (c *checker) checkPair(a, b runSpan) {
	switch {
	case a.start.Run == b.start.Run:
		c.add(NoConcurrentRuns, "%s started on %s and on %s", a.start.Run, a.start.Incarnation, b.start.Incarnation)
	case a.endOr(c.in.Record.Now) > b.start.At:
		c.add(NoConcurrentRuns, "%s on %s and %s on %s overlap from %v", a.start.Run, a.start.Incarnation, b.start.Run, b.start.Incarnation, b.start.At)
	case b.start.Run.Attempt <= a.start.Run.Attempt:
		c.add(ResumesFromCheckpoint, "%s started after %s", b.start.Run, a.start.Run)
	}
	if a.end.Kind == RunFinished && c.endReportedBefore(a, b.start.At) {
		c.add(NoWorkLost, "%s started after %s was reported finished", b.start.Run, a.start.Run)
	}
}

// endReportedBefore returns whether the worker reported the end of a earlier than before, so
// that the shard's owner could know of it.
func (c *checker) endReportedBefore(a runSpan, before time.Duration) bool {
	for _, r := range c.in.Record.Reports {
		if r.Run == a.start.Run && r.Incarnation == a.start.Incarnation {
			return r.At < before
		}
	}
	return false
}

// checkResumed checks the progress that a batch run resumes from. A run that
// was stopped has reported its checkpoint, so the next one resumes exactly from
// it. A run whose lease expired or whose worker was lost may have saved more
// progress than its owner knew, so any value from its own start to its
// checkpoint is valid.
func (c *checker) checkResumed(before []runSpan, next runSpan) {
	if next.start.Work != job.Batch {
		return
	}
	last := before[len(before)-1]
	least, most := last.start.Resume, last.end.Checkpoint
	if last.end.Kind == RunStopped {
		least = most
	}
	if got := next.start.Resume; got < least || got > most {
		c.add(ResumesFromCheckpoint, "%s resumed from %d, want %d to %d as saved by %s", next.start.Run, got, least, most, last.start.Run)
	}
}

// checkFinished checks that the expected number of tasks of each job finished.
// A task may finish twice if its first end was not reported before the lease
// expired, so it is counted once here; checkPair checks the second run.
func (c *checker) checkFinished() {
	seen := map[job.TaskID]bool{}
	perJob := map[string]int{}
	for _, e := range c.in.Record.Runs {
		if e.Kind == RunFinished && !seen[e.Run.Task] {
			seen[e.Run.Task] = true
			perJob[e.Run.Task.Job]++
		}
	}
	for _, x := range c.in.Expect {
		if perJob[x.Job] != x.Finished {
			c.add(NoWorkLost, "%d tasks of %s finished, want %d", perJob[x.Job], x.Job, x.Finished)
		}
	}
}
