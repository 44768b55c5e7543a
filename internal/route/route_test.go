package route

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"skylarkport/internal/feed"
	"skylarkport/internal/job"
)

// table returns a table that gives every worker all of its slots.
func table() *Table {
	t := NewTable("ishikari", func(*Worker) http.RoundTripper { return nil })
	t.OnChange(func(s *Snapshot) {
		for _, w := range s.Workers {
			w.Slots.SetLimit(w.DeclaredSlots)
		}
	})
	return t
}

// list is a shard's list of n upstreams, each on a worker of its own.
func list(shard string, epoch, change uint64, n int) feed.Shard {
	s := feed.Shard{Shard: shard, Version: feed.Version{Epoch: epoch, Change: change}}
	for i := range n {
		s.Upstreams = append(s.Upstreams, feed.Upstream{
			Service: "teiki", Run: job.RunID{Task: job.TaskID{Job: "teiki", Index: i}, Attempt: 1},
			Worker: fmt.Sprintf("%s-w%d", shard, i), Zone: "ishikari", BaseURL: fmt.Sprintf("http://127.0.0.1:%d/%s", 1000+i, shard),
			Slots: 8, Conns: 64,
		})
	}
	return s
}

func merge(t *Table, now time.Duration, shards ...feed.Shard) bool {
	return t.Merge(feed.Reply{Shards: shards}, now)
}

const later = time.Hour // after every slow start

