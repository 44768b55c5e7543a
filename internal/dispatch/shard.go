package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/obs"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Tables of the batch side. Inbox rows are written by any instance, all others
// of a shard's part by its owner alone.
const (
	TableOwner    = "owner"
	TableBeat     = "beat"
	TableAccepted = "accepted"
	TableProgress = "progress"
	TableInbox    = "inbox"
	TableImages   = "images"
)

// Keys of the single rows of a shard's part, and the prefixes of inbox keys.
const (
	KeyOwner    = "owner"
	KeyBeat     = "beat"
	KeyImages   = "images"
	InboxSubmit = "submit/"
	InboxCancel = "cancel/"
)

// ErrDeposed ends a shard whose ownership went to another instance.
var ErrDeposed = errors.New("another instance owns the shard")

// Bounds are the platform's figures that the shard keeps to.
type Bounds struct {
	LeaseMax   time.Duration // longest lease that a worker grants
	GangWait   time.Duration // how long a gang's members wait for each other
	KeepEnded  time.Duration // how long an ended job's state stays readable
	EarlyStart time.Duration // how much before its time an occurrence may start
	Impact     time.Duration // how long a tail may be over its target
}

// Settings of a shard.
type Settings struct {
	Name     string
	Epoch    int64
	OwnerRow int64 // version of the owner's row that this instance wrote
	Bounds   Bounds
	Store    fleet.Store
	Workers  fleet.Workers
	Registry fleet.Registry
	Adviser  fleet.Adviser                        // nil where the platform has none
	Config   func() *fleet.Config                 // the configuration in force
	Mine     func(fleet.Worker) bool              // whether a worker belongs to the shard
	Steady   func() time.Duration                 // clock that counts suspensions
	Unix     func(storeNow fleet.Clock) time.Time // time of day agreed among instances
	Metrics  *Metrics
	Others   Others // nil where there is one shard
}

// Shard is the owner's state of one shard.
type Shard struct {
	cfg Settings

	mu        sync.Mutex
	jobs      map[string]*job
	hosts     map[string]*host
	inboxGone map[string]bool // inbox keys to delete with the next commit
	dropped   map[string]bool // jobs whose rows are to be deleted
	paused    bool            // no new runs: the shard is handed over
	moving    int             // jobs on their way to another shard
	asking    int             // moved jobs that other shards are asked about
	planAgain time.Duration   // when something that waits may be due, 0 for none

	beat       beatRow
	beatVer    int64
	noted      map[string]bool // workers whose lapse the store may know
	clockBase  fleet.Clock     // store's clock at clockAt
	clockAt    time.Duration
	lastCommit time.Duration
	promised   time.Duration // when the last durable commit was built
	storeLost  time.Duration // since when commits fail, 0 for none
	committing time.Duration // since when a commit is under way, 0 for none
	wake       chan struct{}
	hostCtx    context.Context
	hostWG     sync.WaitGroup
	loaded     chan struct{}
	images     imageBook
	durations  durations
	sizes      sizes
	sizeWeight time.Duration // the constant, but for tests of the order
	bookAt     time.Duration // when it was last stored
	summarized time.Duration
	advised    map[string]*advice
	cancel     context.CancelCauseFunc
	loadSum    Load // of the shard, at loadAt
	loadAt     time.Duration
	rooms      []ImageRoom // at roomsAt
	roomsAt    time.Duration
	idle       chan struct{} // closed and renewed after each commit cycle
}

// New returns a shard that does not run yet.
func New(cfg Settings) *Shard {
	return &Shard{
		cfg: cfg, jobs: map[string]*job{}, hosts: map[string]*host{},
		inboxGone: map[string]bool{}, noted: map[string]bool{}, dropped: map[string]bool{},
		wake: make(chan struct{}, 1), loaded: make(chan struct{}), idle: make(chan struct{}),
		images: newImageBook(), durations: newDurations(), sizes: sizes{}, sizeWeight: sizeWeight, advised: map[string]*advice{},
	}
}

// Name is the shard's name and the part of its rows.
func (s *Shard) Name() string { return s.cfg.Name }

// Epoch is the owner's epoch.
func (s *Shard) Epoch() int64 { return s.cfg.Epoch }

// now is the steady clock.
func (s *Shard) now() time.Duration { return s.cfg.Steady() }

