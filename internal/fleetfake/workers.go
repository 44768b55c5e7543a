package fleetfake

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// TableWorkers is the table in which workers register.
const TableWorkers = "workers"

// registrationInterval is the interval at which a worker renews its registration.
const registrationInterval = 500 * time.Millisecond

// stopDuration is the time from a stop command to the end of the run that it stops.
const stopDuration = 100 * time.Millisecond

// run is a run in progress on a worker.
type run struct {
	task       string
	number     int // counts the runs of the task
	checkpoint string
	started    time.Time
	stopped    time.Time // time of the stop command; zero for none
	joined     bool      // all members of its gang have started, or it is in none
}

// endedRun is the end of a run that has not been acknowledged.
type endedRun struct {
	fleet.EndReport
	leaseExpired bool   // the worker's lease has expired since
	repeated     string // describes a start of the task since, "" for none
}

// maxReportedEnds is the number of ended runs that a worker reports at a time.
const maxReportedEnds = 500

// fakeWorker is a simulated worker.
type fakeWorker struct {
	fleet   *Workers
	id      string
	address string
	zone    string
	rack    string
	kind    string          // "" for defaultKind
	ctx     context.Context // ends the worker's registrations

	incarnation  int64
	started      time.Time
	token        int64
	leaseEnd     int64 // end of the lease on the worker's clock; 0 for none
	runs         map[string]*run
	highestEnded map[string]int // number of the latest run that was stopped or has ended, by task
	endReports   []endedRun
	lastReport   int64 // number of the last report of an ended run
	capacity     resource.Vector
	largest      resource.Vector // capacity that a start may use: the larger one until limitGrace after it shrank
	draining     bool
	dead         bool
	listedUntil  time.Time // when the registration of a crashed worker expires
	unreachable  bool
	partitioned  bool    // unreachable, and not registered
	slowdown     float64 // factor on the duration of runs
	failing      bool    // every run fails failTime after its start
}

// failTime is the time from the start of a run on a failing worker to its end.
const failTime = 50 * time.Millisecond

// Workers simulates all workers. It implements fleet.Workers and fleet.Registry, and
// records violations of the rules that a task never runs twice at the same time or again
// after its acknowledged success, and that no start is sent to a zone out of use.
type Workers struct {
	mu                  sync.Mutex
	store               *Store
	byID                map[string]*fakeWorker
	duration            func(task string) time.Duration
	fails               func(task string, run int) bool
	crashes             func(task string) bool
	gang                func(task string) string
	gangSize            func(task string) int // nil if gangs need not be complete
	needs               func(task string) resource.Vector
	checksCapacity      bool
	crashCount          map[string]int // by task
	crashDelay          time.Duration
	replacements        int
	fault               func(kind, worker string) Fault
	lateSurvivesRestart bool
	lateDelay           time.Duration    // of commands; 0 for LateDelay
	violations          []string         // see Violations
	acknowledged        map[string]int64 // numbers of the acknowledged reports of success, by task
	starts, renewals    int
	outOfUse            map[string]time.Time // zones out of use, and since when
	checkpoint          string               // of every run
	maxReported         int                  // ended runs that a worker reports at a time
	label               func(task string) string
	forbidden           map[string]bool      // jobs that must not start
	forbiddenSince      map[string]time.Time // jobs of which no start may be sent after that time
	adviser             *Adviser             // whose ticket the starts of advised tasks need, or nil
	advised             func(task string) bool
}

// NewWorkers returns workers that register in store.
func NewWorkers(store *Store) *Workers {
	return &Workers{
		store: store, byID: map[string]*fakeWorker{}, acknowledged: map[string]int64{}, crashCount: map[string]int{}, crashDelay: DefaultCrashDelay,
		outOfUse: map[string]time.Time{}, maxReported: maxReportedEnds,
		duration: func(string) time.Duration { return 300 * time.Millisecond },
	}
}

