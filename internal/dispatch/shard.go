package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"skylarkport/internal/colocation"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/obs"
	"skylarkport/internal/pause"
	"skylarkport/internal/queueorder"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Tables of the store. Any instance may write inbox rows, and an instance that takes the
// shard over writes the owner row; all other rows of a shard's part are written only by the
// shard's owner.
const (
	TableOwner        = "owner"
	TableHeartbeat    = "beat"
	TableAccepted     = "accepted"
	TableProgress     = "progress"
	TableInbox        = "inbox"
	TableInterference = "images"
)

// Keys of the rows that a shard's part has once, and prefixes of inbox keys.
const (
	KeyOwner        = "owner"
	KeyHeartbeat    = "beat"
	KeyInterference = "images"
	InboxSubmit     = "submit/"
	InboxCancel     = "cancel/"
)

// ErrOwnershipLost is the error with which a shard ends when another instance has taken
// over its ownership.
var ErrOwnershipLost = errors.New("another instance owns the shard")

// Bounds are limits that the platform sets.
type Bounds struct {
	LeaseMax       time.Duration // longest lease that a worker accepts
	GangWait       time.Duration // how long started members of a gang wait for the others
	EndedRetention time.Duration // how long an ended job's state stays readable
	EarlyStart     time.Duration // how long before its due time an occurrence may start
	MaxOverTarget  time.Duration // how long a tail latency may exceed its target
	Stop           time.Duration // longest time in which a worker stops a run; 0 if unknown
	RowBytes       int           // largest size of the value of a row, in bytes; 0 if unknown
}

// Features are the policies that a deployment's settings switch on.
type Features struct {
	Admission    bool // refuse jobs that cannot end in time
	Order        bool // order of the queue, fair shares and preemption by what can still end in time
	Reservations bool // capacity reserved for tasks too large for any gap
}

// Settings configure a shard.
type Settings struct {
	Name           string
	Epoch          int64
	OwnerRow       int64 // version of the owner row that this instance wrote
	Bounds         Bounds
	Features       Features
	Store          fleet.Store
	Workers        fleet.Workers
	Registry       fleet.Registry
	Zones          ZoneSettings
	Adviser        fleet.Adviser                        // nil where the platform has none
	Config         func() *fleet.Config                 // the configuration in force
	BelongsToShard func(fleet.Worker) bool              // whether a worker belongs to the shard
	SteadyClock    func() time.Duration                 // clock that also advances while the machine is suspended
	WallClock      func(storeNow fleet.Clock) time.Time // time of day that the instances agree on
	Metrics        *Metrics
	OtherShards    OtherShards // nil if there is only one shard
	StoreLink      *StoreLink  // shared by the instance's shards
	JobMemory      *JobMemory  // shared by the instance's shards, or nil for no bound
	Prefetched     *Prefetched // rows read before the claim, or nil
	Handoff        *Handoff    // what the earlier owner has stored since, or nil
}

// Shard is the state that the owner of a shard keeps about its jobs and workers.
type Shard struct {
	cfg Settings

	mu              sync.Mutex
	jobs            map[string]*job  // by id
	hosts           map[string]*host // by worker id
	bound           map[string]*task // tasks bound to a worker, by name
	inboxToDelete   map[string]bool  // inbox keys to delete with the next commit
	droppedJobs     map[string]bool  // jobs whose rows are to be deleted
	borrowed        map[string]*job  // newest loan of each borrowed task, by task name
	deletedJobs     map[string]deletion
	paused          bool          // no new runs and jobs: the shard is being handed over
	suspended       bool          // no commits: the successor has been told the last one
	committing      bool          // a batch has been built and is not known to be durable
	movesInFlight   int           // jobs on their way to another shard
	lookupsInFlight int           // moved jobs that other shards are being asked about
	nextPlanAt      time.Duration // when the next plan is due, 0 for none

	generation           int64 // counts the times at which earlier commands to a worker had to be fenced
	heartbeat            heartbeatRow
	heartbeatVersion     int64
	inheritedLeaseMillis int64           // length of the earlier owner's leases, 0 if unknown
	publishedExpiries    map[string]bool // workers whose lease expiry may be stored in the heartbeat row
	storeClock           fleet.Clock     // the store's clock at storeClockAt
	storeClockAt         time.Duration
	lastCommit           time.Duration
	lastCommitBuiltAt    time.Duration // when the last durable commit was built
	commitsFailingSince  time.Duration // since when commits fail, 0 if they succeed
	storeLatency         storeLatency
	commitStartedAt      time.Duration // since when a commit is in flight, 0 for none
	isolatedBatch        int           // jobs in a batch after the store has rejected a larger one as malformed, 0 for the usual number
	estimatesHeldUntil   time.Duration // the interference estimates are not stored before then, as the store has rejected them
	wake                 chan struct{} // wakes the commit loop
	hostCtx              context.Context
	hostWG               sync.WaitGroup
	loaded               chan struct{} // closed once the stored rows are loaded
	loadedAt             time.Duration // when loaded was closed
	loadTook             time.Duration // how long the rows took to load
	loadedByHandoff      bool          // they were prefetched and completed by a handoff
	colocation           *colocation.Model
	durationModel        durationModel
	meanWork             meanWork
	sizeWeight           time.Duration      // the constant of that name; tests of the order of jobs change it
	shares               *queueorder.Shares // of jobs in time, by queue and size
	estimatesStoredAt    time.Duration      // when the interference estimates were last stored
	loadLoggedAt         time.Duration      // when the load was last logged
	lookahead            lookahead
	explainLimit         *rate.Limiter
	adviceCalls          int // calls to the adviser in flight
	cancel               context.CancelCauseFunc
	cachedLoad           Load // computed at cachedLoadAt, without the backfill capacity
	cachedLoadAt         time.Duration
	backfillCapacity     []ImageCapacity // computed at backfillCapacityAt
	backfillCapacityAt   time.Duration
	registryAt           time.Duration             // the hosts agree with the registry as of then
	unreadable           map[string]bool           // jobs with a row that is not readable
	presumedCrashes      map[string]*presumedCrash // by worker id
	throughput           throughput                // measured for admission
	admission            admission
	cycleDone            chan struct{} // closed and replaced after each cycle of the commit loop
	zones                zoneView
}