// storeNow estimates the store's clock.
func (s *Shard) storeNow() fleet.Clock { return s.clockBase.Add(s.now() - s.clockAt) }

func (s *Shard) sawClock(c fleet.Clock) {
	if c > 0 {
		s.clockBase, s.clockAt = c, s.now()
	}
}

// noteClock is sawClock for callers without the lock.
func (s *Shard) noteClock(c fleet.Clock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sawClock(c)
}

// kick makes the commit loop look again.
func (s *Shard) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run loads the shard and serves it until ctx ends or another instance owns it.
func (s *Shard) Run(ctx context.Context) error {
	ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	if err := s.load(ctx); err != nil {
		return err
	}
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).
		WithField("jobs", len(s.jobs)).Info("shard loaded")
	close(s.loaded)
	g, ctx := errgroup.WithContext(ctx)
	s.hostCtx = ctx
	g.Go(func() error { return s.watchRegistry(ctx) })
	g.Go(func() error { return s.watchInbox(ctx) })
	g.Go(func() error { return s.commitLoop(ctx) })
	g.Go(func() error { return s.tick(ctx) })
	if s.cfg.Others != nil {
		g.Go(func() error { return s.learnFromOthers(ctx) })
	}
	err := g.Wait()
	s.hostWG.Wait()
	s.failWaiters()
	if cause := context.Cause(ctx); errors.Is(cause, ErrDeposed) {
		err = cause
	}
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).
		WithField("cause", obs.Cause(err)).Info("shard ended")
	return err
}

// depose ends the shard: another instance owns it.
func (s *Shard) depose(how string) {
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).WithField("how", how).Warn("shard deposed")
	s.cancel(ErrDeposed)
}

func (s *Shard) failWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		j.answer(result.Errorf(result.OutcomeUnknown, "the shard changed its owner"))
	}
}

// answer tells the callers that wait for the job's commit.
func (j *job) answer(err error) {
	for _, w := range j.waiters {
		w <- err
	}
	j.waiters = nil
}

// storeAwayAfter is how long commits may fail until new jobs are refused at
// once; shorter gaps are waited out within a caller's deadline.
const storeAwayAfter = 250 * time.Millisecond

// Submit returns nil once the job is durable.
func (s *Shard) Submit(ctx context.Context, spec workload.Spec) error {
	return s.Accept(ctx, workload.Accepted{Spec: spec})
}

// Accept takes a job in, new or from another shard, and returns nil once it is
// durable.
func (s *Shard) Accept(ctx context.Context, a workload.Accepted) error {
	if err := s.awaitLoaded(ctx); err != nil {
		return err
	}
	better := s.better(&a)
	s.mu.Lock()
	if j, ok := s.jobs[a.Spec.ID]; ok {
		if j.stored || j.kept {
			s.mu.Unlock()
			return nil
		}
		return s.await(ctx, j)
	}
	if s.paused {
		s.mu.Unlock()
		return result.Errorf(result.NotOwner, "the shard is being handed over")
	}
	if s.storeAway(s.now()) {
		s.mu.Unlock()
		return result.Errorf(result.JobNotStored, "the store is away")
	}
	at := s.storeNow()
	if a.AtMillis > 0 {
		at = fleet.Clock(a.AtMillis)
	}
	return s.await(ctx, s.admit(a, at, better))
}

// admit adds a new job, which goes on to another shard where one is named. The caller
// holds the lock.
func (s *Shard) admit(a workload.Accepted, at fleet.Clock, better string) *job {
	spec := &a.Spec
	j := newJob(a.Spec, at)
	j.dirty, j.arrived = true, a.Moved
	if !spec.Timed() {
		j.begin(0, s.now())
	}
	s.jobs[spec.ID] = j
	s.sizes.saw(spec.Queue, s.durations.work(spec, 0))
	logger.WithField("job", spec.ID).WithField("shard", s.cfg.Name).WithField("queue", spec.Queue).
		WithField("steps", spec.Summary()).Info("job admitted")
	if better != "" {
		s.moveTo(j, better)
	} else {
		s.loadSum.Add(spec) // the sum is renewed later, and others ask for it until then
	}
	return j
}

