// Package standin simulates the platform, its workers and their upstreams in memory, for
// development and tests. It serves in-process callers and HTTP in the same way. Faults can
// be injected, and all runs and requests are recorded, so that they can be checked against
// the rules in internal/history.
package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// Defaults of optional settings.
const (
	defaultCallTimeout    = 5 * time.Second
	defaultHistoryRecords = 500_000
	defaultStopDrain      = 10 * time.Second
	defaultSlots          = 8
	defaultConns          = 64
	defaultRackSize       = 8
)

// System is a simulated platform with its workers and upstreams.
type System struct {
	cfg       settings.Standin
	started   time.Time
	faults    faultSet
	events    *recorder
	tables    *tableStore
	objects   objectStore
	instances instanceStore
	workers   []*worker
	byAddr    map[string]*worker
	byID      map[string]*worker
}

// New returns a system in which the instances of cfg are live and nothing runs. It opens no
// listener.
func New(cfg settings.Standin) *System {
	setDefaults(&cfg)
	events := newRecorder(cfg.HistoryRecords)
	s := &System{
		cfg:       cfg,
		started:   time.Now(),
		events:    events,
		tables:    newTableStore(cfg.WritesPerSec, cfg.ReadsPerSec, events),
		objects:   objectStore{body: map[string][]byte{}},
		instances: instanceStore{changes: map[string][]stateChange{}},
		byAddr:    map[string]*worker{},
		byID:      map[string]*worker{},
	}
	for _, e := range cfg.Entries {
		s.instances.add(contract.Instance{
			ID: e.ID, Role: contract.EntryRole, Zone: e.Zone, State: contract.Live,
			EntryPeer: e.EntryPeer, SchedulerPeer: e.SchedulerPeer,
		}, s.started)
	}
	for _, z := range cfg.Zones {
		for n := range z.Workers {
			s.addWorker(z.Name, n)
		}
	}
	return s
}

func setDefaults(cfg *settings.Standin) {
	setDefault(&cfg.CallTimeout, job.Duration(defaultCallTimeout))
	setDefault(&cfg.HistoryRecords, defaultHistoryRecords)
	setDefault(&cfg.StopDrain, job.Duration(defaultStopDrain))
	setDefault(&cfg.Workers.Slots, defaultSlots)
	setDefault(&cfg.Workers.Conns, defaultConns)
	setDefault(&cfg.Workers.RackSize, defaultRackSize)
	setDefault(&cfg.Workers.IP, "127.0.0.1")
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (s *System) addWorker(zone string, n int) {
	c := s.cfg.Workers
	port := c.BasePort + 2*len(s.workers)
	inst := contract.Instance{
		ID:       fmt.Sprintf("%s-w%03d", zone, n),
		Role:     contract.WorkerRole,
		Zone:     zone,
		Rack:     fmt.Sprintf("%s-r%02d", zone, n/c.RackSize),
		State:    contract.Live,
		Address:  fmt.Sprintf("%s:%d", c.IP, port),
		Capacity: c.Capacity,
		Slots:    c.Slots,
		Conns:    c.Conns,
	}
	w := newWorker(s, inst, fmt.Sprintf("%s:%d", c.IP, port+1), len(s.workers))
	s.workers = append(s.workers, w)
	s.byAddr[inst.Address] = w
	s.byID[inst.ID] = w
	s.instances.add(inst, s.started)
}

// Tables returns the table service for the calling instance.
func (s *System) Tables(from platform.Caller) contract.Tables { return tablesFor{s, from} }

// Objects returns the object store for the calling instance.
func (s *System) Objects(from platform.Caller) contract.Objects { return objectsFor{s, from} }

// Instances returns the instance list for the calling instance.
func (s *System) Instances(from platform.Caller) contract.Instances { return instancesFor{s, from} }

// Workers returns the workers' control interface for the calling instance.
func (s *System) Workers(from platform.Caller) contract.Workers { return workersFor{s, from} }

// Inject starts a fault, or applies it at once if its kind is an action on a worker.
func (s *System) Inject(f Fault) error {
	if !slices.Contains(allKinds, f.Kind) {
		return refused(result.PlatformBadCall, "unknown fault kind "+string(f.Kind))
	}
	if f.Kind == Partition && (f.From == "" || f.To == "") {
		return refused(result.PlatformBadCall, "a fault of kind cut needs from and to")
	}
	if !slices.Contains(actionKinds, f.Kind) {
		s.faults.add(f)
		return nil
	}
	w, ok := s.byID[f.Target]
	if !ok {
		return refused(result.PlatformNotFound, "no worker "+f.Target)
	}
	w.applyAction(f)
	return nil
}

// Clear ends all faults and pauses. A killed worker stays dead.
func (s *System) Clear() {
	s.faults.clear()
	for _, w := range s.workers {
		w.resume()
	}
}

// SetInstanceState sets the state of an instance in the platform's list.
func (s *System) SetInstanceState(id string, state contract.State) error {
	if err := s.instances.setState(id, state); err != nil {
		return err
	}
	if w, ok := s.byID[id]; ok {
		w.setLeaving(state == contract.Leaving)
	}
	return nil
}

// Add adds an instance to the platform's list.
func (s *System) Add(i contract.Instance) { s.instances.add(i, time.Now()) }

// History returns the record of everything that has happened so far.
func (s *System) History() history.Record {
	for _, w := range s.workers {
		w.advance()
	}
	rec := s.events
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := history.Record{
		Now:        s.now(),
		Runs:       slices.Clone(rec.runs),
		Reports:    slices.Clone(rec.reported),
		Executions: slices.Clone(rec.executions),
		Totals:     rec.totals,
	}
	for _, p := range rec.peaks {
		out.Workers = append(out.Workers, *p)
	}
	slices.SortFunc(out.Workers, func(a, b history.WorkerPeaks) int { return strings.Compare(a.Worker, b.Worker) })
	return out
}

// Totals returns the event counters of the platform and its workers.
func (s *System) Totals() history.Totals {
	s.events.mu.Lock()
	defer s.events.mu.Unlock()
	return s.events.totals
}

// Advance advances the simulation of every worker to the present.
func (s *System) Advance() {
	for _, w := range s.workers {
		w.advance()
	}
}

func (s *System) now() time.Duration { return time.Since(s.started) }

// workersFor implements contract.Workers for one calling instance.
type workersFor struct {
	sys  *System
	from platform.Caller
}

// Exchange implements contract.Workers.
func (w workersFor) Exchange(ctx context.Context, addr string, req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	target, ok := w.sys.byAddr[addr]
	if !ok {
		return contract.ExchangeReply{}, refused(result.WorkerUnavailable, "no worker at "+addr)
	}
	return target.sendExchange(ctx, w.from, req)
}
