package interference

import "maps"

// Curves is the immutable state of one service in all bands.
type Curves struct{ bands [Bands]*Curve }

// Frozen is an immutable copy of a model, by service.
type Frozen map[string]*Curves

// Freeze copies what changed since the last call and shares the rest.
func (m *Model) Freeze() Frozen {
	f := make(Frozen, len(m.services))
	for name, s := range m.services {
		if s.dirty || s.frozen == nil {
			s.frozen = s.copy()
			s.dirty = false
		}
		f[name] = s.frozen
	}
	return f
}

func (s *service) copy() *Curves {
	c := &Curves{}
	for i, b := range s.bands {
		if b != nil {
			c.bands[i] = &Curve{Level: b.Level, Weights: maps.Clone(b.Weights)}
		}
	}
	return c
}

// Weight returns what is known, or assumed, of a family in a band. A nil
// receiver knows nothing.
func (c *Curves) Weight(band int, family string) Weight {
	if c == nil {
		return Weight{Mean: priorMean, Variance: priorVariance}
	}
	if b := c.bands[band]; b != nil {
		if w, ok := b.Weights[family]; ok {
			return w
		}
	}
	return prior(&c.bands, band, family)
}

// Level returns the log of the quiet 99th percentile in seconds, and false
// where neither the band nor a lower one was observed.
func (c *Curves) Level(band int) (float64, bool) {
	if c == nil {
		return 0, false
	}
	for b := band; b >= 0; b-- {
		if c.bands[b] != nil {
			return c.bands[b].Level.Mean, true
		}
	}
	return 0, false
}
