package dispatch

import (
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// One row that is not readable must not end the owners of a shard one after the other.
func TestMalformedRowDoesNotEndTheOwners(t *testing.T) {
	good := string(workload.Encode(workload.Accepted{Spec: jobWithSteps("mm", "short", 2, 2)}))
	for _, c := range []struct {
		name, table, key, value string
		wantState               result.Code // of the job mm, for the next owner
	}{
		{"accepted, no JSON", TableAccepted, "mm", `{`, result.JournalCorrupt},
		{"accepted, no object", TableAccepted, "mm", `7`, result.JournalCorrupt},
		{"accepted, null", TableAccepted, "mm", `null`, result.JournalCorrupt},
		{"accepted, no steps", TableAccepted, "mm", `{"spec":{"id":"mm","queue":"short"}}`, result.JournalCorrupt},
		{"accepted, no tasks", TableAccepted, "mm", `{"spec":{"id":"mm","queue":"short","steps":[{}]}}`, result.JournalCorrupt},
		{"accepted, another id", TableAccepted, "mm", `{"spec":{"id":"nn","queue":"short","steps":[{"n":1}]}}`, result.JournalCorrupt},
		{"accepted, dependency on itself", TableAccepted, "mm", `{"spec":{"id":"mm","queue":"short","steps":[{"n":1,"after":[0]}]}}`, result.JournalCorrupt},
		{"accepted, bad loan", TableAccepted, "mm", `{"spec":{"id":"mm","steps":[{"n":1}]},"loan":{"task":"x"}}`, result.JournalCorrupt},
		{"progress, no JSON", TableProgress, "mm", `[`, result.JournalCorrupt},
		{"progress, empty", TableProgress, "mm", ``, result.JournalCorrupt},
		{"progress, unknown state", TableProgress, "mm", `{"s":"odd"}`, result.JournalCorrupt},
		{"progress, too few tasks", TableProgress, "mm", `{"s":"running","t":{"0":[{"p":1,"r":1,"w":"w00"}]}}`, result.JournalCorrupt},
		{"progress, negative occurrence", TableProgress, "mm", `{"s":"running","t":{"-1":[]}}`, result.JournalCorrupt},
		{"progress, more occurrences than the job has", TableProgress, "mm", `{"s":"running","t":[2,{}]}`, result.JournalCorrupt},
		{"progress, no pair", TableProgress, "mm", `{"s":"running","t":[1]}`, result.JournalCorrupt},
		{"progress, negative number of tasks", TableProgress, "mm", `{"s":"running","t":[1,{"0":[{"x":-5}]}]}`, result.JournalCorrupt},
		{"progress, billions of tasks", TableProgress, "mm", `{"s":"running","t":[1,{"0":[{"x":9000000000}]}]}`, result.JournalCorrupt},
		{"progress, unknown phase", TableProgress, "mm", `{"s":"running","t":{"0":[{"p":9},{},{},{}]}}`, result.JournalCorrupt},
		{"inbox, no JSON", TableInbox, InboxSubmit + "ii", `{`, result.OK},
		{"inbox, no steps", TableInbox, InboxSubmit + "ii", `{"spec":{"id":"ii","queue":"short"}}`, result.OK},
		{"inbox, negative tasks", TableInbox, InboxSubmit + "ii", `{"spec":{"id":"ii","queue":"short","steps":[{"n":-1}]}}`, result.OK},
		{"inbox, another id", TableInbox, InboxSubmit + "ii", good, result.OK},
		{"inbox, odd key", TableInbox, "odd", `{}`, result.OK},
		{"cancellation without a job", TableInbox, InboxCancel, ``, result.OK},
		{"estimates", TableInterference, KeyInterference, `{`, result.OK},
		{"heartbeat", TableHeartbeat, KeyHeartbeat, `{`, result.OK},
		{"registration", "workers", "odd", `{"capacity":7}`, result.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 3, func(tc *testCluster) {
				tc.waitForWorkers()
				tc.submit(jobWithSteps("mm", "short", 2, 2))
				tc.stopOwner()
				part := tc.name
				if c.table == "workers" {
					part = ""
				}
				if res, err := tc.store.Commit(tc.ctx, fleet.Tx{Part: part, Put: []fleet.Row{{Table: c.table, Key: c.key, Value: []byte(c.value)}}}); err != nil || !res.Applied {
					t.Fatalf("row not written: %v", err)
				}
				for range 2 {
					killOwner(tc)
					time.Sleep(2 * time.Second)
				}
				tc.submit(jobWithSteps("next", "short", 3))
				tc.await("next", workload.Completed, 20*time.Second)
				_, _, err := tc.shard().State(tc.ctx, "mm")
				if result.Of(err) != c.wantState {
					t.Errorf("state of the job: %v, want code %d", err, c.wantState)
				}
				if c.wantState != result.OK {
					if err := tc.shard().Submit(tc.ctx, jobWithSteps("mm", "short", 2, 2)); result.Of(err) != c.wantState {
						t.Errorf("the job is accepted anew with %v, and may run twice", err)
					}
				}
			})
		})
	}
}

// A job without steps from another instance is refused like any bad job.
func TestMalformedJobOfAPeerIsRefused(t *testing.T) {
	withCluster(t, 1, func(tc *testCluster) {
		tc.waitForWorkers()
		for _, spec := range []workload.Spec{
			{ID: "aa"},
			{ID: "aa", Steps: []workload.Step{{}}},
			{ID: "aa", Steps: []workload.Step{{Tasks: -1}}},
			{ID: "aa", Steps: []workload.Step{{Tasks: 1, After: []int{3}}}},
		} {
			if err := tc.shard().Submit(tc.ctx, spec); result.Of(err) != result.JobBad {
				t.Errorf("%+v: %v, want %d", spec, err, result.JobBad)
			}
		}
	})
}

// TestHeldJobInTheInbox: the store has rejected the rows of a job whose inbox row is still there. It guards against a commit
// loop that wakes itself without a pause for as long as the job is held back.
func TestHeldJobInTheInbox(t *testing.T) {
	f := newFixture(1)
	j := f.add("aa", "short", workload.Step{})
	j.dirty, j.submitInInbox, j.heldUntil = true, true, f.now+holdMin
	f.inboxToDelete[InboxSubmit+"aa"] = true
	if awakened(f); len(f.buildBatch().inboxKeys) > 0 {
		t.Error("the inbox row is deleted before the job is stored")
	}
	if awakened(f) {
		t.Error("another commit is due before the job is held back no more")
	}
	f.now += holdMin
	if b := f.buildBatch(); len(b.jobs) != 1 || len(b.inboxKeys) != 1 {
		t.Errorf("%d jobs and %d inbox rows in the batch, want 1 and 1", len(b.jobs), len(b.inboxKeys))
	}
}

// awakened reports whether the commit loop was awakened since the last call.
func awakened(f *fixture) bool {
	select {
	case <-f.wake:
		return true
	default:
		return false
	}
}
