package colocation

import (
	"math"
	"time"
)

const (
	// minPeriod is the shortest period of a load, and periodStep the ratio of one candidate to
	// the next. Within the memory of a curve, a phase is then wrong by less than a tenth of a
	// period.
	minPeriod  = 4 * time.Second
	periodStep = 1.045
	periods    = 48
	// memory is the time constant over which observations of a load lose their weight.
	memory = 20 * time.Second
	// typicalLoad, levelVariance and swingVariance are the level and the oscillation expected of a
	// load that was not observed.
	typicalLoad   = 0.6
	levelVariance = 0.04
	swingVariance = 0.02
)

// periodOf returns the period of a candidate, in seconds.
func periodOf(candidate int) float64 {
	return minPeriod.Seconds() * math.Pow(periodStep, float64(candidate))
}

// phases holds the sine and cosine of every candidate at one time.
type phases struct {
	at       time.Duration
	sin, cos [periods]float64
}

func (p *phases) set(at time.Duration) {
	if p.at == at && p.cos[0] != 0 {
		return
	}
	p.at = at
	for i := range periods {
		p.sin[i], p.cos[i] = math.Sincos(2 * math.Pi * at.Seconds() / periodOf(i))
	}
}

// moments are the weighted sums of a linear regression on a level and one oscillation.
type moments struct{ s, c, ss, sc, cc, ys, yc float64 }

// curve is the own load of a service over time: a level and an oscillation. It is a Bayesian linear
// regression for each candidate period; old observations lose their weight.
type curve struct {
	updatedAt  time.Duration
	n, y       float64 // sums of weights and of loads, which do not depend on the period
	candidates [periods]moments
	solution   solution
	solved     bool
	solvedFor  int
	peaks      [MaxHorizon]cachedPeak // by horizon in seconds, less one
}

// solution is the fit for one period.
type solution struct {
	level, sin, cos float64
	evidence        float64 // logarithm, up to a constant
}

// observe takes in a load at p.at with the given variance.
func (c *curve) observe(p *phases, load, variance float64) {
	keep := 1.0
	if c.n > 0 {
		keep = math.Exp(-max(0, p.at-c.updatedAt).Seconds() / memory.Seconds())
	}
	w, dy := 1/variance, load-typicalLoad
	c.updatedAt, c.solved = p.at, false
	c.n, c.y = c.n*keep+w, c.y*keep+w*dy
	for i := range c.candidates {
		m, s, k := &c.candidates[i], p.sin[i], p.cos[i]
		m.s, m.c = m.s*keep+w*s, m.c*keep+w*k
		m.ss, m.sc, m.cc = m.ss*keep+w*s*s, m.sc*keep+w*s*k, m.cc*keep+w*k*k
		m.ys, m.yc = m.ys*keep+w*dy*s, m.yc*keep+w*dy*k
	}
}

// solve returns the fit for the candidate period, by the Cholesky decomposition of the normal
// equations.
func (c *curve) solve(candidate int) solution {
	m := &c.candidates[candidate]
	l11 := math.Sqrt(c.n + 1/levelVariance)
	l21, l31 := m.s/l11, m.c/l11
	l22 := math.Sqrt(m.ss + 1/swingVariance - l21*l21)
	l32 := (m.sc - l31*l21) / l22
	l33 := math.Sqrt(m.cc + 1/swingVariance - l31*l31 - l32*l32)
	z1 := c.y / l11
	z2 := (m.ys - l21*z1) / l22
	z3 := (m.yc - l31*z1 - l32*z2) / l33
	cos := z3 / l33
	sin := (z2 - l32*cos) / l22
	level := (z1 - l21*sin - l31*cos) / l11
	return solution{
		level: level + typicalLoad, sin: sin, cos: cos,
		evidence: (z1*z1+z2*z2+z3*z3)/2 - math.Log(l11*l22*l33),
	}
}

// fit returns the fit for the candidate period, solved at most once for each observation.
func (c *curve) fit(candidate int) solution {
	if !c.solved || c.solvedFor != candidate {
		c.solution, c.solved, c.solvedFor = c.solve(candidate), true, candidate
	}
	return c.solution
}

// at returns the expected load at a time for the candidate period.
func (c *curve) at(t time.Duration, candidate int) float64 {
	f := c.fit(candidate)
	s, k := math.Sincos(2 * math.Pi * t.Seconds() / periodOf(candidate))
	return f.level + f.sin*s + f.cos*k
}

const (
	// peakStep is the distance of the times at which a peak is looked for.
	peakStep = 300 * time.Millisecond
	// peakMaxAge is how long a peak is reused.
	peakMaxAge = 100 * time.Millisecond
	// MaxHorizon bounds the time over which a peak is looked for, in seconds.
	MaxHorizon = 4
)

// cachedPeak is the peak for one horizon.
type cachedPeak struct {
	at   time.Duration
	load float64
}

// peak returns the highest expected load in the given number of seconds from now on.
func (c *curve) peak(now time.Duration, seconds, candidate int) float64 {
	seconds = min(MaxHorizon, max(1, seconds))
	cached := &c.peaks[seconds-1]
	if cached.at > 0 && now-cached.at < peakMaxAge {
		return cached.load
	}
	until := now + time.Duration(seconds)*time.Second
	highest := c.at(until, candidate)
	for t := now; t < until; t += peakStep {
		highest = max(highest, c.at(t, candidate))
	}
	*cached = cachedPeak{now, highest}
	return highest
}
