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
	o.propose(o.restarted(w, reply.Incarnation), nil, nil)
	w.answered = now
	w.stamp = lease.Stamp{Worker: reply.Stamp, Received: now}
	w.capacity, w.leaving = reply.Capacity, reply.Leaving
	if reply.LeaseEnd != 0 {
		w.granted(now, req.Stamp, time.Duration(max(0, reply.LeaseEnd-reply.Stamp)))
	}
	for _, id := range req.Forget {
		delete(w.late, id)
	}
	clear(w.ended)
	listed := make(map[job.RunID]bool, len(reply.Runs))
	var records []*Record
	for i := range reply.Runs {
		listed[reply.Runs[i].Run] = true
		records = append(records, o.report(w, &reply.Runs[i])...)
	}
	o.propose(records, nil, nil)
	o.propose(o.absent(w, listed), nil, nil)
	o.propose(o.vacate(w), nil, nil)
	o.observe(w, now, reply)
}

// restarted ends the runs that did not survive the worker's restart.
func (o *Owner) restarted(w *worker, incarnation string) []*Record {
	if w.incarnation != incarnation {
		w.incarnation = incarnation
		clear(w.late)
		o.policy.Forget(w.inst.ID)
	}
	var records []*Record
	for _, r := range o.st.workers[w.inst.ID] {
		if r.Incarnation != incarnation {
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
	t := o.runs[r.ID]
	if !t.seen || t.report.BaseURL != rep.BaseURL || t.report.Leaving != rep.Leaving || t.report.State != rep.State {
		o.routes.Change++
	}
	t.seen, t.report, t.progress = true, *rep, rep.Usage.Progress
	if rep.State.Final() {
		w.ended[r.ID] = true
		return []*Record{o.ended(r, rep.State, ProofReport, rep.Reason, rep.Checkpoint)}
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

// stray handles a run that holds nothing in the state: one that ended, and that
// the worker may forget in time. One that runs is an error of the worker, which
// ends at the latest with its grant.
func (o *Owner) stray(w *worker, rep *contract.RunReport) {
	if rep.State.Final() {
		w.ended[rep.Run] = true
		return
	}
	o.logger.WithField("run", rep.Run.String()).WithField("worker", w.inst.ID).
		Warn("the worker reports a run that is not recorded there")
}

// absent ends the runs whose stop was decided before any start could take
// effect: the worker knows nothing of them and no start is on its way.
func (o *Owner) absent(w *worker, listed map[job.RunID]bool) []*Record {
	var records []*Record
	for id, r := range o.st.workers[w.inst.ID] {
		t := o.runs[id]
		if listed[id] || t.seen || r.Stop == "" || r.Incarnation != w.incarnation {
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
	if o.away() != nil {
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
