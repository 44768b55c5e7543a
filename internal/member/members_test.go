package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// TestDetection checks how soon the peers, in the zone and in the others, detect
// each way in which a process fails or leaves.
func TestDetection(t *testing.T) {
	const victim = "z0-0/scheduler"
	all := func(d *testDeployment) []string {
		return slices.Concat(d.addresses("z0"), d.addresses("z1"), d.addresses("z2"))
	}
	tests := []struct {
		name          string
		injectFailure func(d *testDeployment)
		inZone        time.Duration // limit for all peers of the zone
		otherZones    time.Duration // limit for all peers of other zones
		want          State
	}{
		{"killed", func(d *testDeployment) { d.kill(victim) }, time.Second, 6 * time.Second, Dead},
		{"silent", func(d *testDeployment) { d.net.setBlockedBoth(true, []string{victim}, all(d)) }, 2500 * time.Millisecond, 10 * time.Second, Dead},
		{"not received", func(d *testDeployment) { d.net.setBlocked(true, []string{victim}, all(d)) }, 2500 * time.Millisecond, 10 * time.Second, Dead},
		{"leaving", func(d *testDeployment) { d.procs[victim].Leave() }, 500 * time.Millisecond, 5 * time.Second, Leaving},
		{"stopped", func(d *testDeployment) { d.procs[victim].cancel(); <-d.procs[victim].done; delete(d.procs, victim) }, 500 * time.Millisecond, 5 * time.Second, Dead},
		{"listed as leaving", func(d *testDeployment) {
			d.list.update(func() { d.list.instances[0].State = contract.Leaving })
		}, 15 * time.Second, 15 * time.Second, Leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runDeployment(t, 3, 2, func(d *testDeployment) {
				began := time.Now()
				tt.injectFailure(d)
				time.Sleep(tt.inZone - time.Since(began))
				d.wantOnly("in the zone", victim, tt.want, inZone("z0"))
				time.Sleep(tt.otherZones - time.Since(began))
				d.wantOnly("in other zones", victim, tt.want, notInZone("z0"))
				d.wantOnly("the other program", "z0-1/entry", Alive, func(p Peer) bool { return p.ID != victim })
			})
		})
	}
}

// TestOneWayPartition checks that after a partition in one direction neither side sees the
// other alive, and that both do again once it is healed.
func TestOneWayPartition(t *testing.T) {
	const a, b = "z0-0/entry", "z0-1/entry"
	runDeployment(t, 1, 3, func(d *testDeployment) {
		d.net.setBlocked(true, []string{a}, []string{b})
		time.Sleep(4 * time.Second)
		d.wantOnly("by the peer that receives nothing", a, Dead, func(p Peer) bool { return p.ID == b })
		if s := stateOf(d.procs[a].View(), b); s == Alive || s == Leaving {
			t.Errorf("the sender that is not received sees the other as %s, want neither alive nor leaving", s)
		}
		d.wantOnly("by the third process", a, Alive, func(p Peer) bool { return p.ID != b })
		d.net.setBlocked(false, []string{a}, []string{b})
		time.Sleep(12 * time.Second)
		d.wantAllAlive("healed")
	})
}

// TestZonePartition checks that the peers of a partitioned zone are not seen alive from
// outside, still see each other alive, and are found again once it is healed.
func TestZonePartition(t *testing.T) {
	runDeployment(t, 3, 2, func(d *testDeployment) {
		blocked, rest := d.addresses("z2"), slices.Concat(d.addresses("z0"), d.addresses("z1"))
		d.net.setBlockedBoth(true, blocked, rest)
		time.Sleep(20 * time.Second)
		for _, id := range blocked {
			if n := d.countStates(id, notInZone("z2"))[Alive]; n > 0 {
				t.Errorf("%d processes see %s alive across the partition", n, id)
			}
			d.wantOnly("inside", id, Alive, inZone("z2"))
		}
		d.net.setBlockedBoth(false, blocked, rest)
		time.Sleep(40 * time.Second)
		d.wantAllAlive("healed")
	})
}

// TestRestart checks that the peers see the new incarnation of a restarted process.
func TestRestart(t *testing.T) {
	const id = "z0-0/entry"
	runDeployment(t, 2, 2, func(d *testDeployment) {
		old := d.procs[id].Self().Incarnation
		d.kill(id)
		p := d.start(instance(0, 0), Entry, nil)
		time.Sleep(10 * time.Second)
		d.wantOnly("restarted", id, Alive, anyObserver)
		for _, q := range d.procs {
			for _, seen := range q.View().Peers {
				if seen.ID == id && seen.Incarnation != p.Self().Incarnation {
					t.Errorf("%s sees incarnation %q, old %q, new %q", q.Self().ID, seen.Incarnation, old, p.Self().Incarnation)
				}
			}
		}
	})
}

