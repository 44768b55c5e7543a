package fleetfake

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// TableWorkers is the table of the workers' entries.
const TableWorkers = "workers"

// beatEvery is how often a worker renews its entry.
const beatEvery = 500 * time.Millisecond

// stopTime is how long the end of a stopped run takes.
const stopTime = 100 * time.Millisecond

// run is a run on a machine.
type run struct {
	name       string
	number     int
	checkpoint string
	began      time.Time
	stopped    time.Time
}

// Machine is a simulated worker.
type Machine struct {
	fleet *Workers
	id    string
	zone  string
	rack  string

	life     int64
	started  time.Time
	epoch    int64
	lease    int64 // on the machine's clock
	runs     map[string]*run
	barred   map[string]int // highest run stopped or ended, by task
	ends     []fleet.EndReport
	number   int64
	capacity resource.Vector
	draining bool
	dead     bool
	cut      bool
	slow     float64
}

// Workers simulates all workers. It implements fleet.Workers and fleet.Registry
// and records what must never happen.
type Workers struct {
	mu            sync.Mutex
	store         *Store
	machines      map[string]*Machine
	duration      func(task string) time.Duration
	fails         func(task string, run int) bool
	fault         func(kind, worker string) Fault
	crossing      bool
	wrong         []string         // broken promises
	done          map[string]int64 // tasks whose success was acknowledged
	starts, holds int
}

// NewWorkers returns workers that register in store.
func NewWorkers(store *Store) *Workers {
	return &Workers{
		store: store, machines: map[string]*Machine{}, done: map[string]int64{},
		duration: func(string) time.Duration { return 300 * time.Millisecond },
	}
}

// Add adds a machine and keeps it registered until ctx ends.
func (w *Workers) Add(ctx context.Context, id, zone, rack string, capacity resource.Vector) {
	w.mu.Lock()
	m := &Machine{fleet: w, id: id, zone: zone, rack: rack, capacity: capacity, slow: 1}
	m.restart()
	w.machines[id] = m
	w.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			w.beat(m)
			time.Sleep(beatEvery)
		}
	}()
}

type entry struct {
	Life     int64           `json:"life"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack"`
	Capacity resource.Vector `json:"capacity"`
	Draining bool            `json:"draining"`
}

func (w *Workers) beat(m *Machine) {
	w.mu.Lock()
	e := entry{m.life, m.zone, m.rack, m.capacity, m.draining}
	gone := m.dead
	w.mu.Unlock()
	row := fleet.Row{Table: TableWorkers, Key: m.id}
	if gone {
		w.store.apply(fleet.Tx{Delete: []fleet.Row{row}})
		return
	}
	row.Value = workload.Encode(e)
	w.store.apply(fleet.Tx{Put: []fleet.Row{row}})
}

// Table implements fleet.Registry.
func (w *Workers) Table() string { return TableWorkers }

// Worker implements fleet.Registry.
func (w *Workers) Worker(r fleet.Row) (fleet.Worker, bool) {
	var e entry
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return fleet.Worker{}, false
	}
	return fleet.Worker{
		ID: r.Key, Incarnation: e.Life, Address: r.Key, Zone: e.Zone, Service: "svc", Rack: e.Rack,
		Labels: []string{"a", e.Rack}, Capacity: e.Capacity, Draining: e.Draining,
	}, true
}

// restart begins a new life.
func (m *Machine) restart() {
	m.life++
	m.started = time.Now()
	m.epoch, m.lease, m.number = 0, 0, 0
	m.runs, m.barred, m.ends = map[string]*run{}, map[string]int{}, nil
	m.dead, m.draining = false, false
}

// Kill ends a machine's life without a word.
func (w *Workers) Kill(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[id].dead = true
	w.machines[id].runs = map[string]*run{}
}

// rebirthTime is how long a machine takes to start again.
const rebirthTime = 400 * time.Millisecond

// Reborn ends a machine's life and starts it again under its id.
func (w *Workers) Reborn(id string) {
	w.Kill(id)
	time.AfterFunc(rebirthTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.machines[id].restart()
	})
}

// Drain lets a machine say that it leaves.
func (w *Workers) Drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[id].draining = true
}

