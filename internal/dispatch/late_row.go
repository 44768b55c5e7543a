package dispatch

import "time"

// publishedStarts tells a successor, in the heartbeat row, which starts may still be carried out. Times are in
// milliseconds after the row's BuiltAt.
type publishedStarts struct {
	Tasks map[string]publishedStart `json:"t,omitempty"`
	// Jobs names the jobs of all runs with such a start, if Tasks leaves out some of the runs.
	Jobs map[string]int64 `json:"j,omitempty"`
	// BoundUntil and JobsUntil are the latest times of the bound tasks that Tasks leaves out, and of the jobs that
	// Jobs leaves out; 0 if there are none.
	BoundUntil int64 `json:"b,omitempty"`
	JobsUntil  int64 `json:"m,omitempty"`
}

// publishedStart is a start of a task.
type publishedStart struct {
	Until  int64  `json:"u"`
	Run    int    `json:"r,omitempty"` // as in lateStart
	Worker string `json:"w,omitempty"` // the worker that the task is bound to, if it is not placed
}

const (
	// startsShare is the part of the largest row that the names of tasks may take, and those of jobs.
	startsShare = 1.0 / 8
	// startBytes and startJobBytes bound what an entry takes beside names.
	startBytes, startJobBytes = len(`"":{"u":1800000,"r":1000,"w":""},`), len(`"":1800000,`)
	// unansweredMillis is how long after the time of a row a start may be carried out that has no response
	// then. It is sent while leases may be granted.
	unansweredMillis = int64((LeaseRenewalWindow + maxCommandDelay) / time.Millisecond)
)

// publishStarts names in b the starts that a successor cannot take for over: those that waiting tasks are bound
// by, and those of the runs that b places or that have no response yet, or got none.
func (s *Shard) publishStarts(b *heartbeatRow) {
	b.Starts = &publishedStarts{}
	now, room := s.now(), s.startsRoom()
	for name, t := range s.bound {
		if !s.releaseBound(t, now) {
			continue
		}
		start := publishedStart{Until: s.millisAfter(b, t.boundUntil), Worker: t.boundTo}
		if !b.Starts.add(name, start, &room) {
			b.Starts.BoundUntil = max(b.Starts.BoundUntil, start.Until, 1)
		}
	}
	complete := true
	for _, h := range s.hosts {
		for name, t := range h.tasks {
			if start, ok := s.startOf(t, h, b); ok {
				complete = b.Starts.add(name, start, &room) && complete
			}
		}
	}
	if !complete {
		s.publishStartJobs(b)
	}
}

// startsRoom returns the bytes in the heartbeat row for the names of tasks, and of jobs, with starts.
func (s *Shard) startsRoom() int { return int(startsShare * float64(s.cfg.Bounds.RowLimit())) }

// add adds a start if there is room for it, in bytes, and reports whether there was.
func (p *publishedStarts) add(task string, start publishedStart, room *int) bool {
	n := len(task) + len(start.Worker) + startBytes
	if n > *room {
		return false
	}
	*room -= n
	if p.Tasks == nil {
		p.Tasks = map[string]publishedStart{}
	}
	p.Tasks[task] = start
	return true
}

// startOf returns the start of the run t on h that may still be carried out, if any.
func (s *Shard) startOf(t *task, h *host, b *heartbeatRow) (publishedStart, bool) {
	late, isLate := h.lateStarts[t.name]
	switch {
	case t.stage == stagePlanned || t.stage == stageSent:
		start := publishedStart{Until: unansweredMillis, Run: t.Run}
		if isLate {
			start.Run = min(start.Run, late.run)
		}
		return start, true
	case isLate:
		return publishedStart{Until: s.millisAfter(b, late.until), Run: late.run}, true
	}
	return publishedStart{}, false
}

// publishStartJobs names in b the jobs of all runs with a start that may still be carried out.
func (s *Shard) publishStartJobs(b *heartbeatRow) {
	jobs, room := map[string]int64{}, s.startsRoom()
	b.Starts.Jobs = jobs
	for _, h := range s.hosts {
		for _, t := range h.tasks {
			start, ok := s.startOf(t, h, b)
			if !ok {
				continue
			}
			id := t.job.spec.ID
			if latest, named := jobs[id]; named {
				jobs[id] = max(latest, start.Until)
			} else if n := len(id) + startJobBytes; n <= room {
				room -= n
				jobs[id] = start.Until
			} else {
				b.Starts.JobsUntil = max(b.Starts.JobsUntil, start.Until, 1)
			}
		}
	}
}

// millisAfter returns by how many milliseconds the time at is after that of b.
func (s *Shard) millisAfter(b *heartbeatRow, at time.Duration) int64 {
	return int64(s.storeNow().Add(at-s.now())) - b.BuiltAt
}

// startsUntil returns until when a start lasts that an earlier owner's heartbeat row names.
func (s *Shard) startsUntil(millis int64) time.Duration {
	return s.now() + time.Duration(s.heartbeat.BuiltAt+millis-int64(s.storeNow()))*time.Millisecond + storeClockError
}

// inheritStart records that the start of the inherited run of t on h may still be carried out, as far as the
// earlier owner's heartbeat row tells. One of an earlier version tells nothing.
func (s *Shard) inheritStart(t *task, h *host) {
	p := s.heartbeat.Starts
	if p == nil {
		return
	}
	start, ok := p.Tasks[t.name]
	if !ok {
		start.Until, ok = p.Jobs[t.job.spec.ID]
	}
	if !ok {
		start.Until, ok = p.JobsUntil, p.JobsUntil > 0
	}
	if ok {
		h.keepLateStart(t.name, lateStart{until: s.startsUntil(start.Until), run: start.Run})
		s.forgetLateStarts(h, s.now())
	}
}

// unknownWorker stands for a worker that a heartbeat row leaves out.
const unknownWorker = "unknown"

// inheritBound binds the waiting task t to the worker that may still carry out an earlier start of it, and to none
// if that is not known.
func (s *Shard) inheritBound(t *task) {
	p := s.heartbeat.Starts
	if p == nil {
		return
	}
	if start := p.Tasks[t.name]; start.Worker != "" {
		s.bind(t, start.Worker, s.startsUntil(start.Until))
	} else if p.BoundUntil > 0 && t.Run > 0 {
		s.bind(t, unknownWorker, s.startsUntil(p.BoundUntil))
	}
}