// TestUnlistedPeerIsDiscovered checks that the peers learn of a process that the list does not
// contain, because it lags or is unavailable.
func TestUnlistedPeerIsDiscovered(t *testing.T) {
	tests := []struct {
		name   string
		before func(l *fakeList)
		change func(*Config)
	}{
		{"list lags", func(*fakeList) {}, nil},
		{
			"list unavailable, seeds", func(l *fakeList) { l.update(func() { l.unavailable = true }) },
			func(c *Config) { c.Seeds = []string{"z0-1/entry", "z1-0/entry"} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runDeployment(t, 2, 2, func(d *testDeployment) {
				tt.before(d.list)
				d.start(instance(0, 9), Entry, tt.change)
				time.Sleep(8 * time.Second)
				d.wantOnly("in its zone", "z0-9/entry", Alive, inZone("z0"))
				time.Sleep(8 * time.Second)
				d.wantAllAlive("everywhere")
			})
		})
	}
}

// TestFlapping checks that a peer that dies repeatedly stays suspect for a while
// after its last start, and is alive once it has stayed up.
func TestFlapping(t *testing.T) {
	const id = "z0-0/entry"
	runDeployment(t, 1, 2, func(d *testDeployment) {
		for range minFlapDeaths {
			d.kill(id)
			time.Sleep(2 * time.Second)
			d.wantOnly("down", id, Dead, anyObserver)
			d.start(instance(0, 0), Entry, nil)
			time.Sleep(4 * time.Second)
		}
		if n := d.countStates(id, anyObserver)[Alive]; n > 0 {
			t.Errorf("%d processes see a flapping peer alive", n)
		}
		time.Sleep(2 * maxFlapSuspectTime)
		d.wantAllAlive("steady")
	})
}

// TestAttachedValues checks that a changed value reaches the peers of the zone before the
// next regular heartbeat, and the heartbeat targets in the other zone within a
// heartbeat interval between zones.
func TestAttachedValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment(t, 2, 2)
		var value atomic.Int64
		var mu sync.Mutex
		got := map[string]string{}
		for _, i := range d.list.instances {
			for _, program := range programs {
				id := PeerID(i.ID, program)
				d.start(i, program, nil, func(m *Membership) {
					m.OnAttached("n", func(from Peer, v json.RawMessage) {
						mu.Lock()
						defer mu.Unlock()
						got[id] += from.ID + "=" + string(v) + " "
					})
				})
			}
		}
		source := d.start(instance(0, 7), Entry, nil, func(m *Membership) {
			m.Attach("n", func() any {
				if n := value.Load(); n > 0 {
					return n
				}
				return nil
			})
		}).Self().ID
		time.Sleep(10 * time.Second)
		check := func(zone, text string, want int) {
			mu.Lock()
			defer mu.Unlock()
			n := 0
			for id, p := range d.procs {
				if p.Self().Zone == zone && strings.HasSuffix(got[id], source+text) {
					n++
				}
			}
			if n < want {
				t.Errorf("%d processes of %s got the value, want %d: %v", n, zone, want, got)
			}
		}
		value.Store(5)
		time.Sleep(600 * time.Millisecond)
		check("z0", "=5 ", 4)
		// A second change right after the first was sent is not held back until
		// the next regular heartbeat.
		value.Store(6)
		time.Sleep(600 * time.Millisecond)
		check("z0", "=6 ", 4)
		time.Sleep(time.Second)
		check("z1", "=6 ", targetsPerZone)
	})
}

