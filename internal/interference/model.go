// Package interference learns how much batch families slow a service down,
// per load band, from late and noisy latency reports.
//
// The logarithm of a service's 99th percentile in a band is taken to be a quiet
// level plus, for each batch family beside it, a weight times the family's
// intensity. Level and weights are followed by a Kalman filter with a diagonal
// covariance: uncertainty falls with observations and rises slowly with time,
// so an old lesson fades and may be tried again.
package interference

import (
	"math"
	"time"
)

// Bands is the number of load bands.
const Bands = 4

// limits are the upper bounds of the load bands but the last, as a fraction of
// the service's commitment.
var limits = [Bands - 1]float64{0.35, 0.6, 0.8}

const (
	priorMean     = 0.05 // log slowdown of one run of an unknown family
	priorVariance = 0.04
	levelVariance = 4.0
	noise         = 0.04 // variance of a report's logarithm
	clip          = 3.0  // standard deviations beyond which a report counts no more
	drift         = 0.02 // variance regained per hour
	maxWeight     = 4.0
	bandFactor    = 1.3 // expected growth of a weight from one band to the next
	maxFamilies   = 512 // per service and band
	maxServices   = 512
	provenCount   = 8 // observations after which a weight counts as known
)

// Band returns the load band of load.
func Band(load float64) int {
	for i, l := range limits {
		if load < l {
			return i
		}
	}
	return Bands - 1
}

// Neighbour is the batch work of one family beside a service.
type Neighbour struct {
	Family    string
	Intensity float64 // in runs at their usual use
}

// Weight is the learned log slowdown by one run of a family.
type Weight struct {
	Mean     float64
	Variance float64
	Count    int
	At       time.Duration
}

// Proven reports whether the weight rests on enough observations.
func (w Weight) Proven() bool { return w.Count >= provenCount }

// Upper returns a cautious bound: the mean and k standard deviations.
func (w Weight) Upper(k float64) float64 {
	return math.Max(0, w.Mean) + k*math.Sqrt(w.Variance)
}

// Curve is what is known of one service in one band. A frozen curve is never
// changed.
type Curve struct {
	Level   Weight // log of the quiet 99th percentile in seconds
	Weights map[string]Weight
}

type service struct {
	bands  [Bands]*Curve
	dirty  bool
	frozen *Curves
	used   time.Duration
}

// Model learns. It is not safe for concurrent use.
type Model struct{ services map[string]*service }

// NewModel returns an empty model.
func NewModel() *Model { return &Model{services: map[string]*service{}} }

// Observe counts one report of a service beside the neighbours. The caller
// passes only reports measured with exactly these neighbours.
func (m *Model) Observe(name string, load float64, p99 time.Duration, beside []Neighbour, now time.Duration) {
	if p99 <= 0 || math.IsNaN(load) {
		return
	}
	s := m.service(name, now)
	band := Band(load)
	c := s.bands[band]
	got := math.Log(p99.Seconds())
	if c == nil {
		c = &Curve{Level: Weight{Mean: got, Variance: levelVariance}, Weights: map[string]Weight{}}
		s.bands[band] = c
	}
	s.dirty = true
	s.learn(c, band, got, beside, now)
}

// Quiet returns the learned 99th percentile of a service without neighbours in
// the band of load, and false where the band was not observed.
func (m *Model) Quiet(name string, load float64) (time.Duration, bool) {
	s := m.services[name]
	if s == nil || s.bands[Band(load)] == nil {
		return 0, false
	}
	level := s.bands[Band(load)].Level.Mean
	return time.Duration(math.Exp(level) * float64(time.Second)), true
}

// learn is one step of the filter.
func (s *service) learn(c *Curve, band int, got float64, beside []Neighbour, now time.Duration) {
	c.Level = c.Level.aged(now)
	predicted := c.Level.Mean
	variance := c.Level.Variance + noise
	for _, n := range beside {
		w := s.weight(c, band, n.Family).aged(now)
		predicted += w.Mean * n.Intensity
		variance += w.Variance * n.Intensity * n.Intensity
	}
	miss := got - predicted
	bound := clip * math.Sqrt(variance)
	miss = math.Max(-bound, math.Min(bound, miss))
	for _, n := range beside {
		s.correct(c, band, n, miss, variance, now)
	}
	c.Level = c.Level.corrected(1, miss, variance, now)
}

func (s *service) correct(c *Curve, band int, n Neighbour, miss, variance float64, now time.Duration) {
	if !(n.Intensity > 0) {
		return
	}
	old, known := c.Weights[n.Family]
	if !known {
		if len(c.Weights) >= maxFamilies {
			return
		}
		old = s.weight(c, band, n.Family)
	}
	w := old.aged(now).corrected(n.Intensity, miss, variance, now)
	w.Mean = math.Max(-0.05, math.Min(maxWeight, w.Mean))
	c.Weights[n.Family] = w
}

// weight returns the family's weight in the band, or what lower bands suggest.
func (s *service) weight(c *Curve, band int, family string) Weight {
	if w, ok := c.Weights[family]; ok {
		return w
	}
	return prior(&s.bands, band, family)
}

// growth is bandFactor to the power of the index, as constants: the rounding of
// math.Pow can lift a weight above its bound.
var growth = [Bands]float64{1, bandFactor, bandFactor * bandFactor, bandFactor * bandFactor * bandFactor}

// prior is the weight of a family that was not yet seen in the band.
func prior(bands *[Bands]*Curve, band int, family string) Weight {
	p := Weight{Mean: priorMean, Variance: priorVariance}
	for b := band - 1; b >= 0; b-- {
		if bands[b] == nil {
			continue
		}
		if w, ok := bands[b].Weights[family]; ok {
			p.Mean = math.Max(0, w.Mean) * growth[band-b]
			p.Variance = math.Min(priorVariance, w.Variance+priorVariance/4)
			return p
		}
	}
	return p
}

func (w Weight) aged(now time.Duration) Weight {
	if w.At > 0 && now > w.At {
		w.Variance = math.Min(levelVariance, w.Variance+drift*(now-w.At).Hours())
	}
	w.At = now
	return w
}

func (w Weight) corrected(x, miss, variance float64, now time.Duration) Weight {
	gain := w.Variance * x / variance
	w.Mean += gain * miss
	w.Variance = math.Max(1e-6, w.Variance*(1-gain*x))
	w.Count++
	w.At = now
	return w
}

func (m *Model) service(name string, now time.Duration) *service {
	s, ok := m.services[name]
	if !ok {
		m.makeRoom()
		s = &service{}
		m.services[name] = s
	}
	s.used = now
	return s
}

func (m *Model) makeRoom() {
	if len(m.services) < maxServices {
		return
	}
	var oldest string
	at := time.Duration(math.MaxInt64)
	for name, s := range m.services {
		if s.used < at || s.used == at && name < oldest {
			oldest, at = name, s.used
		}
	}
	delete(m.services, oldest)
}