// New returns a shard that is not running yet.
func New(cfg Settings) *Shard {
	if cfg.StoreLink == nil {
		cfg.StoreLink = NewStoreLink(0)
	}
	s := &Shard{
		cfg: cfg, jobs: map[string]*job{}, hosts: map[string]*host{}, bound: map[string]*task{},
		inboxToDelete: map[string]bool{}, publishedExpiries: map[string]bool{}, droppedJobs: map[string]bool{}, deletedJobs: map[string]deletion{}, borrowed: map[string]*job{},
		wake: make(chan struct{}, 1), loaded: make(chan struct{}), cycleDone: make(chan struct{}),
		colocation: colocation.NewModel(), durationModel: newDurationModel(), meanWork: meanWork{}, sizeWeight: sizeWeight,
		presumedCrashes: map[string]*presumedCrash{}, unreadable: map[string]bool{}, zones: zoneView{bound: cfg.Zones.Bound}, shares: queueorder.NewShares(),
		explainLimit: newExplainLimit(), lookahead: lookahead{reservations: map[string]*reservation{}}, admission: newAdmission(),
	}
	if cfg.Features.Admission {
		s.enableAdmission()
	}
	return s
}

// Name returns the name of the shard, which is also the part of its rows.
func (s *Shard) Name() string { return s.cfg.Name }

// Epoch returns the owner's epoch.
func (s *Shard) Epoch() int64 { return s.cfg.Epoch }

// now reads the steady clock.
func (s *Shard) now() time.Duration { return s.cfg.SteadyClock() }

// storeNow estimates the store's clock. The caller holds the lock.
func (s *Shard) storeNow() fleet.Clock { return s.storeClock.Add(s.now() - s.storeClockAt) }

// setStoreClockLocked records a reading of the store's clock. The caller holds the lock.
func (s *Shard) setStoreClockLocked(c fleet.Clock) {
	if c > 0 {
		s.storeClock, s.storeClockAt = c, s.now()
	}
}

// wakeCommitLoop makes the commit loop plan and commit soon.
func (s *Shard) wakeCommitLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run loads the state of the shard and operates it until ctx ends or another instance takes
// it over.
func (s *Shard) Run(ctx context.Context) error {
	ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	began := s.now()
	if err := s.loadState(ctx); err != nil {
		return err
	}
	s.loadTook = s.now() - began
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).
		WithField("jobs", len(s.jobs)).WithField("took", s.loadTook.String()).
		WithField("handed", s.loadedByHandoff).Info("shard loaded")
	s.loadedAt = s.now()
	close(s.loaded)
	g, ctx := errgroup.WithContext(ctx)
	s.hostCtx = ctx
	g.Go(func() error { return s.watchRegistry(ctx) })
	g.Go(func() error { return s.watchInbox(ctx) })
	if s.zones.bound > 0 {
		g.Go(func() error { return s.watchZones(ctx) })
	}
	g.Go(func() error { return s.commitLoop(ctx) })
	g.Go(func() error { return s.tick(ctx) })
	if s.cfg.OtherShards != nil {
		g.Go(func() error { return s.pullEstimates(ctx) })
	}
	err := g.Wait()
	s.hostWG.Wait()
	s.failWaiters()
	s.cfg.JobMemory.forget(s)
	s.cfg.Metrics.LongRunningWaiting(s.cfg.Name, 0, 0) // the next owner reports them
	if cause := context.Cause(ctx); errors.Is(cause, ErrOwnershipLost) {
		err = cause
	}
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).
		WithField("cause", obs.ErrorText(err)).Info("shard ended")
	return err
}

