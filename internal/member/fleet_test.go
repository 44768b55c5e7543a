package member

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/link"
	"skylarkport/internal/result"
)

// fleet is a deployment in memory.
type fleet struct {
	t     *testing.T
	net   *memNet
	list  *fakeList
	procs map[string]*proc
	keys  map[string]*link.Keys
	beat  time.Duration
}

type proc struct {
	*Members
	cancel context.CancelFunc
	done   chan struct{}
}

// fakeList is the platform's list.
type fakeList struct {
	mu        sync.Mutex
	instances []contract.Instance
	away      bool
}

func (l *fakeList) List(context.Context) ([]contract.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return nil, &contract.CallError{Code: result.PlatformRefused, Detail: "away"}
	}
	return slices.Clone(l.instances), nil
}

func (l *fakeList) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

var programs = []Program{Entry, Scheduler}

// newFleet lists zones times perZone instances and starts both programs of each.
func newFleet(t *testing.T, zones, perZone int) *fleet {
	f := &fleet{
		t:     t,
		net:   newNet(1500 * time.Microsecond),
		list:  &fakeList{},
		procs: map[string]*proc{},
		keys:  map[string]*link.Keys{},
		beat:  DefaultHeartbeat,
	}
	for z := range zones {
		for i := range perZone {
			f.list.instances = append(f.list.instances, instance(z, i))
		}
	}
	return f
}

func (f *fleet) startAll() {
	for _, i := range f.list.instances {
		for _, p := range programs {
			f.start(i, p, nil)
		}
	}
}

func instance(zone, i int) contract.Instance {
	id := fmt.Sprintf("z%d-%d", zone, i)
	return contract.Instance{
		ID: id, Role: contract.EntryRole, Zone: fmt.Sprintf("z%d", zone), State: contract.Live,
		EntryPeer: IDOf(id, Entry), SchedulerPeer: IDOf(id, Scheduler),
	}
}

// start runs a process until the test ends or it is stopped.
func (f *fleet) start(i contract.Instance, program Program, change func(*Config), before ...func(*Members)) *proc {
	f.t.Helper()
	id := IDOf(i.ID, program)
	cfg := Config{
		Deployment: "dosanko", Instance: i.ID, Program: program, Zone: i.Zone, Address: id,
		Heartbeat: f.beat, Instances: f.list, Transport: host{f.net, id}, Keys: f.keys[id],
	}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	m.Attach("zone", func() any { return cfg.Zone })
	for _, b := range before {
		b(m)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	p := &proc{Members: m, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := m.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(func() { cancel(); <-p.done })
	f.procs[id] = p
	return p
}

// kill ends a process without a farewell.
func (f *fleet) kill(id string) {
	f.net.kill(id)
	p := f.procs[id]
	delete(f.procs, id)
	p.cancel()
	<-p.done
}

func (f *fleet) addresses(zone string) []string {
	var out []string
	for id, p := range f.procs {
		if p.Self().Zone == zone {
			out = append(out, id)
		}
	}
	return out
}

func stateOf(v *View, id string) State {
	for _, p := range v.Peers {
		if p.ID == id {
			return p.State
		}
	}
	return ""
}

// seen counts the states in which the processes matching who see id.
func (f *fleet) seen(id string, who func(Peer) bool) map[State]int {
	out := map[State]int{}
	for _, p := range f.procs {
		if p.Self().ID != id && who(p.Self()) {
			out[stateOf(p.View(), id)]++
		}
	}
	return out
}

func inZone(zone string) func(Peer) bool    { return func(p Peer) bool { return p.Zone == zone } }
func notInZone(zone string) func(Peer) bool { return func(p Peer) bool { return p.Zone != zone } }
func anyone(Peer) bool                      { return true }

// wantOnly fails unless everyone matching who sees id in state.
func (f *fleet) wantOnly(when, id string, state State, who func(Peer) bool) {
	f.t.Helper()
	got := f.seen(id, who)
	if len(got) != 1 || got[state] == 0 {
		f.t.Errorf("%s: %s is seen as %v, want only %s", when, id, got, state)
	}
}

func (f *fleet) wantAllAlive(when string) {
	f.t.Helper()
	for id, p := range f.procs {
		if p.leaving.Load() {
			continue
		}
		f.wantOnly(when, id, Alive, anyone)
	}
}

// run runs body in virtual time.
func run(t *testing.T, zones, perZone int, body func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone)
		f.startAll()
		time.Sleep(10 * time.Second)
		f.wantAllAlive("after the start")
		if !t.Failed() {
			body(f)
		}
	})
}
