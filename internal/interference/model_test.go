package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLearnsPairs feeds noisy reports of a service whose true slowdowns are
// known and checks what was learned, per band.
func TestLearnsPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	truth := map[string][2]float64{"loud": {0.05, 0.6}, "quiet": {0, 0.01}, "fair": {0.1, 0.15}}
	loads := [2]float64{0.2, 0.9}
	m := NewModel()
	for i := range 3000 {
		band := i % 2
		log := math.Log(0.1)
		var beside []Neighbour
		for _, f := range []string{"loud", "quiet", "fair"} {
			if x := float64(rng.IntN(3)); x > 0 {
				beside = append(beside, Neighbour{Family: f, Intensity: x})
				log += x * truth[f][band]
			}
		}
		p99 := math.Exp(log + 0.12*rng.NormFloat64())
		if rng.IntN(50) == 0 {
			p99 *= 3
		}
		m.Observe("s", loads[band], time.Duration(p99*float64(time.Second)), beside, time.Duration(i)*5*time.Second)
	}
	c := m.Freeze()["s"]
	for f, want := range truth {
		for b := range want {
			if got := c.Weight(Band(loads[b]), f).Mean; math.Abs(got-want[b]) > 0.06 {
				t.Errorf("%s in band %d: learned %.3f, want %.3f", f, b, got, want[b])
			}
		}
	}
}

// TestForgets checks that an old weight becomes uncertain and follows a change.
func TestForgets(t *testing.T) {
	m := NewModel()
	beside := []Neighbour{{Family: "f", Intensity: 1}}
	feed := func(n int, at, p99 time.Duration) {
		for i := range n {
			now := at + time.Duration(i)*10*time.Second
			m.Observe("s", 0.5, 100*time.Millisecond, nil, now)
			m.Observe("s", 0.5, p99, beside, now)
		}
	}
	feed(100, time.Minute, 200*time.Millisecond)
	before := m.Freeze()["s"].Weight(1, "f")
	feed(100, 48*time.Hour, 100*time.Millisecond)
	after := m.Freeze()["s"].Weight(1, "f")
	if before.Mean < 0.5 || after.Mean > 0.15 {
		t.Errorf("learned %.2f, then %.2f; want about 0.69, then about 0", before.Mean, after.Mean)
	}
}

// TestPriorFromLowerBand checks that an unseen band is expected to be worse.
func TestPriorFromLowerBand(t *testing.T) {
	m := NewModel()
	for i := range 200 {
		now := time.Duration(i) * time.Second
		m.Observe("s", 0.2, 100*time.Millisecond, nil, now)
		m.Observe("s", 0.2, 150*time.Millisecond, []Neighbour{{Family: "f", Intensity: 1}}, now)
	}
	c := m.Freeze()["s"]
	low, high := c.Weight(0, "f"), c.Weight(3, "f")
	if high.Mean <= low.Mean || high.Proven() {
		t.Errorf("band 0 has %+v, band 3 %+v", low, high)
	}
	if unknown := c.Weight(0, "g"); unknown.Proven() || unknown.Mean <= 0 {
		t.Errorf("unknown family has %+v", unknown)
	}
}

// TestHostileReports checks that no report makes the model infinite.
func TestHostileReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			m.Observe("s",
				rapid.SampledFrom([]float64{0, 0.5, 1e300, math.NaN(), math.Inf(1), -1}).Draw(t, "load"),
				time.Duration(rapid.Int64().Draw(t, "p99")),
				[]Neighbour{{Family: "f", Intensity: rapid.SampledFrom([]float64{0, 1, -1, 2}).Draw(t, "intensity")}},
				time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "now")))
		}
		c := m.Freeze()["s"]
		for b := range Bands {
			w := c.Weight(b, "f")
			if math.IsNaN(w.Mean) || math.IsInf(w.Mean, 0) || w.Mean > maxWeight*bandFactor*bandFactor*bandFactor || !(w.Variance > 0) {
				t.Fatalf("band %d has %+v", b, w)
			}
		}
	})
}

// TestPriorKeepsItsBound: a family at the largest weight of the lowest band stays
// under the bound in every other band.
func TestPriorKeepsItsBound(t *testing.T) {
	bands := [Bands]*Curve{{Weights: map[string]Weight{"f": {Mean: maxWeight, Variance: 1}}}}
	bounds := [Bands]float64{0, maxWeight * bandFactor, maxWeight * bandFactor * bandFactor, maxWeight * bandFactor * bandFactor * bandFactor}
	for b := 1; b < Bands; b++ {
		if w := prior(&bands, b, "f"); w.Mean > bounds[b] {
			t.Errorf("band %d: %v, at most %v", b, w.Mean, bounds[b])
		}
	}
}

// TestFrozenIsNotChanged checks that later reports leave a frozen model alone.
func TestFrozenIsNotChanged(t *testing.T) {
	m := NewModel()
	beside := []Neighbour{{Family: "f", Intensity: 1}}
	m.Observe("s", 0.5, time.Second, beside, time.Second)
	f := m.Freeze()
	before := f["s"].Weight(1, "f")
	m.Observe("s", 0.5, time.Hour, beside, 2*time.Second)
	if f["s"].Weight(1, "f") != before {
		t.Error("a frozen weight changed")
	}
	if m.Freeze()["s"].Weight(1, "f") == before {
		t.Error("the model did not learn")
	}
}
