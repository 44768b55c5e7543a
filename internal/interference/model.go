// Package interference estimates how much batch families slow a service down, per
// load band of the service, from noisy latency reports.
//
// In each band, the logarithm of a service's 99th percentile latency is modelled as
// a level, which is its value without batch neighbours, plus a weight times the
// intensity for each batch family on the same worker. A Kalman filter with a
// diagonal covariance estimates level and weights. Their variance falls with
// observations and rises slowly with time, so that estimates that are not
// confirmed become uncertain and adapt quickly to new observations.
package interference

import (
	"math"
	"time"
)

// Bands is the number of load bands.
const Bands = 4

// bandLimits are the upper bounds of all load bands but the last. Load is a
// fraction of the service's commitment.
var bandLimits = [Bands - 1]float64{0.35, 0.6, 0.8}

const (
	priorMean       = 0.05 // log slowdown by one run of a family without observations
	priorVariance   = 0.04
	levelVariance   = 4.0  // of a new level; also the largest variance of any estimate
	noiseVariance   = 0.04 // variance of the logarithm of a reported latency
	maxDeviations   = 3.0  // standard deviations to which the residual of a report is limited, against outliers
	variancePerHour = 0.02 // growth of the variance over time
	maxWeight       = 4.0  // log slowdown
	bandGrowth      = 1.3  // expected ratio of a weight to that in the next lower band
	maxFamilies     = 512  // per service and band
	maxServices     = 512
	minProvenCount  = 8 // observations from which a weight is proven
)

// Band returns the band that contains load.
func Band(load float64) int {
	for i, l := range bandLimits {
		if load < l {
			return i
		}
	}
	return Bands - 1
}

// Neighbour is the batch work of one family on the same worker as a service.
type Neighbour struct {
	Family    string
	Intensity float64 // number of runs, weighted by their processor use relative to the family's median
}

// Weight is the estimated log slowdown of a service by one run of a family, or the
// estimated level of a service.
type Weight struct {
	Mean      float64
	Variance  float64
	Count     int
	UpdatedAt time.Duration
}

// Proven reports whether the weight has at least minProvenCount observations.
func (w Weight) Proven() bool { return w.Count >= minProvenCount }

// Upper returns an upper bound: the mean, at least 0, plus k standard deviations.
func (w Weight) Upper(k float64) float64 {
	return math.Max(0, w.Mean) + k*math.Sqrt(w.Variance)
}

// BandEstimate holds the estimates of one service in one band.
type BandEstimate struct {
	Level   Weight // log of the 99th percentile latency in seconds without batch neighbours
	Weights map[string]Weight
}

type service struct {
	bands        [Bands]*BandEstimate
	dirty        bool
	estimates    *ServiceEstimates
	lastObserved time.Duration
}

// Model estimates levels and weights from latency reports. It is not safe for
// concurrent use.
type Model struct{ services map[string]*service }

// NewModel returns an empty model.
func NewModel() *Model { return &Model{services: map[string]*service{}} }

// Observe updates the estimates of a service with a latency that was measured with
// exactly these neighbours on the worker.
func (m *Model) Observe(name string, load float64, p99 time.Duration, neighbours []Neighbour, now time.Duration) {
	if p99 <= 0 || math.IsNaN(load) {
		return
	}
	s := m.service(name, now)
	band := Band(load)
	e := s.bands[band]
	logLatency := math.Log(p99.Seconds())
	if e == nil {
		e = &BandEstimate{Level: Weight{Mean: logLatency, Variance: levelVariance}, Weights: map[string]Weight{}}
		s.bands[band] = e
	}
	s.dirty = true
	s.update(e, band, logLatency, neighbours, now)
}

// Baseline returns the estimated 99th percentile latency of a service without
// neighbours in the band of load, and false if the band was not observed.
func (m *Model) Baseline(name string, load float64) (time.Duration, bool) {
	s := m.services[name]
	if s == nil || s.bands[Band(load)] == nil {
		return 0, false
	}
	level := s.bands[Band(load)].Level.Mean
	return time.Duration(math.Exp(level) * float64(time.Second)), true
}

