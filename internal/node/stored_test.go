package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/obs"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
	"skylarkport/internal/workload"
)

// nodeWithoutPeers returns an instance that knows no owner of a shard and so answers
// from the store's rows.
func nodeWithoutPeers(t *testing.T, store fleet.Store) *Node {
	t.Helper()
	return nodeWithMetrics(t, store, obs.NewMetrics("test_lone"))
}

// nodeWithMetrics is nodeWithoutPeers for a test in virtual time: m has a reporter in the background, and is
// created outside of it.
func nodeWithMetrics(t *testing.T, store fleet.Store, m *obs.Metrics) *Node {
	t.Helper()
	workers := fleetfake.NewWorkers(nil)
	n := New(t.Context(), &settings.Node{Instance: "n0", Zone: "z0"},
		Deps{Store: store, Workers: workers, Registry: workers, Configs: fakeConfigs{}}, m)
	l := &Layout{Zones: []string{"z0", "z1"}, PerZone: 1}
	n.owners.addShards(l)
	n.layout.Store(l)
	return n
}

func put(t *testing.T, store *fleetfake.Store, part, table, key string, v any) {
	t.Helper()
	_, err := store.Commit(t.Context(), fleet.Tx{Part: part, Put: []fleet.Row{{Table: table, Key: key, Value: workload.Encode(v)}}})
	if err != nil {
		t.Fatal(err)
	}
}

// TestRequestsFollowMovedJobs checks that requests for a moved job reach its new shard
// even while neither shard has an owner.
func TestRequestsFollowMovedJobs(t *testing.T) {
	const id = "00000000000000aa"
	store := fleetfake.NewStore()
	n := nodeWithoutPeers(t, store)
	home := n.layout.Load().HomeShard(id)
	other := "z0-0"
	if home == other {
		other = "z1-0"
	}
	accepted := workload.Accepted{Spec: workload.Spec{ID: id}}
	put(t, store, home, dispatch.TableAccepted, id, accepted)
	put(t, store, home, dispatch.TableProgress, id, workload.Record{State: workload.Queued, Moved: &workload.Moved{Shard: other, Confirmed: true}})
	put(t, store, other, dispatch.TableAccepted, id, accepted)
	put(t, store, other, dispatch.TableProgress, id, workload.Record{State: workload.Running})
	if s, err := n.State(t.Context(), id); s != workload.Running || err != nil {
		t.Errorf("state %s, %v", s, err)
	}
	if err := n.Cancel(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	for shard, want := range map[string]int{home: 0, other: 1} {
		p, err := store.Range(t.Context(), dispatch.TableInbox, shard, "", "", 0)
		if err != nil || len(p.Rows) != want {
			t.Errorf("%d rows in the inbox of %s, want %d, %v", len(p.Rows), shard, want, err)
		}
	}
}

// acceptAfterRead is a store that runs take after its first read. The test uses it to
// move a job from the inbox to the accepted jobs between two reads.
type acceptAfterRead struct {
	*fleetfake.Store
	once sync.Once
	take func()
}

func (s *acceptAfterRead) Range(ctx context.Context, table, part, from, to string, limit int) (fleet.Page, error) {
	defer s.once.Do(s.take)
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// TestJobLeavingTheInboxIsFound checks that a job which moves from the inbox to the
// accepted jobs between the two reads of a state request is not reported as unknown.
func TestJobLeavingTheInboxIsFound(t *testing.T) {
	const id = "00000000000000aa"
	store := &acceptAfterRead{Store: fleetfake.NewStore()}
	n := nodeWithoutPeers(t, store)
	home := n.layout.Load().HomeShard(id)
	accepted := workload.Accepted{Spec: workload.Spec{ID: id}}
	key := dispatch.InboxSubmit + id
	put(t, store.Store, home, dispatch.TableInbox, key, accepted)
	store.take = func() {
		_, err := store.Commit(t.Context(), fleet.Tx{
			Part: home,
			Put: []fleet.Row{
				{Table: dispatch.TableAccepted, Key: id, Value: workload.Encode(accepted)},
				{Table: dispatch.TableProgress, Key: id, Value: workload.Encode(workload.Record{State: workload.Running})},
			},
			Delete: []fleet.Row{{Table: dispatch.TableInbox, Key: key}},
		})
		if err != nil {
			t.Error(err)
		}
	}
	if s, err := n.State(t.Context(), id); err != nil {
		t.Errorf("state %s, %v (%s)", s, err, result.Of(err))
	}
}

// TestStaleOwnerIsReplaced: if the known owner of a shard responds without listing the shard,
// the owner is read from the store at once, not only when a takeover is due.
func TestStaleOwnerIsReplaced(t *testing.T) {
	const shard = "z0-0"
	store := fleetfake.NewStore()
	n := nodeWithoutPeers(t, store)
	n.recordStoreResult(nil)
	former := Instance{Name: "n1", Zone: "z0", Control: "127.0.0.1:1", Incarnation: 1}
	n.owners.observe([]OwnedShard{{Shard: shard, Epoch: 1, Owner: former.Name, Control: former.Control, Incarnation: 1}})
	n.peers.observe(&Ping{From: former, StoreOK: true})
	put(t, store, shard, dispatch.TableOwner, dispatch.KeyOwner, ownerRow{Owner: "n2", Control: "127.0.0.1:2", Incarnation: 1, Epoch: 2})
	n.owners.checkShard(t.Context(), shard)
	for deadline := time.Now().Add(unclaimedDelay / 2); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if own, _ := n.owners.lastKnownOwner(shard); own.Owner == "n2" {
			return
		}
	}
	t.Error("the owner was not read from the store")
}

// TestNoLoansBesideEarlierVersions: no task is lent while an instance of an earlier version,
// which could take the borrower's shard over, is alive.
func TestNoLoansBesideEarlierVersions(t *testing.T) {
	n := nodeWithoutPeers(t, fleetfake.NewStore())
	n.configs.current.Store(&fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Service: "svc"}}})
	n.owners.observe([]OwnedShard{{
		Shard: "z1-0", Epoch: 1, Owner: "n1",
		Load: dispatch.Load{Capacity: 8000, Racks: []string{"r"}, Services: []string{"svc"}},
	}})
	others := n.owners.otherShardsOf("z0-0", n.layout.Load())
	spec := workload.Spec{Queue: "q", Steps: []workload.Step{{Tasks: 1, LongRunning: true, Needs: resource.Vector{MilliCPU: 1000}}}}
	for incarnation, loans := range []bool{false, true} {
		n.peers.observe(&Ping{From: Instance{Name: "n2", Zone: "z0", Incarnation: int64(incarnation), Loans: loans}, StoreOK: true})
		if shard, why := others.Borrower(&dispatch.LoanRequest{Spec: spec}); (shard != "") != loans || (why == "") != loans {
			t.Errorf("peer knows loans: %v, borrower %q, reason %q", loans, shard, why)
		}
	}
}

// TestRefusalCarriesTheTimeToReturn checks that an owner's refusal reaches the caller's instance whole.
func TestRefusalCarriesTheTimeToReturn(t *testing.T) {
	err := outcomeOf(&result.Error{Code: result.JobNoRoom, RetryAfter: 3 * time.Second}).err()
	if result.Of(err) != result.JobNoRoom || result.RetryAfter(err) != 3*time.Second {
		t.Errorf("%v, to return after %v", err, result.RetryAfter(err))
	}
}
