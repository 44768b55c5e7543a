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

// testDeployment is a deployment on an in-memory network.
type testDeployment struct {
	t         *testing.T
	net       *memNet
	list      *fakeList
	procs     map[string]*testProcess
	keys      map[string]*link.Keys
	heartbeat time.Duration
}

type testProcess struct {
	*Membership
	cancel context.CancelFunc
	done   chan struct{}
}

// fakeList is a fake of the platform's list of instances.
type fakeList struct {
	mu          sync.Mutex
	instances   []contract.Instance
	unavailable bool
}

func (l *fakeList) List(context.Context) ([]contract.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, &contract.CallError{Code: result.PlatformRefused, Detail: "list unavailable"}
	}
	return slices.Clone(l.instances), nil
}

// update runs f, which changes the list.
func (l *fakeList) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

var programs = []Program{Entry, Scheduler}

// newTestDeployment returns a deployment whose list holds perZone instances in each
// zone. It starts no process.
func newTestDeployment(t *testing.T, zones, perZone int) *testDeployment {
	d := &testDeployment{
		t:         t,
		net:       newNet(1500 * time.Microsecond),
		list:      &fakeList{},
		procs:     map[string]*testProcess{},
		keys:      map[string]*link.Keys{},
		heartbeat: DefaultHeartbeat,
	}
	for z := range zones {
		for i := range perZone {
			d.list.instances = append(d.list.instances, instance(z, i))
		}
	}
	return d
}

func (d *testDeployment) startAll() {
	for _, i := range d.list.instances {
		for _, p := range programs {
			d.start(i, p, nil)
		}
	}
}

func instance(zone, i int) contract.Instance {
	id := fmt.Sprintf("z%d-%d", zone, i)
	return contract.Instance{
		ID: id, Role: contract.EntryRole, Zone: fmt.Sprintf("z%d", zone), State: contract.Live,
		EntryPeer: PeerID(id, Entry), SchedulerPeer: PeerID(id, Scheduler),
	}
}

// start runs a process until the test ends or the process is stopped.
func (d *testDeployment) start(i contract.Instance, program Program, change func(*Config), before ...func(*Membership)) *testProcess {
	d.t.Helper()
	id := PeerID(i.ID, program)
	cfg := Config{
		Deployment: "dosanko", Instance: i.ID, Program: program, Zone: i.Zone, Address: id,
		Heartbeat: d.heartbeat, Instances: d.list, Transport: memHost{d.net, id}, Keys: d.keys[id],
	}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg)
	if err != nil {
		d.t.Fatal(err)
	}
	m.Attach("zone", func() any { return cfg.Zone })
	for _, b := range before {
		b(m)
	}
	ctx, cancel := context.WithCancel(d.t.Context())
	p := &testProcess{Membership: m, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := m.Run(ctx); err != nil {
			d.t.Error(err)
		}
	}()
	d.t.Cleanup(func() { cancel(); <-p.done })
	d.procs[id] = p
	return p
}

// kill ends a process abruptly: it announces nothing.
func (d *testDeployment) kill(id string) {
	d.net.kill(id)
	p := d.procs[id]
	delete(d.procs, id)
	p.cancel()
	<-p.done
}

func (d *testDeployment) addresses(zone string) []string {
	var out []string
	for id, p := range d.procs {
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

// countStates counts, by state, how the processes that match observers see the peer id.
func (d *testDeployment) countStates(id string, observers func(Peer) bool) map[State]int {
	out := map[State]int{}
	for _, p := range d.procs {
		if p.Self().ID != id && observers(p.Self()) {
			out[stateOf(p.View(), id)]++
		}
	}
	return out
}

func inZone(zone string) func(Peer) bool    { return func(p Peer) bool { return p.Zone == zone } }
func notInZone(zone string) func(Peer) bool { return func(p Peer) bool { return p.Zone != zone } }
func anyObserver(Peer) bool                 { return true }

// wantOnly fails unless every process that matches observers sees the peer id in state.
func (d *testDeployment) wantOnly(when, id string, state State, observers func(Peer) bool) {
	d.t.Helper()
	got := d.countStates(id, observers)
	if len(got) != 1 || got[state] == 0 {
		d.t.Errorf("%s: %s is seen as %v, want only %s", when, id, got, state)
	}
}

func (d *testDeployment) wantAllAlive(when string) {
	d.t.Helper()
	for id, p := range d.procs {
		if p.leaving.Load() {
			continue
		}
		d.wantOnly(when, id, Alive, anyObserver)
	}
}

// runDeployment starts a deployment in virtual time and runs body once all its
// processes see each other alive.
func runDeployment(t *testing.T, zones, perZone int, body func(d *testDeployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment(t, zones, perZone)
		d.startAll()
		time.Sleep(10 * time.Second)
		d.wantAllAlive("after the start")
		if !t.Failed() {
			body(d)
		}
	})
}
