package standin

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/settings"
)

// Images with a behaviour of their own.
const (
	imageFail  = "fail"  // every run fails
	imageNever = "never" // a batch run never ends
)

const (
	// UnitTime is the time of one work unit at full speed.
	UnitTime = 10 * time.Millisecond

	failAfter      = 10 * time.Millisecond // from a start to its failure
	defaultUnits   = 100
	overMemory     = 2.0 // slowdown of a run that uses more memory than committed
	maxSamples     = 128
	maxLatencies   = 1024
	latencyQuantil = 0.99
)

// taskRun is a run on a worker.
type taskRun struct {
	id         job.RunID
	order      contract.StartCommand
	family     settings.StandinFamily
	state      contract.RunState
	reason     string
	commit     resource.Vector
	use        resource.Vector // true use
	units      int64           // at which a batch run finishes; zero for never
	progress   float64
	checkpoint int64
	failAt     time.Duration // zero for not at all
	stopping   bool
	stopBy     time.Duration
	inFlight   int
	requests   int // since the last sample
	latencies  []time.Duration
	samples    []contract.Usage
	leftAt     time.Time     // when it first refused a request for leaving
	done       chan struct{} // closed at the end
	told       bool          // an answered exchange reported the end
}

func newTaskRun(o contract.StartCommand, now time.Duration, f settings.StandinFamily) *taskRun {
	r := &taskRun{
		id: o.Run, order: o, family: f, state: contract.Running, commit: o.Commit, use: f.Use,
		progress: float64(o.Resume), checkpoint: o.Resume, done: make(chan struct{}),
	}
	if r.use.IsZero() {
		r.use = resource.Vector{MilliCPU: o.Commit.MilliCPU / 2, MemoryMB: o.Commit.MemoryMB / 2}
	}
	if o.Kind == job.Batch && o.Image != imageNever {
		r.units = trueUnits(o, f)
	}
	return r
}

func trueUnits(o contract.StartCommand, f settings.StandinFamily) int64 {
	units := int64(o.RunTime.D() / UnitTime)
	if units <= 0 {
		units = f.Units
	}
	if units <= 0 {
		units = defaultUnits
	}
	if f.RunTimeScale > 0 {
		units = int64(float64(units) * f.RunTimeScale)
	}
	return max(1, units)
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// slowdownLocked is how much the neighbours slow r down, 1 for not at all.
func (w *worker) slowdownLocked(r *taskRun) float64 {
	s := 1.0
	for _, n := range w.runs {
		if n != r && !n.state.Final() {
			s += w.sys.disturbance(r.order.Family, n.order.Family) * n.cpuShare()
		}
	}
	if r.use.MemoryMB > r.commit.MemoryMB {
		s *= overMemory
	}
	return s
}

// cpuShare is the part of its true processor use that the commitment allows.
func (r *taskRun) cpuShare() float64 {
	if r.use.MilliCPU <= r.commit.MilliCPU {
		return 1
	}
	return float64(r.commit.MilliCPU) / float64(r.use.MilliCPU)
}

// rateLocked is the progress of r in work units per second.
func (w *worker) rateLocked(r *taskRun) float64 {
	if r.order.Kind != job.Batch {
		return 0
	}
	return float64(time.Second/UnitTime) * r.cpuShare() / w.slowdownLocked(r)
}

// settle ends what is due.
func (w *worker) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settleLocked()
	w.armLocked()
}

// settleLocked counts progress up to now and ends what is due, each at its own
// time.
func (w *worker) settleLocked() {
	if w.dead || w.paused != nil {
		return
	}
	now := w.clock()
	lapsed := w.expiry > 0 && w.expiry <= now
	until := now
	if lapsed {
		until = w.expiry
	}
	for {
		r, at := w.nextEndLocked()
		if r == nil || at > until {
			break
		}
		w.accrueLocked(at)
		w.endDueLocked(r, at)
	}
	w.accrueLocked(until)
	if lapsed {
		w.lapseLocked()
	}
	w.settled = now
}

func (w *worker) lapseLocked() {
	for _, id := range w.order {
		if r := w.runs[id]; !r.state.Final() {
			w.endLocked(r, contract.Stopped, reasonLapsed, history.RunLapsed, w.expiry)
		}
	}
	w.expiry = 0
}

// lapseAfterPauseLocked ends the runs whose grant ended in a pause. They did
// nothing since the pause began.
func (w *worker) lapseAfterPauseLocked() {
	now := w.clock()
	if w.expiry > 0 && w.expiry <= now {
		w.lapseLocked()
	}
	w.settled = now
}

// frozenLocked is the time up to which a paused worker ran.
func (w *worker) frozenLocked() time.Duration {
	if w.paused != nil {
		return w.settled
	}
	return w.clock()
}

func (w *worker) accrueLocked(to time.Duration) {
	if to <= w.settled {
		return
	}
	dt := (to - w.settled).Seconds()
	gains := make([]float64, len(w.order))
	for i, id := range w.order {
		if r := w.runs[id]; !r.state.Final() {
			gains[i] = w.rateLocked(r) * dt
		}
	}
	for i, id := range w.order {
		w.runs[id].progress += gains[i]
	}
	w.settled = to
}