// Add adds a worker and keeps it registered until ctx ends.
func (w *Workers) Add(ctx context.Context, id, zone, rack string, capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start(&fakeWorker{fleet: w, id: id, address: id, zone: zone, rack: rack, ctx: ctx, capacity: capacity, largest: capacity, slowdown: 1})
}

// start begins the first incarnation of fw and registers it until its context ends. The caller
// holds the lock.
func (w *Workers) start(fw *fakeWorker) {
	fw.restart()
	w.byID[fw.id] = fw
	ctx := fw.ctx
	go func() {
		for ctx.Err() == nil {
			w.register(fw)
			time.Sleep(registrationInterval)
		}
	}()
}

// registration is the row that a worker registers.
type registration struct {
	Incarnation int64           `json:"life"`
	Address     string          `json:"address"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack"`
	Kind        string          `json:"kind"`
	Capacity    resource.Vector `json:"capacity"`
	Draining    bool            `json:"draining"`
}

func (w *Workers) register(fw *fakeWorker) {
	w.mu.Lock()
	e := registration{fw.incarnation, fw.address, fw.zone, fw.rack, cmp.Or(fw.kind, defaultKind), fw.capacity, fw.draining}
	isDead, listed := fw.dead || fw.partitioned, time.Now().Before(fw.listedUntil)
	w.mu.Unlock()
	if listed {
		return
	}
	row := fleet.Row{Table: TableWorkers, Key: fw.id}
	if isDead {
		w.store.apply(fleet.Tx{Delete: []fleet.Row{row}})
		return
	}
	row.Value = workload.Encode(e)
	w.store.apply(fleet.Tx{Put: []fleet.Row{row}})
}

// Table implements fleet.Registry.
func (w *Workers) Table() string { return TableWorkers }

// Worker implements fleet.Registry. It returns false if the row is not a registration.
func (w *Workers) Worker(r fleet.Row) (fleet.Worker, bool) {
	var e registration
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return fleet.Worker{}, false
	}
	return fleet.Worker{
		ID: r.Key, Incarnation: e.Incarnation, Address: e.Address, Zone: e.Zone, Service: "svc", Rack: e.Rack,
		Labels: []string{e.Kind, e.Rack}, Capacity: e.Capacity, Draining: e.Draining,
	}, true
}

// restart begins a new incarnation, without runs, token or lease.
func (fw *fakeWorker) restart() {
	fw.incarnation++
	fw.started = time.Now()
	fw.token, fw.leaseEnd, fw.lastReport = 0, 0, 0
	fw.runs, fw.highestEnded, fw.endReports = map[string]*run{}, map[string]int{}, nil
	fw.dead, fw.draining = false, false
}

// Kill ends a worker and its runs without reporting them.
func (w *Workers) Kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].dead = true
	w.breakGangs(w.byID[id])
	w.byID[id].runs = map[string]*run{}
}

// restartDuration is the time from the end of an incarnation to the start of the next.
const restartDuration = 400 * time.Millisecond

// Restart kills a worker and restarts it with the same id as a new incarnation.
func (w *Workers) Restart(id string) {
	w.Kill(id)
	time.AfterFunc(restartDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.byID[id].restart()
	})
}

// RestartAs restarts a worker as one of another kind. Its entry in the registry is that of the earlier
// incarnation until entryAfter after the restart.
func (w *Workers) RestartAs(id, kind string, entryAfter time.Duration) {
	w.Kill(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].listedUntil = time.Now().Add(restartDuration + entryAfter)
	time.AfterFunc(restartDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.byID[id].kind = kind
		w.byID[id].restart()
	})
}

// Drain marks a worker as draining.
func (w *Workers) Drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].draining = true
}

// defaultKind is the kind of workers, which is a label, unless SetKind changes it.
const defaultKind = "a"

// SetKind changes the kind of a worker.
func (w *Workers) SetKind(id, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].kind = kind
}

// Forbid makes every later start of a task of the job a violation.
func (w *Workers) Forbid(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.forbidden == nil {
		w.forbidden = map[string]bool{}
	}
	w.forbidden[job] = true
}

