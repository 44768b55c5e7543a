package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

// Others are the other shards of the installation.
type Others interface {
	// Better names a shard that can run a job sooner, or none. A job that is new has
	// not waited for room here.
	Better(j *workload.Spec, isNew bool) (shard string, ok bool)
	// Deliver returns nil once the shard has stored the job.
	Deliver(ctx context.Context, shard string, a workload.Accepted) error
	// Cancel returns nil once the cancellation is durable, or the job is over.
	Cancel(ctx context.Context, shard, id string) error
	// Lessons returns what one of the other shards has learned, each in turn.
	Lessons(ctx context.Context) (Lessons, error)
	// Knows reports whether the shard still has the job.
	Knows(ctx context.Context, shard, id string) (bool, error)
}

const (
	// moveAfter is how long a job waits for its first run before another shard is
	// asked; runs of a second end all the time.
	moveAfter = 250 * time.Millisecond
	// movesAtOnce bounds the jobs under way to other shards: their loads are
	// known only from the last ping.
	movesAtOnce = 4
	// asksAtOnce bounds the questions about moved jobs under way.
	asksAtOnce = 8
	// deliverRetry is the pause between tries to deliver a job.
	deliverRetry = 200 * time.Millisecond
	// deliverTimeout bounds one try.
	deliverTimeout = 900 * time.Millisecond
)

// moveWaiting lets jobs that have not begun go to shards that can run them sooner,
// and reports whether any does. A job moves once: the commit that names its new
// shard ends this shard's right to run it, and it is delivered afterwards.
func (s *Shard) moveWaiting(now time.Duration) bool {
	if s.cfg.Others == nil {
		return false
	}
	moved := false
	for _, j := range s.movable(now) {
		// Shards are compared without the lock: that asks them for their loads.
		if shard, ok := s.cfg.Others.Better(&j.spec, false); ok {
			moved = s.move(j, shard, now) || moved
		}
	}
	return moved
}

// movable returns some jobs that may move.
func (s *Shard) movable(now time.Duration) []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*job
	for _, j := range s.jobs {
		if s.paused || s.moving+len(out) >= movesAtOnce {
			break
		}
		if s.mayMove(j, now) {
			out = append(out, j)
		}
	}
	return out
}

// move names the new shard of j, if j still may move.
func (s *Shard) move(j *job, shard string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayMove(j, now) {
		return false
	}
	s.moveTo(j, shard)
	return true
}

// moveTo has j moved with the next commit. The caller holds the lock.
func (s *Shard) moveTo(j *job, shard string) {
	j.rec.Moved, j.dirty = &workload.Moved{Shard: shard}, true
	s.moving++
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("to", shard).Info("job moves to another shard")
}

// better names the shard to which a new job goes at once, or none. It must be called
// without the lock, as it asks the shards for their loads.
func (s *Shard) better(a *workload.Accepted) string {
	if s.cfg.Others == nil || a.Moved || a.Spec.Timed() || s.knows(a.Spec.ID) {
		return ""
	}
	shard, _ := s.cfg.Others.Better(&a.Spec, true)
	return shard
}

func (s *Shard) knows(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id] != nil
}

// mayMove reports whether j waits and has never had a run.
func (s *Shard) mayMove(j *job, now time.Duration) bool {
	if !j.stored || j.dirty || !j.active() || j.begun || j.arrived || j.spec.Timed() || len(j.tasks[0]) == 0 {
		return false
	}
	return j.tasks[0][0].Run == 0 && j.placed() == 0 && now-j.tasks[0][0].readyAt > moveAfter
}

// deliverMoved delivers the jobs whose move is durable. The caller holds the lock.
func (s *Shard) deliverMoved(j *job) {
	if j.rec.Moved == nil || j.rec.Moved.Confirmed || j.delivering || s.cfg.Others == nil {
		return
	}
	j.delivering = true
	j.tasks = map[int][]*task{}
	accepted := workload.Accepted{Spec: j.spec, AtMillis: int64(j.at), Moved: true}
	shard := j.rec.Moved.Shard
	s.handOn(j, "job was not delivered", func(ctx context.Context) error {
		return s.cfg.Others.Deliver(ctx, shard, accepted)
	}, s.delivered)
}

// handOn calls f in the background until it succeeds, and then done, unless the shard
// ends before. The caller holds the lock.
func (s *Shard) handOn(j *job, failure string, f func(context.Context) error, done func(*job)) {
	id, shard, ctx := j.spec.ID, j.rec.Moved.Shard, s.hostCtx
	s.hostWG.Go(func() {
		for ctx.Err() == nil {
			tctx, cancel := context.WithTimeout(ctx, deliverTimeout)
			err := f(tctx)
			cancel()
			if err == nil {
				done(j)
				return
			}
			logger.WithField("job", id).WithField("to", shard).WithError(err).Info(failure)
			pause.For(ctx, deliverRetry)
		}
	})
}

// delivered notes that the other shard has stored j.
func (s *Shard) delivered(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.rec.Moved.Confirmed = true
	j.rec.Tasks, j.rec.EndMillis, j.dirty = nil, int64(s.storeNow()), true
	s.moving = max(0, s.moving-1)
	s.passCancel(j)
	s.kick()
}

// passCancel hands the cancellation of a moved job on to the job's shard. The inbox
// row stays until that shard has stored the cancellation, so that a successor passes
// it on anew. The caller holds the lock.
func (s *Shard) passCancel(j *job) {
	if j.cancelKey == "" || j.passing || j.movedTo() == nil || s.cfg.Others == nil {
		return
	}
	j.passing = true
	id, shard := j.spec.ID, j.rec.Moved.Shard
	s.handOn(j, "cancellation was not passed on", func(ctx context.Context) error {
		return s.cfg.Others.Cancel(ctx, shard, id)
	}, s.passedCancel)
}

// passedCancel lets the inbox row go.
func (s *Shard) passedCancel(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logger.WithField("job", j.spec.ID).WithField("to", j.rec.Moved.Shard).Info("cancellation passed on")
	s.inboxGone[j.cancelKey] = true
	j.cancelKey, j.passing = "", false
	s.kick()
}

// keepMoved decides whether the record of a moved job may go: callers who know only
// its home are led by it, so it stays as long as the other shard knows the job.
// The caller holds the lock.
func (s *Shard) keepMoved(j *job) {
	if j.asking || j.cancelKey != "" || s.cfg.Others == nil || s.asking >= asksAtOnce {
		return
	}
	j.asking = true
	s.asking++
	id, shard := j.spec.ID, j.rec.Moved.Shard
	s.hostWG.Go(func() {
		ctx, cancel := context.WithTimeout(s.hostCtx, deliverTimeout)
		defer cancel()
		known, err := s.cfg.Others.Knows(ctx, shard, id)
		s.mu.Lock()
		defer s.mu.Unlock()
		j.asking = false
		s.asking--
		if err != nil {
			logger.WithField("job", id).WithField("shard", shard).WithError(err).Debug("moved job was not asked after")
		}
		if err != nil || known || j.cancelKey != "" {
			j.rec.EndMillis = int64(s.storeNow()) // asked again later
			return
		}
		s.drop(j)
	})
}
