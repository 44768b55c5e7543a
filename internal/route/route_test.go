package route

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"skylarkport/internal/feed"
	"skylarkport/internal/job"
)

// newTestTable returns a table in which every worker's limit is its declared
// slots.
func newTestTable() *Table {
	t := NewTable("ishikari", func(*Worker) http.RoundTripper { return nil })
	t.OnChange(func(s *Snapshot) {
		for _, w := range s.Workers {
			w.Slots.SetLimit(w.DeclaredSlots)
		}
	})
	return t
}

// shardList returns a shard's list of n upstreams, each on its own worker.
func shardList(shard string, epoch, change uint64, n int) feed.ShardList {
	s := feed.ShardList{Shard: shard, Version: feed.Version{Epoch: epoch, Change: change}}
	for i := range n {
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: "teiki", Run: job.RunID{Task: job.TaskID{Job: "teiki", Index: i}, Attempt: 1},
			Worker: fmt.Sprintf("%s-w%d", shard, i), Zone: "ishikari", BaseURL: fmt.Sprintf("http://127.0.0.1:%d/%s", 1000+i, shard),
			Slots: 8, Conns: 64,
		})
	}
	return s
}

func merge(t *Table, now time.Duration, shards ...feed.ShardList) bool {
	return t.Merge(feed.Reply{Shards: shards}, now)
}

const afterSlowStart = time.Hour // a time after the end of slow start

func TestMerge(t *testing.T) {
	tests := []struct {
		name   string
		shards []feed.ShardList
		want   int
	}{
		{"newer change", []feed.ShardList{shardList("a", 1, 1, 1), shardList("a", 1, 2, 3)}, 3},
		{"older change is ignored", []feed.ShardList{shardList("a", 1, 2, 3), shardList("a", 1, 1, 1)}, 3},
		{"newer epoch", []feed.ShardList{shardList("a", 1, 9, 1), shardList("a", 2, 1, 2)}, 2},
		{"older epoch is ignored", []feed.ShardList{shardList("a", 2, 1, 2), shardList("a", 1, 9, 1)}, 2},
		{"several shards", []feed.ShardList{shardList("a", 1, 1, 2), shardList("b", 1, 1, 3)}, 5},
		{"empty list", []feed.ShardList{shardList("a", 1, 1, 2), shardList("a", 1, 2, 0)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := newTestTable()
			for _, s := range tt.shards {
				merge(tab, 0, s)
			}
			got := 0
			if s := tab.Current().Service("teiki"); s != nil {
				got = len(s.Upstreams)
			}
			if got != tt.want {
				t.Errorf("%d upstreams, want %d", got, tt.want)
			}
		})
	}
}

func TestOtherZoneIsExcluded(t *testing.T) {
	tab := newTestTable()
	s := shardList("a", 1, 1, 2)
	s.Upstreams[0].Zone = "tokachi"
	merge(tab, 0, s)
	if n := len(tab.Current().Service("teiki").Upstreams); n != 1 {
		t.Errorf("%d upstreams, want only the one in the own zone", n)
	}
}

func TestFirstResponseCreatesASnapshot(t *testing.T) {
	tab := newTestTable()
	if !merge(tab, 0) || tab.Current().Version != 1 || merge(tab, 0) {
		t.Errorf("version %d after the first empty responses", tab.Current().Version)
	}
}

// TestSlotsOutliveLists checks that requests in flight still count against a
// worker's limit after the worker was in no list for a time, and that a worker
// without requests is then dropped.
func TestSlotsOutliveLists(t *testing.T) {
	tab := newTestTable()
	merge(tab, 0, shardList("a", 1, 1, 1))
	u, _ := tab.Current().Service("teiki").Pick(afterSlowStart, nil)
	merge(tab, 0, shardList("a", 1, 2, 0))
	merge(tab, 0, shardList("a", 1, 3, 1))
	if got := tab.Current().Workers["a-w0"].Slots.Used(); got != 1 {
		t.Errorf("%d slots in use, want 1", got)
	}
	u.Release()
	merge(tab, 0, shardList("a", 1, 4, 0))
	if got := len(tab.Current().Workers); got != 0 {
		t.Errorf("%d workers without requests are kept, want none", got)
	}
}

