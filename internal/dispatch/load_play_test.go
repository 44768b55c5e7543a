package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// playStep is the resolution of a played load.
const playStep = 20 * time.Millisecond

// arrival is a job that a played load submits, with the real durations of its tasks.
type arrival struct {
	at    time.Duration
	spec  workload.Spec
	tasks []time.Duration // by task, in the order of the steps

	leaves time.Duration // when its caller cancels it, 0 for never
}

// longest returns the longest chain of real durations, if every step waits for the one before.
func (a *arrival) longest() time.Duration {
	sum, n := time.Duration(0), 0
	for _, st := range a.spec.Steps {
		longest := time.Duration(0)
		for range st.Tasks {
			longest = max(longest, a.tasks[n])
			n++
		}
		sum += longest
	}
	return sum
}

// work returns the real work of the job in core-seconds.
func (a *arrival) work() float64 {
	sum, n := 0.0, 0
	for _, st := range a.spec.Steps {
		for range st.Tasks {
			sum += float64(st.Needs.MilliCPU) / 1000 * a.tasks[n].Seconds()
			n++
		}
	}
	return sum
}

// loadClass generates the jobs of one queue of a played load.
type loadClass struct {
	queue                 string
	perSecond             float64
	burstFrom, burstUntil time.Duration // while the rate is burst times as high
	burst                 float64
	steps                 int
	width                 float64       // mean number of tasks of a step
	duration              time.Duration // mean of a task
	estimateOff           float64       // spread of the logarithm of declared durations
	milliCPU, memoryMB    float64       // means of a task
	spread                float64       // spread of the logarithm of the needs
	checkpoints, backfill bool
}

// addLongRunning adds long-running jobs that are cancelled after a while: initial ones at the
// start of the load, and then so many a second that about as many stay.
func addLongRunning(arrivals []*arrival, seed uint64, end time.Duration, initial int, tasks int, needs resource.Vector, stay time.Duration) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 2))
	add := func(at time.Duration) {
		size := math.Exp(0.25 * rng.NormFloat64())
		a := &arrival{at: at, leaves: at + time.Duration(rng.ExpFloat64()*float64(stay)), spec: workload.Spec{
			ID: fmt.Sprintf("%016x", 1<<32+len(arrivals)), Queue: "short", Payload: "p",
			Steps: []workload.Step{{Tasks: tasks, LongRunning: true, Image: fmt.Sprint("s", rng.IntN(5)), EstimateMillis: 1000, Needs: resource.Vector{
				MilliCPU: int64(size * float64(needs.MilliCPU)), MemoryMB: int64(size * float64(needs.MemoryMB)),
			}}},
		}}
		for range tasks {
			a.tasks = append(a.tasks, time.Hour)
		}
		arrivals = append(arrivals, a)
	}
	for range initial {
		add(0)
	}
	for at := playStep; at < end; at += playStep {
		if rng.Float64() < float64(initial)/stay.Seconds()*playStep.Seconds() {
			add(at)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// cancelDue cancels the jobs whose callers leave.
func (p *player) cancelDue(at time.Duration) {
	for id, a := range p.byJob {
		if j := p.jobs[id]; j != nil && a.leaves > 0 && at >= a.leaves {
			p.cancelJob(j)
		}
	}
}

// generate returns the arrivals of the classes until end, ordered by time.
func generate(seed uint64, end time.Duration, classes ...loadClass) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	around := func(mean, spread float64) float64 { return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2) }
	var out []*arrival
	n := 0
	for at := time.Duration(0); at < end; at += playStep {
		for _, c := range classes {
			rate := c.perSecond
			if at >= c.burstFrom && at < c.burstUntil {
				rate *= c.burst
			}
			if rng.Float64() >= rate*playStep.Seconds() {
				continue
			}
			n++
			a := &arrival{at: at, spec: workload.Spec{ID: fmt.Sprintf("%016x", n), Queue: c.queue, Payload: "p"}}
			for i := range c.steps {
				mean := around(c.duration.Seconds(), 0.5)
				st := workload.Step{
					Tasks:          max(1, int(around(c.width, 0.6))),
					Needs:          resource.Vector{MilliCPU: int64(around(c.milliCPU, c.spread)), MemoryMB: int64(around(c.memoryMB, c.spread))},
					EstimateMillis: int64(1000 * around(mean, c.estimateOff)), Checkpoints: c.checkpoints, Backfill: c.backfill,
				}
				if i > 0 {
					st.After = []int{i - 1}
				}
				for range st.Tasks {
					a.tasks = append(a.tasks, time.Duration(around(mean, 0.2)*float64(time.Second)))
				}
				a.spec.Steps = append(a.spec.Steps, st)
			}
			out = append(out, a)
		}
	}
	return out
}