// ForbidSince makes the starts of the job's tasks that are sent after the given time a violation, also those that are
// carried out late.
func (w *Workers) ForbidSince(job string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.forbiddenSince == nil {
		w.forbiddenSince = map[string]time.Time{}
	}
	w.forbiddenSince[job] = at
}

// SetLabels sets the function that returns the label that the worker of a task must have, "" for none. A
// start on another worker is a violation.
func (w *Workers) SetLabels(f func(task string) string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.label = f
}

// SetUnreachable makes a worker unreachable, or reachable again. Its runs and its
// registration continue.
func (w *Workers) SetUnreachable(id string, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].unreachable = unreachable
}

// SetPartitioned cuts a worker off from its callers and from the registry, or ends that. Its runs
// continue until their lease expires.
func (w *Workers) SetPartitioned(id string, partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].unreachable, w.byID[id].partitioned = partitioned, partitioned
}

// Violations describes the starts so far that broke the rules for Workers.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fw := range w.byID {
		fw.advance()
	}
	return append([]string(nil), w.violations...)
}

// Running counts the running runs of a job on all workers.
func (w *Workers) Running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, fw := range w.byID {
		fw.advance()
		for name := range fw.runs {
			if id, err := workload.ParseTaskID(name); err == nil && id.Job == job {
				n++
			}
		}
	}
	return n
}

// clock returns the reading of the worker's monotonic clock in milliseconds. Each
// incarnation starts at 1000.
func (fw *fakeWorker) clock() int64 { return time.Since(fw.started).Milliseconds() + 1000 }

// advance ends the runs that are due to end: all of them if the lease has expired, and
// otherwise those that were stopped or have finished.
func (fw *fakeWorker) advance() {
	if fw.dead {
		return
	}
	if fw.leaseEnd > 0 && fw.clock() > fw.leaseEnd {
		for _, r := range fw.runs {
			fw.endRun(r, fleet.EndLeaseExpired)
		}
		for i := range fw.endReports {
			fw.endReports[i].leaseExpired = true
		}
	}
	for _, r := range fw.runs {
		if !r.joined && time.Since(r.started) >= GangWait {
			fw.endRun(r, fleet.EndGangIncomplete)
			continue
		}
		if !r.stopped.IsZero() && time.Since(r.stopped) >= stopDuration {
			fw.endRun(r, fleet.EndStopped)
			continue
		}
		if fw.failing && r.stopped.IsZero() && time.Since(r.started) >= failTime {
			fw.endRun(r, fleet.EndFailed)
			continue
		}
		if r.stopped.IsZero() && time.Since(r.started) >= time.Duration(float64(fw.fleet.duration(r.task))*fw.slowdown) {
			kind := fleet.EndDone
			if fw.fleet.fails != nil && fw.fleet.fails(r.task, r.number) {
				kind = fleet.EndFailed
			}
			fw.endRun(r, kind)
		}
	}
}

func (fw *fakeWorker) endRun(r *run, kind fleet.EndKind) {
	delete(fw.runs, r.task)
	fw.highestEnded[r.task] = max(fw.highestEnded[r.task], r.number)
	fw.lastReport++
	fw.endReports = append(fw.endReports, endedRun{EndReport: fleet.EndReport{Number: fw.lastReport, Task: r.task, Run: r.number, Kind: kind, Checkpoint: r.checkpoint}})
	if kind == fleet.EndFailed || kind == fleet.EndStopped || kind == fleet.EndLeaseExpired {
		fw.fleet.breakGang(r)
	}
}

