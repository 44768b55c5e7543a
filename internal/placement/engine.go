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
	// MeasurementWindow is the length of the window over which a worker measures a
	// run. A measurement taken less than this after the worker's last change still
	// includes the neighbours from before the change.
	MeasurementWindow = 5 * time.Second

	// maxRatios is the number of latest latency ratios kept for a service run: its
	// 99th percentile latency divided by its latency target.
	maxRatios         = 5
	maxMinCommitments = 4096 // tasks with a raised minimum commitment
	maxEvictionTimes  = 4096
	// maxAmount bounds every amount, so that sums of many do not overflow.
	maxAmount = int64(1) << 40
)

// RunUsage is a worker's usage measurement of one run.
type RunUsage struct {
	Run       job.RunID
	Spec      *job.Spec
	Commit    resource.Vector
	Throttled bool
	// MeasuredAt is when Usage was measured, on the shard owner's clock; zero if there is
	// no measurement.
	MeasuredAt time.Duration
	Usage      contract.Usage
}

// Report holds the measurements that one worker sent in one exchange.
type Report struct {
	Worker     string
	Now        time.Duration // when the report arrived, on the shard owner's clock
	LastChange time.Duration // as Worker.LastChange
	Runs       []RunUsage    // every run that holds resources on the worker
}

// RunEnd describes a run that has ended, as its worker reported it or as the end of
// the worker's lease proves it.
type RunEnd struct {
	Now     time.Duration
	Worker  string
	Run     job.RunID
	Spec    *job.Spec
	Commit  resource.Vector // commitment at the end
	State   contract.RunState
	Reason  string        // contract.RunReport.Reason
	RunTime time.Duration // of this run alone, without earlier attempts
	Resume  int64         // progress at its start, in work units
	Work    int64         // progress at its end, in work units
}

// ReasonMemory is the prefix of the reason of a run that failed because it ran
// out of memory.
const ReasonMemory = "memory"

// Engine collects usage reports, ended runs and applied decisions, and derives
// from them the estimates on which Decide works. Its methods are safe for
// concurrent use.
type Engine struct {
	mu             sync.Mutex
	cfg            bundle.Placement
	usage          *estimate.Store
	interference   *interference.Model
	quarantine     *quarantine.Tracker
	workers        map[string]*WorkerView
	minCommitments map[job.TaskID]resource.Vector
	evictionTimes  []time.Duration // of moves and evictions because of interference, newest last
	now            time.Duration
	resourceOnly   bool
}

// New returns an engine without observations.
func New(cfg bundle.Placement) *Engine {
	e := &Engine{
		usage:          estimate.NewStore(cfg.UsagePercentile),
		interference:   interference.NewModel(),
		quarantine:     quarantine.NewTracker(quarantine.Config{}),
		workers:        map[string]*WorkerView{},
		minCommitments: map[job.TaskID]resource.Vector{},
	}
	e.Configure(cfg)
	return e
}

// Configure applies the placement settings of a newly accepted bundle. Earlier
// observations are kept.
func (e *Engine) Configure(cfg bundle.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg = withDefaults(cfg)
	e.usage.SetPercentile(e.cfg.UsagePercentile)
	e.quarantine.Configure(quarantine.Config{
		FailedJobs:  e.cfg.QuarantineFailedJobs,
		Window:      e.cfg.Window.D(),
		Duration:    e.cfg.QuarantineDuration.D(),
		MaxFraction: e.cfg.MaxQuarantineFraction,
	})
}

// SetResourceOnly disables or enables interference estimates. Without them, tasks are
// placed by resources alone, and the slowdown of a service is attributed to its
// neighbours in proportion to their committed processors.
func (e *Engine) SetResourceOnly(resourceOnly bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resourceOnly = resourceOnly
}

// SetWorkerCount sets the number of workers of the shard, which bounds how many may be in
// quarantine at once.
func (e *Engine) SetWorkerCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantine.SetWorkerCount(n)
}

