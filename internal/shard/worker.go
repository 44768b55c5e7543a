package shard

import (
	"math/rand/v2"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/lease"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
)

// looseGrant is a grant whose message may still arrive at the worker. It cannot
// take effect once a grant from a newer stamp was accepted.
type looseGrant struct {
	stamp int64 // newest
	bound time.Duration
}

// worker is what the owner knows of a worker.
type worker struct {
	inst        contract.Instance
	listed      bool
	incarnation string
	stamp       lease.Stamp
	bound       time.Duration // after it no grant of this owner can be in force
	loose       looseGrant    // sent without an answer
	fence       time.Duration // after it no grant of an earlier owner can be in force
	answered    time.Duration // when it last answered; 0 for never
	silent      bool          // a message sent after every lapse was not answered
	capacity    resource.Vector
	leaving     bool
	changed     time.Duration               // the newest change of what runs on it
	late        map[job.RunID]time.Duration // ended runs: until when a start may still arrive
	ended       map[job.RunID]bool          // reported with a final state
	kick        chan struct{}
	working     bool // its loop runs
}

func (o *Owner) workerOf(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{inst: contract.Instance{ID: id}, late: map[job.RunID]time.Duration{}, ended: map[job.RunID]bool{}, kick: make(chan struct{}, 1)}
		o.workers[id] = w
	}
	return w
}

// lapsed reports whether no grant can be in force at the worker.
func (w *worker) lapsed(now time.Duration) bool { return now > w.bound && now > w.fence }

// sent notes a grant that was sent and not answered.
func (w *worker) sent(stamp int64, bound time.Duration) {
	w.loose = looseGrant{stamp: max(w.loose.stamp, stamp), bound: max(w.loose.bound, bound)}
}

// granted takes in what an answer says of the grant in force. left is what was
// left of it when the worker answered; req is the stamp of the accepted grant.
func (w *worker) granted(now time.Duration, req int64, left time.Duration) {
	if req > w.loose.stamp {
		w.loose = looseGrant{}
	}
	end := now + lease.Stretch(left)
	w.fence = min(w.fence, end)
	if req != 0 {
		w.bound = max(end, w.loose.bound)
	}
}

// syncFleet takes the platform's list in. A worker that left the list is kept
// while it may hold runs.
func (o *Owner) syncFleet() {
	listed := map[string]bool{}
	for _, inst := range o.ext.Fleet() {
		listed[inst.ID] = true
		w := o.workerOf(inst.ID)
		w.inst, w.listed = inst, true
	}
	for id, w := range o.workers {
		w.listed = listed[id]
		if !w.listed && len(o.st.workers[id]) == 0 && w.lapsed(o.now()) {
			delete(o.workers, id)
			o.policy.Forget(id)
		}
	}
	o.policy.Fleet(len(listed))
}

// health is the worker's health for the placement policy.
func (o *Owner) health(w *worker) placement.Health {
	now := o.now()
	silent := w.answered == 0 || now-w.answered > missedExchanges*o.cfg.Exchange
	switch {
	case silent || w.incarnation == "" || now >= w.bound:
		return placement.Unreachable
	case w.leaving || w.inst.State == contract.Leaving || !w.listed:
		return placement.Leaving
	}
	return placement.Healthy
}

// lapse ends the runs of workers whose grants have surely lapsed. An owner that
// was paused asks the worker first, which knows how each run ended.
func (o *Owner) lapse() {
	now := o.now()
	var records []*Record
	for id, runs := range o.st.workers {
		w := o.workerOf(id)
		if !w.lapsed(now) || !w.silent && w.inst.Address != "" {
			continue
		}
		for _, r := range runs {
			records = append(records, o.ended(r, contract.Stopped, ProofLapse, "the worker's lease lapsed", r.Checkpoint))
		}
	}
	o.propose(records, nil, nil)
}

// ended builds the record of a run's end and tells the policy.
func (o *Owner) ended(r *Run, s contract.RunState, p Proof, reason string, checkpoint int64) *Record {
	t := o.runs[r.ID]
	now := o.now()
	o.policy.Ended(placement.End{
		Now: now, Worker: r.Worker, Run: r.ID, Spec: r.task.job.Spec, Commit: r.Commit,
		State: s, Reason: reason, RunTime: now - t.started, Resume: r.Resume, Work: checkpoint,
	})
	w := o.workerOf(r.Worker)
	w.changed = now
	w.late[r.ID] = t.bound
	delete(o.runs, r.ID)
	failures := 0
	if s == contract.Failed {
		failures = r.task.Failures + 1
	}
	o.tasks[r.ID.Task] = &wait{notBefore: now + backoff(failures), reason: reason}
	o.routes.Change++
	o.note(Event{Task: r.ID.Task, Run: r.ID, Worker: r.Worker, Step: string(s), Stage: string(p), Detail: reason})
	return &Record{End: &EndRecord{Run: r.ID, State: s, Proof: p, Reason: reason, Checkpoint: checkpoint}}
}

// jitter spreads exchanges over the interval.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(r.Int64N(int64(d/5)+1))
}

func jobDuration(d time.Duration) job.Duration { return job.Duration(d) }
