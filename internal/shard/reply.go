package shard

import (
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/lease"
	"skylarkport/internal/placement"
)

// handleReply processes a worker's reply to an exchange: it updates the expiry
// of the worker's lease and proposes records for the runs that it reports.
func (o *Owner) handleReply(w *worker, req *contract.ExchangeRequest, reply *contract.ExchangeReply) {
	now := o.now()
	o.propose(o.endRunsBeforeRestart(w, reply.Incarnation), nil, nil)
	w.lastReply = now
	w.stamp = lease.Stamp{Worker: reply.Stamp, Received: now}
	w.capacity, w.leaving = reply.Capacity, reply.Leaving
	if reply.LeaseEnd != 0 {
		w.updateLease(now, req.Stamp, time.Duration(max(0, reply.LeaseEnd-reply.Stamp)))
	}
	for _, id := range req.Forget {
		delete(w.lateStarts, id)
	}
	clear(w.endedRuns)
	listed := make(map[job.RunID]bool, len(reply.Runs))
	var records []*Record
	for i := range reply.Runs {
		listed[reply.Runs[i].Run] = true
		records = append(records, o.handleRunReport(w, &reply.Runs[i])...)
	}
	o.propose(records, nil, nil)
	o.propose(o.endUnstartedRuns(w, listed), nil, nil)
	o.propose(o.stopRunsOnLeaving(w), nil, nil)
	o.reportToPolicy(w, now, reply)
}

// endRunsBeforeRestart returns the end records of runs that were placed on an
// earlier incarnation of the worker; a restart ends them.
func (o *Owner) endRunsBeforeRestart(w *worker, incarnation string) []*Record {
	if w.incarnation != incarnation {
		w.incarnation = incarnation
		clear(w.lateStarts)
		o.policy.Forget(w.inst.ID)
	}
	var records []*Record
	for _, r := range o.decidedState.workers[w.inst.ID] {
		if r.Incarnation != incarnation {
			records = append(records, o.newEndRecord(r, contract.Stopped, ProofRestart, "the worker restarted", r.Checkpoint))
		}
	}
	return records
}

// handleRunReport processes the reported state of one run and returns the
// records that follow from it.
func (o *Owner) handleRunReport(w *worker, rep *contract.RunReport) []*Record {
	r := o.decidedState.Run(rep.Run)
	if r == nil || r.Worker != w.inst.ID {
		o.handleUnknownRun(w, rep)
		return nil
	}
	info := o.runs[r.ID]
	if !info.reported || info.report.BaseURL != rep.BaseURL || info.report.Leaving != rep.Leaving || info.report.State != rep.State {
		o.routesVersion.Change++
	}
	info.reported, info.report, info.progress = true, *rep, rep.Usage.Progress
	if rep.State.Final() {
		w.endedRuns[r.ID] = true
		return []*Record{o.newEndRecord(r, rep.State, ProofReport, rep.Reason, rep.Checkpoint)}
	}
	var records []*Record
	if rep.Checkpoint > r.Checkpoint {
		info.wantCheckpoint = false
		records = append(records, &Record{Progress: &ProgressRecord{Run: r.ID, Checkpoint: rep.Checkpoint}})
	}
	if rep.Commit == r.Commit && r.Held != r.Commit {
		w.lastChange = o.now()
		records = append(records, &Record{Resized: &ResizedRecord{Run: r.ID, Commit: r.Commit}})
	}
	return records
}

// handleUnknownRun handles a reported run that the shard's state does not hold
// on this worker. A final one ended earlier; the owner has the worker forget
// it once that is safe. One that still runs is a fault of the worker; it ends at
// the latest with the worker's lease.
func (o *Owner) handleUnknownRun(w *worker, rep *contract.RunReport) {
	if rep.State.Final() {
		w.endedRuns[rep.Run] = true
		return
	}
	o.logger.WithField("run", rep.Run.String()).WithField("worker", w.inst.ID).
		Warn("worker reports a run that the shard has not placed there")
}

// endUnstartedRuns returns the end records of runs that were stopped before they
// started: the worker does not list them and no start command can still reach it.
func (o *Owner) endUnstartedRuns(w *worker, listed map[job.RunID]bool) []*Record {
	var records []*Record
	for id, r := range o.decidedState.workers[w.inst.ID] {
		info := o.runs[id]
		if listed[id] || info.reported || r.Stop == "" || r.Incarnation != w.incarnation {
			continue
		}
		if info.startSent && o.now() <= info.startDeadline {
			continue
		}
		records = append(records, o.newEndRecord(r, contract.Stopped, ProofNotStarted, "stopped before its start", r.Checkpoint))
	}
	return records
}

// stopRunsOnLeaving returns stop records for the runs of a worker that is
// leaving, so that their tasks are placed elsewhere. It stops none while the
// tables are unavailable, because no new placement can be recorded then.
func (o *Owner) stopRunsOnLeaving(w *worker) []*Record {
	if !w.leaving && w.inst.State != contract.Leaving {
		return nil
	}
	if o.tableOutage() != nil {
		return nil
	}
	var records []*Record
	for _, r := range o.decidedState.workers[w.inst.ID] {
		if r.Stop == "" {
			records = append(records, o.newStopRecord(r, StopLeaving, true, "the worker is leaving"))
		}
	}
	return records
}

// newStopRecord returns the record of a stop and logs it as an event. The stop
// command is sent once the record is durable.
func (o *Owner) newStopRecord(r *Run, cause StopCause, checkpoint bool, detail string) *Record {
	o.addEvent(Event{Task: r.ID.Task, Run: r.ID, Worker: r.Worker, Step: "stop", Stage: string(cause), Detail: detail})
	return &Record{Stop: &StopRecord{Run: r.ID, Cause: cause, Checkpoint: checkpoint}}
}

// reportToPolicy passes the resource usage of the worker's runs to the placement
// policy, with sample times converted to the owner's clock.
func (o *Owner) reportToPolicy(w *worker, now time.Duration, reply *contract.ExchangeReply) {
	rep := placement.Report{Worker: w.inst.ID, Now: now, LastChange: w.lastChange}
	for id, r := range o.decidedState.workers[w.inst.ID] {
		info := o.runs[id]
		if !info.reported {
			continue
		}
		u := placement.RunUsage{
			Run: id, Spec: r.task.job.Spec, Commit: r.Commit, Throttled: r.Throttled, Usage: info.report.Usage,
		}
		if u.Usage.MeasuredAt != 0 {
			u.MeasuredAt = now - time.Duration(reply.Stamp-u.Usage.MeasuredAt)
		}
		rep.Runs = append(rep.Runs, u)
	}
	o.policy.Observe(rep)
}