// Observe records one worker's report. A measurement that is repeated in several
// reports is counted once.
func (e *Engine) Observe(r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, r.Now)
	old := e.workers[r.Worker]
	w := &WorkerView{Runs: make([]RunView, 0, len(r.Runs))}
	if old != nil {
		w.LastStep, w.LastStepAt = old.LastStep, old.LastStepAt
	}
	for i := range r.Runs {
		w.Runs = append(w.Runs, e.observeRun(&r, &r.Runs[i], old.findRun(r.Runs[i].Run, i)))
	}
	e.workers[r.Worker] = w
}

// observeRun returns the run's new view; prev is the previous one, or nil.
// Measurements not newer than prev, or later than the report, are ignored.
func (e *Engine) observeRun(r *Report, u *RunUsage, prev *RunView) RunView {
	v := RunView{Run: u.Run}
	if prev != nil {
		v = *prev
	}
	if u.Spec == nil || u.MeasuredAt <= v.MeasuredAt || u.MeasuredAt > r.Now {
		return v
	}
	used := clampUsage(u.Usage.Used, u.Commit)
	v.MeasuredAt, v.Used, v.Load = u.MeasuredAt, used, finiteOrZero(u.Usage.Load)
	if !u.Throttled {
		e.usage.RecordUsage(Family(u.Spec), used, u.Commit, finiteOrZero(u.Usage.Rate), r.Now)
	}
	if u.Spec.Kind == job.Service {
		e.observeLatency(r, u, &v)
	}
	return v
}

// observeLatency records the latency of a service run in v and in the
// interference model. Latencies whose measurement window overlaps the worker's
// last change are dropped, as they include neighbours that are gone or miss new
// ones.
func (e *Engine) observeLatency(r *Report, u *RunUsage, v *RunView) {
	if u.MeasuredAt < r.LastChange+MeasurementWindow || u.Usage.P99 <= 0 {
		v.LatencyRatios = nil
		return
	}
	p99 := u.Usage.P99.D()
	if target := e.latencyTarget(u.Spec, v.Load); target > 0 {
		v.LatencyRatios = append(slices.Clone(v.LatencyRatios), float64(p99)/float64(target))
		v.LatencyRatios = v.LatencyRatios[max(0, len(v.LatencyRatios)-maxRatios):]
	}
	if e.resourceOnly {
		return
	}
	e.interference.Observe(Family(u.Spec), v.Load, p99, e.batchNeighbours(r, u.Run), r.Now)
}

// latencyTarget returns the 99th percentile that a service must not exceed: its
// declared target, or else SlowdownThreshold times its latency without batch
// neighbours. It returns 0 if neither is known.
func (e *Engine) latencyTarget(s *job.Spec, load float64) time.Duration {
	if s.Target > 0 {
		return s.Target.D()
	}
	baseline, ok := e.interference.Baseline(Family(s), load)
	if !ok {
		return 0
	}
	return time.Duration(float64(baseline) * e.cfg.SlowdownThreshold)
}

// batchNeighbours returns the batch runs in r other than self, with their intensities
// summed up by family.
func (e *Engine) batchNeighbours(r *Report, self job.RunID) []interference.Neighbour {
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

// intensity returns the run's processor use relative to its family's median, at
// most maxIntensity, or 1 if either is unknown.
func (e *Engine) intensity(u *RunUsage) float64 {
	typical := e.usage.Typical(Family(u.Spec)).MilliCPU
	used := clampUsage(u.Usage.Used, u.Commit).MilliCPU
	if u.MeasuredAt == 0 || typical <= 0 {
		return 1
	}
	return math.Min(maxIntensity, float64(used)/float64(typical))
}

// addNeighbour adds intensity to the family's entry in list, or a new entry.
func addNeighbour(list []interference.Neighbour, family string, intensity float64) []interference.Neighbour {
	for i := range list {
		if list[i].Family == family {
			list[i].Intensity += intensity
			return list
		}
	}
	return append(list, interference.Neighbour{Family: family, Intensity: intensity})
}

// RecordEnd records the end of a run. Running out of memory raises the task's
// commitment and does not count against the worker.
func (e *Engine) RecordEnd(end RunEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, end.Now)
	if end.Spec == nil {
		return
	}
	switch end.State {
	case contract.Finished:
		e.quarantine.RecordEnd(end.Worker, end.Spec.ID, false, end.Now)
		e.recordRunTime(&end)
		delete(e.minCommitments, end.Run.Task)
	case contract.Failed:
		if e.recordOutOfMemory(&end) {
			return
		}
		e.quarantine.RecordEnd(end.Worker, end.Spec.ID, true, end.Now)
	}
}