// outcome is what the callers of a group of jobs got.
type outcome struct {
	jobs, inTime, late, unserved, refused int
	work, workInTime                      float64       // core-seconds of all jobs and of those in time
	waits                                 time.Duration // sum over the starts of tasks
	starts                                int
}

func (o outcome) String() string {
	return fmt.Sprintf("jobs %d in time %d late %d unserved %d refused %d, work in time %.2f, mean wait %v", o.jobs, o.inTime, o.late, o.unserved, o.refused, o.workInTime/max(1, o.work), o.waits/time.Duration(max(1, o.starts)))
}

// share is the share of the jobs that ended in time.
func (o outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.jobs)) }

// player plays arrivals against the decisions of one shard: submissions, plans, ends and
// stops, without a store or a network.
type player struct {
	*fixture
	arrivals   []*arrival
	stop       time.Duration // how long a worker takes to stop a run
	checkpoint time.Duration // interval of checkpoints
	submit     func(a *arrival) error
	byJob      map[string]*arrival
	done       map[string]time.Duration // when the job ended, since the start of the load
	refused    map[string]time.Duration // when it was refused
	progress   map[string]time.Duration // run time that a checkpoint of the task covers
	begun      map[string]time.Duration // when the present run of the task began
	stopping   map[string]time.Duration // when the stop of its run ends
	waits      map[string]time.Duration // by task, sum of its waits
	thrownAway float64                  // core-seconds
	start      time.Duration
	returning  []returningCaller
	report     func(at time.Duration) // what workers report at a time; nil for nothing
}

// acceptingWorkers accepts every command.
type acceptingWorkers struct{}

func (acceptingWorkers) Start(context.Context, fleet.Start) (fleet.CommandResult, error) {
	return fleet.CommandAccepted, nil
}

func (acceptingWorkers) Stop(context.Context, fleet.RunRef) (fleet.CommandResult, error) {
	return fleet.CommandAccepted, nil
}

func (acceptingWorkers) LimitCPU(context.Context, fleet.RunRef, int) (fleet.CommandResult, error) {
	return fleet.CommandAccepted, nil
}

func (acceptingWorkers) RenewLease(context.Context, fleet.RenewLease) (fleet.LeaseReport, error) {
	return fleet.LeaseReport{}, nil
}

// newPlayer returns a player with the given number of workers of one size.
func newPlayer(hosts int, capacity resource.Vector, arrivals []*arrival) *player {
	p := &player{
		fixture: newFixture(hosts), arrivals: arrivals, stop: 900 * time.Millisecond, checkpoint: 2 * time.Second,
		byJob: map[string]*arrival{}, done: map[string]time.Duration{}, refused: map[string]time.Duration{},
		progress: map[string]time.Duration{}, begun: map[string]time.Duration{}, stopping: map[string]time.Duration{}, waits: map[string]time.Duration{},
	}
	p.cfg.Metrics, p.cfg.Workers, p.hostCtx = noMetrics(), acceptingWorkers{}, context.Background()
	p.cfg.Bounds.Stop = p.stop
	for _, h := range p.hosts {
		h.Capacity = capacity
	}
	p.start = p.now
	p.setStoreClockLocked(1_000_000)
	p.submit = func(a *arrival) error {
		p.admit(workload.Accepted{Spec: a.spec, AtMillis: int64(p.storeNow())}, "").stored = true
		return nil
	}
	return p
}

// play plays the load and then until has passed since its start.
func (p *player) play(until time.Duration) {
	next := 0
	for at := time.Duration(0); at < until; at += playStep {
		p.mu.Lock()
		p.now = p.start + at
		for ; next < len(p.arrivals) && p.arrivals[next].at <= at; next++ {
			a := p.arrivals[next]
			p.byJob[a.spec.ID] = a
			p.submitAs(a, at, 0)
		}
		p.cancelDue(at)
		p.submitReturning(at)
		p.sampleThroughput(p.now)
		p.endRuns(at)
		if p.report != nil {
			p.report(at)
		}
		p.plan(p.now)
		p.beginRuns(at)
		p.mu.Unlock()
	}
	p.hostWG.Wait()
}

// beginRuns confirms the runs that the last plan placed.
func (p *player) beginRuns(at time.Duration) {
	for _, h := range p.hosts {
		for _, t := range h.tasks {
			if t.stage != stagePlanned {
				continue
			}
			p.waits[t.name] += p.now - t.pendingSince
			t.confirmRun(p.now)
			t.uninterrupted = t.Checkpoint == ""
			p.begun[t.name] = at
		}
	}
}

