package policybench

import (
	"math"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/taskqueue"
)

// lapse is a run on a dead worker that is placed again once the grant is over.
type lapse struct {
	at     time.Duration
	worker *fakeWorker
	run    *placement.Run
}

// decide runs one scheduling cycle and puts its plan in force.
func (b *bench) decide() {
	s := &placement.Snapshot{Now: b.now, Pending: b.queue.Active(b.now)}
	for _, w := range b.workers {
		s.Workers = append(s.Workers, w.owner)
	}
	var p *placement.Plan
	if b.c.Policy == FirstFit {
		p = firstFit(s, b.grown)
	} else {
		p = placement.Decide(s, b.engine.View())
	}
	for i := range p.Decisions {
		b.apply(&p.Decisions[i])
	}
	b.queue.Apply(p, b.now)
	b.engine.RecordApplied(b.now, p)
}

func (b *bench) apply(d *placement.Decision) {
	switch d.Step {
	case placement.Place:
		b.start(d)
	case placement.Throttle, placement.Unthrottle, placement.Resize:
		b.limit(d)
	case placement.Move, placement.Preempt, placement.Evict:
		b.stop(d)
	case placement.SetAside:
		b.fates[d.Task].gone = true
		b.r.SetAside++
	}
}

func (b *bench) start(d *placement.Decision) {
	w, f := b.byID[d.Worker], b.fates[d.Task]
	if place, _, ok := b.queue.Find(d.Task); !ok || place != taskqueue.Active {
		b.r.Rejected++
		return
	}
	if f.live > 0 {
		b.r.Doubled++
	}
	f.attempt++
	r := &placement.Run{
		ID: job.RunID{Task: d.Task, Attempt: f.attempt}, Spec: f.spec, Commit: d.Commit,
		Started: b.now, Submitted: f.sent, Resume: f.resume, Checkpoint: f.resume, Evictions: f.evicted,
	}
	w.owner.Runs = append(w.owner.Runs, r)
	w.owner.LastChange = b.now
	f.live++
	if f.spec.Urgent && !f.started {
		b.urgent = append(b.urgent, (b.now - f.sent).Seconds())
	}
	f.started = true
	fr := &fakeRun{owner: r, truth: f.truth, progress: float64(f.resume), saved: float64(f.resume), skew: 1}
	if s := b.services[f.spec.ID]; s != nil {
		fr.service = s
		fr.skew = math.Exp(skewOfLoad * b.rng.NormFloat64())
	}
	w.runs = append(w.runs, fr)
	if w.dead { // decided before the death was known
		b.lose(w, r)
	}
}

func (b *bench) find(d *placement.Decision) (*fakeWorker, *placement.Run, *fakeRun) {
	w := b.byID[d.Worker]
	for _, r := range w.owner.Runs {
		if r.ID != d.Run {
			continue
		}
		for _, fr := range w.runs {
			if fr.owner == r {
				return w, r, fr
			}
		}
		return w, r, nil
	}
	return w, nil, nil
}

func (b *bench) limit(d *placement.Decision) {
	w, r, _ := b.find(d)
	if r == nil {
		b.r.Rejected++
		return
	}
	r.Commit = d.Commit
	w.owner.LastChange = b.now
	switch d.Step {
	case placement.Throttle:
		r.Throttled = true
		b.r.Throttles++
	case placement.Unthrottle:
		r.Throttled = false
	}
}

func (b *bench) stop(d *placement.Decision) {
	w, r, fr := b.find(d)
	if r == nil || r.Stopping {
		b.r.Rejected++
		return
	}
	r.Stopping = true
	w.owner.LastChange = b.now
	b.fates[d.Task].evicted++
	b.r.Evictions++
	if fr == nil {
		return
	}
	fr.save = d.Step != placement.Evict
	fr.stopAt = b.now + stopIn
	if fr.save {
		fr.stopAt = b.now + checkpointIn
	}
}

// lose takes a run off a dead worker; it waits for the lapse of the grant.
func (b *bench) lose(w *fakeWorker, r *placement.Run) {
	b.fates[r.ID.Task].live--
	b.lapse = append(b.lapse, lapse{at: b.now + lapseIn, worker: w, run: r})
	kept := w.runs[:0]
	for _, fr := range w.runs {
		if fr.owner != r {
			kept = append(kept, fr)
		}
	}
	w.runs = kept
}

// faults makes happen what is due.
func (b *bench) faults() {
	b.lapsed()
	n := int(b.now / tick)
	last := int(b.c.Day / tick)
	switch b.c.Fault {
	case WorkersDie:
		b.deaths(n, last)
	case WorkersFail:
		for i := range failing {
			b.workers[(i*11+5)%len(b.workers)].failsAll = b.c.Fault.during(b.at())
		}
	case Cancellations:
		if n == last*6/10 {
			b.cancel()
		}
	}
}

// deaths kills workers one after another and brings them back.
func (b *bench) deaths(n, last int) {
	for i := range deaths {
		w := b.workers[(i*7+3)%len(b.workers)]
		at := last * (2 + i) / (deaths + 4)
		switch n {
		case at:
			w.dead = true
			for len(w.runs) > 0 {
				b.lose(w, w.runs[0].owner)
			}
		case at + int(noticeIn/tick):
			w.owner.Health = placement.Unreachable
		case at + int(deadFor/tick):
			w.dead = false
			w.owner.Health = placement.Healthy
			b.engine.Forget(w.owner.ID)
			b.queue.Notify(taskqueue.WorkerAdded)
		}
	}
}

func (b *bench) lapsed() {
	kept := b.lapse[:0]
	for _, l := range b.lapse {
		if l.at > b.now {
			kept = append(kept, l)
			continue
		}
		b.release(l.worker, l.run)
		f := b.fates[l.run.ID.Task]
		if !f.gone {
			b.wait(l.run.ID.Task, f, 0)
		}
	}
	b.lapse = kept
}

// cancel cancels a share of all jobs at once.
func (b *bench) cancel() {
	doomed := map[string]bool{}
	for i := 1; i <= b.arrivals.count; i++ {
		if b.rng.Float64() < cancelShare {
			doomed[jobName(i)] = true
		}
	}
	for id, f := range b.fates {
		if !doomed[id.Job] || f.done || f.gone {
			continue
		}
		f.gone = true
		b.r.Cancelled++
		b.queue.Remove(id)
	}
	for _, w := range b.workers {
		for _, fr := range w.runs {
			if doomed[fr.owner.ID.Task.Job] && fr.stopAt == 0 {
				fr.owner.Stopping = true
				fr.stopAt = b.now + stopIn
				w.owner.LastChange = b.now
			}
		}
	}
}