// recordRunTime records the run time of a finished batch task. The time of a run
// that resumed from a checkpoint is scaled up to the whole task's work.
func (e *Engine) recordRunTime(end *RunEnd) {
	if end.Spec.Kind != job.Batch || end.RunTime <= 0 {
		return
	}
	wholeRunTime := end.RunTime
	if end.Resume > 0 && end.Work > end.Resume {
		wholeRunTime = time.Duration(float64(end.RunTime) * float64(end.Work) / float64(end.Work-end.Resume))
	}
	e.usage.RecordFinished(Family(end.Spec), wholeRunTime, end.Work, end.Now)
}

// recordOutOfMemory doubles the minimum memory commitment of a task whose run ran out of
// memory, and reports whether that was the reason of the failure.
func (e *Engine) recordOutOfMemory(end *RunEnd) bool {
	if len(end.Reason) < len(ReasonMemory) || end.Reason[:len(ReasonMemory)] != ReasonMemory {
		return false
	}
	e.raiseMinCommitment(end.Run.Task, resource.Vector{MemoryMB: min(end.Commit.MemoryMB, maxAmount) * 2})
	return true
}

// raiseMinCommitment raises the minimum commitment of a task to at least v. When too many
// are kept, all are dropped: a task that still needs one fails again and gets it
// back.
func (e *Engine) raiseMinCommitment(t job.TaskID, v resource.Vector) {
	if _, ok := e.minCommitments[t]; !ok && len(e.minCommitments) >= maxMinCommitments {
		clear(e.minCommitments)
	}
	e.minCommitments[t] = maxVector(e.minCommitments[t], v)
}

// RecordApplied records the decisions of a plan that took effect. Cooldowns, the
// eviction budget and the minimum commitments of tasks that are moved for more
// memory depend on it.
func (e *Engine) RecordApplied(now time.Duration, p *Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = max(e.now, now)
	for i := range p.Decisions {
		e.recordDecision(now, &p.Decisions[i])
	}
}

// recordDecision records a decision of a stage that keeps state in the engine.
func (e *Engine) recordDecision(now time.Duration, d *Decision) {
	switch d.Reason.Stage {
	case StageInterference:
		e.recordInterferenceStep(now, d)
	case StageGrow:
		if d.Step == Move {
			e.raiseMinCommitment(d.Task, d.Commit)
		}
	}
}

// recordInterferenceStep records the worker's latest step against interference,
// and counts moves and evictions against the hourly budget.
func (e *Engine) recordInterferenceStep(now time.Duration, d *Decision) {
	if d.Step == Place || d.Step == Wait {
		return
	}
	w := &WorkerView{}
	if old := e.workers[d.Worker]; old != nil {
		*w = *old
	}
	w.LastStep, w.LastStepAt = d.Step, now
	e.workers[d.Worker] = w
	if d.Step != Move && d.Step != Evict {
		return
	}
	e.evictionTimes = append(e.evictionTimes, now)
	e.evictionTimes = e.evictionTimes[max(0, len(e.evictionTimes)-maxEvictionTimes):]
}

// Forget drops the observations of a worker that left or restarted.
func (e *Engine) Forget(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.workers, worker)
	e.quarantine.Forget(worker)
}
