package colocation

import (
	"encoding/json"
	"math"
	"time"
)

// Estimates are the estimates of a shard, as they are stored and sent to other shards.
type Estimates struct {
	BaselineTails map[string]float64 `json:"quiet"` // lowest tail latency of each service image, milliseconds
	Pairs         []PairEstimate     `json:"pairs"`
	FullShares    map[string]float64 `json:"full,omitempty"`   // share of readings with full use, by backfill image
	PeriodMillis  int64              `json:"period,omitempty"` // of the loads of services
	Curves        []CurveEstimate    `json:"curves,omitempty"` // only in what is stored
	CurvesAt      int64              `json:"at,omitempty"`     // time to which their phases refer, milliseconds on the store's clock
}

// CurveEstimate is the own load of a step of a service. The load at a time t after Estimates.CurvesAt is
// Level + Sin*sin(2πt/period) + Cos*cos(2πt/period).
type CurveEstimate struct {
	Job        string  `json:"j"`
	Occurrence int     `json:"o,omitempty"`
	Step       int     `json:"t,omitempty"`
	Level      float64 `json:"l"`
	Sin        float64 `json:"a"`
	Cos        float64 `json:"b"`
}

// PairEstimate is the estimated weight of a backfill image next to a service image: the
// utilisation that it adds to the service per share of the worker's CPU, at full use of its CPU. The
// weight at reduced use is absent from the estimates of an earlier version.
type PairEstimate struct {
	BackfillImage   string  `json:"f"`
	ServiceImage    string  `json:"s"`
	Mean            float64 `json:"m"`
	Variance        float64 `json:"v"`
	ReducedMean     float64 `json:"rm,omitempty"`
	ReducedVariance float64 `json:"rv,omitempty"`
}

// weights returns the weights of the pair by use.
func (p *PairEstimate) weights() weights {
	w := newWeights()
	if p.Variance > 0 {
		w[UseFull] = boundedWeight(p.Mean, p.Variance)
	}
	if p.ReducedVariance > 0 {
		w[UseReduced] = boundedWeight(p.ReducedMean, p.ReducedVariance)
	}
	return w
}

// boundedWeight returns a weight that was stored or received, within the bounds of an estimated one.
func boundedWeight(mean, variance float64) weight {
	return weight{min(weightMax, max(weightMin, mean)), min(priorWeightVariance, variance)}
}

// valid reports whether the load stays near the range of utilisations.
func (c *CurveEstimate) valid() bool {
	return c.Level >= 0 && c.Level <= 2 && math.Abs(c.Sin) <= 1 && math.Abs(c.Cos) <= 1
}

// Known reports whether there is anything to store.
func (m *Model) Known() bool { return len(m.baselines) > 0 }

// Estimates returns all estimates but the curves, which concern the services of one shard.
func (m *Model) Estimates() Estimates {
	e := Estimates{
		BaselineTails: make(map[string]float64, len(m.baselines)), Pairs: make([]PairEstimate, 0, len(m.pairs)),
		FullShares: make(map[string]float64, len(m.fullShares)), PeriodMillis: int64(1000 * periodOf(m.period)),
	}
	for image, q := range m.baselines {
		e.BaselineTails[image] = q
	}
	for image, p := range m.fullShares {
		e.FullShares[image] = round(p)
	}
	for _, p := range m.recentPairs() {
		w := m.pairs[p]
		e.Pairs = append(e.Pairs, PairEstimate{
			p.backfill, p.service, round(w[UseFull].mean), round(w[UseFull].variance), round(w[UseReduced].mean), round(w[UseReduced].variance),
		})
	}
	return e
}

// maxStoredCurves bounds the curves that are stored, which take about 70 bytes each.
const maxStoredCurves = 256

// EstimatesToStore returns the estimates at a time that is clock on the store's clock, as far as their
// encoding fits into limit bytes.
func (m *Model) EstimatesToStore(now time.Duration, clock int64, limit int) Estimates {
	e := m.Estimates()
	e.CurvesAt = clock
	sin, cos := math.Sincos(2 * math.Pi * now.Seconds() / periodOf(m.period))
	for k, c := range m.curves {
		if len(e.Curves) == maxStoredCurves {
			break
		}
		f := c.fit(m.period)
		e.Curves = append(e.Curves, CurveEstimate{
			k.Job, k.Occurrence, k.Step, round(f.level), round(f.sin*cos - f.cos*sin), round(f.sin*sin + f.cos*cos),
		})
	}
	for e.encodedSize() > limit && e.shrink() {
	}
	return e
}

