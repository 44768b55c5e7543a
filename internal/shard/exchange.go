package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/lease"
	"skylarkport/internal/result"
)

// runExchanges runs one exchange loop for each worker with an address. At most
// Config.Concurrency exchanges are in progress at once.
func (o *Owner) runExchanges(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, o.cfg.Concurrency)
	o.runEvery(ctx, o.cfg.ExchangeInterval, func(ctx context.Context) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.syncWorkers()
		for id, w := range o.workers {
			if w.loopRunning || w.inst.Address == "" {
				continue
			}
			w.loopRunning = true
			wg.Go(func() { o.runWorkerLoop(ctx, id, slots) })
		}
	})
}

// runWorkerLoop exchanges messages with one worker until syncWorkers removes it from
// o.workers or ctx ends. The interval is jittered by a random sequence that depends only
// on owner and worker.
func (o *Owner) runWorkerLoop(ctx context.Context, id string, slots chan struct{}) {
	next := time.Duration(0)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(o.cfg.Owner), xxhash.Sum64String(id)))
	for {
		o.mu.Lock()
		w := o.workers[id]
		o.mu.Unlock()
		if w == nil || !sleepUntilWoken(ctx, next, w.wake) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		immediate := o.exchange(ctx, id)
		<-slots
		next = jitter(random, o.cfg.ExchangeInterval)
		if immediate {
			next = 0
		}
	}
}

// sleepUntilWoken waits for d or until wake receives, and reports whether ctx is still
// active.
func sleepUntilWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return ctx.Err() == nil
}

// exchange sends one message to the worker and processes the reply. It reports
// whether the next exchange should follow at once.
func (o *Owner) exchange(ctx context.Context, id string) bool {
	o.mu.Lock()
	w := o.workers[id]
	if w == nil || o.err != nil {
		o.mu.Unlock()
		return false
	}
	req := o.buildRequest(w)
	addr, expired, stamp := w.inst.Address, w.expired(o.now()), w.stamp
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, o.cfg.LeaseDuration/2)
	defer cancel()
	reply, err := o.platform.Workers.Exchange(ctx, addr, req)

	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil || o.workers[id] != w {
		return false
	}
	if err != nil {
		w.probeFailed = w.probeFailed || expired
		if req.Stamp != 0 && contract.OutcomeOf(err) == contract.Unknown {
			w.recordUnanswered(req.Stamp, lease.LatestExpiry(stamp, req.Grant.D()))
		}
		return o.handleExchangeError(w, err)
	}
	w.probeFailed = false
	first := w.stamp.Worker == 0
	o.handleReply(w, &req, &reply)
	return first && o.leaseBound.Until > o.now()
}

// buildRequest builds the next message: a lease and the commands for all runs whose
// newest decision is durable. It raises w.leaseExpiry first, because the lease may
// take effect even if no reply arrives. Without a valid worker timestamp, which a
// lease counts from, the message only asks for the worker's state.
func (o *Owner) buildRequest(w *worker) contract.ExchangeRequest {
	req := contract.ExchangeRequest{
		Worker: w.inst.ID, Shard: o.cfg.Shard, Owner: o.cfg.Owner, Epoch: o.log.Epoch(),
	}
	if w.incarnation == "" || w.stamp.Worker == 0 {
		return req
	}
	duration := o.leaseBound.LeaseDuration(w.stamp, o.cfg.LeaseDuration, o.hasLongTableOutage())
	if duration <= 0 || o.now() >= lease.LatestExpiry(w.stamp, duration) {
		return req
	}
	req.Incarnation, req.Stamp, req.Grant = w.incarnation, w.stamp.Worker, jobDuration(duration)
	leaseExpiry := lease.LatestExpiry(w.stamp, duration)
	w.leaseExpiry = max(w.leaseExpiry, leaseExpiry)
	for id, r := range o.decidedState.workers[w.inst.ID] {
		info := o.runs[id]
		if r.Incarnation == w.incarnation && info.proposal <= o.lastDurable {
			o.addCommands(&req, r, info, leaseExpiry)
		}
	}
	req.Forget = o.forgettableRuns(w)
	return req
}

// hasLongTableOutage reports whether the tables have been unavailable long enough to
// grant leases up to the lease bound. A short failure does not count: the tasks of a
// worker that died in it would have to wait until the long lease expires.
func (o *Owner) hasLongTableOutage() bool {
	outage := o.tableOutage()
	return outage != nil && time.Since(outage.Since) >= o.cfg.LeaseDuration/2
}

// addCommands adds what the worker has to do for one run to req: a stop, a start, or a
// new limit and a checkpoint. A start may take effect until startDeadline, when the
// lease in the same message expires.
func (o *Owner) addCommands(req *contract.ExchangeRequest, r *Run, info *runInfo, startDeadline time.Duration) {
	switch {
	case r.Stop != "":
		req.Stop = append(req.Stop, contract.StopCommand{Run: r.ID, Checkpoint: r.CheckpointOnStop})
	case !info.reported:
		info.startSent = true
		info.startDeadline = max(info.startDeadline, startDeadline)
		req.Start = append(req.Start, startCommand(r))
	default:
		if info.report.Commit != r.Commit {
			req.Limit = append(req.Limit, contract.LimitCommand{Run: r.ID, Commit: r.Commit})
		}
		if info.wantCheckpoint {
			req.Checkpoint = append(req.Checkpoint, r.ID)
		}
	}
}

// forgettableRuns returns the ended runs that the worker still reports and may
// forget: the end is durable and no start command can still arrive. Until then
// the worker must remember the run, so that a late start has no effect.
func (o *Owner) forgettableRuns(w *worker) []job.RunID {
	var out []job.RunID
	for id := range w.endedRuns {
		if o.durableState.Run(id) == nil && o.now() > w.lateStarts[id] {
			out = append(out, id)
		}
	}
	return out
}

func startCommand(r *Run) contract.StartCommand {
	spec := r.task.job.Spec
	s := contract.StartCommand{
		Run: r.ID, Kind: spec.Kind, Organisation: spec.Organisation, Family: spec.FamilyName(),
		Image: spec.Image, RunTime: spec.RunTime, Commit: r.Commit, Resume: r.Resume,
	}
	if spec.Kind == job.Service {
		s.Service = spec.ID
	}
	return s
}

// handleExchangeError processes a failed exchange and reports whether to retry at
// once. If the worker rejects the incarnation or the timestamp of the request, the
// timestamp is discarded and the retry obtains a new one.
func (o *Owner) handleExchangeError(w *worker, err error) bool {
	switch result.Of(err) {
	case result.WorkerIncarnation, result.WorkerGrantExpired:
		retry := w.stamp.Worker != 0
		w.stamp = lease.Stamp{}
		return retry
	case result.WorkerEpoch:
		o.logger.WithField("worker", w.inst.ID).Warn("worker rejected the exchange: another instance owns the shard with a newer epoch")
	}
	return false
}