// await waits for the next durable commit of j. The caller holds the lock,
// which await releases.
func (s *Shard) await(ctx context.Context, j *job) error {
	done := make(chan error, 1)
	j.waiters = append(j.waiters, done)
	s.mu.Unlock()
	s.kick()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.sent && !j.stored && !j.kept && s.jobs[j.spec.ID] == j {
		s.forget(j)
		j.answer(result.Errorf(result.JobNotStored, "the store is away"))
		return result.Errorf(result.JobNotStored, "the store is away")
	}
	return result.Errorf(result.OutcomeUnknown, "the commit took too long")
}

func (s *Shard) awaitLoaded(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.NotOwner, "the shard is not loaded yet")
	}
}

// State returns a job's durable state, or the code JobUnknown.
func (s *Shard) State(ctx context.Context, id string) (workload.State, *workload.Moved, error) {
	if err := s.awaitLoaded(ctx); err != nil {
		return "", nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok || !j.stored {
		return "", nil, result.Errorf(result.JobUnknown, "no job %s", id)
	}
	return j.shown, j.movedTo(), nil
}

// movedTo is the shard that answers for j, or nil for this one.
func (j *job) movedTo() *workload.Moved {
	if j.rec.Moved != nil && j.rec.Moved.Confirmed {
		return j.rec.Moved
	}
	return nil
}

// Cancel returns nil once the job's cancellation is durable.
func (s *Shard) Cancel(ctx context.Context, id string) (*workload.Moved, error) {
	if err := s.awaitLoaded(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	j, ok := s.jobs[id]
	switch {
	case !ok:
		s.mu.Unlock()
		return nil, result.Errorf(result.JobUnknown, "no job %s", id)
	case j.rec.Moved != nil:
		defer s.mu.Unlock()
		if m := j.movedTo(); m != nil {
			return m, nil
		}
		return nil, result.Errorf(result.JobWaits, "the job is moving to another shard")
	case j.stored && j.shown.Final():
		s.mu.Unlock()
		return nil, nil
	}
	s.cancelJob(j)
	return nil, s.await(ctx, j)
}

// cancelJob ends j. The caller holds the lock.
func (s *Shard) cancelJob(j *job) {
	if j.rec.State.Final() {
		return
	}
	s.finish(j, workload.Cancelled)
}

// finish gives j a final state and stops its runs.
func (s *Shard) finish(j *job, state workload.State) {
	j.rec.State, j.rec.EndMillis, j.dirty = state, int64(s.storeNow()), true
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Placed {
				t.stopWanted = true
			}
		}
	}
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("state", string(state)).Info("job ended")
}

// Pending counts, per queue, the accepted jobs without times of which no run has
// been seen. It is false while the shard is not loaded.
func (s *Shard) Pending() (map[string]int, bool) {
	select {
	case <-s.loaded:
	default:
		return nil, false
	}
	out := map[string]int{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.active() && !j.begun && !j.spec.Timed() {
			out[j.spec.Queue]++
		}
	}
	return out, true
}

// Healthy reports whether commits have succeeded of late.
func (s *Shard) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeAway(s.now())
}

// Drain stops new runs and waits until what was decided is durable.
func (s *Shard) Drain(ctx context.Context) {
	s.mu.Lock()
	s.paused = true
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		quiet, idle := !s.anyDirty(), s.idle
		s.mu.Unlock()
		if quiet {
			return
		}
		s.kick()
		select {
		case <-idle:
		case <-ctx.Done():
		}
	}
}

func (s *Shard) anyDirty() bool {
	for _, j := range s.jobs {
		if j.dirty || !j.stored {
			return true
		}
		for _, tasks := range j.tasks {
			for _, t := range tasks {
				if t.stage == stageSent {
					return true
				}
			}
		}
	}
	return false
}

// tickInterval is how often lapses, retries of stops and stalls are looked at.
const tickInterval = 100 * time.Millisecond

func (s *Shard) tick(ctx context.Context) error {
	for pause.For(ctx, tickInterval) {
		s.mu.Lock()
		now := s.now()
		again := s.inspect(now)
		s.summarize(now)
		s.mu.Unlock()
		if s.moveWaiting(now) || again {
			s.kick()
		}
	}
	return context.Cause(ctx)
}

// Resume lets a drained shard place runs again: the handover failed.
func (s *Shard) Resume() {
	s.mu.Lock()
	s.paused = false
	s.mu.Unlock()
	s.kick()
}
