package policybench

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/resource"
	"skylarkport/internal/taskqueue"
)

// Policy is what decides in a run of the bench.
type Policy string

// The policies: the product's, the same without learning interference, and
// first fit by declared size.
const (
	Learning Policy = "policy"
	Blind    Policy = "no-learning"
	FirstFit Policy = "first-fit"
)

// Case is one run of the bench.
type Case struct {
	Deployment Deployment
	Level      Level
	Fault      Fault
	Policy     Policy
	Seed       uint64
	Day        time.Duration // length of the run, one day of load
}

// fate is where a batch task is.
type fate struct {
	truth    *task
	spec     *job.Spec
	deadline time.Duration // 0 for none
	sent     time.Duration
	started  bool
	live     int // runs on fake workers
	done     bool
	gone     bool // cancelled or set aside
	attempt  uint32
	evicted  int
	failures int
	failedOn []string
	resume   int64
}

// late is a report on its way.
type late struct {
	at     time.Duration
	report placement.Report
	worker *fakeWorker
}

// bench is the owner of the fake workers.
type bench struct {
	c        Case
	t        *truth
	rng      *rand.Rand // of the reports and faults
	workers  []*fakeWorker
	byID     map[string]*fakeWorker
	engine   *placement.Engine
	queue    *taskqueue.Queue
	arrivals *arrivals
	fates    map[job.TaskID]*fate
	services map[string]*service
	late     []late
	lapse    []lapse
	meter    *meter
	urgent   []float64
	cpuTicks float64
	grown    map[job.TaskID]int64 // memory that first fit gives a task after it ran out
	r        Result
	now      time.Duration
}

// Run runs one case.
func Run(c Case) Result {
	b := newBench(c)
	for b.now = tick; b.now <= c.Day; b.now += tick {
		b.step()
	}
	b.finish()
	return b.r
}

func newBench(c Case) *bench {
	d := &c.Deployment
	t := newTruth(d, rand.New(rand.NewPCG(c.Seed, 1)))
	b := &bench{
		c: c, t: t,
		rng:      rand.New(rand.NewPCG(c.Seed, 2)),
		byID:     map[string]*fakeWorker{},
		engine:   placement.New(d.Policy),
		queue:    taskqueue.New(),
		grown:    map[job.TaskID]int64{},
		fates:    map[job.TaskID]*fate{},
		services: map[string]*service{},
		r: Result{
			Deployment: d.Name, Level: c.Level.Name, Fault: c.Fault, Policy: c.Policy, Seed: c.Seed,
			Target: float64(d.Services[0].Target.D()) / float64(time.Millisecond),
		},
	}
	b.engine.SetResourceOnly(c.Policy == Blind)
	b.engine.SetWorkerCount(d.Workers)
	b.meter = newMeter(d.Services[0].Target.D().Seconds(), &b.r)
	b.addWorkers()
	left := float64(d.Capacity.MilliCPU) * float64(d.Workers)
	for i := range d.Services {
		b.services[d.Services[i].ID] = t.services[i]
		left -= float64(d.Services[i].Needs.MilliCPU) * float64(d.Services[i].Tasks)
		b.submit(&d.Services[i], nil)
	}
	for i := range d.Watches {
		b.submit(&d.Watches[i], nil)
	}
	b.arrivals = newArrivals(t, left*c.Level.Batch, rand.New(rand.NewPCG(c.Seed, 3)))
	return b
}

func (b *bench) addWorkers() {
	d := &b.c.Deployment
	for i := range d.Workers {
		w := &fakeWorker{
			owner: &placement.Worker{
				ID:       name("worker", i),
				Rack:     name("rack", i/d.PerRack),
				Capacity: d.Capacity,
			},
			offset: time.Duration(i%int(reportEvery/tick)) * tick,
		}
		b.workers = append(b.workers, w)
		b.byID[w.owner.ID] = w
	}
}

func name(kind string, i int) string {
	return kind + "-" + string(rune('0'+i/10)) + string(rune('0'+i%10))
}

// submit queues a job's tasks.
func (b *bench) submit(s *job.Spec, tasks []*task) {
	for i := range s.Tasks {
		f := &fate{spec: s, sent: b.now}
		if tasks != nil {
			f.truth = tasks[i]
			b.r.Submitted++
			if s.Deadline > 0 {
				f.deadline = b.now + s.Deadline.D()
			}
		}
		id := job.TaskID{Job: s.ID, Index: i}
		b.fates[id] = f
		b.wait(id, f, 0)
	}
}

// wait queues a task with what is known of its past.
func (b *bench) wait(id job.TaskID, f *fate, backOff time.Duration) {
	b.queue.Add(&placement.Pending{
		Task: id, Spec: f.spec, Submitted: f.sent, NotBefore: b.now + backOff, Resume: f.resume,
		Evictions: f.evicted, Failures: f.failures, FailedOn: slices.Clone(f.failedOn),
	}, b.now)
}

// at is the fraction of the day.
func (b *bench) at() float64 { return float64(b.now) / float64(b.c.Day) }

func (b *bench) step() {
	b.setLoad()
	for _, w := range b.workers {
		for _, e := range w.step(b.now, b.t) {
			b.ended(w, e)
		}
	}
	b.measure()
	b.faults()
	b.report()
	for _, j := range b.arrivals.due(b.now, b.c.Fault == NoiseWave && b.c.Fault.during(b.at())) {
		b.submit(j.spec, j.tasks)
	}
	if b.c.Fault == TableAway && b.c.Fault.during(b.at()) {
		return
	}
	b.decide()
	b.check()
}

