package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/estimate"
	"skylarkport/internal/interference"
	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
	"skylarkport/internal/resource"
)

const (
	// Settle is how long after a worker's last change a report must have
	// been measured to speak of the present neighbours: the length of a
	// worker's measurement window.
	Settle = 5 * time.Second

	ratiosKept    = 5
	floorsKept    = 4096
	evictionsKept = 4096
	hugeAmount    = int64(1) << 40
)

// RunUsage is a usage report of one run.
type RunUsage struct {
	Run       job.RunID
	Spec      *job.Spec
	Commit    resource.Vector
	Throttled bool
	// At is when Usage was measured, on the owner's clock. Zero means that
	// there is no measurement.
	At    time.Duration
	Usage contract.Usage
}

// Report is what one worker reported in one exchange.
type Report struct {
	Worker  string
	Now     time.Duration // when it arrived, on the owner's clock
	Changed time.Duration // the worker's last change, as Worker.Changed
	Runs    []RunUsage    // every run that holds resources on the worker
}

// End is the proved end of a run.
type End struct {
	Now     time.Duration
	Worker  string
	Run     job.RunID
	Spec    *job.Spec
	Commit  resource.Vector // held at the end
	State   contract.RunState
	Reason  string        // contract.RunReport.Reason
	RunTime time.Duration // of this run
	Resume  int64         // progress at its start, in work units
	Work    int64         // progress at its end, in work units
}

// ReasonMemory begins the reason of a run that failed for want of memory.
const ReasonMemory = "memory"

// Engine holds what was observed. Its methods are safe for concurrent use.
type Engine struct {
	mu           sync.Mutex
	cfg          bundle.Placement
	usage        *estimate.Store
	interference *interference.Model
	quarantine   *quarantine.Tracker
	workers      map[string]*WorkerView
	floors       map[job.TaskID]resource.Vector
	evictions    []time.Duration // by interference, newest last
	now          time.Duration
	blind        bool
}

// New returns an engine that has observed nothing.
func New(cfg bundle.Placement) *Engine {
	e := &Engine{
		usage:        estimate.NewStore(cfg.UsagePercentile),
		interference: interference.NewModel(),
		quarantine:   quarantine.NewTracker(quarantine.Config{}),
		workers:      map[string]*WorkerView{},
		floors:       map[job.TaskID]resource.Vector{},
	}
	e.Configure(cfg)
	return e
}

// Configure puts the settings of a newly accepted bundle in force. What was
// observed is kept.
func (e *Engine) Configure(cfg bundle.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg = withDefaults(cfg)
	e.usage.SetPercentile(e.cfg.UsagePercentile)
	e.quarantine.Configure(quarantine.Config{
		Failures: e.cfg.QuarantineFailures,
		Window:   e.cfg.Window.D(),
		For:      e.cfg.QuarantineFor.D(),
		Fraction: e.cfg.QuarantineFraction,
	})
}

// SetBlind turns the learning of interference off or on. A blind engine places
// by resources alone and blames the neighbours of a slow service by the
// processors that they use.
func (e *Engine) SetBlind(blind bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.blind = blind
}

// Fleet tells how many workers the shard has.
func (e *Engine) Fleet(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantine.Fleet(n)
}

// Observe takes in one worker's report. A measurement that was taken in before
// counts once.
func (e *Engine) Observe(r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, r.Now)
	old := e.workers[r.Worker]
	w := &WorkerView{Runs: make([]RunView, 0, len(r.Runs))}
	if old != nil {
		w.Step, w.Stepped = old.Step, old.Stepped
	}
	for i := range r.Runs {
		w.Runs = append(w.Runs, e.observeRun(&r, &r.Runs[i], old.run(r.Runs[i].Run, i)))
	}
	e.workers[r.Worker] = w
}

// observeRun returns the run's new view. prev is the old one or nil.
func (e *Engine) observeRun(r *Report, u *RunUsage, prev *RunView) RunView {
	v := RunView{Run: u.Run}
	if prev != nil {
		v = *prev
	}
	if u.Spec == nil || u.At <= v.At || u.At > r.Now {
		return v
	}
	used := clamp(u.Usage.Used, u.Commit)
	v.At, v.Used, v.Load = u.At, used, finite(u.Usage.Load)
	if !u.Throttled {
		e.usage.Usage(Family(u.Spec), used, u.Commit, finite(u.Usage.Rate), r.Now)
	}
	if u.Spec.Kind == job.Service {
		e.observeLatency(r, u, &v)
	}
	return v
}