// Cut makes a machine unreachable, or reachable again; it runs on.
func (w *Workers) Cut(id string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[id].cut = cut
}

// Violations returns what went wrong so far.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		m.settle()
	}
	return append([]string(nil), w.wrong...)
}

// Running counts the live runs of a job.
func (w *Workers) Running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.machines {
		m.settle()
		for name := range m.runs {
			if id, err := workload.ParseTaskID(name); err == nil && id.Job == job {
				n++
			}
		}
	}
	return n
}

// clock is the machine's steady clock.
func (m *Machine) clock() int64 { return time.Since(m.started).Milliseconds() + 1000 }

// settle ends the runs whose time has come.
func (m *Machine) settle() {
	if m.dead {
		return
	}
	if m.lease > 0 && m.clock() > m.lease {
		for _, r := range m.runs {
			m.end(r, fleet.EndLeaseExpired)
		}
	}
	for _, r := range m.runs {
		if !r.stopped.IsZero() && time.Since(r.stopped) >= stopTime {
			m.end(r, fleet.EndStopped)
			continue
		}
		if r.stopped.IsZero() && time.Since(r.began) >= time.Duration(float64(m.fleet.duration(r.name))*m.slow) {
			kind := fleet.EndDone
			if m.fleet.fails != nil && m.fleet.fails(r.name, r.number) {
				kind = fleet.EndFailed
			}
			m.end(r, kind)
		}
	}
}

func (m *Machine) end(r *run, kind fleet.EndKind) {
	delete(m.runs, r.name)
	m.barred[r.name] = max(m.barred[r.name], r.number)
	m.number++
	m.ends = append(m.ends, fleet.EndReport{Number: m.number, Task: r.name, Run: r.number, Kind: kind, Checkpoint: r.checkpoint})
}

// order runs f on a machine, with the fault of the call.
func (w *Workers) order(ctx context.Context, kind string, to fleet.Worker, f func(m *Machine) fleet.CommandResult) (fleet.CommandResult, error) {
	time.Sleep(2 * time.Millisecond)
	fault := None
	w.mu.Lock()
	if w.fault != nil {
		fault = w.fault(kind, to.ID)
	}
	m := w.machines[to.ID]
	lost := m == nil || m.dead || m.cut
	w.mu.Unlock()
	if lost {
		return 0, unanswered(ctx)
	}
	do := func() fleet.CommandResult {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.dead {
			return fleet.CommandOtherIncarnation
		}
		m.settle()
		return f(m)
	}
	switch fault {
	case Refused:
		return 0, refused()
	case Lost:
		return 0, unanswered(ctx)
	case AnswerLost:
		do()
		return 0, unanswered(ctx)
	case Late:
		w.mu.Lock()
		life := m.life
		w.mu.Unlock()
		time.AfterFunc(LateBy, func() {
			w.mu.Lock()
			reaches := m.life == life || w.crossing && kind != "hold"
			w.mu.Unlock()
			if reaches {
				do()
			}
		})
		return 0, unanswered(ctx)
	}
	return do(), nil
}

func (m *Machine) fence(epoch int64) bool {
	if epoch < m.epoch {
		return false
	}
	m.epoch = epoch
	return true
}

// extend renews the lease; it never gets shorter and never longer than LeaseMax.
func (m *Machine) extend(until int64) {
	m.lease = max(m.lease, min(until, m.clock()+LeaseMax.Milliseconds()))
}

// LeaseMax is the longest lease of a machine.
const LeaseMax = 6 * time.Second

// Start implements fleet.Workers.
func (w *Workers) Start(ctx context.Context, s fleet.Start) (fleet.CommandResult, error) {
	return w.order(ctx, "start", s.Worker, func(m *Machine) fleet.CommandResult {
		if !m.fence(s.Epoch) {
			return fleet.CommandFenced
		}
		if r := m.runs[s.Task]; r != nil && r.number == s.Run {
			return fleet.CommandAccepted
		}
		if s.Run <= m.barred[s.Task] {
			return fleet.CommandStale
		}
		if s.LeaseUntil < m.clock() {
			return fleet.CommandLeaseExpired
		}
		m.extend(s.LeaseUntil)
		w.noteStart(m, s)
		m.runs[s.Task] = &run{name: s.Task, number: s.Run, checkpoint: s.Checkpoint, began: time.Now()}
		return fleet.CommandAccepted
	})
}

