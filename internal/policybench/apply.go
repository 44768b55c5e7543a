package policybench

import (
	"math"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/taskqueue"
)

// leaseExpiry is a run on a dead worker. Its task may be placed again at the
// time at, when the lease on the run has expired.
type leaseExpiry struct {
	at     time.Duration
	worker *fakeWorker
	run    *placement.Run
}

// runCycle runs one scheduling cycle and applies its plan.
func (b *simulation) runCycle() {
	s := &placement.Snapshot{Now: b.now, Pending: b.queue.Active(b.now)}
	for _, w := range b.workers {
		s.Workers = append(s.Workers, w.view)
	}
	var p *placement.Plan
	if b.config.Policy == FirstFit {
		p = firstFit(s, b.raisedMemory)
	} else {
		p = placement.Decide(s, b.engine.View())
	}
	for i := range p.Decisions {
		b.applyDecision(&p.Decisions[i])
	}
	b.queue.Apply(p, b.now)
	b.engine.RecordApplied(b.now, p)
}

func (b *simulation) applyDecision(d *placement.Decision) {
	switch d.Step {
	case placement.Place:
		b.startRun(d)
	case placement.Throttle, placement.Unthrottle, placement.Resize:
		b.setCommitment(d)
	case placement.Move, placement.Preempt, placement.Evict:
		b.stopRun(d)
	case placement.SetAside:
		b.tasks[d.Task].withdrawn = true
		b.result.SetAside++
	}
}

func (b *simulation) startRun(d *placement.Decision) {
	w, f := b.byID[d.Worker], b.tasks[d.Task]
	if place, _, ok := b.queue.Find(d.Task); !ok || place != taskqueue.Active {
		b.result.Rejected++
		return
	}
	if f.liveRuns > 0 {
		b.result.Duplicated++
	}
	f.attempt++
	r := &placement.Run{
		ID: job.RunID{Task: d.Task, Attempt: f.attempt}, Spec: f.spec, Commit: d.Commit,
		Started: b.now, Submitted: f.submitted, Resume: f.resume, Checkpoint: f.resume, Evictions: f.evictions,
	}
	w.view.Runs = append(w.view.Runs, r)
	w.view.LastChange = b.now
	f.liveRuns++
	if f.spec.Urgent && !f.started {
		b.urgentStartSeconds = append(b.urgentStartSeconds, (b.now - f.submitted).Seconds())
	}
	f.started = true
	fr := &fakeRun{view: r, truth: f.truth, progress: float64(f.resume), saved: float64(f.resume), loadSkew: 1}
	if s := b.services[f.spec.ID]; s != nil {
		fr.service = s
		fr.loadSkew = math.Exp(loadSkewSigma * b.rng.NormFloat64())
	}
	w.runs = append(w.runs, fr)
	if w.dead { // the policy does not know yet that the worker is dead
		b.loseRun(w, r)
	}
}

func (b *simulation) findRun(d *placement.Decision) (*fakeWorker, *placement.Run, *fakeRun) {
	w := b.byID[d.Worker]
	for _, r := range w.view.Runs {
		if r.ID != d.Run {
			continue
		}
		for _, fr := range w.runs {
			if fr.view == r {
				return w, r, fr
			}
		}
		return w, r, nil
	}
	return w, nil, nil
}

func (b *simulation) setCommitment(d *placement.Decision) {
	w, r, _ := b.findRun(d)
	if r == nil {
		b.result.Rejected++
		return
	}
	r.Commit = d.Commit
	w.view.LastChange = b.now
	switch d.Step {
	case placement.Throttle:
		r.Throttled = true
		b.result.Throttles++
	case placement.Unthrottle:
		r.Throttled = false
	}
}

func (b *simulation) stopRun(d *placement.Decision) {
	w, r, fr := b.findRun(d)
	if r == nil || r.Stopping {
		b.result.Rejected++
		return
	}
	r.Stopping = true
	w.view.LastChange = b.now
	b.tasks[d.Task].evictions++
	b.result.Evictions++
	if fr == nil {
		return
	}
	fr.checkpointOnStop = d.Step != placement.Evict
	fr.stopAt = b.now + stopDuration
	if fr.checkpointOnStop {
		fr.stopAt = b.now + checkpointDuration
	}
}

// loseRun removes a run from a dead worker. The policy still sees the run, and
// its task cannot be placed again, until the lease on the run has expired.
func (b *simulation) loseRun(w *fakeWorker, r *placement.Run) {
	b.tasks[r.ID.Task].liveRuns--
	b.leaseExpiries = append(b.leaseExpiries, leaseExpiry{at: b.now + leaseExpiryDelay, worker: w, run: r})
	kept := w.runs[:0]
	for _, fr := range w.runs {
		if fr.view != r {
			kept = append(kept, fr)
		}
	}
	w.runs = kept
}

// injectFaults ends the leases that expire in this tick on runs lost with a dead
// worker, and applies the configured fault if it concerns workers or cancellations.
// The other faults act where jobs arrive, reports are sent and decisions are stored.
func (b *simulation) injectFaults() {
	b.expireLeases()
	n := int(b.now / tick)
	last := int(b.config.DayLength / tick)
	switch b.config.Fault {
	case WorkersDie:
		b.killWorkers(n, last)
	case WorkersFailAll:
		for i := range failingWorkers {
			b.workers[(i*11+5)%len(b.workers)].failsAll = b.config.Fault.activeAt(b.dayFraction())
		}
	case Cancellations:
		if n == last*6/10 {
			b.cancelJobs()
		}
	}
}

// killWorkers kills workers one after another and restarts each of them later.
// n is the current tick and last the last tick of the run.
func (b *simulation) killWorkers(n, last int) {
	for i := range workerDeaths {
		w := b.workers[(i*7+3)%len(b.workers)]
		at := last * (2 + i) / (workerDeaths + 4)
		switch n {
		case at:
			w.dead = true
			for len(w.runs) > 0 {
				b.loseRun(w, w.runs[0].view)
			}
		case at + int(unreachableDelay/tick):
			w.view.Health = placement.Unreachable
		case at + int(deadDuration/tick):
			w.dead = false
			w.view.Health = placement.Healthy
			b.engine.Forget(w.view.ID)
			b.queue.Notify(taskqueue.WorkerAdded)
		}
	}
}

func (b *simulation) expireLeases() {
	kept := b.leaseExpiries[:0]
	for _, l := range b.leaseExpiries {
		if l.at > b.now {
			kept = append(kept, l)
			continue
		}
		b.releaseRun(l.worker, l.run)
		f := b.tasks[l.run.ID.Task]
		if !f.withdrawn {
			b.enqueue(l.run.ID.Task, f, 0)
		}
	}
	b.leaseExpiries = kept
}

// cancelJobs cancels a random fraction of all jobs at once.
func (b *simulation) cancelJobs() {
	cancelled := map[string]bool{}
	for i := 1; i <= b.arrivals.count; i++ {
		if b.rng.Float64() < cancelledJobFraction {
			cancelled[jobName(i)] = true
		}
	}
	for id, f := range b.tasks {
		if !cancelled[id.Job] || f.finished || f.withdrawn {
			continue
		}
		f.withdrawn = true
		b.result.Cancelled++
		b.queue.Remove(id)
	}
	for _, w := range b.workers {
		for _, fr := range w.runs {
			if cancelled[fr.view.ID.Task.Job] && fr.stopAt == 0 {
				fr.view.Stopping = true
				fr.stopAt = b.now + stopDuration
				w.view.LastChange = b.now
			}
		}
	}
}
