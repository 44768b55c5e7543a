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

// Images that make a run behave in a special way.
const (
	imageFail  = "fail"  // every run fails
	imageNever = "never" // a batch run never ends
)

const (
	// UnitTime is the duration of one work unit at full speed.
	UnitTime = 10 * time.Millisecond

	failAfter       = 10 * time.Millisecond // from the start of a run to its injected failure
	defaultUnits    = 100                   // work units of a batch run without a declared run time or units of its family
	memorySlowdown  = 2.0                   // slowdown of a run that uses more memory than its commitment
	maxSamples      = 128                   // usage measurements kept of a run
	maxLatencies    = 1024                  // request latencies kept between two measurements
	latencyQuantile = 0.99                  // of the measurement P99
)

// taskRun is a simulated run on a worker.
type taskRun struct {
	id           job.RunID
	command      contract.StartCommand
	family       settings.StandinFamily
	state        contract.RunState
	reason       string
	commit       resource.Vector
	demand       resource.Vector // resources that the run would use without a limit
	totalUnits   int64           // work units after which a batch run finishes; zero for never
	progress     float64
	checkpoint   int64
	failAt       time.Duration // time of the injected failure on the worker's clock; zero for none
	stopping     bool
	stopBy       time.Duration // end of a stopping run, even with requests in flight
	inFlight     int
	requests     int // since the last measurement
	latencies    []time.Duration
	samples      []contract.Usage
	leavingSince time.Time     // time of the first response that reported the run as leaving
	done         chan struct{} // closed when the run ends
	reported     bool          // the end was reported in an exchange whose response was delivered
}

func newTaskRun(cmd contract.StartCommand, now time.Duration, f settings.StandinFamily) *taskRun {
	r := &taskRun{
		id: cmd.Run, command: cmd, family: f, state: contract.Running, commit: cmd.Commit, demand: f.Usage,
		progress: float64(cmd.Resume), checkpoint: cmd.Resume, done: make(chan struct{}),
	}
	if r.demand.IsZero() {
		r.demand = resource.Vector{MilliCPU: cmd.Commit.MilliCPU / 2, MemoryMB: cmd.Commit.MemoryMB / 2}
	}
	if cmd.Kind == job.Batch && cmd.Image != imageNever {
		r.totalUnits = batchUnits(cmd, f)
	}
	return r
}

// batchUnits returns the work units of a batch run: from its declared run time, else from
// its family, scaled by the family's RunTimeScale.
func batchUnits(cmd contract.StartCommand, f settings.StandinFamily) int64 {
	units := int64(cmd.RunTime.D() / UnitTime)
	if units <= 0 {
		units = f.WorkUnits
	}
	if units <= 0 {
		units = defaultUnits
	}
	if f.RunTimeScale > 0 {
		units = int64(float64(units) * f.RunTimeScale)
	}
	return max(1, units)
}

// closedChannel returns a closed channel.
func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// slowdownLocked returns the factor by which the other runs on the worker, and a lack of
// memory, slow r down; 1 means no slowdown.
func (w *worker) slowdownLocked(r *taskRun) float64 {
	s := 1.0
	for _, n := range w.runs {
		if n != r && !n.state.Final() {
			s += w.sys.interferenceFrom(r.command.Family, n.command.Family) * n.cpuShare()
		}
	}
	if r.demand.MemoryMB > r.commit.MemoryMB {
		s *= memorySlowdown
	}
	return s
}

// cpuShare returns the fraction of the run's unlimited CPU use that its commitment allows.
func (r *taskRun) cpuShare() float64 {
	if r.demand.MilliCPU <= r.commit.MilliCPU {
		return 1
	}
	return float64(r.commit.MilliCPU) / float64(r.demand.MilliCPU)
}

// rateLocked returns the progress of r in work units per second. Only batch runs progress.
func (w *worker) rateLocked(r *taskRun) float64 {
	if r.command.Kind != job.Batch {
		return 0
	}
	return float64(time.Second/UnitTime) * r.cpuShare() / w.slowdownLocked(r)
}