// encodedSize returns the size of the estimates as they are stored, in bytes.
func (e *Estimates) encodedSize() int {
	b, err := json.Marshal(e)
	if err != nil {
		return 0 // the types of this package always encode
	}
	return len(b)
}

// shrink drops half of the curves, or else of the pairs, those of images seen least recently, or else
// the images, and reports whether there was anything to drop. Curves are soon observed again.
func (e *Estimates) shrink() bool {
	switch {
	case len(e.Curves) > 0:
		e.Curves = e.Curves[:len(e.Curves)/2]
	case len(e.Pairs) > 0:
		e.Pairs = e.Pairs[:len(e.Pairs)/2]
	case len(e.BaselineTails)+len(e.FullShares) > 0:
		e.BaselineTails, e.FullShares = nil, nil
	default:
		return false
	}
	return true
}

const (
	// restoredPoints is the number of loads, over one period, that a restored curve counts as observed,
	// and restoredVariance their variance. Observations soon outweigh them.
	restoredPoints   = 12
	restoredVariance = 0.02
)

// RestoreCurves loads the curves that an earlier owner stored, at a time that is clock on the store's clock. Their
// period is restored by Restore, before.
func (m *Model) RestoreCurves(e Estimates, now time.Duration, clock int64) {
	period := periodOf(m.period)
	stored := now - time.Duration(clock-e.CurvesAt)*time.Millisecond
	for i := range restoredPoints {
		before := time.Duration(float64(restoredPoints-i) / restoredPoints * period * float64(time.Second))
		m.phases.set(now - before)
		sin, cos := math.Sincos(2 * math.Pi * (now - before - stored).Seconds() / period)
		for _, ce := range e.Curves {
			if !ce.valid() {
				continue
			}
			key := StepKey{ce.Job, ce.Occurrence, ce.Step}
			if m.curves[key] == nil {
				m.curves[key] = &curve{}
			}
			m.curves[key].observe(&m.phases, min(1, max(0, ce.Level+ce.Sin*sin+ce.Cos*cos)), restoredVariance)
		}
	}
}

// round rounds v to three decimals. Estimated weights are less precise than that.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// Restore loads the estimates that an earlier owner stored.
func (m *Model) Restore(e Estimates) {
	for image, q := range e.BaselineTails {
		m.baselines[image] = q
	}
	for image, p := range e.FullShares {
		m.fullShares[image] = p
	}
	for i := range e.Pairs {
		w := e.Pairs[i].weights()
		m.pairs[pair{e.Pairs[i].BackfillImage, e.Pairs[i].ServiceImage}] = &w
	}
	m.evict()
	m.setPeriod(e.PeriodMillis)
}

// setPeriod chooses the candidate nearest to a period, if there is one.
func (m *Model) setPeriod(millis int64) {
	if millis <= 0 {
		return
	}
	i := math.Round(math.Log(float64(millis)/float64(minPeriod.Milliseconds())) / math.Log(periodStep))
	m.period = int(min(periods-1, max(0, i)))
}

// mergeVarianceRatio is the most that the variance of another shard's estimate may be, as a
// fraction of the own one, for the estimate to be merged. As merging raises the variance,
// the shard that an estimate came from does not merge it back.
const mergeVarianceRatio = 0.7

// Merge replaces each estimate of this shard by that of another shard if the variance of the
// latter is much lower, and adopts lower baseline tails. Tasks of an image behave alike on
// every shard. It returns the number of replaced or added pairs.
func (m *Model) Merge(e Estimates) int {
	for image, q := range e.BaselineTails {
		m.observeBaseline(image, q)
	}
	for image, p := range e.FullShares {
		if _, ok := m.fullShares[image]; !ok {
			m.fullShares[image] = p
		}
	}
	n := 0
	for i := range e.Pairs {
		p := pair{e.Pairs[i].BackfillImage, e.Pairs[i].ServiceImage}
		own, other := m.weightsOf(p), e.Pairs[i].weights()
		adopted := false
		for u := UseFull; u < uses; u++ {
			if other[u].variance < mergeVarianceRatio*own[u].variance {
				own[u] = weight{other[u].mean, other[u].variance + weightDrift}
				adopted = true
			}
		}
		if adopted {
			m.pairs[p] = &own
			n++
		}
	}
	m.evict()
	return n
}
