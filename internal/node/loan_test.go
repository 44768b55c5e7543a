package node

import (
	"testing"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/resource"
	"skylarkport/internal/workload"
)

// Loans on their way take their places also in shards that this instance owns.
func TestLoansToAShardOfTheSameInstanceAreCounted(t *testing.T) {
	store := fleetfake.NewStore()
	l := &Layout{Zones: []string{"z0", "z1"}, PerZone: 1}
	if _, err := store.Commit(t.Context(), fleet.Tx{Put: []fleet.Row{{Table: tableLayout, Key: keyLayout, Value: workload.Encode(l)}}}); err != nil {
		t.Fatal(err)
	}
	c := newClusterOn(t, 1, store, store)
	n := c.nodes[0]
	c.eventually("both shards have workers", func() bool {
		loads := n.owners.loads()
		return len(loads["z0-0"].FreeWorkers) == 2 && len(loads["z1-0"].FreeWorkers) == 2 && n.Config() != nil
	})
	o := n.owners.otherShardsOf("z0-0", l)
	spec := &workload.Spec{ID: "a", Queue: "q", Steps: []workload.Step{{Tasks: 1, LongRunning: true, Needs: resource.Vector{MilliCPU: 8000}}}}
	chosen := 0
	for range 8 {
		if shard, _ := o.Borrower(&dispatch.LoanRequest{Spec: *spec}); shard != "" {
			chosen++
		}
	}
	if chosen != 2 {
		t.Errorf("the shard with two free workers was chosen %d times, want 2", chosen)
	}
}
