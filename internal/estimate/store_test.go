package estimate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkport/internal/resource"
)

func TestPercentiles(t *testing.T) {
	s := NewStore(0.9)
	for i := range 100 {
		used := resource.Vector{MilliCPU: int64(10 * (i + 1)), MemoryMB: int64(100 + i)}
		s.RecordUsage("f", used, resource.Vector{MilliCPU: 10_000, MemoryMB: 10_000}, 1, 0)
	}
	f := s.Summaries()["f"]
	within := func(name string, got, want int64) {
		t.Helper()
		if got < want || float64(got) > bucketGrowth*float64(want)+1 {
			t.Errorf("%s is %d, want %d or up to %.0f%% more", name, got, want, 100*(bucketGrowth-1))
		}
	}
	within("processors", f.Used.MilliCPU, 900)
	within("memory", f.Used.MemoryMB, 199)
	within("typical processors", f.Typical.MilliCPU, 500)
}

func TestLimitedUseRaisesTheEstimate(t *testing.T) {
	s := NewStore(0.95)
	commit := resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	for range 50 {
		s.RecordUsage("f", resource.Vector{MilliCPU: 1000, MemoryMB: 100}, commit, 0, 0)
	}
	if got := s.Summaries()["f"].Used.MilliCPU; got < 1300 {
		t.Errorf("the estimate is %d, want at least 1300", got)
	}
}

func TestOldSamplesDecay(t *testing.T) {
	s := NewStore(0.5)
	commit := resource.Vector{MilliCPU: 10_000}
	for i := range 6000 {
		used := int64(4000)
		if i >= 2000 {
			used = 400
		}
		s.RecordUsage("f", resource.Vector{MilliCPU: used}, commit, 0, 0)
	}
	if got := s.Summaries()["f"].Used.MilliCPU; got > 450 {
		t.Errorf("the estimate is %d after the use fell to 400", got)
	}
}

func TestRemaining(t *testing.T) {
	s := NewStore(0.95)
	for range 20 {
		s.RecordFinished("f", 100*time.Second, 1000, 0)
	}
	f := s.Summaries()["f"]
	tests := []struct {
		name     string
		f        *Summary
		done     int64
		min, max time.Duration
	}{
		{"unknown family", nil, 0, 7 * time.Second, 7 * time.Second},
		{"from the start", f, 0, 100 * time.Second, 108 * time.Second},
		{"half done", f, 500, 50 * time.Second, 60 * time.Second},
		{"beyond its usual work", f, 5000, 5 * time.Second, 6 * time.Second},
		{"negative progress", f, -5000, 100 * time.Second, 108 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.f.Remaining(tt.done, 7*time.Second); got < tt.min || got > tt.max {
				t.Errorf("Remaining() = %s, want %s to %s", got, tt.min, tt.max)
			}
		})
	}
}

func TestFamiliesAreBounded(t *testing.T) {
	s := NewStore(0.95)
	for i := range maxFamilies + 10 {
		s.RecordUsage(fmt.Sprint(i), resource.Vector{MilliCPU: 1}, resource.Vector{}, 0, time.Duration(i))
	}
	f := s.Summaries()
	if len(f) != maxFamilies || f["0"] != nil || f[fmt.Sprint(maxFamilies+9)] == nil {
		t.Errorf("%d families are kept; the oldest must be dropped first", len(f))
	}
}

func TestInvalidSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(rapid.SampledFrom([]float64{0.95, 0, -1, 2, math.NaN()}).Draw(t, "percentile"))
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			v := resource.Vector{MilliCPU: rapid.Int64().Draw(t, "cpu"), MemoryMB: rapid.Int64().Draw(t, "memory")}
			s.RecordUsage("f", v, v, rapid.SampledFrom([]float64{1, math.NaN(), math.Inf(1), -1}).Draw(t, "rate"), 0)
			s.RecordFinished("f", time.Duration(rapid.Int64().Draw(t, "run")), rapid.Int64().Draw(t, "work"), 0)
		}
		f := s.Summaries()["f"]
		if !f.Used.Valid() || f.RunTime < 0 || math.IsNaN(f.WorkRate) || math.IsInf(f.WorkRate, 0) {
			t.Fatalf("%+v", f)
		}
		if r := f.Remaining(rapid.Int64().Draw(t, "done"), time.Second); r < 0 {
			t.Fatalf("remaining %s", r)
		}
	})
}
