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

// unansweredLease covers the leases that were sent without a reply and may still
// arrive at the worker. They cannot take effect once the worker accepted a lease
// with a newer timestamp.
type unansweredLease struct {
	stamp       int64 // newest timestamp that such a lease counts from
	leaseExpiry time.Duration
}

// worker holds what the owner knows about a worker. Times are readings of the
// owner's clock.
type worker struct {
	inst        contract.Instance
	listed      bool
	incarnation string
	stamp       lease.Stamp
	leaseExpiry time.Duration   // after it no lease of this owner can be in force
	unanswered  unansweredLease // leases without a reply
	priorExpiry time.Duration   // after it no lease of an earlier owner can be in force
	lastReply   time.Duration   // when the last reply arrived; 0 for never
	probeFailed bool            // a message that was sent after all leases expired got no reply
	capacity    resource.Vector
	leaving     bool
	lastChange  time.Duration               // newest change of the runs on the worker or their commitments
	lateStarts  map[job.RunID]time.Duration // for ended runs: until when a start may still take effect
	endedRuns   map[job.RunID]bool          // runs that the worker reports with a final state
	wake        chan struct{}
	loopRunning bool // runWorkerLoop runs for it
}

func (o *Owner) workerOf(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{inst: contract.Instance{ID: id}, lateStarts: map[job.RunID]time.Duration{}, endedRuns: map[job.RunID]bool{}, wake: make(chan struct{}, 1)}
		o.workers[id] = w
	}
	return w
}

// expired reports whether no lease can be in force at the worker any more, neither
// one of this owner nor one of an earlier owner of the shard.
func (w *worker) expired(now time.Duration) bool { return now > w.leaseExpiry && now > w.priorExpiry }

// recordUnanswered records a lease that was sent and got no reply.
func (w *worker) recordUnanswered(stamp int64, leaseExpiry time.Duration) {
	w.unanswered = unansweredLease{stamp: max(w.unanswered.stamp, stamp), leaseExpiry: max(w.unanswered.leaseExpiry, leaseExpiry)}
}

// updateLease updates the expiry of the worker's leases from a reply. remaining is
// what was left of the lease in force when the worker replied. timestamp is the one
// that the lease in the acknowledged request counts from, 0 if the request had none.
func (w *worker) updateLease(now time.Duration, timestamp int64, remaining time.Duration) {
	if timestamp > w.unanswered.stamp {
		w.unanswered = unansweredLease{}
	}
	end := now + lease.AddDrift(remaining)
	w.priorExpiry = min(w.priorExpiry, end)
	if timestamp != 0 {
		w.leaseExpiry = max(end, w.unanswered.leaseExpiry)
	}
}

// syncWorkers updates the workers from the platform's list. A worker that left the
// list is kept while it has runs or may hold a lease.
func (o *Owner) syncWorkers() {
	listed := map[string]bool{}
	for _, inst := range o.platform.Fleet() {
		listed[inst.ID] = true
		w := o.workerOf(inst.ID)
		w.inst, w.listed = inst, true
	}
	for id, w := range o.workers {
		w.listed = listed[id]
		if !w.listed && len(o.decidedState.workers[id]) == 0 && w.expired(o.now()) {
			delete(o.workers, id)
			o.policy.Forget(id)
		}
	}
	o.policy.SetWorkerCount(len(listed))
}

// health returns the worker's health as the placement policy sees it.
func (o *Owner) health(w *worker) placement.Health {
	now := o.now()
	silent := w.lastReply == 0 || now-w.lastReply > maxMissedExchanges*o.cfg.ExchangeInterval
	switch {
	case silent || w.incarnation == "" || now >= w.leaseExpiry:
		return placement.Unreachable
	case w.leaving || w.inst.State == contract.Leaving || !w.listed:
		return placement.Draining
	}
	return placement.Healthy
}

// endExpiredRuns ends the runs of workers whose leases have expired. It first waits
// until a message sent after the expiry got no reply, unless the worker's address is
// unknown: if the owner was paused, the worker may be alive, and only the worker knows
// how each run ended.
func (o *Owner) endExpiredRuns() {
	now := o.now()
	var records []*Record
	for id, runs := range o.decidedState.workers {
		w := o.workerOf(id)
		if !w.expired(now) || !w.probeFailed && w.inst.Address != "" {
			continue
		}
		for _, r := range runs {
			records = append(records, o.newEndRecord(r, contract.Stopped, ProofLeaseExpired, "the worker's lease expired", r.Checkpoint))
		}
	}
	o.propose(records, nil, nil)
}

// newEndRecord returns the record of a run's end, reports the end to the policy and
// starts the retry delay of the task. p states how the owner knows that the run has
// ended, and checkpoint is the progress that the run had saved, in work units.
func (o *Owner) newEndRecord(r *Run, s contract.RunState, p Proof, reason string, checkpoint int64) *Record {
	info := o.runs[r.ID]
	now := o.now()
	o.policy.RecordEnd(placement.RunEnd{
		Now: now, Worker: r.Worker, Run: r.ID, Spec: r.task.job.Spec, Commit: r.Commit,
		State: s, Reason: reason, RunTime: now - info.started, Resume: r.Resume, Work: checkpoint,
	})
	w := o.workerOf(r.Worker)
	w.lastChange = now
	w.lateStarts[r.ID] = info.startDeadline
	delete(o.runs, r.ID)
	failures := 0
	if s == contract.Failed {
		failures = r.task.Failures + 1
	}
	o.waits[r.ID.Task] = &waitInfo{notBefore: now + backoff(failures), reason: reason}
	o.routesVersion.Change++
	o.addEvent(Event{Task: r.ID.Task, Run: r.ID, Worker: r.Worker, Step: string(s), Stage: string(p), Detail: reason})
	return &Record{End: &EndRecord{Run: r.ID, State: s, Proof: p, Reason: reason, Checkpoint: checkpoint}}
}

// jitter returns a random duration within 10 % of d, which spreads exchanges over time.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(r.Int64N(int64(d/5)+1))
}

func jobDuration(d time.Duration) job.Duration { return job.Duration(d) }