func TestPickStates(t *testing.T) {
	tests := []struct {
		name string
		prep func(tab *Table, s *Service)
		want PickResult
	}{
		{"free slots", func(*Table, *Service) {}, Picked},
		{"no slots", func(tab *Table, _ *Service) {
			for _, w := range tab.Current().Workers {
				w.Slots.SetLimit(0)
			}
		}, NoFreeSlot},
		{"all upstreams leaving", func(_ *Table, s *Service) {
			for _, u := range s.Upstreams {
				u.MarkLeaving()
			}
		}, NoUsableUpstream},
		{"all workers leaving", func(tab *Table, _ *Service) {
			tab.SetLeaving(map[string]bool{"a-w0": true, "a-w1": true, "a-w2": true})
		}, NoUsableUpstream},
		{"one upstream usable", func(tab *Table, s *Service) {
			tab.SetLeaving(map[string]bool{"a-w0": true})
			s.Upstreams[1].MarkLeaving()
		}, Picked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := newTestTable()
			merge(tab, 0, shardList("a", 1, 1, 3))
			s := tab.Current().Service("teiki")
			tt.prep(tab, s)
			if u, got := s.Pick(afterSlowStart, nil); got != tt.want || (u != nil) != (got == Picked) {
				t.Errorf("state %d, want %d", got, tt.want)
			}
		})
	}
}

// TestEjection fails every upstream repeatedly and checks that no more than a
// third is ejected at a time, and that all return after the first ejection
// time.
func TestEjection(t *testing.T) {
	for n, maxEjected := range map[int]int{1: 0, 2: 0, 3: 1, 8: 2, 9: 3} {
		tab := newTestTable()
		merge(tab, 0, shardList("a", 1, 1, n))
		s := tab.Current().Service("teiki")
		for _, u := range s.Upstreams {
			for range 3 * failuresToEject {
				u.RecordFailure(afterSlowStart)
			}
		}
		usable, _ := s.UsableCapacity(afterSlowStart)
		if ejected := n - usable; ejected != maxEjected {
			t.Errorf("%d of %d upstreams are ejected, want %d", ejected, n, maxEjected)
		}
		if usable, _ := s.UsableCapacity(afterSlowStart + baseEjectionTime); usable != n {
			t.Errorf("%d of %d upstreams are usable after %v, want all", usable, n, baseEjectionTime)
		}
	}
}

// TestSlowStart checks that a new upstream gets only a small part of the
// requests until the end of its slow start.
func TestSlowStart(t *testing.T) {
	tab := newTestTable()
	merge(tab, 0, shardList("a", 1, 1, 4))
	merge(tab, afterSlowStart, shardList("b", 1, 1, 1))
	s := tab.Current().Service("teiki")
	pickRatio := func(now time.Duration) float64 {
		const picks = 8000
		n := 0
		for range picks {
			u, state := s.Pick(now, nil)
			if state != Picked {
				t.Fatal("Pick took no slot")
			}
			if u.Worker.ID == "b-w0" {
				n++
			}
			u.Release()
		}
		return float64(n) / picks
	}
	if got := pickRatio(afterSlowStart); got > 0.08 {
		t.Errorf("a new upstream gets %.2f of the requests, want at most 0.08", got)
	}
	if got := pickRatio(afterSlowStart + slowStartTime); got < 0.15 {
		t.Errorf("an upstream aged %v gets %.2f of the requests, want about a fifth", slowStartTime, got)
	}
}

// TestAdaptiveLimit checks that an upstream's limit on concurrent requests falls while
// its latency stays high under load, and returns to its number of slots afterwards.
func TestAdaptiveLimit(t *testing.T) {
	tab := newTestTable()
	merge(tab, 0, shardList("a", 1, 1, 1))
	u := tab.Current().Service("teiki").Upstreams[0]
	now := afterSlowStart
	for range 20 {
		u.RecordSuccess(now, 10*time.Millisecond)
	}
	if u.Limit() != 8 {
		t.Fatalf("limit %d at a steady latency, want 8", u.Limit())
	}
	u.inFlight.Store(8)
	u.RecordSuccess(now, 100*time.Millisecond)
	if u.Limit() != 8 {
		t.Errorf("one slow response reduced the limit to %d", u.Limit())
	}
	for range 40 {
		now += shrinkInterval
		u.RecordSuccess(now, 200*time.Millisecond)
	}
	if u.Limit() >= 8 {
		t.Errorf("limit %d under sustained overload, want less than 8", u.Limit())
	}
	u.inFlight.Store(1)
	for range 400 {
		now += 10 * time.Millisecond
		u.RecordSuccess(now, 10*time.Millisecond)
	}
	if u.Limit() != 8 {
		t.Errorf("limit %d after recovery, want 8", u.Limit())
	}
}

func TestReadAllocatesNothing(t *testing.T) {
	tab := newTestTable()
	merge(tab, 0, shardList("a", 1, 1, 50))
	got := testing.AllocsPerRun(1000, func() {
		u, _ := tab.Current().Service("teiki").Pick(afterSlowStart, nil)
		u.Release()
	})
	if got != 0 {
		t.Errorf("%v allocations to read the snapshot and pick, want 0", got)
	}
}