// noteStart checks a start against what runs elsewhere.
func (w *Workers) noteStart(to *Machine, s fleet.Start) {
	w.starts++
	if at, ok := w.done[s.Task]; ok {
		w.wrong = append(w.wrong, fmt.Sprintf("%s run %d started after its success was acknowledged at %d", s.Task, s.Run, at))
	}
	for _, m := range w.machines {
		m.settle()
		if r := m.runs[s.Task]; r != nil && !m.dead {
			w.wrong = append(w.wrong, fmt.Sprintf("%s run %d on %s while run %d is on %s", s.Task, s.Run, to.id, r.number, m.id))
		}
	}
}

// Stop implements fleet.Workers.
func (w *Workers) Stop(ctx context.Context, o fleet.RunRef) (fleet.CommandResult, error) {
	return w.order(ctx, "stop", o.Worker, func(m *Machine) fleet.CommandResult {
		if !m.fence(o.Epoch) {
			return fleet.CommandFenced
		}
		m.barred[o.Task] = max(m.barred[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.number <= o.Run && r.stopped.IsZero() {
			r.stopped = time.Now()
		}
		return fleet.CommandAccepted
	})
}

// LimitCPU implements fleet.Workers.
func (w *Workers) LimitCPU(ctx context.Context, o fleet.RunRef, _ int) (fleet.CommandResult, error) {
	return w.order(ctx, "pace", o.Worker, func(m *Machine) fleet.CommandResult {
		if !m.fence(o.Epoch) {
			return fleet.CommandFenced
		}
		return fleet.CommandAccepted
	})
}

// RenewLease implements fleet.Workers.
func (w *Workers) RenewLease(ctx context.Context, h fleet.RenewLease) (fleet.LeaseReport, error) {
	var out fleet.LeaseReport
	w.mu.Lock()
	w.holds++
	w.mu.Unlock()
	deadline := time.Now().Add(time.Duration(h.WaitMillis) * time.Millisecond)
	for {
		r, err := w.order(ctx, "hold", h.Worker, func(m *Machine) fleet.CommandResult {
			if !m.fence(h.Epoch) {
				return fleet.CommandFenced
			}
			if h.LeaseUntil > 0 {
				m.extend(h.LeaseUntil)
			}
			out = m.report(h)
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

// report lists the machine's runs and the ends beyond the acknowledged ones.
func (m *Machine) report(h fleet.RenewLease) fleet.LeaseReport {
	out := fleet.LeaseReport{Incarnation: m.life, Clock: m.clock()}
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.Number > h.Acked {
			kept = append(kept, e)
			continue
		}
		if e.Kind == fleet.EndDone && m.clock() <= m.lease {
			m.fleet.done[e.Task] = e.Number
		}
	}
	m.ends = kept
	out.Ended = append(out.Ended, kept...)
	for _, r := range m.runs {
		share := float64(time.Since(r.began)) / float64(m.fleet.duration(r.name))
		out.Running = append(out.Running, fleet.RunReport{Task: r.name, Run: r.number, ProgressPercent: min(99, int(100*share)), Checkpoint: r.checkpoint})
	}
	return out
}

// SetFault sets what chooses the fault of an order: "start", "stop", "pace" or
// "hold".
func (w *Workers) SetFault(f func(kind, worker string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetFails sets what decides whether a run fails at its end.
func (w *Workers) SetFails(f func(task string, run int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = f
}

// LateCrossesLives lets late starts and stops reach a machine's next life. That the
// platform does so is an open question (docs/QUESTIONS.md).
func (w *Workers) LateCrossesLives() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crossing = true
}

// Starts counts the accepted starts.
func (w *Workers) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Holds counts the holds.
func (w *Workers) Holds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// Leaving reports whether a machine drains or is dead.
func (w *Workers) Leaving(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[id].draining || w.machines[id].dead
}

// SetDuration sets how long a task works.
func (w *Workers) SetDuration(f func(task string) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duration = f
}

// RunningOn counts the live runs on a machine.
func (w *Workers) RunningOn(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines[id].settle()
	return len(w.machines[id].runs)
}