// update performs one step of the Kalman filter for a band: it predicts the log
// latency and corrects level and weights by the limited residual.
func (s *service) update(e *BandEstimate, band int, logLatency float64, neighbours []Neighbour, now time.Duration) {
	e.Level = e.Level.aged(now)
	predicted := e.Level.Mean
	variance := e.Level.Variance + noiseVariance
	for _, n := range neighbours {
		w := s.weightOrPrior(e, band, n.Family).aged(now)
		predicted += w.Mean * n.Intensity
		variance += w.Variance * n.Intensity * n.Intensity
	}
	residual := logLatency - predicted
	maxResidual := maxDeviations * math.Sqrt(variance)
	residual = math.Max(-maxResidual, math.Min(maxResidual, residual))
	for _, n := range neighbours {
		s.updateWeight(e, band, n, residual, variance, now)
	}
	e.Level = e.Level.updated(1, residual, variance, now)
}

// updateWeight corrects the weight of one neighbour. It has no effect for a new
// family once the band holds maxFamilies.
func (s *service) updateWeight(e *BandEstimate, band int, n Neighbour, residual, variance float64, now time.Duration) {
	if !(n.Intensity > 0) {
		return
	}
	old, exists := e.Weights[n.Family]
	if !exists {
		if len(e.Weights) >= maxFamilies {
			return
		}
		old = s.weightOrPrior(e, band, n.Family)
	}
	w := old.aged(now).updated(n.Intensity, residual, variance, now)
	w.Mean = math.Max(-0.05, math.Min(maxWeight, w.Mean))
	e.Weights[n.Family] = w
}

// weightOrPrior returns the family's weight in the band, or the prior if it was not
// observed there.
func (s *service) weightOrPrior(e *BandEstimate, band int, family string) Weight {
	if w, ok := e.Weights[family]; ok {
		return w
	}
	return prior(&s.bands, band, family)
}

// bandGrowthPowers holds bandGrowth to the power of the index. They are constants,
// because math.Pow rounds and could lift a weight above its bound.
var bandGrowthPowers = [Bands]float64{1, bandGrowth, bandGrowth * bandGrowth, bandGrowth * bandGrowth * bandGrowth}

// prior returns the weight assumed for a family that was not observed in the band:
// that of the next lower band where it was, raised by bandGrowth for each band
// between, or else the constant prior.
func prior(bands *[Bands]*BandEstimate, band int, family string) Weight {
	p := Weight{Mean: priorMean, Variance: priorVariance}
	for b := band - 1; b >= 0; b-- {
		if bands[b] == nil {
			continue
		}
		if w, ok := bands[b].Weights[family]; ok {
			p.Mean = math.Max(0, w.Mean) * bandGrowthPowers[band-b]
			p.Variance = math.Min(priorVariance, w.Variance+priorVariance/4)
			return p
		}
	}
	return p
}

// aged returns w with the variance that it has gained by now.
func (w Weight) aged(now time.Duration) Weight {
	if w.UpdatedAt > 0 && now > w.UpdatedAt {
		w.Variance = math.Min(levelVariance, w.Variance+variancePerHour*(now-w.UpdatedAt).Hours())
	}
	w.UpdatedAt = now
	return w
}

// updated returns w after the correction step of the filter. variance is that of
// the whole prediction, of which w contributes intensity times its mean.
func (w Weight) updated(intensity, residual, variance float64, now time.Duration) Weight {
	gain := w.Variance * intensity / variance
	w.Mean += gain * residual
	w.Variance = math.Max(1e-6, w.Variance*(1-gain*intensity))
	w.Count++
	w.UpdatedAt = now
	return w
}

// service returns the state of a service that is being observed, and creates it if
// necessary.
func (m *Model) service(name string, now time.Duration) *service {
	s, ok := m.services[name]
	if !ok {
		m.dropOldest()
		s = &service{}
		m.services[name] = s
	}
	s.lastObserved = now
	return s
}

// dropOldest drops the service that was not observed for the longest time if
// maxServices are held.
func (m *Model) dropOldest() {
	if len(m.services) < maxServices {
		return
	}
	var oldest string
	oldestObserved := time.Duration(math.MaxInt64)
	for name, s := range m.services {
		if s.lastObserved < oldestObserved || s.lastObserved == oldestObserved && name < oldest {
			oldest, oldestObserved = name, s.lastObserved
		}
	}
	delete(m.services, oldest)
}