func TestMerge(t *testing.T) {
	tests := []struct {
		name   string
		shards []feed.Shard
		want   int
	}{
		{"newer change", []feed.Shard{list("a", 1, 1, 1), list("a", 1, 2, 3)}, 3},
		{"older change is passed over", []feed.Shard{list("a", 1, 2, 3), list("a", 1, 1, 1)}, 3},
		{"newer epoch", []feed.Shard{list("a", 1, 9, 1), list("a", 2, 1, 2)}, 2},
		{"older epoch is passed over", []feed.Shard{list("a", 2, 1, 2), list("a", 1, 9, 1)}, 2},
		{"several shards", []feed.Shard{list("a", 1, 1, 2), list("b", 1, 1, 3)}, 5},
		{"empty list", []feed.Shard{list("a", 1, 1, 2), list("a", 1, 2, 0)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := table()
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

func TestOtherZoneIsLeftOut(t *testing.T) {
	tab := table()
	s := list("a", 1, 1, 2)
	s.Upstreams[0].Zone = "tokachi"
	merge(tab, 0, s)
	if n := len(tab.Current().Service("teiki").Upstreams); n != 1 {
		t.Errorf("%d upstreams, want the own zone's one", n)
	}
}

func TestFirstAnswerMakesASnapshot(t *testing.T) {
	tab := table()
	if !merge(tab, 0) || tab.Current().Version != 1 || merge(tab, 0) {
		t.Errorf("version %d after the first empty answers", tab.Current().Version)
	}
}

// TestSlotsOutliveLists checks that requests in flight count also while their
// worker is in no list.
func TestSlotsOutliveLists(t *testing.T) {
	tab := table()
	merge(tab, 0, list("a", 1, 1, 1))
	u, _ := tab.Current().Service("teiki").Pick(later, nil)
	merge(tab, 0, list("a", 1, 2, 0))
	merge(tab, 0, list("a", 1, 3, 1))
	if got := tab.Current().Workers["a-w0"].Slots.Used(); got != 1 {
		t.Errorf("%d slots in use, want 1", got)
	}
	u.Release()
	merge(tab, 0, list("a", 1, 4, 0))
	if got := len(tab.Current().Workers); got != 0 {
		t.Errorf("%d workers are kept without a request", got)
	}
}

func TestPickStates(t *testing.T) {
	tests := []struct {
		name string
		prep func(tab *Table, s *Service)
		want State
	}{
		{"room", func(*Table, *Service) {}, Picked},
		{"no slots", func(tab *Table, _ *Service) {
			for _, w := range tab.Current().Workers {
				w.Slots.SetLimit(0)
			}
		}, Busy},
		{"all leave by their own word", func(_ *Table, s *Service) {
			for _, u := range s.Upstreams {
				u.Leave()
			}
		}, None},
		{"all leave by the platform's list", func(tab *Table, _ *Service) {
			tab.SetLeaving(map[string]bool{"a-w0": true, "a-w1": true, "a-w2": true})
		}, None},
		{"one is left", func(tab *Table, s *Service) {
			tab.SetLeaving(map[string]bool{"a-w0": true})
			s.Upstreams[1].Leave()
		}, Picked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := table()
			merge(tab, 0, list("a", 1, 1, 3))
			s := tab.Current().Service("teiki")
			tt.prep(tab, s)
			if u, got := s.Pick(later, nil); got != tt.want || (u != nil) != (got == Picked) {
				t.Errorf("state %d, want %d", got, tt.want)
			}
		})
	}
}

// TestEjection fails upstreams in a row: never more than a third is out.
func TestEjection(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 0, 3: 1, 8: 2, 9: 3} {
		tab := table()
		merge(tab, 0, list("a", 1, 1, n))
		s := tab.Current().Service("teiki")
		for _, u := range s.Upstreams {
			for range 3 * ejectFailures {
				u.Failed(later)
			}
		}
		usable, _ := s.Usable(later)
		if out := n - usable; out != most {
			t.Errorf("%d of %d are out, want %d", out, n, most)
		}
		if usable, _ := s.Usable(later + ejectFor); usable != n {
			t.Errorf("%d of %d are back after %v", usable, n, ejectFor)
		}
	}
}

// TestSlowStart counts how often a new upstream is chosen beside old ones.
func TestSlowStart(t *testing.T) {
	tab := table()
	merge(tab, 0, list("a", 1, 1, 4))
	merge(tab, later, list("b", 1, 1, 1))
	s := tab.Current().Service("teiki")
	share := func(now time.Duration) float64 {
		const picks = 8000
		n := 0
		for range picks {
			u, state := s.Pick(now, nil)
			if state != Picked {
				t.Fatal("nothing to pick")
			}
			if u.Worker.ID == "b-w0" {
				n++
			}
			u.Release()
		}
		return float64(n) / picks
	}
	if got := share(later); got > 0.08 {
		t.Errorf("a new upstream gets %.2f of the requests", got)
	}
	if got := share(later + slowStart); got < 0.15 {
		t.Errorf("an upstream of %v gets %.2f of the requests, want about a fifth", slowStart, got)
	}
}

// TestAdaptiveLimit holds an upstream whose latency rises with its load.
func TestAdaptiveLimit(t *testing.T) {
	tab := table()
	merge(tab, 0, list("a", 1, 1, 1))
	u := tab.Current().Service("teiki").Upstreams[0]
	now := later
	for range 20 {
		u.Succeeded(now, 10*time.Millisecond)
	}
	if u.Limit() != 8 {
		t.Fatalf("limit %d at a steady latency, want 8", u.Limit())
	}
	u.inFlight.Store(8)
	u.Succeeded(now, 100*time.Millisecond)
	if u.Limit() != 8 {
		t.Errorf("one slow answer cut the limit to %d", u.Limit())
	}
	for range 40 {
		now += shrinkPause
		u.Succeeded(now, 200*time.Millisecond)
	}
	if u.Limit() >= 8 {
		t.Errorf("limit %d under a lasting overload", u.Limit())
	}
	u.inFlight.Store(1)
	for range 400 {
		now += 10 * time.Millisecond
		u.Succeeded(now, 10*time.Millisecond)
	}
	if u.Limit() != 8 {
		t.Errorf("limit %d after it recovered, want 8", u.Limit())
	}
}

func TestReadAllocatesNothing(t *testing.T) {
	tab := table()
	merge(tab, 0, list("a", 1, 1, 50))
	got := testing.AllocsPerRun(1000, func() {
		u, _ := tab.Current().Service("teiki").Pick(later, nil)
		u.Release()
	})
	if got != 0 {
		t.Errorf("%v allocations to read and pick", got)
	}
}