// TestCall checks the result codes of calls, also to a peer of another zone to which
// the caller sends no heartbeats.
func TestCall(t *testing.T) {
	tests := []struct {
		name, peer, method string
		before             func(d *testDeployment)
		want               result.Code
	}{
		{"answer", "z0-1/entry", "who", nil, result.OK},
		{"other zone", "z1-0/entry", "who", nil, result.OK},
		{"other zone, second", "z1-1/scheduler", "who", nil, result.OK},
		{"unknown method", "z0-1/entry", "what", nil, result.RequestUnsupported},
		{"coded error", "z0-1/entry", "fail", nil, result.JobUnknown},
		{"unknown peer", "z9-9/entry", "who", nil, result.PeerUnknown},
		{"killed", "z0-1/entry", "who", func(d *testDeployment) { d.kill("z0-1/entry") }, result.PeerUnavailable},
		{"partitioned", "z0-1/entry", "who", func(d *testDeployment) {
			d.net.setBlockedBoth(true, []string{"z0-0/entry"}, []string{"z0-1/entry"})
		}, result.PeerUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment(t, 2, 2)
				for _, i := range d.list.instances {
					for _, program := range programs {
						p := d.start(i, program, nil)
						p.Handle("who", func(_ context.Context, from Peer, params json.RawMessage) (any, error) {
							return from.ID + string(params), nil
						})
						p.Handle("fail", func(context.Context, Peer, json.RawMessage) (any, error) {
							return nil, result.Errorf(result.JobUnknown, "j1")
						})
					}
				}
				time.Sleep(10 * time.Second)
				if tt.before != nil {
					tt.before(d)
				}
				var reply string
				err := d.procs["z0-0/entry"].Call(t.Context(), tt.peer, tt.method, 7, &reply)
				if result.Of(err) != tt.want {
					t.Fatalf("Call() = %v, want code %d", err, tt.want)
				}
				if err == nil && reply != "z0-0/entry7" {
					t.Errorf("Call() returned %q", reply)
				}
			})
		})
	}
}

// TestOtherDeployment checks that a process of another deployment stays out of
// the view.
func TestOtherDeployment(t *testing.T) {
	runDeployment(t, 1, 2, func(d *testDeployment) {
		d.start(instance(0, 9), Entry, func(c *Config) { c.Deployment = "cymru" })
		time.Sleep(5 * time.Second)
		for _, p := range d.procs {
			if p.Self().Instance != "z0-9" && stateOf(p.View(), "z0-9/entry") != "" {
				t.Errorf("the view of %s contains a process of another deployment", p.Self().ID)
			}
		}
		delete(d.procs, "z0-9/entry")
	})
}

// TestChanged checks that the channel of Changed is closed when a new view is
// published.
func TestChanged(t *testing.T) {
	runDeployment(t, 1, 2, func(d *testDeployment) {
		p := d.procs["z0-0/entry"]
		changed, version := p.Changed(), p.View().Version
		d.kill("z0-1/entry")
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			t.Fatal("the channel was not closed after a peer died")
		}
		if p.View().Version <= version {
			t.Errorf("version %d after %d", p.View().Version, version)
		}
	})
}

// TestAddressInUse checks that Run returns an error when it cannot listen.
func TestAddressInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{}
		m, err := New(Config{
			Deployment: "dosanko", Instance: "a", Program: Entry, Zone: "z", Address: "a",
			Instances: list, Seeds: []string{"b"}, Transport: occupiedHost{memHost{newNet(0), "a"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Run(t.Context()); result.Of(err) != result.SettingsAddress {
			t.Errorf("Run() = %v", err)
		}
	})
}

// occupiedHost is a host that cannot listen, as its address is in use.
type occupiedHost struct{ memHost }

func (occupiedHost) Listen(string) (net.Listener, error) { return nil, syscall.EADDRINUSE }

// BenchmarkStep measures one step of the loop; a process runs four in a heartbeat
// interval.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{41, 97, 700} {
		b.Run(fmt.Sprintf("%d peers", n), func(b *testing.B) {
			m, err := New(Config{Deployment: "d", Instance: "self", Program: Entry, Zone: "z0", Address: "self"})
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				id := fmt.Sprintf("i%d", i)
				p := m.ensurePeer(PeerID(id, Entry), id, Entry, fmt.Sprintf("z%d", i%7), id)
				p.dialing = true // no connection is opened
			}
			b.ReportAllocs()
			for b.Loop() {
				m.step(b.Context(), false)
			}
		})
	}
}

func TestNewConfig(t *testing.T) {
	s := settings.Common{Deployment: "dosanko", Instance: "i1", Zone: "ishikari", PeerListen: "127.0.0.1:7000"}
	cfg, err := NewConfig(&s, Entry, nil, nil)
	if err != nil || cfg.Address != s.PeerListen || cfg.Keys != nil {
		t.Errorf("NewConfig() = %+v, %v", cfg, err)
	}
	if _, err := New(Config{}); result.Of(err) != result.SettingsMissing {
		t.Errorf("New() of nothing = %v", err)
	}
	if !strings.HasSuffix(PeerID("i1", Entry), "/entry") {
		t.Error("IDOf()")
	}
}
