package standin

import (
	"slices"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Reasons of runs that ended, as reported to the owner.
const (
	reasonFull   = "worker-full"
	reasonLapsed = "lease-lapsed"
	reasonStop   = "stopped"
	reasonFault  = "failed"
)

// exchange applies req whole or refuses it without effect. Orders are applied
// in the order stops, checkpoints, limits that shrink, limits that grow, starts,
// forgets.
func (w *worker) exchange(req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead { // since the message was let in
		return contract.ExchangeReply{}, refused(result.WorkerAway, w.inst.ID+" is dead")
	}
	arrived := w.clock()
	w.settleLocked()
	w.sys.hist.count(func(t *history.Totals) { t.Exchanges++ })
	if err := w.acceptLocked(req, arrived); err != nil {
		w.sys.hist.count(func(t *history.Totals) { t.ExchangesRefused++ })
		return contract.ExchangeReply{}, err
	}
	w.epoch = max(w.epoch, req.Epoch)
	if req.Stamp != 0 {
		w.grantLocked(req)
		w.ordersLocked(req)
	}
	w.sampleLocked()
	reply := w.replyLocked(arrived)
	w.forgetLocked(req.Forget)
	w.armLocked()
	return reply, nil
}

func (w *worker) acceptLocked(req contract.ExchangeRequest, now time.Duration) error {
	orders := len(req.Start) + len(req.Stop) + len(req.Limit) + len(req.Checkpoint) + len(req.Forget)
	switch {
	case req.Worker != w.inst.ID:
		return refused(result.WorkerAway, "this is "+w.inst.ID)
	case req.Epoch < w.epoch:
		return refused(result.WorkerEpoch, "a higher epoch was seen")
	case (req.Stamp != 0 || req.Incarnation != "") && req.Incarnation != w.incarnation:
		return refused(result.WorkerIncarnation, "this is "+w.incarnation)
	case req.Stamp == 0 && (orders > 0 || req.Grant != 0):
		return refused(result.WorkerStamp, "orders and grants need a stamp")
	case req.Stamp == 0:
		return nil
	case req.Stamp < int64(clockBase) || time.Duration(req.Stamp) > now:
		return refused(result.WorkerStamp, "the stamp is not from this clock")
	case time.Duration(req.Stamp)+req.Grant.D() <= now:
		return refused(result.WorkerStamp, "the grant has passed")
	}
	return nil
}

// grantLocked replaces the grant in force by one from a stamp that is as new.
func (w *worker) grantLocked(req contract.ExchangeRequest) {
	if req.Stamp < w.granted {
		return
	}
	w.granted = req.Stamp
	w.expiry = time.Duration(req.Stamp) + req.Grant.D()
}

func (w *worker) ordersLocked(req contract.ExchangeRequest) {
	for _, o := range req.Stop {
		w.stopLocked(o)
	}
	for _, id := range req.Checkpoint {
		if r := w.runs[id]; r != nil && !r.state.Final() {
			r.checkpoint = int64(r.progress)
		}
	}
	for _, grow := range []bool{false, true} {
		for _, o := range req.Limit {
			w.limitLocked(o, grow)
		}
	}
	for _, o := range req.Start {
		w.startLocked(o)
	}
}

func (w *worker) stopLocked(o contract.StopCommand) {
	r := w.runs[o.Run]
	if r == nil {
		if o.Run.Attempt > w.seen[o.Run.Task] {
			w.keepLocked(&taskRun{id: o.Run, state: contract.Stopped, reason: reasonStop, done: closed()})
		}
		return
	}
	if r.state.Final() || r.stopping {
		return
	}
	if o.Checkpoint {
		r.checkpoint = int64(r.progress)
	}
	if r.inFlight == 0 {
		w.endLocked(r, contract.Stopped, reasonStop, history.RunStopped, w.settled)
		return
	}
	r.stopping = true
	r.stopBy = w.settled + w.sys.cfg.StopDrain.D()
}

// limitLocked changes a commitment. One that does not fit is left as it was.
func (w *worker) limitLocked(o contract.LimitCommand, grow bool) {
	r := w.runs[o.Run]
	if r == nil || r.state.Final() || !o.Commit.Valid() || o.Commit.Fits(r.commit) == grow {
		return
	}
	after := w.committedLocked().Sub(r.commit).Add(o.Commit)
	if grow && !after.Fits(w.inst.Capacity) {
		return
	}
	r.commit = o.Commit
	w.markCommittedLocked()
}

func (w *worker) startLocked(o contract.StartCommand) {
	if w.runs[o.Run] != nil || o.Run.Attempt <= w.seen[o.Run.Task] {
		return
	}
	r := newTaskRun(o, w.settled, w.sys.family(o.Family))
	w.keepLocked(r)
	if !o.Commit.Valid() || !w.committedLocked().Fits(w.inst.Capacity) {
		r.state, r.reason = contract.Failed, reasonFull
		close(r.done)
		w.recordLocked(r, history.RunRefused, w.settled)
		return
	}
	if _, hit := w.hit(FailAll); hit || o.Image == imageFail {
		r.failAt = w.settled + failAfter
	}
	w.recordLocked(r, history.RunStarted, w.settled)
	w.markCommittedLocked()
}

func (w *worker) keepLocked(r *taskRun) {
	w.runs[r.id] = r
	w.order = append(w.order, r.id)
}

// forgetLocked drops ended runs. Their attempt stays known, so that a repeated
// start does nothing.
func (w *worker) forgetLocked(ids []job.RunID) {
	for _, id := range ids {
		r := w.runs[id]
		if r == nil || !r.state.Final() {
			continue
		}
		w.seen[id.Task] = max(w.seen[id.Task], id.Attempt)
		delete(w.runs, id)
		w.order = slices.DeleteFunc(w.order, func(o job.RunID) bool { return o == id })
	}
}

func (w *worker) replyLocked(arrived time.Duration) contract.ExchangeReply {
	leaving := w.leavingLocked()
	reply := contract.ExchangeReply{
		Worker:      w.inst.ID,
		Incarnation: w.incarnation,
		Stamp:       int64(arrived),
		LeaseEnd:    int64(max(w.expiry, arrived)),
		Capacity:    w.inst.Capacity,
		Leaving:     leaving,
		Runs:        []contract.RunReport{},
	}
	for _, id := range w.order {
		r := w.runs[id]
		report := r.report(w)
		report.Leaving = leaving || r.stopping
		reply.Runs = append(reply.Runs, report)
	}
	return reply
}

// leavingLocked reports whether the worker leaves, and notes when it first
// said so.
func (w *worker) leavingLocked() bool {
	_, hit := w.hit(Leave)
	if !hit && !w.leaving {
		w.leftAt = time.Time{}
		return false
	}
	if w.leftAt.IsZero() {
		w.leftAt = time.Now()
	}
	return true
}
