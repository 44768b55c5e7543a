package member_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/platform"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// Number of rollouts in a test, and limits of the time until a bundle is in force.
const (
	rolloutMedianLimit = 2 * time.Second // median
	rolloutP99Limit    = 8 * time.Second // 99th percentile
	rollouts           = 10
)

// deployment is all processes of several zones, each with its bundle syncer, on the
// stand-in platform and an in-memory network.
type deployment struct {
	t         *testing.T
	net       member.TestNet
	system    *standin.System
	processes []*process
}

type process struct {
	id, zone  string
	syncer    *bundle.Syncer
	lifecycle *bundle.Lifecycle
}

func newDeployment(t *testing.T, zones, perZone int) *deployment {
	d := &deployment{t: t, net: member.NewTestNet(1500 * time.Microsecond)}
	cfg := settings.Standin{Listen: "127.0.0.1:1", WritesPerSec: 400, ReadsPerSec: 2000, ListLag: job.Duration(2 * time.Second)}
	for z := range zones {
		zone := zoneName(z)
		cfg.Zones = append(cfg.Zones, settings.StandinZone{Name: zone})
		for i := range perZone {
			id := fmt.Sprintf("%s-%d", zone, i)
			cfg.Entries = append(cfg.Entries, settings.StandinEntry{
				ID: id, Zone: zone, EntryPeer: member.PeerID(id, member.Entry), SchedulerPeer: member.PeerID(id, member.Scheduler),
			})
		}
	}
	d.system = standin.New(cfg)
	for _, e := range cfg.Entries {
		for _, program := range []member.Program{member.Entry, member.Scheduler} {
			d.start(e, program)
		}
	}
	time.Sleep(15 * time.Second)
	return d
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

func (d *deployment) start(e settings.StandinEntry, program member.Program) {
	d.t.Helper()
	id := member.PeerID(e.ID, program)
	from := platform.Caller{Zone: e.Zone, Instance: e.ID}
	members, err := member.New(member.Config{
		Deployment: "dosanko", Instance: e.ID, Program: program, Zone: e.Zone, Address: id,
		Instances: d.system.Instances(from), Transport: d.net.Host(id),
	})
	if err != nil {
		d.t.Fatal(err)
	}
	first := &bundle.Bundle{Author: "ops"}
	syncer := bundle.NewSyncer(bundle.SyncerConfig{
		Tables: d.system.Tables(from), Objects: d.system.Objects(from), Group: members, Initial: first,
	})
	p := &process{
		id: id, zone: e.Zone, syncer: syncer,
		lifecycle: bundle.NewLifecycle(d.system.Tables(from), d.system.Objects(from), first, syncer, nil),
	}
	d.processes = append(d.processes, p)
	ctx, cancel := context.WithCancel(d.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = members.Run(ctx) })
	wg.Go(func() { _ = syncer.Run(ctx) })
	d.t.Cleanup(func() { cancel(); wg.Wait() })
}

// addresses returns the addresses of the processes in zones.
func (d *deployment) addresses(zones ...string) []string {
	var out []string
	for _, p := range d.processes {
		if slices.Contains(zones, p.zone) {
			out = append(out, p.id)
		}
	}
	return out
}

// acceptBundle accepts a bundle through the first process and returns the time
// until each process had it in force.
func (d *deployment) acceptBundle(version uint64, accepted func()) []time.Duration {
	d.t.Helper()
	b := &bundle.Bundle{Version: version, Base: version - 1, Author: "ops", Note: fmt.Sprint("change ", version)}
	body, err := bundle.Encode(b)
	if err != nil {
		d.t.Fatal(err)
	}
	lifecycle := d.processes[0].lifecycle
	proposal, err := lifecycle.Propose(d.t.Context(), body, "ops")
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := lifecycle.Accept(d.t.Context(), proposal.Hash); err != nil {
		d.t.Fatal(err)
	}
	began := time.Now()
	accepted()
	took := make([]time.Duration, len(d.processes))
	var wg sync.WaitGroup
	for i, p := range d.processes {
		wg.Go(func() {
			for p.syncer.Current() == nil || p.syncer.Head().Version < version {
				select {
				case <-p.syncer.Changed():
				case <-time.After(time.Second):
				}
				if time.Since(began) > time.Minute {
					d.t.Errorf("%s has version %d, want %d", p.id, p.syncer.Head().Version, version)
					break
				}
			}
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	return took
}

// TestRollout checks how soon an accepted bundle is in force in every process, which
// reads it from the platform's table or from its peers, in virtual time without
// TLS.
func TestRollout(t *testing.T) {
	inject := func(t *testing.T, d *deployment, f standin.Fault) {
		t.Helper()
		if err := d.system.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name     string
		before   func(t *testing.T, d *deployment)
		accepted func(t *testing.T, d *deployment) // right after each acceptance
		after    func(d *deployment)               // before the next one
	}{
		{name: "healthy"},
		{name: "a zone partitioned from the platform", before: func(t *testing.T, d *deployment) {
			inject(t, d, standin.Fault{Kind: standin.Partition, From: "z2", To: standin.PlatformZone})
		}},
		{name: "a zone partitioned from the platform and from one zone", before: func(t *testing.T, d *deployment) {
			inject(t, d, standin.Fault{Kind: standin.Partition, From: "z2", To: standin.PlatformZone})
			d.net.SetPartition(true, d.addresses("z0"), d.addresses("z2"))
		}},
		{name: "a zone partitioned from all peers", before: func(_ *testing.T, d *deployment) {
			d.net.SetPartition(true, d.addresses("z0", "z1"), d.addresses("z2"))
		}},
		{name: "platform outage after the acceptance", accepted: func(t *testing.T, d *deployment) {
			inject(t, d, standin.Fault{Kind: standin.Down, Target: "tables"})
			inject(t, d, standin.Fault{Kind: standin.Down, Target: "objects"})
		}, after: func(d *deployment) {
			d.system.Clear()
			time.Sleep(5 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 3, 3)
				if tt.before != nil {
					tt.before(t, d)
					time.Sleep(20 * time.Second)
				}
				var all []time.Duration
				for v := range uint64(rollouts) {
					all = append(all, d.acceptBundle(v+1, func() {
						if tt.accepted != nil {
							tt.accepted(t, d)
						}
					})...)
					if tt.after != nil {
						tt.after(d)
					}
					time.Sleep(time.Duration(v) * 137 * time.Millisecond)
				}
				report(t, all)
			})
		})
	}
}

// report logs the percentiles and fails where one exceeds its limit.
func report(t *testing.T, took []time.Duration) {
	t.Helper()
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))] }
	t.Logf("%d samples: p50 %v, p99 %v, highest %v", len(took), at(0.5), at(0.99), at(1))
	if at(0.5) > rolloutMedianLimit || at(0.99) > rolloutP99Limit {
		t.Errorf("p50 %v, p99 %v, want at most %v and %v", at(0.5), at(0.99), rolloutMedianLimit, rolloutP99Limit)
	}
}
