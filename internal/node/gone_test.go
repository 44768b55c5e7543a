package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/obs"
	"skylarkport/internal/workload"
)

// storeInstances stores the entries of n instances that have been replaced.
func storeInstances(t *testing.T, store *fleetfake.Store, n int) {
	t.Helper()
	for i := range n {
		name := fmt.Sprintf("gone-%04d", i)
		put(t, store, "", tableInstances, name, Instance{Name: name, Zone: "z0", Control: "127.0.0.1:1", Incarnation: int64(i + 1)})
	}
}

// Guards against the entries of replaced instances piling up in the store and in every instance's memory.
func TestGoneInstancesAreForgotten(t *testing.T) {
	m := obs.NewMetrics("test_lone")
	synctest.Test(t, func(t *testing.T) {
		store := fleetfake.NewStore()
		n := nodeWithMetrics(t, store, m)
		storeInstances(t, store, 90)
		n.register(t.Context())
		for range 80 {
			if _, ok := n.readMembers(t.Context()); !ok {
				t.Fatal("the table was not read")
			}
			time.Sleep(membersInterval)
			n.peers.observe(&Ping{From: Instance{Name: "gone-0007", Zone: "z0", Control: "127.0.0.1:1", Incarnation: 8}})
		}
		rows, err := n.readTable(t.Context(), tableInstances)
		if err != nil || len(rows) != 2 {
			t.Errorf("%d entries are left (%v), want this instance and the one that still sends", len(rows), err)
		}
		if known := len(n.peers.instances()); known != 1 {
			t.Errorf("%d peers are known, want 1", known)
		}
	})
}

// Guards against an instance whose entry was deleted while it was cut off staying unknown.
func TestDeletedEntryIsWrittenAgain(t *testing.T) {
	m := obs.NewMetrics("test_lone")
	synctest.Test(t, func(t *testing.T) {
		store := fleetfake.NewStore()
		n := nodeWithMetrics(t, store, m)
		go n.followMembers(t.Context())
		time.Sleep(time.Second)
		row := fleet.Row{Table: tableInstances, Key: n.self.Name}
		if _, err := store.Commit(t.Context(), fleet.Tx{Delete: []fleet.Row{row}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * membersInterval)
		if list, err := n.readInstances(t.Context()); err != nil || len(list) != 1 {
			t.Errorf("%d entries, %v", len(list), err)
		}
	})
}

// Guards against lists of the store being taken for whole after their first page.
func TestTablesAreReadToTheEnd(t *testing.T) {
	m := obs.NewMetrics("test_lone")
	synctest.Test(t, func(t *testing.T) {
		store := fleetfake.NewStore()
		n := nodeWithMetrics(t, store, m)
		n.settings.Zones = []string{"z0", "z1"}
		storeInstances(t, store, 1203)
		if list, err := n.readInstances(t.Context()); err != nil || len(list) != 1203 {
			t.Errorf("%d instances, %v, want 1203", len(list), err)
		}
		for i := range 1100 {
			zone := fmt.Sprint("z", i%2)
			put(t, store, "", fleetfake.TableWorkers, fmt.Sprintf("w%04d", i), map[string]any{"zone": zone, "rack": fmt.Sprint(zone, "-r", i/20)})
		}
		if _, workers, err := n.readOrWriteLayout(t.Context(), true); err != nil || workers != 1100 {
			t.Fatalf("%d workers, %v, want 1100", workers, err)
		}
		l, _, err := n.readOrWriteLayout(t.Context(), true)
		if err != nil || l.PerZone < 4 || len(l.Racks) != 110 {
			t.Errorf("%d shards a zone, %d racks, %v", l.PerZone, len(l.Racks), err)
		}
	})
}

// Guards against a layout whose racks don't fit into its row: it would never be written.
func TestLayoutFitsItsRow(t *testing.T) {
	l := &Layout{Zones: []string{"z0"}, PerZone: 2, Racks: map[string]string{}}
	for i := range 3000 {
		l.Racks[fmt.Sprintf("rack-%04d", i)] = shardName("z0", i%2)
	}
	for _, limit := range []int{1 << 20, 64 << 10, 2 << 10} {
		l.fit(limit)
		if n := len(workload.Encode(l)); n > limit || len(l.Racks) < 3000 && n < limit/2 {
			t.Errorf("%d bytes with %d racks, at most %d", n, len(l.Racks), limit)
		}
	}
}

// Guards against pings going to instances that are long gone in place of live ones.
func TestPingsPreferLivePeers(t *testing.T) {
	m := obs.NewMetrics("test_lone")
	synctest.Test(t, func(t *testing.T) {
		n := nodeWithMetrics(t, fleetfake.NewStore(), m)
		for i := range 200 {
			n.peers.update(Instance{Name: fmt.Sprint("gone", i), Zone: "z0"})
		}
		time.Sleep(2 * silentPeerAfter)
		for i := range 20 {
			n.peers.update(Instance{Name: fmt.Sprint("live", i), Zone: "z1"})
		}
		pinged := map[string]bool{}
		for range 20 {
			for _, pr := range n.peers.pingTargets(nil) {
				pinged[pr.Name] = true
			}
		}
		live := 0
		for i := range 20 {
			if pinged[fmt.Sprint("live", i)] {
				live++
			}
		}
		if live < 18 || len(pinged) == live {
			t.Errorf("%d of 20 live peers were pinged in 20 rounds, %d peers in all", live, len(pinged))
		}
	})
}