// nextEndLocked returns the run that ends next by itself, and when.
func (w *worker) nextEndLocked() (*taskRun, time.Duration) {
	var next *taskRun
	var first time.Duration
	for _, id := range w.order {
		r := w.runs[id]
		at, ok := w.endsAtLocked(r)
		if ok && (next == nil || at < first) {
			next, first = r, at
		}
	}
	return next, first
}

func (w *worker) endsAtLocked(r *taskRun) (time.Duration, bool) {
	switch {
	case r.state.Final():
		return 0, false
	case r.failAt > 0:
		return max(r.failAt, w.settled), true
	case r.stopping:
		return max(r.stopBy, w.settled), true
	case r.units > 0:
		left := float64(r.units) - r.progress
		if left <= 0 {
			return w.settled, true
		}
		return w.settled + time.Duration(left/w.rateLocked(r)*float64(time.Second)) + 1, true
	}
	return 0, false
}

func (w *worker) endDueLocked(r *taskRun, at time.Duration) {
	switch {
	case r.failAt > 0:
		w.endLocked(r, contract.Failed, reasonFault, history.RunFailed, at)
	case r.stopping:
		w.endLocked(r, contract.Stopped, reasonStop, history.RunStopped, at)
	default:
		r.progress = float64(r.units)
		r.checkpoint = r.units
		w.endLocked(r, contract.Finished, "", history.RunFinished, at)
	}
}

func (w *worker) endLocked(r *taskRun, state contract.RunState, reason string, kind history.RunEventKind, at time.Duration) {
	r.state, r.reason = state, reason
	close(r.done)
	w.recordLocked(r, kind, at)
}

func (w *worker) recordLocked(r *taskRun, kind history.RunEventKind, at time.Duration) {
	w.sys.hist.run(history.RunEvent{
		At: w.at(at), Kind: kind, Worker: w.inst.ID, Incarnation: w.incarnation, Epoch: w.epoch,
		Run: r.id, Work: r.order.Kind, Commit: r.commit, Resume: r.order.Resume, Checkpoint: r.checkpoint,
	})
}

func (w *worker) markCommittedLocked() {
	sum := w.committedLocked()
	w.sys.hist.mark(w.inst.ID, func(m *history.WorkerMarks) { m.Commit(sum, w.inst.Capacity) })
}

// armLocked sets the timer to the next time at which something is due.
func (w *worker) armLocked() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.dead || w.paused != nil {
		return
	}
	_, at := w.nextEndLocked()
	if w.expiry > 0 && (at == 0 || w.expiry < at) {
		at = w.expiry
	}
	if at > 0 {
		w.timer = time.AfterFunc(at-w.clock(), w.settle)
	}
}

// sampleLocked measures every running run.
func (w *worker) sampleLocked() {
	for _, r := range w.runs {
		if r.state.Final() {
			continue
		}
		r.samples = append(r.samples, w.measureLocked(r))
		if len(r.samples) > maxSamples {
			r.samples = slices.Delete(r.samples, 0, len(r.samples)-maxSamples)
		}
		r.requests, r.latencies = 0, nil
	}
}

func (w *worker) measureLocked(r *taskRun) contract.Usage {
	u := contract.Usage{MeasuredAt: int64(w.settled), Used: r.use, Progress: int64(r.progress), Rate: w.rateLocked(r)}
	u.Used.MilliCPU = min(r.use.MilliCPU, r.commit.MilliCPU)
	if r.order.Kind != job.Service {
		return u
	}
	u.P99 = job.Duration(float64(r.family.ServiceTime) * w.slowdownLocked(r))
	if n := len(r.latencies); n > 0 {
		slices.Sort(r.latencies)
		u.P99 = job.Duration(r.latencies[int(float64(n-1)*latencyQuantil)])
	}
	if n := len(r.samples); n > 0 {
		window := float64(u.MeasuredAt - r.samples[n-1].MeasuredAt)
		var busy time.Duration
		for _, l := range r.latencies {
			busy += l
		}
		u.Load = min(1, float64(busy)/max(1, window)/float64(w.inst.Slots))
	}
	return u
}

// report returns the state of r with the newest measurement that is old enough.
func (r *taskRun) report(w *worker) contract.RunReport {
	out := contract.RunReport{
		Run: r.id, State: r.state, Reason: r.reason, Commit: r.commit,
		Checkpoint: r.checkpoint, Service: r.order.Service,
	}
	if r.order.Kind == job.Service && !r.state.Final() {
		out.BaseURL = fmt.Sprintf("http://%s/runs/%s/%d/%d", w.dataAddr, url.PathEscape(r.id.Task.Job), r.id.Task.Index, r.id.Attempt)
	}
	lag := w.sys.cfg.UsageLag.D()
	if f, hit := w.hit(ReportLate); hit {
		lag += f.Delay.D()
	}
	for _, u := range slices.Backward(r.samples) {
		if time.Duration(u.MeasuredAt) <= w.settled-lag {
			out.Usage = u
			break
		}
	}
	return out
}

func (s *System) family(name string) settings.StandinFamily {
	for _, f := range s.cfg.Families {
		if f.Name == name {
			return f
		}
	}
	return settings.StandinFamily{Name: name}
}

func (s *System) disturbance(victim, noisy string) float64 {
	for _, d := range s.cfg.Disturbances {
		if d.Victim == victim && d.Noisy == noisy {
			return d.Slowdown
		}
	}
	return 0
}