// loseOwnership stops the shard because another instance owns it.
func (s *Shard) loseOwnership(reason string) {
	logger.WithField("shard", s.cfg.Name).WithField("epoch", s.cfg.Epoch).WithField("how", reason).Warn("shard ownership lost")
	s.cancel(ErrOwnershipLost)
}

// failWaiters reports to the waiting callers of a stopped shard that the outcome is
// unknown.
func (s *Shard) failWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		j.reject(result.Errorf(result.OutcomeUnknown, "the shard stopped before the commit was confirmed"))
	}
}

// isUnreadable reports whether a stored row of a job is not readable.
func (s *Shard) isUnreadable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadable[id]
}

// Loaded reports whether the stored rows are loaded.
func (s *Shard) Loaded() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

// LoadedByHandoff reports whether a loaded shard was loaded without reading the progress rows after the
// claim.
func (s *Shard) LoadedByHandoff() bool { return s.loadedByHandoff }

// LoadTime returns since when the stored rows are loaded, and how long that took; 0 before.
func (s *Shard) LoadTime() (since, took time.Duration) {
	if !s.Loaded() {
		return 0, 0
	}
	return s.now() - s.loadedAt, s.loadTook
}

// awaitLoaded waits until the stored rows are loaded.
func (s *Shard) awaitLoaded(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.NotOwner, "the shard is not loaded yet")
	}
}

// State returns a job's durable state, and the shard that it has moved to, if any. It
// returns the result code JobUnknown for an unknown job.
func (s *Shard) State(ctx context.Context, id string) (workload.State, *workload.Moved, error) {
	if err := s.awaitLoaded(ctx); err != nil {
		return "", nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadable[id] {
		return "", nil, errUnreadable(id)
	}
	j, ok := s.jobs[id]
	if !ok || !j.stored || j.durableState == workload.Withdrawn {
		return "", nil, errUnknown(id)
	}
	return j.durableState, j.movedTo(), nil
}

// movedTo returns the shard that j has moved to, or nil while this shard is responsible for
// it.
func (j *job) movedTo() *workload.Moved {
	if j.record.Moved != nil && j.record.Moved.Confirmed {
		return j.record.Moved
	}
	return nil
}

// Cancel returns nil once the job's cancellation is durable, and the code JobUnknown once it is durable
// that the shard does not have the job and never runs it. For a job that has moved, it returns the new
// shard, which the caller has to ask.
func (s *Shard) Cancel(ctx context.Context, id string) (*workload.Moved, error) {
	if err := s.awaitLoaded(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	j, ok := s.jobs[id]
	switch {
	case s.unreadable[id]:
		s.mu.Unlock()
		return nil, errUnreadable(id)
	case !ok:
		return nil, s.withdraw(ctx, id)
	case j.record.State == workload.Withdrawn:
		return nil, s.awaitWithdrawn(ctx, j)
	case j.record.Moved != nil:
		defer s.mu.Unlock()
		if m := j.movedTo(); m != nil {
			return m, nil
		}
		return nil, result.Errorf(result.JobWaiting, "the job is moving to another shard")
	case j.stored && j.durableState.Final():
		s.mu.Unlock()
		return nil, nil
	}
	s.cancelJob(j)
	return nil, s.await(ctx, j, cancellation)
}

// cancelJob cancels j unless it has ended. The caller holds the lock.
func (s *Shard) cancelJob(j *job) {
	if j.record.State.Final() {
		return
	}
	s.finishJob(j, workload.Cancelled)
}

// finishJob sets the final state of j and has its runs stopped.
func (s *Shard) finishJob(j *job, state workload.State) {
	j.record.State, j.record.EndMillis, j.dirty = state, int64(s.storeNow()), true
	j.advice = nil
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Placed {
				t.stopWanted = true
			}
		}
	}
	s.recordForecastError(j, state, s.now())
	logger.WithField("job", j.spec.ID).WithField("shard", s.cfg.Name).WithField("state", string(state)).Info("job ended")
	s.recordJobEnd(j, state)
}

// Pending returns, for each queue, the number of accepted jobs without a schedule of which
// no run has been seen. It returns false until the shard is loaded.
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
		if j.active() && !j.hasRun && !j.spec.Timed() && j.loan == nil {
			out[j.spec.Queue]++
		}
	}
	return out, true
}

// Healthy reports whether recent commits have succeeded.
func (s *Shard) Healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeUnavailable(s.now())
}

// tickInterval is how often leases, stops and the progress of runs are checked.
const tickInterval = 100 * time.Millisecond

// tick runs the periodic checks until ctx ends.
func (s *Shard) tick(ctx context.Context) error {
	for pause.For(ctx, tickInterval) {
		s.mu.Lock()
		now := s.now()
		replan := s.checkHosts(now)
		replan = s.returnWaitingLoans(now) || replan
		s.sampleThroughput(now)
		s.logLoad(now)
		s.mu.Unlock()
		moved, lent := s.moveWaitingJobs(now), s.lendWaitingTasks(now)
		if moved || lent || replan {
			s.wakeCommitLoop()
		}
	}
	return context.Cause(ctx)
}
