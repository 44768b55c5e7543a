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

// Policy names the placement policy of a run.
type Policy string

// The policies: the scheduler's own, the same without learned interference, and
// first fit by declared resources.
const (
	Learning     Policy = "policy"
	ResourceOnly Policy = "no-learning"
	FirstFit     Policy = "first-fit"
)

// Case holds the parameters of one run.
type Case struct {
	Deployment Deployment
	Level      Level
	Fault      Fault
	Policy     Policy
	Seed       uint64
	DayLength  time.Duration // length of the run, one day of load
}

// taskState is the state of a task in the run.
type taskState struct {
	truth     *task // nil for services and watches
	spec      *job.Spec
	deadline  time.Duration // 0 for none
	submitted time.Duration
	started   bool
	liveRuns  int // runs on fake workers
	finished  bool
	withdrawn bool // cancelled, or set aside by the policy
	attempt   uint32
	evictions int
	failures  int
	failedOn  []string
	resume    int64 // saved progress, in seconds at full speed
}

// delayedReport is a worker's report that reaches the policy at the time at.
type delayedReport struct {
	at     time.Duration
	report placement.Report
	worker *fakeWorker
}

// simulation is one run: it owns the fake workers, in the place of a shard's
// owner.
type simulation struct {
	config             Case
	truth              *truth
	rng                *rand.Rand // for the reports, service loads and faults
	workers            []*fakeWorker
	byID               map[string]*fakeWorker
	engine             *placement.Engine
	queue              *taskqueue.Queue
	arrivals           *jobArrivals
	tasks              map[job.TaskID]*taskState
	services           map[string]*service
	delayedReports     []delayedReport
	leaseExpiries      []leaseExpiry
	latency            *latencyMeter
	urgentStartSeconds []float64
	cpuTicks           float64              // sum over all ticks of the milli-CPUs in use
	raisedMemory       map[job.TaskID]int64 // MB that first fit gives a task that ran out of memory
	result             Result
	now                time.Duration
}

// Run simulates one case in virtual time and returns what it measured.
func Run(c Case) Result {
	b := newSimulation(c)
	for b.now = tick; b.now <= c.DayLength; b.now += tick {
		b.step()
	}
	b.summarise()
	return b.result
}

func newSimulation(c Case) *simulation {
	d := &c.Deployment
	t := newTruth(d, rand.New(rand.NewPCG(c.Seed, 1)))
	b := &simulation{
		config: c, truth: t,
		rng:          rand.New(rand.NewPCG(c.Seed, 2)),
		byID:         map[string]*fakeWorker{},
		engine:       placement.New(d.Policy),
		queue:        taskqueue.New(),
		raisedMemory: map[job.TaskID]int64{},
		tasks:        map[job.TaskID]*taskState{},
		services:     map[string]*service{},
		result: Result{
			Deployment: d.Name, Level: c.Level.Name, Fault: c.Fault, Policy: c.Policy, Seed: c.Seed,
			Target: float64(d.Services[0].Target.D()) / float64(time.Millisecond),
		},
	}
	b.engine.SetResourceOnly(c.Policy == ResourceOnly)
	b.engine.SetWorkerCount(d.Workers)
	b.latency = newLatencyMeter(d.Services[0].Target.D().Seconds(), &b.result)
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
	b.arrivals = newArrivals(t, left*c.Level.BatchLoad, rand.New(rand.NewPCG(c.Seed, 3)))
	return b
}

func (b *simulation) addWorkers() {
	d := &b.config.Deployment
	for i := range d.Workers {
		w := &fakeWorker{
			view: &placement.Worker{
				ID:       numberedName("worker", i),
				Rack:     numberedName("rack", i/d.WorkersPerRack),
				Capacity: d.Capacity,
			},
			offset: time.Duration(i%int(reportInterval/tick)) * tick,
		}
		b.workers = append(b.workers, w)
		b.byID[w.view.ID] = w
	}
}

func numberedName(kind string, i int) string {
	return kind + "-" + string(rune('0'+i/10)) + string(rune('0'+i%10))
}

