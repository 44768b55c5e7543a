package shard

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"skylarkport/internal/contract"
	"skylarkport/internal/feed"
	"skylarkport/internal/job"
	"skylarkport/internal/journal"
	"skylarkport/internal/lease"
	"skylarkport/internal/result"
)

// Owner owns one shard from Open until Run returns.
type Owner struct {
	cfg    Config
	ext    Platform
	policy Policy
	log    *journal.Log
	logger log.Interface
	start  time.Time
	kicked chan struct{} // the inbox has news
	bundle uint64        // 1 + version of the bundle in force, 0 for none; only cycle uses it

	unread unread

	mu       sync.Mutex
	st       *State // with everything that was decided
	durable  *State // with what the journal holds
	queue    []proposal
	queued   chan struct{}
	decided  uint64        // number of the newest proposal
	stored   uint64        // number of the newest durable proposal
	cycled   uint64        // newest proposal at the newest cycle
	cycledAt time.Duration // of the newest cycle; 0 for none
	rows     uint64        // durable since the newest snapshot
	saving   bool          // a snapshot is being stored
	promise  lease.Promise
	renewal  bool // a promise record is on its way
	workers  map[string]*worker
	runs     map[job.RunID]*track
	tasks    map[job.TaskID]*wait
	taken    map[string]bool // inbox rows that were consumed; true once that is durable
	events   ring
	// accounts holds the tenants with a quota; quotas is 1 + the version of
	// the bundle that it comes from, 0 for none.
	accounts map[string]*account
	quotas   uint64
	routes   feed.Version
	fence    time.Duration // until when an earlier owner's grants may be in force
	err      error
	wake     chan struct{} // closed when err is set
}

// track is what the owner knows of a run besides its state.
type track struct {
	proposal uint64        // that the next order rests on
	sent     bool          // a start was sent in this epoch
	bound    time.Duration // until when a start that was sent may arrive
	seen     bool          // the worker reported it
	started  time.Duration
	save     bool // a checkpoint is wanted
	progress int64
	report   contract.RunReport
}

// wait is what the owner knows of a waiting task besides its state.
type wait struct {
	notBefore time.Duration
	reason    string
	aside     bool
}

// Open takes the shard over and rebuilds its state. Errors are those of
// journal.Open.
func Open(ctx context.Context, cfg Config, ext Platform, policy Policy, logger log.Interface) (*Owner, error) {
	if cfg.Concurrency == 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.SnapshotRows == 0 {
		cfg.SnapshotRows = DefaultSnapshotRows
	}
	start := time.Now()
	l, replay, err := journal.Open(ctx, ext.Tables, ext.Objects, cfg.Shard, cfg.Owner, journal.Options{Window: cfg.Commit})
	if err != nil {
		return nil, err
	}
	o := &Owner{
		cfg: cfg, ext: ext, policy: policy, log: l, logger: logger, start: start,
		kicked: make(chan struct{}, 1), queued: make(chan struct{}, 1), wake: make(chan struct{}),
		workers: map[string]*worker{}, runs: map[job.RunID]*track{},
		tasks: map[job.TaskID]*wait{}, taken: map[string]bool{},
	}
	if err := o.rebuild(replay); err != nil {
		l.Close()
		return nil, err
	}
	return o, nil
}

// rebuild replays the journal into both states.
func (o *Owner) rebuild(replay *journal.Replay) (err error) {
	if o.st, err = DecodeState(replay.Snapshot); err != nil {
		return err
	}
	if o.durable, err = DecodeState(replay.Snapshot); err != nil {
		return err
	}
	for _, b := range replay.Records {
		for _, s := range []*State{o.st, o.durable} {
			r, err := decodeRecord(b)
			if err != nil {
				return err
			}
			if err := s.Apply(r); err != nil {
				return err
			}
		}
	}
	o.rows = uint64(len(replay.Records))
	o.routes.Epoch = o.log.Epoch()
	o.fence = lease.Spent(replay.Read.Sub(o.start), o.st.Promise.D())
	o.adopt()
	return nil
}

// adopt prepares for the runs that an earlier owner placed.
func (o *Owner) adopt() {
	now := o.now()
	for _, runs := range o.st.workers {
		for id, r := range runs {
			o.runs[id] = &track{started: now}
			o.workerOf(r.Worker).fence = o.fence
		}
	}
	for id, t := range o.st.waiting {
		o.tasks[id] = &wait{notBefore: now + backoff(t.Failures)}
	}
}

// Name returns the shard's name.
func (o *Owner) Name() string { return o.cfg.Shard }

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() uint64 { return o.log.Epoch() }

func (o *Owner) now() time.Duration { return time.Since(o.start) }

// Run works until ctx ends or the shard is lost, and returns why. The journal is
// released when ctx ends, so that another scheduler takes over at once.
func (o *Owner) Run(ctx context.Context) error {
	run, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { o.watch(run); return nil })
	g.Go(func() error { o.exchanges(run); return nil })
	g.Go(func() error { o.every(run, o.cfg.Cycle, o.cycle); return nil })
	g.Go(func() error { o.every(run, o.cfg.Exchange, o.tick); return nil })
	g.Go(func() error { o.inbox(run); return nil })
	select {
	case <-ctx.Done():
	case <-o.wake:
	case <-o.log.Deposed():
		o.fail(result.Errorf(result.Deposed, "shard %s", o.cfg.Shard))
	}
	stop()
	err := o.end(context.WithoutCancel(ctx))
	_ = g.Wait()
	return err
}

// end closes the journal. Decisions still in the queue are dropped; none of
// them was acted upon.
func (o *Owner) end(ctx context.Context) error {
	o.mu.Lock()
	err := o.err
	o.mu.Unlock()
	if err != nil {
		o.log.Close()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Grant)
	defer cancel()
	return o.log.Release(ctx)
}

// fail ends Run with err.
func (o *Owner) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failLocked(err)
}

func (o *Owner) failLocked(err error) {
	if o.err != nil {
		return
	}
	o.err = err
	close(o.wake)
}

func (o *Owner) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Kick makes the owner read its inbox at once.
func (o *Owner) Kick() { signal(o.kicked) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// backoff is the wait before a task that failed n times runs again.
func backoff(n int) time.Duration {
	if n == 0 {
		return 0
	}
	return min(backoffMax, backoffMin<<min(n-1, 20))
}