// setLoad divides each service's load among its live replicas.
func (b *bench) setLoad() {
	live := map[string]int{}
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.service != nil {
				live[r.owner.Spec.ID]++
			}
		}
	}
	day := dayLoad(b.at()) * b.c.Level.Service
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.service == nil {
				continue
			}
			share := float64(r.service.spec.Tasks) / float64(live[r.owner.Spec.ID])
			r.load = max(0.02, day*share*r.skew*(1+loadJitter*b.rng.NormFloat64()))
		}
	}
}

// ended takes in the end of a run.
func (b *bench) ended(w *fakeWorker, e ended) {
	r := e.run.owner
	id := r.ID.Task
	f := b.fates[id]
	f.live--
	b.release(w, r)
	b.engine.RecordEnd(placement.RunEnd{
		Now: b.now, Worker: w.owner.ID, Run: r.ID, Spec: r.Spec, Commit: r.Commit,
		State: e.state, Reason: e.reason, RunTime: b.now - r.Started,
		Resume: r.Resume, Work: int64(e.run.progress),
	})
	b.queue.Notify(taskqueue.CapacityFreed)
	if f.gone {
		return
	}
	f.resume = int64(e.run.saved)
	switch e.state {
	case contract.Finished:
		b.finished(f)
	case contract.Failed:
		b.r.Failures++
		if e.reason != placement.ReasonMemory {
			f.failures++
			f.failedOn = append(f.failedOn, w.owner.ID)
			f.failedOn = f.failedOn[max(0, len(f.failedOn)-8):]
		}
		if e.reason == placement.ReasonMemory {
			b.grown[id] = 2 * r.Commit.MemoryMB
		}
		b.wait(id, f, min(time.Duration(1+f.failures*f.failures)*time.Second, time.Minute))
	default:
		b.wait(id, f, 0)
	}
}

func (b *bench) finished(f *fate) {
	if f.done {
		b.r.Doubled++
		return
	}
	f.done = true
	b.r.Finished++
	b.r.CoreHours += f.truth.milliCPU / 1000 * f.truth.seconds / 3600
	if f.deadline > 0 && b.now <= f.deadline {
		b.r.Met++
	}
}

// release takes the run off the worker's books.
func (b *bench) release(w *fakeWorker, r *placement.Run) {
	w.owner.Runs = slices.DeleteFunc(w.owner.Runs, func(o *placement.Run) bool { return o == r })
	w.owner.LastChange = b.now
}

// measure reads the truth for the result.
func (b *bench) measure() {
	id := b.c.Deployment.Services[0].ID
	for i, w := range b.workers {
		for _, r := range w.runs {
			if r.truth != nil {
				b.cpuTicks += min(r.truth.milliCPU, float64(r.owner.Commit.MilliCPU))
			}
			if r.service == nil {
				continue
			}
			b.cpuTicks += min(1, r.load) * float64(r.owner.Commit.MilliCPU)
			if r.owner.Spec.ID == id && r.p99 > 0 {
				b.meter.add(r)
				if (int(b.now/tick)+i)%8 == 0 {
					b.meter.sample(r)
				}
			}
		}
	}
	b.meter.end()
}

// report sends the measurements that are due and takes in those that arrive.
func (b *bench) report() {
	for _, w := range b.workers {
		if w.dead || (b.now+w.offset)%reportEvery != 0 {
			continue
		}
		b.late = append(b.late, late{
			at:     b.now + b.c.Fault.lag(b.rng),
			worker: w,
			report: placement.Report{Worker: w.owner.ID, Runs: w.report(b.now, b.rng)},
		})
	}
	kept := b.late[:0]
	for _, l := range b.late {
		if l.at > b.now {
			kept = append(kept, l)
			continue
		}
		if l.worker.dead {
			continue
		}
		l.report.Now, l.report.LastChange = b.now, l.worker.owner.LastChange
		b.engine.Observe(l.report)
	}
	clear(b.late[len(kept):])
	b.late = kept
}

// finish accounts for every task.
func (b *bench) finish() {
	used := b.cpuTicks / float64(b.c.Day/tick)
	b.r.Utilisation = used / (float64(b.c.Deployment.Capacity.MilliCPU) * float64(len(b.workers)))
	b.r.P50 = float64(b.meter.hist.ValueAtQuantile(50)) / 1000
	b.r.P99 = float64(b.meter.hist.ValueAtQuantile(99)) / 1000
	b.r.P999 = float64(b.meter.hist.ValueAtQuantile(99.9)) / 1000
	b.r.UrgentP99 = percentile(b.urgent, 0.99)
	for id, f := range b.fates {
		if f.deadline > 0 && f.deadline <= b.c.Day && !(f.gone && !f.done) {
			b.r.Due++
		} else if f.deadline > b.c.Day && f.done {
			b.r.Met-- // finished early; not counted among those due
		}
		b.account(id, f)
	}
}

// account counts a task that is nowhere, or in two places.
func (b *bench) account(id job.TaskID, f *fate) {
	_, _, queued := b.queue.Find(id)
	places := f.live
	for _, l := range b.lapse {
		if l.run.ID.Task == id {
			places++
		}
	}
	if queued {
		places++
	}
	if f.done {
		places++
	}
	if f.gone && !queued {
		places = 1
	}
	switch {
	case places == 0:
		b.r.Lost++
	case places > 1:
		b.r.Doubled++
	}
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

// check counts workers committed beyond their capacity.
func (b *bench) check() {
	for _, w := range b.workers {
		var sum resource.Vector
		for _, r := range w.owner.Runs {
			sum = sum.Add(r.Commit)
		}
		if !sum.Fits(w.owner.Capacity) {
			b.r.Overcommitted++
		}
	}
}