// command executes f on a worker under the fault of the call. A command that a later incarnation than the one that
// it names carries out has no result. A late one is lost if the worker restarts before it arrives, unless
// DeliverLateAfterRestart was called. A lease renewal identifies the incarnation itself.
func (w *Workers) command(ctx context.Context, kind string, to fleet.Worker, f func(fw *fakeWorker, late bool) fleet.CommandResult) (fleet.CommandResult, error) {
	time.Sleep(2 * time.Millisecond)
	fault := NoFault
	w.mu.Lock()
	if w.fault != nil {
		fault = w.fault(kind, to.ID)
	}
	fw := w.byID[to.ID]
	dropped := fw == nil || fw.dead || fw.unreachable
	replaced := fw != nil && fw.dead && w.replacementOf(fw)
	w.mu.Unlock()
	if replaced {
		return fleet.CommandOtherIncarnation, nil
	}
	if dropped {
		return 0, notDelivered(ctx)
	}
	execute := func(late bool) (r fleet.CommandResult, dead bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if fw.dead {
			return 0, true
		}
		fw.advance()
		return f(fw, late), false
	}
	restarted := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return kind != "hold" && to.Incarnation < fw.incarnation
	}
	switch fault {
	case Refused:
		return 0, refused()
	case RequestLost:
		return 0, noResponse(ctx)
	case ResponseLost:
		execute(false)
		return 0, noResponse(ctx)
	case Late:
		w.mu.Lock()
		incarnation := fw.incarnation
		w.mu.Unlock()
		time.AfterFunc(w.commandDelay(), func() {
			w.mu.Lock()
			arrives := fw.incarnation == incarnation || w.lateSurvivesRestart
			w.mu.Unlock()
			if arrives {
				execute(true)
			}
		})
		return 0, noResponse(ctx)
	}
	if restarted() {
		execute(true)
		return 0, &contract.CallError{Outcome: contract.Unknown, Code: result.PlatformUnknown, Detail: "a later incarnation responded"}
	}
	r, dead := execute(false)
	if dead {
		return 0, noResponse(ctx) // it died after it had got the command
	}
	return r, nil
}

// SetLateDelay sets the delay of late commands.
func (w *Workers) SetLateDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateDelay = d
}

// commandDelay returns the delay of a late command.
func (w *Workers) commandDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cmp.Or(w.lateDelay, LateDelay)
}

func (fw *fakeWorker) acceptToken(token int64) bool {
	if token < fw.token {
		return false
	}
	fw.token = token
	return true
}

// extendLease extends the lease to until. A lease never gets shorter, and never ends later
// than LeaseMax from now.
func (fw *fakeWorker) extendLease(until int64) {
	fw.leaseEnd = max(fw.leaseEnd, min(until, fw.clock()+LeaseMax.Milliseconds()))
}

// LeaseMax is the longest lease of a worker.
const LeaseMax = 6 * time.Second

// Start implements fleet.Workers.
func (w *Workers) Start(ctx context.Context, start fleet.Start) (fleet.CommandResult, error) {
	w.checkZone(&start)
	sent := time.Now()
	return w.command(ctx, "start", start.Worker, func(fw *fakeWorker, _ bool) fleet.CommandResult {
		if !fw.acceptToken(start.Token) {
			return fleet.CommandFenced
		}
		if r := fw.runs[start.Task]; r != nil && r.number == start.Run {
			return fleet.CommandAccepted
		}
		if start.Run <= fw.highestEnded[start.Task] {
			return fleet.CommandStale
		}
		if start.LeaseUntil < fw.clock() {
			return fleet.CommandLeaseExpired
		}
		if w.adviser != nil && w.advised(start.Task) && !w.adviser.valid(start.Ticket, start.Task, fw.id) {
			return fleet.CommandNoTicket
		}
		fw.extendLease(start.LeaseUntil)
		if !fw.fits(start.Task) {
			return fleet.CommandNoCapacity
		}
		w.checkStart(fw, start, sent)
		fw.runs[start.Task] = &run{task: start.Task, number: start.Run, checkpoint: cmp.Or(w.checkpoint, start.Checkpoint), started: time.Now()}
		w.joinGang(fw.runs[start.Task])
		w.crashAfterStart(fw, start.Task)
		return fleet.CommandAccepted
	})
}