// endRuns ends the runs that have done their work or have been stopped.
func (p *player) endRuns(at time.Duration) {
	for _, h := range p.hosts {
		for name, t := range h.tasks {
			if t.stage != stageRunning || t.step.LongRunning && !t.stopWanted {
				continue
			}
			a := p.byJob[t.job.spec.ID]
			ran := at - p.begun[name]
			left := a.tasks[p.index(t)] - p.progress[name] - ran
			switch {
			case left <= 0:
				p.end(h, t, fleet.EndDone)
			case t.stopWanted && p.stopping[name] == 0:
				p.stopping[name] = at + p.stop
			case t.stopWanted && at >= p.stopping[name]:
				if t.step.Checkpoints {
					p.progress[name] += ran
				} else {
					p.thrownAway += float64(t.step.Needs.MilliCPU) / 1000 * ran.Seconds()
				}
				p.end(h, t, fleet.EndStopped)
			}
		}
	}
	for id, j := range p.jobs {
		if _, ok := p.done[id]; !ok && j.record.State == workload.Completed {
			p.done[id] = at
		}
	}
}

// end ends the present run of t.
func (p *player) end(h *host, t *task, kind fleet.EndKind) {
	delete(p.stopping, t.name)
	p.applyEnd(h, fleet.EndReport{Task: t.name, Run: t.Run, Kind: kind})
}

// index returns the position of t among the tasks of its job.
func (p *player) index(t *task) int {
	n := t.id.Index
	for i := range t.id.Step {
		n += t.job.spec.Steps[i].Tasks
	}
	return n
}

// outcomeOf returns the outcome of the jobs that the filter accepts. A job is in time if it
// ends within the slack of its queue times its longest chain, plus the queue's target; it is late
// within lateFactor times that.
func (p *player) outcomeOf(filter func(*arrival) bool) outcome {
	var o outcome
	for id, a := range p.byJob {
		if !filter(a) {
			continue
		}
		o.jobs++
		o.work += a.work()
		q := p.cfg.Config().QueueByName(a.spec.Queue)
		objective := time.Duration(q.Slack*float64(a.longest())) + q.Target
		took, ended := p.done[id]
		took -= a.at
		switch _, refused := p.refused[id]; {
		case refused:
			o.refused++
		case ended && took <= objective:
			o.inTime++
			o.workInTime += a.work()
		case ended && took <= lateFactor*objective:
			o.late++
		default:
			o.unserved++
		}
		for name, wait := range p.waits {
			if strings.HasPrefix(name, id) {
				o.waits, o.starts = o.waits+wait, o.starts+1
			}
		}
	}
	return o
}

// ofQueue accepts the jobs of a queue.
func ofQueue(queue string) func(*arrival) bool {
	return func(a *arrival) bool { return a.spec.Queue == queue }
}

// customerLoad is the load of two queues that compete for capacity: urgent short jobs and batch
// jobs, of which 2.5 times as many come for some seconds as can run.
func customerLoad(seed uint64, scale float64) []*arrival {
	return generate(
		seed, 40*time.Second,
		loadClass{
			queue: "short", perSecond: 4 * scale, burstFrom: 13 * time.Second, burstUntil: 16 * time.Second, burst: 1.7, steps: 2, width: 9,
			duration: 800 * time.Millisecond, estimateOff: 0.9, milliCPU: 1800, memoryMB: 3600, spread: 0.45,
		},
		loadClass{
			queue: "batch", perSecond: 4 * scale, burstFrom: 3 * time.Second, burstUntil: 9 * time.Second, burst: 2.5, steps: 2, width: 20,
			duration: 2200 * time.Millisecond, estimateOff: 0.2, milliCPU: 1800, memoryMB: 3200, spread: 0.3, checkpoints: true, backfill: true,
		},
	)
}

// TestPlayedLoadIsServed plays a load with room for all of it, without and with admission.
func TestPlayedLoadIsServed(t *testing.T) {
	for _, admission := range []bool{false, true} {
		p := newPlayer(80, resource.Vector{MilliCPU: 16000, MemoryMB: 64000}, customerLoad(1, 0.5))
		if admission {
			p.withAdmission()
		}
		p.play(60 * time.Second)
		for _, queue := range []string{"short", "batch"} {
			o := p.outcomeOf(ofQueue(queue))
			t.Log(queue, o)
			if o.share() < 0.95 || o.refused > 0 {
				t.Errorf("%s, admission %v: %.2f of the jobs ended in time beside free capacity, %d refused", queue, admission, o.share(), o.refused)
			}
		}
	}
}

// BenchmarkPlayedOverload plays a load that exceeds the capacity and reports what callers get.
func BenchmarkPlayedOverload(b *testing.B) {
	for range b.N {
		p := newPlayer(40, resource.Vector{MilliCPU: 16000, MemoryMB: 64000}, customerLoad(1, 1.6))
		p.play(70 * time.Second)
		b.Log("short", p.outcomeOf(ofQueue("short")))
		b.Log("batch", p.outcomeOf(ofQueue("batch")))
		b.Logf("thrown away %.0f core-seconds", p.thrownAway)
	}
}