// advance advances the simulation of the worker to the present and sets its timer for the
// next event.
func (w *worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked()
	w.setTimerLocked()
}

// advanceLocked advances the simulation of the worker to the present: it adds the progress
// of its runs and ends those that are due, in order of time. If the lease has expired, the
// runs end at the expiry and make no progress after it.
func (w *worker) advanceLocked() {
	if w.dead || w.paused != nil {
		return
	}
	now := w.clock()
	leaseExpired := w.leaseEnd > 0 && w.leaseEnd <= now
	until := now
	if leaseExpired {
		until = w.leaseEnd
	}
	for {
		r, at := w.nextEndLocked()
		if r == nil || at > until {
			break
		}
		w.addProgressLocked(at)
		w.endDueLocked(r, at)
	}
	w.addProgressLocked(until)
	if leaseExpired {
		w.expireLeaseLocked()
	}
	w.advancedTo = now
}

// expireLeaseLocked ends all runs at the expiry of the lease.
func (w *worker) expireLeaseLocked() {
	for _, id := range w.order {
		if r := w.runs[id]; !r.state.Final() {
			w.endLocked(r, contract.Stopped, reasonLeaseExpired, history.RunLeaseExpired, w.leaseEnd)
		}
	}
	w.leaseEnd = 0
}

// expireLeaseAfterPauseLocked ends all runs if the lease expired during a pause. Time in
// a pause adds no progress.
func (w *worker) expireLeaseAfterPauseLocked() {
	now := w.clock()
	if w.leaseEnd > 0 && w.leaseEnd <= now {
		w.expireLeaseLocked()
	}
	w.advancedTo = now
}

// activeUntilLocked returns the time on the worker's clock up to which its runs were
// active: the beginning of the current pause, or else the present.
func (w *worker) activeUntilLocked() time.Duration {
	if w.paused != nil {
		return w.advancedTo
	}
	return w.clock()
}

// addProgressLocked adds the progress of the running runs up to the time to.
func (w *worker) addProgressLocked(to time.Duration) {
	if to <= w.advancedTo {
		return
	}
	dt := (to - w.advancedTo).Seconds()
	increments := make([]float64, len(w.order))
	for i, id := range w.order {
		if r := w.runs[id]; !r.state.Final() {
			increments[i] = w.rateLocked(r) * dt
		}
	}
	for i, id := range w.order {
		w.runs[id].progress += increments[i]
	}
	w.advancedTo = to
}

// nextEndLocked returns the run that is due to end first, other than by expiry of the
// lease, and the time of its end.
func (w *worker) nextEndLocked() (*taskRun, time.Duration) {
	var next *taskRun
	var first time.Duration
	for _, id := range w.order {
		r := w.runs[id]
		at, ok := w.endTimeLocked(r)
		if ok && (next == nil || at < first) {
			next, first = r, at
		}
	}
	return next, first
}

// endTimeLocked returns the time at which r ends at its present rate of progress. It
// returns false if r has ended or has no end.
func (w *worker) endTimeLocked(r *taskRun) (time.Duration, bool) {
	switch {
	case r.state.Final():
		return 0, false
	case r.failAt > 0:
		return max(r.failAt, w.advancedTo), true
	case r.stopping:
		return max(r.stopBy, w.advancedTo), true
	case r.totalUnits > 0:
		left := float64(r.totalUnits) - r.progress
		if left <= 0 {
			return w.advancedTo, true
		}
		return w.advancedTo + time.Duration(left/w.rateLocked(r)*float64(time.Second)) + 1, true
	}
	return 0, false
}

// endDueLocked ends r, whose end is due at the given time.
func (w *worker) endDueLocked(r *taskRun, at time.Duration) {
	switch {
	case r.failAt > 0:
		w.endLocked(r, contract.Failed, reasonFailed, history.RunFailed, at)
	case r.stopping:
		w.endLocked(r, contract.Stopped, reasonStopped, history.RunStopped, at)
	default:
		r.progress = float64(r.totalUnits)
		r.checkpoint = r.totalUnits
		w.endLocked(r, contract.Finished, "", history.RunFinished, at)
	}
}