// checkStart records a violation if the task's success was acknowledged or the task already
// runs on a worker, and prepares one in case its success is acknowledged later.
func (w *Workers) checkStart(to *fakeWorker, s fleet.Start, sent time.Time) {
	w.starts++
	job, _, _ := strings.Cut(s.Task, ".")
	if since, ok := w.forbiddenSince[job]; ok && sent.After(since) {
		w.violations = append(w.violations, fmt.Sprintf("%s run %d sent to %s %s after its job was forbidden", s.Task, s.Run, to.id, sent.Sub(since)))
	}
	if w.forbidden[job] {
		w.violations = append(w.violations, fmt.Sprintf("%s run %d started on %s after its job was forbidden", s.Task, s.Run, to.id))
	}
	if w.label != nil {
		if label := w.label(s.Task); label != "" && label != cmp.Or(to.kind, defaultKind) && label != to.rack {
			w.violations = append(w.violations, fmt.Sprintf("%s run %d on %s, which has no label %s", s.Task, s.Run, to.id, label))
		}
	}
	if report, ok := w.acknowledged[s.Task]; ok {
		w.violations = append(w.violations, fmt.Sprintf("%s run %d started after its success was acknowledged at %d", s.Task, s.Run, report))
	}
	for _, fw := range w.byID {
		fw.advance()
		if r := fw.runs[s.Task]; r != nil && !fw.dead {
			w.violations = append(w.violations, fmt.Sprintf("%s run %d on %s while run %d is on %s", s.Task, s.Run, to.id, r.number, fw.id))
		}
		for i := range fw.endReports {
			if e := &fw.endReports[i]; e.Task == s.Task && e.Kind == fleet.EndDone {
				e.repeated = fmt.Sprintf("%s run %d started after run %d had succeeded on %s", s.Task, s.Run, e.Run, fw.id)
			}
		}
	}
}

// Stop implements fleet.Workers.
func (w *Workers) Stop(ctx context.Context, ref fleet.RunRef) (fleet.CommandResult, error) {
	return w.command(ctx, "stop", ref.Worker, func(fw *fakeWorker, _ bool) fleet.CommandResult {
		if !fw.acceptToken(ref.Token) {
			return fleet.CommandFenced
		}
		fw.highestEnded[ref.Task] = max(fw.highestEnded[ref.Task], ref.Run)
		if r := fw.runs[ref.Task]; r != nil && r.number <= ref.Run && r.stopped.IsZero() {
			r.stopped = time.Now()
		}
		return fleet.CommandAccepted
	})
}

// LimitCPU implements fleet.Workers.
func (w *Workers) LimitCPU(ctx context.Context, ref fleet.RunRef, _ int) (fleet.CommandResult, error) {
	return w.command(ctx, "pace", ref.Worker, func(fw *fakeWorker, _ bool) fleet.CommandResult {
		if !fw.acceptToken(ref.Token) {
			return fleet.CommandFenced
		}
		return fleet.CommandAccepted
	})
}