// submit queues a job's tasks. tasks holds the hidden properties of batch tasks
// and is nil for services and watches.
func (b *simulation) submit(s *job.Spec, tasks []*task) {
	for i := range s.Tasks {
		f := &taskState{spec: s, submitted: b.now}
		if tasks != nil {
			f.truth = tasks[i]
			b.result.Submitted++
			if s.Deadline > 0 {
				f.deadline = b.now + s.Deadline.D()
			}
		}
		id := job.TaskID{Job: s.ID, Index: i}
		b.tasks[id] = f
		b.enqueue(id, f, 0)
	}
}

// enqueue queues a task with its history of evictions and failures. It is not
// placed before backOff has passed.
func (b *simulation) enqueue(id job.TaskID, f *taskState, backOff time.Duration) {
	b.queue.Add(&placement.Pending{
		Task: id, Spec: f.spec, Submitted: f.submitted, NotBefore: b.now + backOff, Resume: f.resume,
		Evictions: f.evictions, Failures: f.failures, FailedOn: slices.Clone(f.failedOn),
	}, b.now)
}

// dayFraction returns the elapsed fraction of the run.
func (b *simulation) dayFraction() float64 { return float64(b.now) / float64(b.config.DayLength) }

func (b *simulation) step() {
	b.setLoad()
	for _, w := range b.workers {
		for _, e := range w.step(b.now, b.truth) {
			b.handleRunEnd(w, e)
		}
	}
	b.measure()
	b.injectFaults()
	b.exchangeReports()
	for _, j := range b.arrivals.jobsUntil(b.now, b.config.Fault == NoiseWave && b.config.Fault.activeAt(b.dayFraction())) {
		b.submit(j.spec, j.tasks)
	}
	if b.config.Fault == TableOutage && b.config.Fault.activeAt(b.dayFraction()) {
		return
	}
	b.runCycle()
	b.countOvercommitted()
}

// setLoad divides each service's load among its live replicas, with a fixed
// random skew per replica and a random deviation per tick.
func (b *simulation) setLoad() {
	live := map[string]int{}
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.service != nil {
				live[r.view.Spec.ID]++
			}
		}
	}
	day := serviceLoadAt(b.dayFraction()) * b.config.Level.ServiceLoad
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.service == nil {
				continue
			}
			share := float64(r.service.spec.Tasks) / float64(live[r.view.Spec.ID])
			r.load = max(0.02, day*share*r.loadSkew*(1+loadJitterSigma*b.rng.NormFloat64()))
		}
	}
}

// handleRunEnd processes the end of a run and queues its task again unless it
// finished.
func (b *simulation) handleRunEnd(w *fakeWorker, e runEnd) {
	r := e.run.view
	id := r.ID.Task
	f := b.tasks[id]
	f.liveRuns--
	b.releaseRun(w, r)
	b.engine.RecordEnd(placement.RunEnd{
		Now: b.now, Worker: w.view.ID, Run: r.ID, Spec: r.Spec, Commit: r.Commit,
		State: e.state, Reason: e.reason, RunTime: b.now - r.Started,
		Resume: r.Resume, Work: int64(e.run.progress),
	})
	b.queue.Notify(taskqueue.CapacityFreed)
	if f.withdrawn {
		return
	}
	f.resume = int64(e.run.saved)
	switch e.state {
	case contract.Finished:
		b.recordFinished(f)
	case contract.Failed:
		b.result.Failures++
		if e.reason != placement.ReasonMemory {
			f.failures++
			f.failedOn = append(f.failedOn, w.view.ID)
			f.failedOn = f.failedOn[max(0, len(f.failedOn)-8):]
		}
		if e.reason == placement.ReasonMemory {
			b.raisedMemory[id] = 2 * r.Commit.MemoryMB
		}
		b.enqueue(id, f, min(time.Duration(1+f.failures*f.failures)*time.Second, time.Minute))
	default:
		b.enqueue(id, f, 0)
	}
}

func (b *simulation) recordFinished(f *taskState) {
	if f.finished {
		b.result.Duplicated++
		return
	}
	f.finished = true
	b.result.Finished++
	b.result.CoreHours += f.truth.milliCPU / 1000 * f.truth.seconds / 3600
	if f.deadline > 0 && b.now <= f.deadline {
		b.result.DeadlinesMet++
	}
}

