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
	sim := newSimulation(c)
	for sim.now = tick; sim.now <= c.DayLength; sim.now += tick {
		sim.step()
	}
	sim.summarise()
	return sim.result
}

func newSimulation(c Case) *simulation {
	d := &c.Deployment
	t := newTruth(d, rand.New(rand.NewPCG(c.Seed, 1)))
	sim := &simulation{
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
	sim.engine.SetResourceOnly(c.Policy == ResourceOnly)
	sim.engine.SetWorkerCount(d.Workers)
	sim.latency = newLatencyMeter(d.Services[0].Target.D().Seconds(), &sim.result)
	sim.addWorkers()
	left := float64(d.Capacity.MilliCPU) * float64(d.Workers)
	for i := range d.Services {
		sim.services[d.Services[i].ID] = t.services[i]
		left -= float64(d.Services[i].Needs.MilliCPU) * float64(d.Services[i].Tasks)
		sim.submit(&d.Services[i], nil)
	}
	for i := range d.Watches {
		sim.submit(&d.Watches[i], nil)
	}
	sim.arrivals = newArrivals(t, left*c.Level.BatchLoad, rand.New(rand.NewPCG(c.Seed, 3)))
	return sim
}

func (sim *simulation) addWorkers() {
	d := &sim.config.Deployment
	for i := range d.Workers {
		w := &fakeWorker{
			view: &placement.Worker{
				ID:       numberedName("worker", i),
				Rack:     numberedName("rack", i/d.WorkersPerRack),
				Capacity: d.Capacity,
			},
			offset: time.Duration(i%int(reportInterval/tick)) * tick,
		}
		sim.workers = append(sim.workers, w)
		sim.byID[w.view.ID] = w
	}
}

func numberedName(kind string, i int) string {
	return kind + "-" + string(rune('0'+i/10)) + string(rune('0'+i%10))
}

// submit queues a job's tasks. tasks holds the hidden properties of batch tasks
// and is nil for services and watches.
func (sim *simulation) submit(s *job.Spec, tasks []*task) {
	for i := range s.Tasks {
		f := &taskState{spec: s, submitted: sim.now}
		if tasks != nil {
			f.truth = tasks[i]
			sim.result.Submitted++
			if s.Deadline > 0 {
				f.deadline = sim.now + s.Deadline.D()
			}
		}
		id := job.TaskID{Job: s.ID, Index: i}
		sim.tasks[id] = f
		sim.enqueue(id, f, 0)
	}
}

// enqueue queues a task with its history of evictions and failures. It is not
// placed before backOff has passed.
func (sim *simulation) enqueue(id job.TaskID, f *taskState, backOff time.Duration) {
	sim.queue.Add(&placement.Pending{
		Task: id, Spec: f.spec, Submitted: f.submitted, NotBefore: sim.now + backOff, Resume: f.resume,
		Evictions: f.evictions, Failures: f.failures, FailedOn: slices.Clone(f.failedOn),
	}, sim.now)
}

// dayFraction returns the elapsed fraction of the simulated day, which is the whole run.
func (sim *simulation) dayFraction() float64 { return float64(sim.now) / float64(sim.config.DayLength) }

func (sim *simulation) step() {
	sim.setLoad()
	for _, w := range sim.workers {
		for _, e := range w.step(sim.now, sim.truth) {
			sim.handleRunEnd(w, e)
		}
	}
	sim.measure()
	sim.injectFaults()
	sim.exchangeReports()
	for _, j := range sim.arrivals.jobsUntil(sim.now, sim.config.Fault == NoiseWave && sim.config.Fault.activeAt(sim.dayFraction())) {
		sim.submit(j.spec, j.tasks)
	}
	if sim.config.Fault == TableOutage && sim.config.Fault.activeAt(sim.dayFraction()) {
		return
	}
	sim.runCycle()
	sim.countOvercommitted()
}

// setLoad divides each service's load among its live replicas, with a fixed
// random skew per replica and a random deviation per tick.
func (sim *simulation) setLoad() {
	live := map[string]int{}
	for _, w := range sim.workers {
		for _, r := range w.runs {
			if r.service != nil {
				live[r.view.Spec.ID]++
			}
		}
	}
	day := serviceLoadAt(sim.dayFraction()) * sim.config.Level.ServiceLoad
	for _, w := range sim.workers {
		for _, r := range w.runs {
			if r.service == nil {
				continue
			}
			share := float64(r.service.spec.Tasks) / float64(live[r.view.Spec.ID])
			r.load = max(0.02, day*share*r.loadSkew*(1+loadJitterSigma*sim.rng.NormFloat64()))
		}
	}
}

// handleRunEnd processes the end of a run and queues its task again unless it
// finished.
func (sim *simulation) handleRunEnd(w *fakeWorker, e runEnd) {
	r := e.run.view
	id := r.ID.Task
	f := sim.tasks[id]
	f.liveRuns--
	sim.releaseRun(w, r)
	sim.engine.RecordEnd(placement.RunEnd{
		Now: sim.now, Worker: w.view.ID, Run: r.ID, Spec: r.Spec, Commit: r.Commit,
		State: e.state, Reason: e.reason, RunTime: sim.now - r.Started,
		Resume: r.Resume, Work: int64(e.run.progress),
	})
	sim.queue.Notify(taskqueue.CapacityFreed)
	if f.withdrawn {
		return
	}
	f.resume = int64(e.run.saved)
	switch e.state {
	case contract.Finished:
		sim.recordFinished(f)
	case contract.Failed:
		sim.result.Failures++
		if e.reason != placement.ReasonMemory {
			f.failures++
			f.failedOn = append(f.failedOn, w.view.ID)
			f.failedOn = f.failedOn[max(0, len(f.failedOn)-8):]
		}
		if e.reason == placement.ReasonMemory {
			sim.raisedMemory[id] = 2 * r.Commit.MemoryMB
		}
		sim.enqueue(id, f, min(time.Duration(1+f.failures*f.failures)*time.Second, time.Minute))
	default:
		sim.enqueue(id, f, 0)
	}
}

func (sim *simulation) recordFinished(f *taskState) {
	if f.finished {
		sim.result.Duplicated++
		return
	}
	f.finished = true
	sim.result.Finished++
	sim.result.CoreHours += f.truth.milliCPU / 1000 * f.truth.seconds / 3600
	if f.deadline > 0 && sim.now <= f.deadline {
		sim.result.DeadlinesMet++
	}
}

// releaseRun removes the run from the worker that the policy sees, which frees
// its resources.
func (sim *simulation) releaseRun(w *fakeWorker, r *placement.Run) {
	w.view.Runs = slices.DeleteFunc(w.view.Runs, func(o *placement.Run) bool { return o == r })
	w.view.LastChange = sim.now
}

// measure records the actual processor use and the latencies of the checked
// service, of which the policy sees only reports.
func (sim *simulation) measure() {
	id := sim.config.Deployment.Services[0].ID
	for i, w := range sim.workers {
		for _, r := range w.runs {
			if r.truth != nil {
				sim.cpuTicks += min(r.truth.milliCPU, float64(r.view.Commit.MilliCPU))
			}
			if r.service == nil {
				continue
			}
			sim.cpuTicks += min(1, r.load) * float64(r.view.Commit.MilliCPU)
			if r.view.Spec.ID == id && r.p99 > 0 {
				sim.latency.addTick(r)
				if (int(sim.now/tick)+i)%8 == 0 { // each replica in one tick of eight
					sim.latency.recordLatencies(r)
				}
			}
		}
	}
	sim.latency.endTick()
}

// exchangeReports sends the workers' reports that are due, each with a random
// delay, and passes those that arrive to the policy.
func (sim *simulation) exchangeReports() {
	for _, w := range sim.workers {
		if w.dead || (sim.now+w.offset)%reportInterval != 0 {
			continue
		}
		sim.delayedReports = append(sim.delayedReports, delayedReport{
			at:     sim.now + sim.config.Fault.reportDelay(sim.rng),
			worker: w,
			report: placement.Report{Worker: w.view.ID, Runs: w.report(sim.now, sim.rng)},
		})
	}
	kept := sim.delayedReports[:0]
	for _, r := range sim.delayedReports {
		if r.at > sim.now {
			kept = append(kept, r)
			continue
		}
		if r.worker.dead {
			continue
		}
		r.report.Now, r.report.LastChange = sim.now, r.worker.view.LastChange
		sim.engine.Observe(r.report)
	}
	clear(sim.delayedReports[len(kept):])
	sim.delayedReports = kept
}

// summarise computes the result's summary figures and checks that every task is
// accounted for.
func (sim *simulation) summarise() {
	used := sim.cpuTicks / float64(sim.config.DayLength/tick)
	sim.result.Utilisation = used / (float64(sim.config.Deployment.Capacity.MilliCPU) * float64(len(sim.workers)))
	sim.result.P50 = float64(sim.latency.histogram.ValueAtQuantile(50)) / 1000
	sim.result.P99 = float64(sim.latency.histogram.ValueAtQuantile(99)) / 1000
	sim.result.P999 = float64(sim.latency.histogram.ValueAtQuantile(99.9)) / 1000
	sim.result.UrgentP99 = percentile(sim.urgentStartSeconds, 0.99)
	for id, f := range sim.tasks {
		if f.deadline > 0 && f.deadline <= sim.config.DayLength && !(f.withdrawn && !f.finished) {
			sim.result.DeadlinesDue++
		} else if f.deadline > sim.config.DayLength && f.finished {
			sim.result.DeadlinesMet-- // its deadline is after the end of the run, so it does not count as due
		}
		sim.checkTaskPlaces(id, f)
	}
}

// checkTaskPlaces counts the task as lost if it is in no place, and as duplicated
// if it is in more than one: queued, running, waiting for a lease to expire, or
// finished.
func (sim *simulation) checkTaskPlaces(id job.TaskID, f *taskState) {
	_, _, queued := sim.queue.Find(id)
	places := f.liveRuns
	for _, l := range sim.leaseExpiries {
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
		sim.result.Lost++
	case places > 1:
		sim.result.Duplicated++
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
func (sim *simulation) countOvercommitted() {
	for _, w := range sim.workers {
		var sum resource.Vector
		for _, r := range w.view.Runs {
			sum = sum.Add(r.Commit)
		}
		if !sum.Fits(w.view.Capacity) {
			sim.result.Overcommitted++
		}
	}
}
