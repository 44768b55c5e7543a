package standin

import (
	"slices"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Reasons for the end of a run, as reported to the shard that owns the worker.
const (
	reasonFull         = "worker-full"
	reasonLeaseExpired = "lease-lapsed"
	reasonStopped      = "stopped"
	reasonFailed       = "failed"
)

// exchange applies the commands of req, or refuses all of them without effect. A start or a
// larger limit that does not fit on the worker fails alone. Commands are applied in this
// order: stops, checkpoints, limits that shrink a commitment, limits that grow one,
// starts, forgets. Thus a start can use the capacity that a stop or a shrinking limit in
// the same exchange frees.
func (w *worker) exchange(req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead { // it may have died after call admitted the message
		return contract.ExchangeReply{}, refused(result.WorkerUnavailable, w.inst.ID+" is dead")
	}
	arrived := w.clock()
	w.advanceLocked()
	w.sys.events.updateTotals(func(t *history.Totals) { t.Exchanges++ })
	if err := w.checkRequestLocked(req, arrived); err != nil {
		w.sys.events.updateTotals(func(t *history.Totals) { t.ExchangesRefused++ })
		return contract.ExchangeReply{}, err
	}
	w.epoch = max(w.epoch, req.Epoch)
	if req.Stamp != 0 {
		w.applyGrantLocked(req)
		w.applyCommandsLocked(req)
	}
	w.sampleLocked()
	reply := w.replyLocked(arrived)
	w.forgetLocked(req.Forget)
	w.setTimerLocked()
	return reply, nil
}

// checkRequestLocked returns an error if req is for another worker or incarnation, if its
// epoch is lower than the highest seen, if its stamp is outside the range of the worker's
// clock, or if its lease grant has already expired. A request without a stamp must have
// neither commands nor a lease grant, and need not name an incarnation.
func (w *worker) checkRequestLocked(req contract.ExchangeRequest, now time.Duration) error {
	commands := len(req.Start) + len(req.Stop) + len(req.Limit) + len(req.Checkpoint) + len(req.Forget)
	switch {
	case req.Worker != w.inst.ID:
		return refused(result.WorkerUnavailable, "the request is not for worker "+w.inst.ID)
	case req.Epoch < w.epoch:
		return refused(result.WorkerEpoch, "the worker has seen a higher epoch")
	case (req.Stamp != 0 || req.Incarnation != "") && req.Incarnation != w.incarnation:
		return refused(result.WorkerIncarnation, "the current incarnation is "+w.incarnation)
	case req.Stamp == 0 && (commands > 0 || req.Grant != 0):
		return refused(result.WorkerGrantExpired, "commands and lease grants need a stamp")
	case req.Stamp == 0:
		return nil
	case req.Stamp < int64(clockBase) || time.Duration(req.Stamp) > now:
		return refused(result.WorkerGrantExpired, "the stamp is outside the range of the worker's clock")
	case time.Duration(req.Stamp)+req.Grant.D() <= now:
		return refused(result.WorkerGrantExpired, "the lease grant has already expired")
	}
	return nil
}

// applyGrantLocked replaces the lease grant, unless the new one counts from an older
// stamp: a delayed message must not replace a later grant.
func (w *worker) applyGrantLocked(req contract.ExchangeRequest) {
	if req.Stamp < w.grantStamp {
		return
	}
	w.grantStamp = req.Stamp
	w.leaseEnd = time.Duration(req.Stamp) + req.Grant.D()
}

// applyCommandsLocked applies the commands of req, except its forgets.
func (w *worker) applyCommandsLocked(req contract.ExchangeRequest) {
	for _, cmd := range req.Stop {
		w.stopLocked(cmd)
	}
	for _, id := range req.Checkpoint {
		if r := w.runs[id]; r != nil && !r.state.Final() {
			r.checkpoint = int64(r.progress)
		}
	}
	for _, grow := range []bool{false, true} {
		for _, cmd := range req.Limit {
			w.limitLocked(cmd, grow)
		}
	}
	for _, cmd := range req.Start {
		w.startLocked(cmd)
	}
}

// stopLocked stops a run once its requests in flight have ended, or after StopDrain at the
// latest. A run that is neither known nor forgotten is recorded as stopped, so that its
// start has no effect if it arrives later.
func (w *worker) stopLocked(cmd contract.StopCommand) {
	r := w.runs[cmd.Run]
	if r == nil {
		if cmd.Run.Attempt > w.highestForgotten[cmd.Run.Task] {
			w.addRunLocked(&taskRun{id: cmd.Run, state: contract.Stopped, reason: reasonStopped, done: closedChannel()})
		}
		return
	}
	if r.state.Final() || r.stopping {
		return
	}
	if cmd.Checkpoint {
		r.checkpoint = int64(r.progress)
	}
	if r.inFlight == 0 {
		w.endLocked(r, contract.Stopped, reasonStopped, history.RunStopped, w.advancedTo)
		return
	}
	r.stopping = true
	r.stopBy = w.advancedTo + w.sys.cfg.StopDrain.D()
}

// limitLocked changes the commitment of a run. With grow it applies only commitments that
// exceed the old one in some dimension, and without grow only the others. If a larger
// commitment doesn't fit on the worker, the run keeps the old one.
func (w *worker) limitLocked(cmd contract.LimitCommand, grow bool) {
	r := w.runs[cmd.Run]
	if r == nil || r.state.Final() || !cmd.Commit.Valid() || cmd.Commit.Fits(r.commit) == grow {
		return
	}
	after := w.committedLocked().Sub(r.commit).Add(cmd.Commit)
	if grow && !after.Fits(w.inst.Capacity) {
		return
	}
	r.commit = cmd.Commit
	w.recordCommitmentLocked()
}

// startLocked starts a run, unless the run is known, or this or a later attempt of its task
// has been forgotten. A run that exceeds the worker's free capacity fails at once.
func (w *worker) startLocked(cmd contract.StartCommand) {
	if w.runs[cmd.Run] != nil || cmd.Run.Attempt <= w.highestForgotten[cmd.Run.Task] {
		return
	}
	r := newTaskRun(cmd, w.advancedTo, w.sys.family(cmd.Family))
	w.addRunLocked(r)
	if !cmd.Commit.Valid() || !w.committedLocked().Fits(w.inst.Capacity) {
		r.state, r.reason = contract.Failed, reasonFull
		close(r.done)
		w.recordLocked(r, history.RunRefused, w.advancedTo)
		return
	}
	if _, match := w.match(FailAll); match || cmd.Image == imageFail {
		r.failAt = w.advancedTo + failAfter
	}
	w.recordLocked(r, history.RunStarted, w.advancedTo)
	w.recordCommitmentLocked()
}

func (w *worker) addRunLocked(r *taskRun) {
	w.runs[r.id] = r
	w.order = append(w.order, r.id)
}

// forgetLocked deletes ended runs. It keeps the highest deleted attempt number of each task,
// so that a delayed or repeated start of a deleted run has no effect.
func (w *worker) forgetLocked(ids []job.RunID) {
	for _, id := range ids {
		r := w.runs[id]
		if r == nil || !r.state.Final() {
			continue
		}
		w.highestForgotten[id.Task] = max(w.highestForgotten[id.Task], id.Attempt)
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
		LeaseEnd:    int64(max(w.leaseEnd, arrived)),
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

// leavingLocked reports whether the worker is leaving, and records when it first reported
// so.
func (w *worker) leavingLocked() bool {
	_, match := w.match(Leave)
	if !match && !w.leaving {
		w.leavingSince = time.Time{}
		return false
	}
	if w.leavingSince.IsZero() {
		w.leavingSince = time.Now()
	}
	return true
}
