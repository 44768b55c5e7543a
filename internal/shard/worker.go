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

// worker is what the owner knows of a worker.
type worker struct {
	inst        contract.Instance
	listed      bool
	incarnation string
	stamp       lease.Stamp
	bound       time.Duration // after it no grant can be in force, unless renewed
	answered    time.Duration // when it last answered; 0 for never
	capacity    resource.Vector
	leaving     bool
	changed     time.Duration // the newest change of what runs on it
	forget      map[job.RunID]bool
	kick        chan struct{}
	working     bool // its loop runs
}

func (o *Owner) workerOf(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{inst: contract.Instance{ID: id}, forget: map[job.RunID]bool{}, kick: make(chan struct{}, 1)}
		o.workers[id] = w
	}
	return w
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
		if !w.listed && len(o.st.workers[id]) == 0 && o.now() > w.bound {
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

// lapse ends the runs of workers whose grants have surely lapsed.
func (o *Owner) lapse() {
	now := o.now()
	var records []*Record
	for id, runs := range o.st.workers {
		w := o.workerOf(id)
		if now <= w.bound {
			continue
		}
		for _, r := range runs {
			if o.recorded(r) {
				records = append(records, o.ended(r, contract.Stopped, ProofLapse, "the worker's lease lapsed", r.Checkpoint))
			}
		}
	}
	o.propose(records, nil, nil)
}

// recorded reports whether the newest decision on the run is durable. Without
// that no order was sent, and none of its successors may overtake it.
func (o *Owner) recorded(r *Run) bool { return o.runs[r.ID].proposal <= o.stored }

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
	delete(o.runs, r.ID)
	failures := r.task.Failures
	if s == contract.Failed {
		failures++
	}
	o.tasks[r.ID.Task] = &wait{notBefore: now + backoff(failuresAfter(s, failures)), reason: reason}
	o.routes.Change++
	o.note(Event{Task: r.ID.Task, Run: r.ID, Worker: r.Worker, Step: string(s), Stage: string(p), Detail: reason})
	return &Record{End: &EndRecord{Run: r.ID, State: s, Proof: p, Reason: reason, Checkpoint: checkpoint}}
}

// failuresAfter is the number of failures that the back-off counts: a task that
// was moved or lost its worker runs again at once.
func failuresAfter(s contract.RunState, failures int) int {
	if s == contract.Failed {
		return failures
	}
	return 0
}

// jitter spreads exchanges over the interval.
func jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5+1)
}

func jobDuration(d time.Duration) job.Duration { return job.Duration(d) }
