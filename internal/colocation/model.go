package colocation

import (
	"math"
	"slices"
	"time"
)

const (
	// baselineShare is the tail latency without load as a fraction of the lowest one seen.
	// The load of a service varies but does not reach zero.
	baselineShare = 0.75
	// readingVariance is the variance of the utilisation that one latency reading gives.
	readingVariance = 0.01
	// ReportWindow is the time that a reported tail latency covers, up to the report.
	ReportWindow = 500 * time.Millisecond
	// maxUtilisation bounds utilisations: the model is inaccurate for latencies far above a
	// target.
	maxUtilisation = 0.985
	// errorShare is the share of the last reading's deviation from the prediction that is expected
	// to last, and maxError bounds the deviation.
	errorShare = 0.5
	maxError   = 0.25
	// errorWindow is the number of readings over which the error of prediction is smoothed.
	errorWindow = 200
	// periodMargin is the evidence by which another period must be better to replace the present one.
	periodMargin = 3.0
	// periodInterval is the time between two choices of the period.
	periodInterval = time.Second
)

// StepKey names a step of a job. The tasks of a step share their load.
type StepKey struct {
	Job              string
	Occurrence, Step int
}

// Service is a task of a service on a worker.
type Service struct {
	Step   StepKey
	Image  string
	Tail   float64 // as last reported, in milliseconds; 0 if unknown
	Target float64 // milliseconds
	Error  float64 // what Observe returned last
}

// Run is a backfill run on a worker.
type Run struct {
	Image string
	Share float64 // of the worker's CPU, at the run's CPU limit
	Use   Use
	Shown float64 // fraction of the ReportWindow in which it ran
}

// Shown returns the fraction of the time that a report at now covers in which a run lasted.
func Shown(from, until, now time.Duration) float64 {
	d := min(until, now) - max(from, now-ReportWindow)
	return max(0, min(1, float64(d)/float64(ReportWindow)))
}

// Model holds the estimates. Its zero value is not usable; see NewModel.
type Model struct {
	baselines  map[string]float64 // lowest tail latency of each service image, milliseconds
	pairs      map[pair]*weights
	fullShares map[string]float64 // by backfill image
	curves     map[StepKey]*curve
	period     int // candidate
	periodAt   time.Duration
	phases     phases
	meanSquare float64                  // of the deviations of readings from what was predicted, smoothed
	seen       map[string]time.Duration // when each image was last reported on a worker here
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{
		baselines: map[string]float64{}, pairs: map[pair]*weights{}, fullShares: map[string]float64{},
		curves: map[StepKey]*curve{}, period: periods / 2, seen: map[string]time.Duration{},
	}
}

// Utilisation returns the utilisation at which the image has the given tail latency; typicalLoad
// if no latency is known.
func (m *Model) Utilisation(image string, tail float64) float64 {
	baseline, ok := m.baselines[image]
	if !ok || tail <= 0 {
		return typicalLoad
	}
	return min(maxUtilisation, max(0, 1-baselineShare*baseline/tail))
}

// observeBaseline updates the lowest tail latency of a service image.
func (m *Model) observeBaseline(image string, tail float64) {
	if q, ok := m.baselines[image]; tail > 0 && (!ok || tail < q) {
		m.baselines[image] = tail
	}
}

// ObserveUse takes in the reported use of a run.
func (m *Model) ObserveUse(image string, u Use) {
	if u == UseUnknown {
		return
	}
	full := 0.0
	if u == UseFull {
		full = 1
	}
	p := m.fullShare(image)
	m.fullShares[image] = p + (full-p)/fullShareWindow
}

func (m *Model) fullShare(image string) float64 {
	if p, ok := m.fullShares[image]; ok {
		return p
	}
	return priorFullShare
}

// weightsOf returns the estimate for a pair, or the prior.
func (m *Model) weightsOf(p pair) weights {
	if w, ok := m.pairs[p]; ok {
		return *w
	}
	return newWeights()
}

// Added is the utilisation that the run adds to a service of the given image.
func (m *Model) Added(r Run, service string) float64 {
	w := m.weightsOf(pair{r.Image, service})
	return w.expected(r.Use, m.fullShare(r.Image)) * r.Share
}

// Load is the expected own load of a service at a time.
func (m *Model) Load(s StepKey, at time.Duration) float64 {
	if c := m.curves[s]; c != nil {
		return max(0, c.at(at, m.period))
	}
	return typicalLoad
}

