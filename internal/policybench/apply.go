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
func (sim *simulation) runCycle() {
	s := &placement.Snapshot{Now: sim.now, Pending: sim.queue.Active(sim.now)}
	for _, w := range sim.workers {
		s.Workers = append(s.Workers, w.view)
	}
	var p *placement.Plan
	if sim.config.Policy == FirstFit {
		p = firstFit(s, sim.raisedMemory)
	} else {
		p = placement.Decide(s, sim.engine.View())
	}
	for i := range p.Decisions {
		sim.applyDecision(&p.Decisions[i])
	}
	sim.queue.Apply(p, sim.now)
	sim.engine.RecordApplied(sim.now, p)
}

func (sim *simulation) applyDecision(d *placement.Decision) {
	switch d.Step {
	case placement.Place:
		sim.startRun(d)
	case placement.Throttle, placement.Unthrottle, placement.Resize:
		sim.setCommitment(d)
	case placement.Move, placement.Preempt, placement.Evict:
		sim.stopRun(d)
	case placement.SetAside:
		sim.tasks[d.Task].withdrawn = true
		sim.result.SetAside++
	}
}

func (sim *simulation) startRun(d *placement.Decision) {
	w, f := sim.byID[d.Worker], sim.tasks[d.Task]
	if place, _, ok := sim.queue.Find(d.Task); !ok || place != taskqueue.Active {
		sim.result.Rejected++
		return
	}
	if f.liveRuns > 0 {
		sim.result.Duplicated++
	}
	f.attempt++
	r := &placement.Run{
		ID: job.RunID{Task: d.Task, Attempt: f.attempt}, Spec: f.spec, Commit: d.Commit,
		Started: sim.now, Submitted: f.submitted, Resume: f.resume, Checkpoint: f.resume, Evictions: f.evictions,
	}
	w.view.Runs = append(w.view.Runs, r)
	w.view.LastChange = sim.now
	f.liveRuns++
	if f.spec.Urgent && !f.started {
		sim.urgentStartSeconds = append(sim.urgentStartSeconds, (sim.now - f.submitted).Seconds())
	}
	f.started = true
	fr := &fakeRun{view: r, truth: f.truth, progress: float64(f.resume), saved: float64(f.resume), loadSkew: 1}
	if s := sim.services[f.spec.ID]; s != nil {
		fr.service = s
		fr.loadSkew = math.Exp(loadSkewSigma * sim.rng.NormFloat64())
	}
	w.runs = append(w.runs, fr)
	if w.dead { // the policy does not know yet that the worker is dead
		sim.loseRun(w, r)
	}
}

func (sim *simulation) findRun(d *placement.Decision) (*fakeWorker, *placement.Run, *fakeRun) {
	w := sim.byID[d.Worker]
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

func (sim *simulation) setCommitment(d *placement.Decision) {
	w, r, _ := sim.findRun(d)
	if r == nil {
		sim.result.Rejected++
		return
	}
	r.Commit = d.Commit
	w.view.LastChange = sim.now
	switch d.Step {
	case placement.Throttle:
		r.Throttled = true
		sim.result.Throttles++
	case placement.Unthrottle:
		r.Throttled = false
	}
}

func (sim *simulation) stopRun(d *placement.Decision) {
	w, r, fr := sim.findRun(d)
	if r == nil || r.Stopping {
		sim.result.Rejected++
		return
	}
	r.Stopping = true
	w.view.LastChange = sim.now
	sim.tasks[d.Task].evictions++
	sim.result.Evictions++
	if fr == nil {
		return
	}
	fr.checkpointOnStop = d.Step != placement.Evict
	fr.stopAt = sim.now + stopDuration
	if fr.checkpointOnStop {
		fr.stopAt = sim.now + checkpointDuration
	}
}

// loseRun removes a run from a dead worker. The policy still sees the run, and
// its task cannot be placed again, until the lease on the run has expired.
func (sim *simulation) loseRun(w *fakeWorker, r *placement.Run) {
	sim.tasks[r.ID.Task].liveRuns--
	sim.leaseExpiries = append(sim.leaseExpiries, leaseExpiry{at: sim.now + leaseExpiryDelay, worker: w, run: r})
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
func (sim *simulation) injectFaults() {
	sim.expireLeases()
	n := int(sim.now / tick)
	last := int(sim.config.DayLength / tick)
	switch sim.config.Fault {
	case WorkersDie:
		sim.killWorkers(n, last)
	case WorkersFailAll:
		for i := range failingWorkers {
			sim.workers[(i*11+5)%len(sim.workers)].failsAll = sim.config.Fault.activeAt(sim.dayFraction())
		}
	case Cancellations:
		if n == last*6/10 {
			sim.cancelJobs()
		}
	}
}

// killWorkers kills workers one after another and restarts each of them later.
// n is the current tick and last the last tick of the run.
func (sim *simulation) killWorkers(n, last int) {
	for i := range workerDeaths {
		w := sim.workers[(i*7+3)%len(sim.workers)]
		at := last * (2 + i) / (workerDeaths + 4)
		switch n {
		case at:
			w.dead = true
			for len(w.runs) > 0 {
				sim.loseRun(w, w.runs[0].view)
			}
		case at + int(unreachableDelay/tick):
			w.view.Health = placement.Unreachable
		case at + int(deadDuration/tick):
			w.dead = false
			w.view.Health = placement.Healthy
			sim.engine.Forget(w.view.ID)
			sim.queue.Notify(taskqueue.WorkerAdded)
		}
	}
}

func (sim *simulation) expireLeases() {
	kept := sim.leaseExpiries[:0]
	for _, l := range sim.leaseExpiries {
		if l.at > sim.now {
			kept = append(kept, l)
			continue
		}
		sim.releaseRun(l.worker, l.run)
		f := sim.tasks[l.run.ID.Task]
		if !f.withdrawn {
			sim.enqueue(l.run.ID.Task, f, 0)
		}
	}
	sim.leaseExpiries = kept
}

// cancelJobs cancels a random fraction of all jobs at once.
func (sim *simulation) cancelJobs() {
	cancelled := map[string]bool{}
	for i := 1; i <= sim.arrivals.count; i++ {
		if sim.rng.Float64() < cancelledJobFraction {
			cancelled[jobName(i)] = true
		}
	}
	for id, f := range sim.tasks {
		if !cancelled[id.Job] || f.finished || f.withdrawn {
			continue
		}
		f.withdrawn = true
		sim.result.Cancelled++
		sim.queue.Remove(id)
	}
	for _, w := range sim.workers {
		for _, fr := range w.runs {
			if cancelled[fr.view.ID.Task.Job] && fr.stopAt == 0 {
				fr.view.Stopping = true
				fr.stopAt = sim.now + stopDuration
				w.view.LastChange = sim.now
			}
		}
	}
}