// RenewLease implements fleet.Workers.
func (w *Workers) RenewLease(ctx context.Context, renewal fleet.RenewLease) (fleet.LeaseReport, error) {
	var out fleet.LeaseReport
	w.mu.Lock()
	w.renewals++
	w.mu.Unlock()
	deadline := time.Now().Add(time.Duration(renewal.WaitMillis) * time.Millisecond)
	for {
		r, err := w.command(ctx, "hold", renewal.Worker, func(fw *fakeWorker, late bool) fleet.CommandResult {
			if !fw.acceptToken(renewal.Token) {
				return fleet.CommandFenced
			}
			effective := renewal
			if !late && renewal.Worker.Incarnation < fw.incarnation {
				effective.LeaseUntil, effective.Acked = 0, 0
			}
			if effective.LeaseUntil > 0 {
				fw.extendLease(effective.LeaseUntil)
			}
			out = fw.leaseReport(effective)
			return fleet.CommandAccepted
		})
		if err != nil {
			return fleet.LeaseReport{}, err
		}
		out.Refused = r
		if r != fleet.CommandAccepted || len(out.Ended) > 0 || time.Now().After(deadline) {
			return out, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leaseReport returns the running runs and the unacknowledged reports of ended runs, and
// deletes the acknowledged ones. A success counts as acknowledged only while the lease is
// valid.
func (fw *fakeWorker) leaseReport(renewal fleet.RenewLease) fleet.LeaseReport {
	out := fleet.LeaseReport{Incarnation: fw.incarnation, Clock: fw.clock()}
	unacked := fw.endReports[:0:0]
	for _, e := range fw.endReports {
		if e.Number > renewal.Acked {
			unacked = append(unacked, e)
			continue
		}
		if e.Kind == fleet.EndDone && fw.clock() <= fw.leaseEnd {
			fw.fleet.acknowledged[e.Task] = e.Number
		}
		if e.repeated != "" && !e.leaseExpired {
			fw.fleet.violations = append(fw.fleet.violations, e.repeated)
		}
	}
	fw.endReports = unacked
	for _, e := range unacked[:min(len(unacked), fw.fleet.maxReported)] {
		out.Ended = append(out.Ended, e.EndReport)
	}
	out.MoreEnds = len(out.Ended) == fw.fleet.maxReported
	for _, r := range fw.runs {
		progress := float64(time.Since(r.started)) / float64(fw.fleet.duration(r.task))
		out.Running = append(out.Running, fleet.RunReport{Task: r.task, Run: r.number, ProgressPercent: min(99, int(100*progress)), Checkpoint: r.checkpoint})
	}
	return out
}

// SetFault sets the function that chooses the fault of a command. The kinds are "start",
// "stop", "pace" (LimitCPU) and "hold" (RenewLease).
func (w *Workers) SetFault(f func(kind, worker string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetFails sets the function that decides whether a run fails at its end.
func (w *Workers) SetFails(f func(task string, run int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = f
}

// SetAdviser makes the starts of the tasks that advised names need a ticket of a.
func (w *Workers) SetAdviser(a *Adviser, advised func(task string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adviser, w.advised = a, advised
}

// SetFailing makes a worker fail all its runs soon after their start, or ends that.
func (w *Workers) SetFailing(id string, failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].advance()
	w.byID[id].failing = failing
}

// SetMaxReported sets how many ended runs a worker reports at a time.
func (w *Workers) SetMaxReported(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxReported = n
}

// SetCheckpoint sets the checkpoint that every run reports.
func (w *Workers) SetCheckpoint(checkpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkpoint = checkpoint
}

// DeliverLateAfterRestart makes late commands reach a worker even if it restarted in the meantime, as on the
// users' platform.
func (w *Workers) DeliverLateAfterRestart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateSurvivesRestart = true
}

// Starts counts the accepted starts.
func (w *Workers) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Renewals counts the lease renewals.
func (w *Workers) Renewals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewals
}

// DrainingOrDead reports whether a worker is draining or dead.
func (w *Workers) DrainingOrDead(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byID[id].draining || w.byID[id].dead
}

// SetDuration sets the function that returns how long a run of a task takes.
func (w *Workers) SetDuration(f func(task string) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duration = f
}

// RunningOn counts the running runs on a worker.
func (w *Workers) RunningOn(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].advance()
	return len(w.byID[id].runs)
}

// WorkerOf returns the worker that runs a task, or "".
func (w *Workers) WorkerOf(task string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, fw := range w.byID {
		if fw.runs[task] != nil {
			return id
		}
	}
	return ""
}

// WorkerState is what a worker itself knows at one moment.
type WorkerState struct {
	ID          string
	Rack        string
	Capacity    resource.Vector
	AcceptsRuns bool     // live, reachable and not draining
	Tasks       []string // tasks of the running runs, sorted
}

// States returns the states of the live workers, ordered by id.
func (w *Workers) States() []WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []WorkerState
	for _, id := range slices.Sorted(maps.Keys(w.byID)) {
		fw := w.byID[id]
		if fw.dead {
			continue
		}
		fw.advance()
		out = append(out, WorkerState{
			ID: id, Rack: fw.rack, Capacity: fw.capacity, AcceptsRuns: !fw.unreachable && !fw.draining,
			Tasks: slices.Sorted(maps.Keys(fw.runs)),
		})
	}
	return out
}
