package interference

import "maps"

// ServiceEstimates holds the estimates of one service in all load bands. It is
// immutable. A nil *ServiceEstimates has no observations.
type ServiceEstimates struct{ bands [Bands]*BandEstimate }

// Estimates is an immutable copy of a model's estimates, by service.
type Estimates map[string]*ServiceEstimates

// Estimates returns a copy of the model's estimates. Services without new
// observations share their copy with earlier calls.
func (m *Model) Estimates() Estimates {
	f := make(Estimates, len(m.services))
	for name, s := range m.services {
		if s.dirty || s.estimates == nil {
			s.estimates = s.copy()
			s.dirty = false
		}
		f[name] = s.estimates
	}
	return f
}

// copy returns a deep copy of the service's estimates.
func (s *service) copy() *ServiceEstimates {
	e := &ServiceEstimates{}
	for i, b := range s.bands {
		if b != nil {
			e.bands[i] = &BandEstimate{Level: b.Level, Weights: maps.Clone(b.Weights)}
		}
	}
	return e
}

// Weight returns the weight of a family in a band, or the prior where it was not
// observed.
func (e *ServiceEstimates) Weight(band int, family string) Weight {
	if e == nil {
		return Weight{Mean: priorMean, Variance: priorVariance}
	}
	if b := e.bands[band]; b != nil {
		if w, ok := b.Weights[family]; ok {
			return w
		}
	}
	return prior(&e.bands, band, family)
}

// Level returns the log of the service's 99th percentile latency in seconds
// without batch neighbours, in the band or else the next lower one that was
// observed. It returns false if there is none.
func (e *ServiceEstimates) Level(band int) (float64, bool) {
	if e == nil {
		return 0, false
	}
	for b := band; b >= 0; b-- {
		if e.bands[b] != nil {
			return e.bands[b].Level.Mean, true
		}
	}
	return 0, false
}