// releaseRun removes the run from the worker that the policy sees, which frees
// its resources.
func (b *simulation) releaseRun(w *fakeWorker, r *placement.Run) {
	w.view.Runs = slices.DeleteFunc(w.view.Runs, func(o *placement.Run) bool { return o == r })
	w.view.LastChange = b.now
}

// measure records the actual processor use and the latencies of the checked
// service, of which the policy sees only reports.
func (b *simulation) measure() {
	id := b.config.Deployment.Services[0].ID
	for i, w := range b.workers {
		for _, r := range w.runs {
			if r.truth != nil {
				b.cpuTicks += min(r.truth.milliCPU, float64(r.view.Commit.MilliCPU))
			}
			if r.service == nil {
				continue
			}
			b.cpuTicks += min(1, r.load) * float64(r.view.Commit.MilliCPU)
			if r.view.Spec.ID == id && r.p99 > 0 {
				b.latency.addTick(r)
				if (int(b.now/tick)+i)%8 == 0 { // each replica in one tick of eight
					b.latency.recordLatencies(r)
				}
			}
		}
	}
	b.latency.endTick()
}

// exchangeReports sends the workers' reports that are due, each with a random
// delay, and passes those that arrive to the policy.
func (b *simulation) exchangeReports() {
	for _, w := range b.workers {
		if w.dead || (b.now+w.offset)%reportInterval != 0 {
			continue
		}
		b.delayedReports = append(b.delayedReports, delayedReport{
			at:     b.now + b.config.Fault.reportDelay(b.rng),
			worker: w,
			report: placement.Report{Worker: w.view.ID, Runs: w.report(b.now, b.rng)},
		})
	}
	kept := b.delayedReports[:0]
	for _, l := range b.delayedReports {
		if l.at > b.now {
			kept = append(kept, l)
			continue
		}
		if l.worker.dead {
			continue
		}
		l.report.Now, l.report.LastChange = b.now, l.worker.view.LastChange
		b.engine.Observe(l.report)
	}
	clear(b.delayedReports[len(kept):])
	b.delayedReports = kept
}

// summarise computes the result's summary figures and checks that every task is
// accounted for.
func (b *simulation) summarise() {
	used := b.cpuTicks / float64(b.config.DayLength/tick)
	b.result.Utilisation = used / (float64(b.config.Deployment.Capacity.MilliCPU) * float64(len(b.workers)))
	b.result.P50 = float64(b.latency.histogram.ValueAtQuantile(50)) / 1000
	b.result.P99 = float64(b.latency.histogram.ValueAtQuantile(99)) / 1000
	b.result.P999 = float64(b.latency.histogram.ValueAtQuantile(99.9)) / 1000
	b.result.UrgentP99 = percentile(b.urgentStartSeconds, 0.99)
	for id, f := range b.tasks {
		if f.deadline > 0 && f.deadline <= b.config.DayLength && !(f.withdrawn && !f.finished) {
			b.result.DeadlinesDue++
		} else if f.deadline > b.config.DayLength && f.finished {
			b.result.DeadlinesMet-- // its deadline is after the end of the run, so it does not count as due
		}
		b.checkTaskPlaces(id, f)
	}
}

// checkTaskPlaces counts the task as lost if it is in no place, and as duplicated
// if it is in more than one: queued, running, waiting for a lease to expire, or
// finished.
func (b *simulation) checkTaskPlaces(id job.TaskID, f *taskState) {
	_, _, queued := b.queue.Find(id)
	places := f.liveRuns
	for _, l := range b.leaseExpiries {
		if l.run.ID.Task == id {
			places++
		}
	}
	if queued {
		places++
	}
	if f.finished {
		places++
	}
	if f.withdrawn && !queued {
		places = 1
	}
	switch {
	case places == 0:
		b.result.Lost++
	case places > 1:
		b.result.Duplicated++
	}
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

// countOvercommitted counts the workers that are committed beyond their capacity
// in this tick.
func (b *simulation) countOvercommitted() {
	for _, w := range b.workers {
		var sum resource.Vector
		for _, r := range w.view.Runs {
			sum = sum.Add(r.Commit)
		}
		if !sum.Fits(w.view.Capacity) {
			b.result.Overcommitted++
		}
	}
}
