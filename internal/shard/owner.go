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
	cfg           Config
	platform      Platform
	policy        Policy
	log           *journal.Log
	logger        log.Interface
	startTime     time.Time
	wakeInbox     chan struct{} // wakes the inbox reader
	bundleVersion uint64        // 1 + version of the bundle in force, 0 for none; only cycle uses it

	inboxOutage inboxOutage

	mu                sync.Mutex
	decidedState      *State // includes records that are not durable yet
	durableState      *State // only records that the journal holds
	queue             []proposal
	queueChanged      chan struct{}
	lastProposal      uint64        // number of the newest proposal
	lastDurable       uint64        // number of the newest durable proposal
	lastCycleProposal uint64        // value of lastProposal at the newest cycle
	lastCycle         time.Duration // time of the newest cycle; 0 for none
	sinceSnapshot     uint64        // proposals (replayed: records) since the newest snapshot
	snapshotting      bool          // a snapshot is being stored
	leaseBound        lease.Bound
	renewingBound     bool // a new bound is not durable yet
	workers           map[string]*worker
	runs              map[job.RunID]*runInfo
	waits             map[job.TaskID]*waitInfo
	consumedRows      map[string]bool // proposed inbox rows; true once their deletion is durable
	events            eventRing
	// accounts holds the organisations with a quota. quotaVersion is 1 + the
	// version of the bundle that the quotas come from, 0 for none.
	accounts      map[string]*account
	quotaVersion  uint64
	routesVersion feed.Version
	priorExpiry   time.Duration // until when a lease of an earlier owner may be in force
	err           error
	failed        chan struct{} // closed when err is set
}

// runInfo holds what the owner knows about a run and does not record.
type runInfo struct {
	proposal       uint64        // must be durable before the next command is sent
	startSent      bool          // this owner sent a start
	startDeadline  time.Duration // until when a start that was sent may take effect
	reported       bool          // the worker reported the run to this owner
	started        time.Duration
	wantCheckpoint bool // ask the worker for a checkpoint
	progress       int64
	report         contract.RunReport
}

// waitInfo holds what the owner knows about a waiting task and does not record.
type waitInfo struct {
	notBefore time.Duration
	reason    string
	setAside  bool
}

// Open takes over the shard and rebuilds its state from the journal. It returns
// the errors of journal.Open and of records that cannot be replayed.
func Open(ctx context.Context, cfg Config, platform Platform, policy Policy, logger log.Interface) (*Owner, error) {
	if cfg.Concurrency == 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.SnapshotRows == 0 {
		cfg.SnapshotRows = DefaultSnapshotRows
	}
	startTime := time.Now()
	l, replay, err := journal.Open(ctx, platform.Tables, platform.Objects, cfg.Shard, cfg.Owner, journal.Options{Window: cfg.CommitWindow})
	if err != nil {
		return nil, err
	}
	o := &Owner{
		cfg: cfg, platform: platform, policy: policy, log: l, logger: logger, startTime: startTime,
		wakeInbox: make(chan struct{}, 1), queueChanged: make(chan struct{}, 1), failed: make(chan struct{}),
		workers: map[string]*worker{}, runs: map[job.RunID]*runInfo{},
		waits: map[job.TaskID]*waitInfo{}, consumedRows: map[string]bool{},
	}
	if err := o.rebuild(replay); err != nil {
		l.Close()
		return nil, err
	}
	return o, nil
}

// rebuild replays the journal into the decided and the durable state and computes
// until when leases of earlier owners may be in force.
func (o *Owner) rebuild(replay *journal.Replay) (err error) {
	if o.decidedState, err = DecodeState(replay.Snapshot); err != nil {
		return err
	}
	if o.durableState, err = DecodeState(replay.Snapshot); err != nil {
		return err
	}
	for _, b := range replay.Records {
		for _, s := range []*State{o.decidedState, o.durableState} {
			r, err := decodeRecord(b)
			if err != nil {
				return err
			}
			if err := s.Apply(r); err != nil {
				return err
			}
		}
	}
	o.sinceSnapshot = uint64(len(replay.Records))
	o.routesVersion.Epoch = o.log.Epoch()
	o.priorExpiry = lease.SuccessorExpiry(replay.OwnedSince.Sub(o.startTime), o.decidedState.LeaseBound.D())
	o.adoptRuns()
	return nil
}

// adoptRuns tracks the runs that earlier owners placed. Their workers may hold
// leases of those owners until priorExpiry.
func (o *Owner) adoptRuns() {
	now := o.now()
	for _, runs := range o.decidedState.workers {
		for id, r := range runs {
			o.runs[id] = &runInfo{started: now}
			o.workerOf(r.Worker).priorExpiry = o.priorExpiry
		}
	}
	for id, t := range o.decidedState.waiting {
		o.waits[id] = &waitInfo{notBefore: now + backoff(t.Failures)}
	}
}

// Name returns the shard's name.
func (o *Owner) Name() string { return o.cfg.Shard }

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() uint64 { return o.log.Epoch() }

func (o *Owner) now() time.Duration { return time.Since(o.startTime) }

// Run operates the shard until ctx ends or the ownership is lost, and returns the
// reason. When ctx ends it releases the journal, so that another scheduler can take
// over at once.
func (o *Owner) Run(ctx context.Context) error {
	run, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	g.Go(func() error { o.watchProposals(run); return nil })
	g.Go(func() error { o.runExchanges(run); return nil })
	g.Go(func() error { o.runEvery(run, o.cfg.CycleInterval, o.cycle); return nil })
	g.Go(func() error { o.runEvery(run, o.cfg.ExchangeInterval, o.renewAndExpire); return nil })
	g.Go(func() error { o.runInbox(run); return nil })
	select {
	case <-ctx.Done():
	case <-o.failed:
	case <-o.log.OwnershipLost():
		o.fail(result.Errorf(result.OwnershipLost, "shard %s", o.cfg.Shard))
	}
	stop()
	err := o.closeJournal(context.WithoutCancel(ctx))
	_ = g.Wait()
	return err
}

// closeJournal releases the journal, or closes it after a failure. Proposals that
// are still queued are dropped; nothing was sent to workers for them.
func (o *Owner) closeJournal(ctx context.Context) error {
	o.mu.Lock()
	err := o.err
	o.mu.Unlock()
	if err != nil {
		o.log.Close()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.LeaseDuration)
	defer cancel()
	return o.log.Release(ctx)
}

// fail makes Run return err.
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
	close(o.failed)
}

func (o *Owner) runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
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

// WakeInbox makes the owner read its inbox now instead of at the next poll.
func (o *Owner) WakeInbox() { signal(o.wakeInbox) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// backoff returns the delay before a task that failed n times runs again.
func backoff(n int) time.Duration {
	if n == 0 {
		return 0
	}
	return min(backoffMax, backoffMin<<min(n-1, 20))
}
