package intake

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/platform"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
	"skylarkport/internal/shard"
	"skylarkport/internal/standin"
)

var caller = platform.Caller{Zone: "ishikari", Instance: "e1"}

func newSystem() *standin.System {
	return standin.New(settings.Standin{
		Workers: settings.StandinWorkers{
			IP: "127.0.0.1", BasePort: 20000, RackSize: 2,
			Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16000},
		},
		Zones:       []settings.StandinZone{{Name: "ishikari", Workers: 8}, {Name: "tokachi", Workers: 4}},
		CallTimeout: job.Duration(time.Second),
	})
}

func newIntake(t *testing.T, sys *standin.System) *Intake {
	t.Helper()
	fleet := shard.NewFleet(sys.Instances(caller), 2)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = fleet.Run(ctx) // one refresh
	return New(sys.Tables(caller), []string{"ishikari", "tokachi"}, 2, fleet, func([]string) {})
}

func spec(id string) job.Spec {
	return job.Spec{
		ID: id, Organisation: "kizuna", Kind: job.Batch, Tasks: 5,
		Needs: resource.Vector{MilliCPU: 1000, MemoryMB: 500},
	}
}

// inboxTasks counts the tasks in the inboxes of all shards, by job.
func inboxTasks(t *testing.T, sys *standin.System) map[string]int {
	t.Helper()
	rows, err := sys.Tables(caller).Scan(t.Context(), shard.InboxTable, "", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, r := range rows {
		m, err := shard.DecodeMessage(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		if m.Admit != nil {
			count[m.Admit.Spec.ID] += m.Admit.To - m.Admit.From
		}
	}
	return count
}

func TestSubmitUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  []standin.Fault
		want    result.Code
		created bool
		stored  int // tasks in inboxes at the end
	}{
		{"no fault", nil, result.OK, true, 5},
		{"tables down", []standin.Fault{{Kind: standin.Down, Target: "tables"}}, result.JournalUnavailable, false, 0},
		{"response lost", []standin.Fault{{Kind: standin.LostResponse, Target: "tables", Count: 1}}, result.OK, true, 5},
		{"three responses lost", []standin.Fault{{Kind: standin.LostResponse, Target: "tables", Count: 3}}, result.OK, true, 5},
		{"write late", []standin.Fault{{Kind: standin.Late, Target: "tables", Delay: job.Duration(3 * time.Second), Duration: job.Duration(time.Second)}}, result.OK, true, 5},
		{"slow beyond the deadline", []standin.Fault{{Kind: standin.Slow, Target: "tables", Delay: job.Duration(time.Minute)}}, result.JobNotStored, false, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sys := newSystem()
				in := newIntake(t, sys)
				for _, f := range tt.faults {
					if err := sys.Inject(f); err != nil {
						t.Fatal(err)
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				created, err := in.Submit(ctx, spec("a"))
				if result.Of(err) != tt.want || created != tt.created {
					t.Errorf("Submit = %v, %v, want %v, %v", created, err, tt.created, tt.want)
				}
				sys.Clear()
				time.Sleep(time.Minute)
				if got := inboxTasks(t, sys)["a"]; got != tt.stored {
					t.Errorf("%d tasks in inboxes, want %d", got, tt.stored)
				}
				if _, err := in.Submit(t.Context(), spec("a")); err != nil {
					t.Errorf("the same submission again = %v", err)
				}
				if got := inboxTasks(t, sys)["a"]; got != 5 {
					t.Errorf("%d tasks after the second submission, want 5", got)
				}
			})
		})
	}
}

func TestSubmitConflicts(t *testing.T) {
	other := spec("a")
	other.Tasks = 6
	bad := spec("b")
	bad.Zones = []string{"atlantis"}
	explicit := spec("a")
	explicit.Family, explicit.Zones = "a", []string{}
	tests := []struct {
		name string
		spec job.Spec
		want result.Code
	}{
		{"the same", spec("a"), result.OK},
		{"the same, defaults written out", explicit, result.OK},
		{"different", other, result.JobExists},
		{"unknown zone", bad, result.JobBad},
		{"no tasks", job.Spec{ID: "c"}, result.JobBad},
	}
	in := newIntake(t, newSystem())
	if _, err := in.Submit(t.Context(), spec("a")); err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			created, err := in.Submit(t.Context(), tt.spec)
			if result.Of(err) != tt.want || created {
				t.Errorf("Submit = %v, %v, want %v", created, err, tt.want)
			}
		})
	}
}

