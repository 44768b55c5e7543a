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

// exchanges keeps one loop per worker.
func (o *Owner) exchanges(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, o.cfg.Concurrency)
	o.every(ctx, o.cfg.Exchange, func(ctx context.Context) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.syncFleet()
		for id, w := range o.workers {
			if w.working || w.inst.Address == "" {
				continue
			}
			w.working = true
			wg.Go(func() { o.converse(ctx, id, slots) })
		}
	})
}

// converse exchanges with one worker until it is gone.
func (o *Owner) converse(ctx context.Context, id string, slots chan struct{}) {
	next := time.Duration(0)
	spread := rand.New(rand.NewPCG(xxhash.Sum64String(o.cfg.Owner), xxhash.Sum64String(id)))
	for {
		o.mu.Lock()
		w := o.workers[id]
		o.mu.Unlock()
		if w == nil || !pause(ctx, next, w.kick) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		soon := o.exchange(ctx, id)
		<-slots
		next = jitter(spread, o.cfg.Exchange)
		if soon {
			next = 0
		}
	}
}

func pause(ctx context.Context, d time.Duration, kick <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-kick:
	}
	return ctx.Err() == nil
}

// exchange sends one message. It reports whether another should follow at once.
func (o *Owner) exchange(ctx context.Context, id string) bool {
	o.mu.Lock()
	w := o.workers[id]
	if w == nil || o.err != nil {
		o.mu.Unlock()
		return false
	}
	req := o.request(w)
	addr, lapsed, stamp := w.inst.Address, w.lapsed(o.now()), w.stamp
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, o.cfg.Grant/2)
	defer cancel()
	reply, err := o.ext.Workers.Exchange(ctx, addr, req)

	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil || o.workers[id] != w {
		return false
	}
	if err != nil {
		w.silent = w.silent || lapsed
		if req.Stamp != 0 && contract.OutcomeOf(err) == contract.Unknown {
			w.sent(req.Stamp, lease.Bound(stamp, req.Grant.D()))
		}
		return o.refused(w, err)
	}
	w.silent = false
	first := w.stamp.Worker == 0
	o.accept(w, &req, &reply)
	return first && o.promise.Until > o.now()
}

// request builds the next message: the grant, and every order that rests on a
// durable decision. The bound of the worker is raised before it is sent.
func (o *Owner) request(w *worker) contract.ExchangeRequest {
	req := contract.ExchangeRequest{
		Worker: w.inst.ID, Shard: o.cfg.Shard, Owner: o.cfg.Owner, Epoch: o.log.Epoch(),
	}
	if w.incarnation == "" || w.stamp.Worker == 0 {
		return req
	}
	grant := o.promise.Choose(w.stamp, o.cfg.Grant, o.outage())
	if grant <= 0 || o.now() >= lease.Bound(w.stamp, grant) {
		return req
	}
	req.Incarnation, req.Stamp, req.Grant = w.incarnation, w.stamp.Worker, jobDuration(grant)
	bound := lease.Bound(w.stamp, grant)
	w.bound = max(w.bound, bound)
	for id, r := range o.st.workers[w.inst.ID] {
		t := o.runs[id]
		if r.Incarnation == w.incarnation && t.proposal <= o.stored {
			o.order(&req, r, t, bound)
		}
	}
	req.Forget = o.forgettable(w)
	return req
}

// outage reports whether the tables have been away for long enough to grant up
// to the promise. A short failure does not count: after it, the work of a worker
// that died meanwhile would have to wait for the long grant.
func (o *Owner) outage() bool {
	a := o.away()
	return a != nil && time.Since(a.Since) >= o.cfg.Grant/2
}

// order adds what the worker is to do with one run.
func (o *Owner) order(req *contract.ExchangeRequest, r *Run, t *track, bound time.Duration) {
	switch {
	case r.Stop != "":
		req.Stop = append(req.Stop, contract.StopOrder{Run: r.ID, Checkpoint: r.Save})
	case !t.seen:
		t.sent = true
		t.bound = max(t.bound, bound)
		req.Start = append(req.Start, startOrder(r))
	default:
		if t.report.Commit != r.Commit {
			req.Limit = append(req.Limit, contract.LimitOrder{Run: r.ID, Commit: r.Commit})
		}
		if t.save {
			req.Checkpoint = append(req.Checkpoint, r.ID)
		}
	}
}

// forgettable returns the ended runs that the worker reported and that it may
// forget: the end is durable and no start of it can still arrive. The worker's
// memory of the run is what makes a late start do nothing.
func (o *Owner) forgettable(w *worker) []job.RunID {
	var out []job.RunID
	for id := range w.ended {
		if o.durable.Run(id) == nil && o.now() > w.late[id] {
			out = append(out, id)
		}
	}
	return out
}

func startOrder(r *Run) contract.StartOrder {
	spec := r.task.job.Spec
	s := contract.StartOrder{
		Run: r.ID, Kind: spec.Kind, Tenant: spec.Tenant, Family: spec.FamilyName(),
		Image: spec.Image, RunTime: spec.RunTime, Commit: r.Commit, Resume: r.Resume,
	}
	if spec.Kind == job.Service {
		s.Service = spec.ID
	}
	return s
}

// refused takes a failed exchange in. It reports whether to ask again at once.
func (o *Owner) refused(w *worker, err error) bool {
	switch result.Of(err) {
	case result.WorkerIncarnation, result.WorkerStamp:
		again := w.stamp.Worker != 0
		w.stamp = lease.Stamp{}
		return again
	case result.WorkerEpoch:
		o.logger.WithField("worker", w.inst.ID).Warn("the worker follows a newer owner")
	}
	return false
}