// observeLatency counts a latency that was measured wholly after the worker's
// last change.
func (e *Engine) observeLatency(r *Report, u *RunUsage, v *RunView) {
	if u.At < r.Changed+Settle || u.Usage.P99 <= 0 {
		v.Ratios = nil
		return
	}
	p99 := u.Usage.P99.D()
	if target := e.target(u.Spec, v.Load); target > 0 {
		v.Ratios = append(slices.Clone(v.Ratios), float64(p99)/float64(target))
		v.Ratios = v.Ratios[max(0, len(v.Ratios)-ratiosKept):]
	}
	if e.blind {
		return
	}
	e.interference.Observe(Family(u.Spec), v.Load, p99, e.neighbours(r, u.Run), r.Now)
}

// target returns the latency that a service has to keep: its target, or, where it
// names none, SlowdownThreshold times its quiet latency. Zero means unknown.
func (e *Engine) target(s *job.Spec, load float64) time.Duration {
	if s.Target > 0 {
		return s.Target.D()
	}
	quiet, ok := e.interference.Quiet(Family(s), load)
	if !ok {
		return 0
	}
	return time.Duration(float64(quiet) * e.cfg.SlowdownThreshold)
}

// neighbours returns the batch work beside the run, by family.
func (e *Engine) neighbours(r *Report, self job.RunID) []interference.Neighbour {
	var out []interference.Neighbour
	for i := range r.Runs {
		u := &r.Runs[i]
		if u.Run == self || u.Spec == nil || u.Spec.Kind != job.Batch {
			continue
		}
		out = addNeighbour(out, Family(u.Spec), e.intensity(u))
	}
	return out
}

// intensity is the run's use over its family's usual use.
func (e *Engine) intensity(u *RunUsage) float64 {
	typical := e.usage.Typical(Family(u.Spec)).MilliCPU
	used := clamp(u.Usage.Used, u.Commit).MilliCPU
	if u.At == 0 || typical <= 0 {
		return 1
	}
	return math.Min(maxIntensity, float64(used)/float64(typical))
}

func addNeighbour(list []interference.Neighbour, family string, x float64) []interference.Neighbour {
	for i := range list {
		if list[i].Family == family {
			list[i].Intensity += x
			return list
		}
	}
	return append(list, interference.Neighbour{Family: family, Intensity: x})
}

// Ended takes in the end of a run.
func (e *Engine) Ended(d End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, d.Now)
	if d.Spec == nil {
		return
	}
	switch d.State {
	case contract.Finished:
		e.quarantine.Ended(d.Worker, d.Spec.ID, false, d.Now)
		e.finished(&d)
		delete(e.floors, d.Run.Task)
	case contract.Failed:
		if e.outgrew(&d) {
			return
		}
		e.quarantine.Ended(d.Worker, d.Spec.ID, true, d.Now)
	}
}

// finished learns the run time of a whole task.
func (e *Engine) finished(d *End) {
	if d.Spec.Kind != job.Batch || d.RunTime <= 0 {
		return
	}
	whole := d.RunTime
	if d.Resume > 0 && d.Work > d.Resume {
		whole = time.Duration(float64(d.RunTime) * float64(d.Work) / float64(d.Work-d.Resume))
	}
	e.usage.Finished(Family(d.Spec), whole, d.Work, d.Now)
}

// outgrew raises the floor of a task whose run failed for want of memory.
func (e *Engine) outgrew(d *End) bool {
	if len(d.Reason) < len(ReasonMemory) || d.Reason[:len(ReasonMemory)] != ReasonMemory {
		return false
	}
	e.raise(d.Run.Task, resource.Vector{MemoryMB: min(d.Commit.MemoryMB, hugeAmount) * 2})
	return true
}

func (e *Engine) raise(t job.TaskID, v resource.Vector) {
	if _, ok := e.floors[t]; !ok && len(e.floors) >= floorsKept {
		clear(e.floors)
	}
	e.floors[t] = largest(e.floors[t], v)
}

// Applied takes in the decisions of a plan that were put in force. Cooldowns,
// the budget of evictions and the size of outgrown tasks rest on it.
func (e *Engine) Applied(now time.Duration, p *Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, now)
	for i := range p.Decisions {
		e.applied(now, &p.Decisions[i])
	}
}

func (e *Engine) applied(now time.Duration, d *Decision) {
	switch d.Reason.Stage {
	case StageInterference:
		e.stepped(now, d)
	case StageGrow:
		if d.Step == Move {
			e.raise(d.Task, d.Commit)
		}
	}
}

func (e *Engine) stepped(now time.Duration, d *Decision) {
	if d.Step == Place || d.Step == Wait {
		return
	}
	w := &WorkerView{}
	if old := e.workers[d.Worker]; old != nil {
		*w = *old
	}
	w.Step, w.Stepped = d.Step, now
	e.workers[d.Worker] = w
	if d.Step != Move && d.Step != Evict {
		return
	}
	e.evictions = append(e.evictions, now)
	e.evictions = e.evictions[max(0, len(e.evictions)-evictionsKept):]
}

// Forget drops what is known of a worker that left or restarted.
func (e *Engine) Forget(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.workers, worker)
	e.quarantine.Forget(worker)
}