// TestOperatorsRace checks that exactly one of several different jobs that are submitted
// concurrently with the same id is stored.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newSystem()
		_ = sys.Inject(standin.Fault{Kind: standin.Slow, Target: "tables", Delay: job.Duration(100 * time.Millisecond)})
		codes := make(chan result.Code, 4)
		for i := range 4 {
			in := newIntake(t, sys)
			s := spec("a")
			s.Tasks = i + 1
			go func() {
				_, err := in.Submit(t.Context(), s)
				codes <- result.Of(err)
			}()
		}
		count := map[result.Code]int{}
		for range 4 {
			count[<-codes]++
		}
		if count[result.OK] != 1 || count[result.JobExists] != 3 {
			t.Errorf("results = %v, want one OK and three JobExists", count)
		}
	})
}

// TestCancelFlood checks that many cancellations take one commit per cancelChunk jobs,
// and that cancelling again succeeds, also with a lost response.
func TestCancelFlood(t *testing.T) {
	const jobs = 200
	sys := newSystem()
	in := newIntake(t, sys)
	var ids []string
	for i := range jobs {
		id := fmt.Sprint("j", i)
		if _, err := in.Submit(t.Context(), spec(id)); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
	}
	before := sys.Totals().Commits
	ids = append(ids, "nobody", "j0")
	results := in.Cancel(t.Context(), ids)
	if n := sys.Totals().Commits - before; n > (jobs+cancelChunk-1)/cancelChunk {
		t.Errorf("%d commits for %d cancellations", n, jobs)
	}
	for _, r := range results {
		want := result.OK
		if r.ID == "nobody" {
			want = result.JobUnknown
		}
		if r.Code != int(want) {
			t.Errorf("%s: %d %s, want %v", r.ID, r.Code, r.Detail, want)
		}
	}
	for _, lost := range []bool{false, true} {
		if lost {
			_ = sys.Inject(standin.Fault{Kind: standin.LostResponse, Target: "tables", Count: 1})
		}
		if r := in.Cancel(t.Context(), ids[:3]); r[0].Code != int(result.OK) {
			t.Errorf("a second cancellation: %+v", r[0])
		}
	}
}

// TestDivide checks that the ranges cover every task exactly once.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "id"))
		s.Tasks = rapid.IntRange(1, 5000).Draw(t, "tasks")
		var targets []Target
		for i := range rapid.IntRange(1, 12).Draw(t, "shards") {
			target := Target{Zone: fmt.Sprint("z", i%3), Shard: fmt.Sprint("s", i)}
			for range rapid.IntRange(0, 20).Draw(t, "workers") {
				cpu := int64(rapid.IntRange(0, 64000).Draw(t, "cpu"))
				target.Workers = append(target.Workers, contract.Instance{State: contract.Live, Capacity: resource.Vector{MilliCPU: cpu, MemoryMB: 1000}})
			}
			targets = append(targets, target)
		}
		next := 0
		for _, p := range Divide(&s, targets) {
			if p.From != next || p.To <= p.From {
				t.Fatalf("range %+v after %d", p, next)
			}
			next = p.To
		}
		if next != s.Tasks {
			t.Fatalf("%d tasks divided, want %d", next, s.Tasks)
		}
	})
}

func TestDivideSpreadsOverZones(t *testing.T) {
	in := newIntake(t, newSystem())
	s := spec("a")
	s.Tasks = 30
	zones := map[string]int{}
	for _, p := range Divide(&s, Targets(&s, in.zones, in.shards, in.fleet)) {
		zones[p.Shard[:len(p.Shard)-2]] += p.To - p.From
	}
	for _, z := range in.zones {
		if zones[z] != 15 {
			t.Errorf("%s got %d of 30 tasks, want half", z, zones[z])
		}
	}
}