// Observe takes in one reading of the tail latency of s, beside runs. It returns by how much the
// utilisation still deviates from the expected one.
func (m *Model) Observe(s Service, runs []Run, now time.Duration) float64 {
	m.observeBaseline(s.Image, s.Tail)
	m.seen[s.Image] = now
	for _, r := range runs {
		m.seen[r.Image] = now
	}
	at := now - ReportWindow/2
	u := m.Utilisation(s.Image, s.Tail)
	added, variance, known := 0.0, readingVariance, true
	for _, r := range runs {
		w := m.weightsOf(pair{r.Image, s.Image})
		mean := w.expected(r.Use, m.fullShare(r.Image)) * r.Share
		added += mean * r.Shown
		// A run that began or ended in the window shows by an uncertain part.
		partial := mean * r.Shown * (1 - r.Shown)
		variance += partial * partial
		if r.Use == UseUnknown {
			known = known && r.Shown == 0
			variance += mean * mean * r.Shown / 2
			continue
		}
		x := r.Share * r.Shown
		variance += w[r.Use].variance * x * x
	}
	c := m.curves[s.Step]
	expected := m.Load(s.Step, at)
	if c == nil {
		c = &curve{}
		m.curves[s.Step] = c
	}
	deviation := u - added - expected
	m.meanSquare += (deviation*deviation - m.meanSquare) / errorWindow
	if u < maxUtilisation {
		m.phases.set(at)
		c.observe(&m.phases, u-added, variance)
	}
	if known && c.n > 0 {
		m.updateWeights(s.Image, deviation, variance, runs)
	}
	return max(-maxError, min(maxError, u-added-m.Load(s.Step, at)))
}

// updateWeights corrects the weights of the pairs of a service by the deviation of a reading, in
// proportion to their variances.
func (m *Model) updateWeights(service string, deviation, variance float64, runs []Run) {
	type key struct {
		image string
		use   Use
	}
	shares := map[key]float64{}
	for _, r := range runs {
		if r.Shown > 0 {
			shares[key{r.Image, r.Use}] += r.Share * r.Shown
		}
	}
	for k, x := range shares {
		p := pair{k.image, service}
		ws := m.pairs[p]
		if ws == nil {
			w := newWeights()
			ws = &w
			m.pairs[p] = ws
		}
		w := &ws[k.use]
		gain := w.variance * x / variance
		w.mean = min(weightMax, max(weightMin, w.mean+gain*deviation))
		w.variance = max(w.variance*(1-gain*x), 0) + weightDrift
	}
}

// Peak is the highest utilisation by its own load that s is expected to reach in the given number
// of seconds from now on.
func (m *Model) Peak(s Service, now time.Duration, seconds int) float64 {
	load := typicalLoad
	if c := m.curves[s.Step]; c != nil {
		load = max(0, c.peak(now, seconds, m.period))
	}
	return load + errorShare*s.Error
}

// AddedBy is the utilisation that runs add to a service of the given image.
func (m *Model) AddedBy(runs []Run, service string) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += m.Added(r, service)
	}
	return sum
}

// TargetUtilisation is the utilisation at which the tail latency of s reaches its target.
func (m *Model) TargetUtilisation(s Service) float64 {
	return m.Utilisation(s.Image, s.Target)
}

// PredictionError is the root mean square of the deviations of the last readings' utilisation from what was
// predicted.
func (m *Model) PredictionError() float64 { return math.Sqrt(m.meanSquare) }

// Period is the period of the loads of services.
func (m *Model) Period() time.Duration {
	return time.Duration(periodOf(m.period) * float64(time.Second))
}

// Maintain chooses the period anew and forgets the curves of services that are gone.
func (m *Model) Maintain(now time.Duration) {
	if now-m.periodAt < periodInterval {
		return
	}
	m.periodAt = now
	m.evict()
	var evidence [periods]float64
	for k, c := range m.curves {
		if now-c.updatedAt > memory {
			delete(m.curves, k)
			continue
		}
		for i := range evidence {
			evidence[i] += c.solve(i).evidence
		}
	}
	best := m.period
	for i, e := range evidence {
		if e > evidence[best] {
			best = i
		}
	}
	if evidence[best] > evidence[m.period]+periodMargin {
		m.period = best
	}
}

// BackfillImages lists the backfill images that were observed next to services.
func (m *Model) BackfillImages() []string {
	var out []string
	for p := range m.pairs {
		if !slices.Contains(out, p.backfill) {
			out = append(out, p.backfill)
		}
	}
	slices.Sort(out)
	return out
}