func (w *worker) endLocked(r *taskRun, state contract.RunState, reason string, kind history.RunEventKind, at time.Duration) {
	r.state, r.reason = state, reason
	close(r.done)
	w.recordLocked(r, kind, at)
}

func (w *worker) recordLocked(r *taskRun, kind history.RunEventKind, at time.Duration) {
	w.sys.events.addRun(history.RunEvent{
		At: w.sinceSystemStart(at), Kind: kind, Worker: w.inst.ID, Incarnation: w.incarnation, Epoch: w.epoch,
		Run: r.id, Work: r.command.Kind, Commit: r.commit, Resume: r.command.Resume, Checkpoint: r.checkpoint,
	})
}

func (w *worker) recordCommitmentLocked() {
	sum := w.committedLocked()
	w.sys.events.updatePeaks(w.inst.ID, func(p *history.WorkerPeaks) { p.RecordCommitment(sum, w.inst.Capacity) })
}

// setTimerLocked sets the timer to the next end of a run or of the lease.
func (w *worker) setTimerLocked() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.dead || w.paused != nil {
		return
	}
	_, at := w.nextEndLocked()
	if w.leaseEnd > 0 && (at == 0 || w.leaseEnd < at) {
		at = w.leaseEnd
	}
	if at > 0 {
		w.timer = time.AfterFunc(at-w.clock(), w.advance)
	}
}

// sampleLocked takes a usage measurement of every run that has not ended.
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

// measureLocked returns the present usage of r. For a service without requests since the
// last measurement, P99 is the expected service time.
func (w *worker) measureLocked(r *taskRun) contract.Usage {
	u := contract.Usage{MeasuredAt: int64(w.advancedTo), Used: r.demand, Progress: int64(r.progress), Rate: w.rateLocked(r)}
	u.Used.MilliCPU = min(r.demand.MilliCPU, r.commit.MilliCPU)
	if r.command.Kind != job.Service {
		return u
	}
	u.P99 = job.Duration(float64(r.family.ServiceTime) * w.slowdownLocked(r))
	if n := len(r.latencies); n > 0 {
		slices.Sort(r.latencies)
		u.P99 = job.Duration(r.latencies[int(float64(n-1)*latencyQuantile)])
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

// report returns the state of r with the latest measurement that is at least as old as the
// configured and injected lag of usage reports.
func (r *taskRun) report(w *worker) contract.RunReport {
	out := contract.RunReport{
		Run: r.id, State: r.state, Reason: r.reason, Commit: r.commit,
		Checkpoint: r.checkpoint, Service: r.command.Service,
	}
	if r.command.Kind == job.Service && !r.state.Final() {
		out.BaseURL = fmt.Sprintf("http://%s/runs/%s/%d/%d", w.dataAddr, url.PathEscape(r.id.Task.Job), r.id.Task.Index, r.id.Attempt)
	}
	lag := w.sys.cfg.UsageLag.D()
	if f, match := w.match(ReportLate); match {
		lag += f.Delay.D()
	}
	for _, u := range slices.Backward(r.samples) {
		if time.Duration(u.MeasuredAt) <= w.advancedTo-lag {
			out.Usage = u
			break
		}
	}
	return out
}

// family returns the settings of a workload family, or defaults if it has none.
func (s *System) family(name string) settings.StandinFamily {
	for _, f := range s.cfg.Families {
		if f.Name == name {
			return f
		}
	}
	return settings.StandinFamily{Name: name}
}

// interferenceFrom returns the slowdown that a run of the family neighbour adds to
// one of the family victim; 0 means none.
func (s *System) interferenceFrom(victim, neighbour string) float64 {
	for _, d := range s.cfg.Interference {
		if d.Victim == victim && d.Neighbour == neighbour {
			return d.Slowdown
		}
	}
	return 0
}
