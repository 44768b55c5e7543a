package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEstimatesPairs reports noisy latencies of a service with known slowdowns and
// outliers, and checks the estimates per band.
func TestEstimatesPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	slowdowns := map[string][2]float64{"loud": {0.05, 0.6}, "quiet": {0, 0.01}, "fair": {0.1, 0.15}}
	loads := [2]float64{0.2, 0.9}
	m := NewModel()
	for i := range 3000 {
		band := i % 2
		log := math.Log(0.1)
		var beside []Neighbour
		for _, f := range []string{"loud", "quiet", "fair"} {
			if x := float64(rng.IntN(3)); x > 0 {
				beside = append(beside, Neighbour{Family: f, Intensity: x})
				log += x * slowdowns[f][band]
			}
		}
		p99 := math.Exp(log + 0.12*rng.NormFloat64())
		if rng.IntN(50) == 0 {
			p99 *= 3
		}
		m.Observe("s", loads[band], time.Duration(p99*float64(time.Second)), beside, time.Duration(i)*5*time.Second)
	}
	e := m.Estimates()["s"]
	for f, want := range slowdowns {
		for b := range want {
			if got := e.Weight(Band(loads[b]), f).Mean; math.Abs(got-want[b]) > 0.06 {
				t.Errorf("%s in band %d: learned %.3f, want %.3f", f, b, got, want[b])
			}
		}
	}
}

// TestOldWeightFollowsChange checks that a weight that was not observed for two days follows a
// change of the true slowdown.
func TestOldWeightFollowsChange(t *testing.T) {
	m := NewModel()
	beside := []Neighbour{{Family: "f", Intensity: 1}}
	observe := func(n int, at, p99 time.Duration) {
		for i := range n {
			now := at + time.Duration(i)*10*time.Second
			m.Observe("s", 0.5, 100*time.Millisecond, nil, now)
			m.Observe("s", 0.5, p99, beside, now)
		}
	}
	observe(100, time.Minute, 200*time.Millisecond)
	before := m.Estimates()["s"].Weight(1, "f")
	observe(100, 48*time.Hour, 100*time.Millisecond)
	after := m.Estimates()["s"].Weight(1, "f")
	if before.Mean < 0.5 || after.Mean > 0.15 {
		t.Errorf("learned %.2f, then %.2f; want about 0.69, then about 0", before.Mean, after.Mean)
	}
}

// TestPriorFromLowerBand checks that a family is expected to slow a service down
// more in a higher band where it was not observed yet.
func TestPriorFromLowerBand(t *testing.T) {
	m := NewModel()
	for i := range 200 {
		now := time.Duration(i) * time.Second
		m.Observe("s", 0.2, 100*time.Millisecond, nil, now)
		m.Observe("s", 0.2, 150*time.Millisecond, []Neighbour{{Family: "f", Intensity: 1}}, now)
	}
	e := m.Estimates()["s"]
	low, high := e.Weight(0, "f"), e.Weight(3, "f")
	if high.Mean <= low.Mean || high.Proven() {
		t.Errorf("band 0 has %+v, band 3 %+v", low, high)
	}
	if unknown := e.Weight(0, "g"); unknown.Proven() || unknown.Mean <= 0 {
		t.Errorf("unknown family has %+v", unknown)
	}
}

// TestInvalidReports checks that no report, however invalid, makes an estimate
// infinite or exceed its bound.
func TestInvalidReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			m.Observe("s",
				rapid.SampledFrom([]float64{0, 0.5, 1e300, math.NaN(), math.Inf(1), -1}).Draw(t, "load"),
				time.Duration(rapid.Int64().Draw(t, "p99")),
				[]Neighbour{{Family: "f", Intensity: rapid.SampledFrom([]float64{0, 1, -1, 2}).Draw(t, "intensity")}},
				time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "now")))
		}
		e := m.Estimates()["s"]
		for b := range Bands {
			w := e.Weight(b, "f")
			if math.IsNaN(w.Mean) || math.IsInf(w.Mean, 0) || w.Mean > maxWeight*bandGrowth*bandGrowth*bandGrowth || !(w.Variance > 0) {
				t.Fatalf("band %d has %+v", b, w)
			}
		}
	})
}

// TestPriorKeepsItsBound checks that the prior of a family with the largest weight
// in the lowest band does not exceed its bound by rounding.
func TestPriorKeepsItsBound(t *testing.T) {
	bands := [Bands]*BandEstimate{{Weights: map[string]Weight{"f": {Mean: maxWeight, Variance: 1}}}}
	bounds := [Bands]float64{0, maxWeight * bandGrowth, maxWeight * bandGrowth * bandGrowth, maxWeight * bandGrowth * bandGrowth * bandGrowth}
	for b := 1; b < Bands; b++ {
		if w := prior(&bands, b, "f"); w.Mean > bounds[b] {
			t.Errorf("band %d: %v, at most %v", b, w.Mean, bounds[b])
		}
	}
}

// TestEstimatesAreImmutable checks that later reports do not change estimates that
// were returned before.
func TestEstimatesAreImmutable(t *testing.T) {
	m := NewModel()
	beside := []Neighbour{{Family: "f", Intensity: 1}}
	m.Observe("s", 0.5, time.Second, beside, time.Second)
	f := m.Estimates()
	before := f["s"].Weight(1, "f")
	m.Observe("s", 0.5, time.Hour, beside, 2*time.Second)
	if f["s"].Weight(1, "f") != before {
		t.Error("a weight returned earlier has changed")
	}
	if m.Estimates()["s"].Weight(1, "f") == before {
		t.Error("the report did not change the model")
	}
}
