package shard

import (
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/lease"
	"skylarkport/internal/placement"
)

// accept takes a worker's answer in and records what it proves.
func (o *Owner) accept(w *worker, req *contract.ExchangeRequest, reply *contract.ExchangeReply) {
	now := o.now()
	var records []*Record
	if reply.Incarnation != w.incarnation {
		records = append(records, o.restarted(w, reply.Incarnation)...)
	}
	w.answered = now
	w.stamp = lease.Stamp{Worker: reply.Stamp, Received: now}
	w.capacity, w.leaving = reply.Capacity, reply.Leaving
	for _, id := range req.Forget {
		delete(w.forget, id)
	}
	listed := make(map[job.RunID]bool, len(reply.Runs))
	for i := range reply.Runs {
		listed[reply.Runs[i].Run] = true
		records = append(records, o.report(w, &reply.Runs[i])...)
	}
	records = append(records, o.absent(w, req, listed)...)
	records = append(records, o.vacate(w)...)
	o.propose(records, nil, nil)
	o.observe(w, now, reply)
}

// restarted ends the runs that did not survive the worker's restart.
func (o *Owner) restarted(w *worker, incarnation string) []*Record {
	w.incarnation = incarnation
	clear(w.forget)
	o.policy.Forget(w.inst.ID)
	var records []*Record
	for _, r := range o.st.workers[w.inst.ID] {
		if r.Incarnation != incarnation && o.recorded(r) {
			records = append(records, o.ended(r, contract.Stopped, ProofRestart, "the worker restarted", r.Checkpoint))
		}
	}
	return records
}

// report takes the state of one run in.
func (o *Owner) report(w *worker, rep *contract.RunReport) []*Record {
	r := o.st.Run(rep.Run)
	if r == nil || r.Worker != w.inst.ID {
		o.stray(w, rep)
		return nil
	}
	if !o.recorded(r) {
		return nil
	}
	t := o.runs[r.ID]
	if !t.seen || t.report.BaseURL != rep.BaseURL || t.report.Leaving != rep.Leaving || t.report.State != rep.State {
		o.routes.Change++
	}
	t.seen, t.report, t.progress = true, *rep, rep.Usage.Progress
	if rep.State.Final() {
		return o.final(w, r, rep)
	}
	var records []*Record
	if rep.Checkpoint > r.Checkpoint {
		t.save = false
		records = append(records, &Record{Progress: &ProgressRecord{Run: r.ID, Checkpoint: rep.Checkpoint}})
	}
	if rep.Commit == r.Commit && r.Held != r.Commit {
		w.changed = o.now()
		records = append(records, &Record{Resized: &ResizedRecord{Run: r.ID, Commit: r.Commit}})
	}
	return records
}

// final records a reported end. The worker may forget the run once the record is
// durable and no start of it can still arrive.
func (o *Owner) final(w *worker, r *Run, rep *contract.RunReport) []*Record {
	return []*Record{o.ended(r, rep.State, ProofReport, rep.Reason, rep.Checkpoint)}
}

// stray handles a run that holds nothing in the state. One that ended is
// forgotten; one that runs is stopped, which a lapse on the worker does anyway.
func (o *Owner) stray(w *worker, rep *contract.RunReport) {
	if !rep.State.Final() {
		o.logger.WithField("run", rep.Run.String()).WithField("worker", w.inst.ID).
			Warn("shard: the worker reports a run that is not recorded there")
		return
	}
	t := o.durable.Task(rep.Run.Task)
	live := t != nil && t.Run != nil && t.Run.ID == rep.Run
	if !live && o.now() > o.lateStart(w) {
		w.forget[rep.Run] = true
	}
}

// lateStart is until when a start that was sent to the worker may arrive late.
func (o *Owner) lateStart(w *worker) time.Duration { return w.lastStart }

// absent ends the runs whose stop was decided before any start could take
// effect: the worker knows nothing of them and no start is on its way.
func (o *Owner) absent(w *worker, req *contract.ExchangeRequest, listed map[job.RunID]bool) []*Record {
	var records []*Record
	for id, r := range o.st.workers[w.inst.ID] {
		t := o.runs[id]
		if listed[id] || t.seen || r.Stop == "" || r.Incarnation != w.incarnation || !o.recorded(r) {
			continue
		}
		if t.sent && o.now() <= t.bound {
			continue
		}
		records = append(records, o.ended(r, contract.Stopped, ProofNotStarted, "stopped before its start", r.Checkpoint))
	}
	return records
}

// vacate decides to move runs off a worker that leaves.
func (o *Owner) vacate(w *worker) []*Record {
	if !w.leaving && w.inst.State != contract.Leaving {
		return nil
	}
	if _, away := o.away(); away {
		return nil
	}
	var records []*Record
	for _, r := range o.st.workers[w.inst.ID] {
		if r.Stop == "" {
			records = append(records, o.stopping(r, StopLeaving, true, "the worker is leaving"))
		}
	}
	return records
}

// stopping builds the record of a stop; the order follows once it is durable.
func (o *Owner) stopping(r *Run, cause StopCause, checkpoint bool, detail string) *Record {
	o.runs[r.ID].proposal = o.decided + 1
	o.note(Event{Task: r.ID.Task, Run: r.ID, Worker: r.Worker, Step: "stop", Stage: string(cause), Detail: detail})
	return &Record{Stop: &StopRecord{Run: r.ID, Cause: cause, Checkpoint: checkpoint}}
}

// observe tells the policy what the worker reported.
func (o *Owner) observe(w *worker, now time.Duration, reply *contract.ExchangeReply) {
	rep := placement.Report{Worker: w.inst.ID, Now: now, Changed: w.changed}
	for id, r := range o.st.workers[w.inst.ID] {
		t := o.runs[id]
		if !t.seen {
			continue
		}
		u := placement.RunUsage{
			Run: id, Spec: r.task.job.Spec, Commit: r.Commit, Throttled: r.Throttled, Usage: t.report.Usage,
		}
		if u.Usage.At != 0 {
			u.At = now - time.Duration(reply.Stamp-u.Usage.At)
		}
		rep.Runs = append(rep.Runs, u)
	}
	o.policy.Observe(rep)
}
