package node

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/obs"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// TestDeleteOutlivesALateSubmission: a submission without an owner gets no response from the store, which carries it out
// later, and the caller cancels the job meanwhile. It guards against the answer that there is no such job while a
// write that creates it is on its way.
func TestDeleteOutlivesALateSubmission(t *testing.T) {
	m := obs.NewMetrics("test_withdrawn")
	synctest.Test(t, func(t *testing.T) {
		const id = "00000000000000aa"
		store := fleetfake.NewStore()
		n := nodeWithMetrics(t, store, m)
		home := n.layout.Load().HomeShard(id)
		n.recordStoreResult(nil) // it reaches the store
		store.SetFault(func(tx *fleet.Tx) fleetfake.Fault {
			if tx != nil {
				return fleetfake.Late
			}
			return fleetfake.NoFault
		})
		spec := workload.Spec{ID: id, Queue: "q", Steps: []workload.Step{{Tasks: 1, Needs: resource.Vector{MilliCPU: 100}}}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := n.Submit(ctx, &fleet.Queue{Name: "q"}, spec); result.Of(err) != result.OutcomeUnknown {
			t.Fatalf("submission: %v", err)
		}
		store.SetFault(nil)
		if err := n.Cancel(ctx, id); result.Of(err) != result.JobUnknown {
			t.Fatalf("cancellation: %v", err)
		}
		time.Sleep(2 * fleetfake.LateDelay)
		p, err := store.Range(t.Context(), dispatch.TableInbox, home, "", "", 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range p.Rows {
			if strings.HasPrefix(r.Key, dispatch.InboxSubmit) {
				t.Errorf("row %s was written after the cancellation", r.Key)
			}
		}
	})
}

// TestSubmissionBehindItsCancellation: nobody owns the shard, and the store holds the cancellation of a job that was not
// known. It guards against a submission that is accepted because the cancellation is stored.
func TestSubmissionBehindItsCancellation(t *testing.T) {
	const id = "00000000000000aa"
	spec := workload.Spec{ID: id, Queue: "q", Steps: []workload.Step{{Tasks: 1, Needs: resource.Vector{MilliCPU: 100}}}}
	inbox := func(t *testing.T, store *fleetfake.Store, shard string) {
		if _, err := store.Commit(t.Context(), dispatch.CancelInInbox(shard, id)); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name  string
		store func(t *testing.T, store *fleetfake.Store, shard string)
		want  result.Code
	}{
		{"nothing", func(*testing.T, *fleetfake.Store, string) {}, result.OK},
		{"cancellation", inbox, result.JobRefused},
		{"withdrawn", func(t *testing.T, store *fleetfake.Store, shard string) {
			put(t, store, shard, dispatch.TableAccepted, id, workload.Accepted{Spec: workload.Spec{ID: id}})
			put(t, store, shard, dispatch.TableProgress, id, workload.Record{State: workload.Withdrawn})
		}, result.JobRefused},
		{"job", func(t *testing.T, store *fleetfake.Store, shard string) {
			put(t, store, shard, dispatch.TableInbox, dispatch.InboxSubmit+id, workload.Accepted{Spec: spec})
			inbox(t, store, shard)
		}, result.OK},
		{"running job", func(t *testing.T, store *fleetfake.Store, shard string) {
			put(t, store, shard, dispatch.TableAccepted, id, workload.Accepted{Spec: spec})
			put(t, store, shard, dispatch.TableProgress, id, workload.Record{State: workload.Running})
		}, result.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := fleetfake.NewStore()
			n := nodeWithoutPeers(t, store)
			n.recordStoreResult(nil) // it reaches the store
			c.store(t, store, n.layout.Load().HomeShard(id))
			if err := n.Submit(t.Context(), &fleet.Queue{Name: "q"}, spec); result.Of(err) != c.want {
				t.Errorf("%v, want code %d", err, c.want)
			}
		})
	}
}
