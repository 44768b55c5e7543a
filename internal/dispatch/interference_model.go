package dispatch

import (
	"slices"
	"time"
)

// The interference model predicts how much a backfill run slows down a service on
// the same host. The tail latency of a service is modelled like that of a queue, as
// baseline / (1 - u), where baseline is the tail latency without load. The
// utilisation u is the service's own load plus, for each backfill run on the host, a
// weight times the fraction of the host's CPU that the run uses. The weight depends
// on the pair of images. It is estimated by a Kalman filter with a diagonal
// covariance from the tail latencies that workers report.
const (
	// baselineShare is the tail latency without load as a fraction of the lowest one seen.
	// The load of a service varies but does not reach zero.
	baselineShare = 0.75
	// priorWeight and priorWeightVariance are the estimate for a pair that was not observed
	// together.
	priorWeight         = 1.2
	priorWeightVariance = 4.0
	// weightMin and weightMax bound the estimated weights.
	weightMin = 0.0
	weightMax = 12.0
	// readingVariance is the variance of the utilisation that one latency reading gives.
	readingVariance = 0.01
	// weightDrift is added to the variance of a weight with each reading, so that weights
	// follow changes of the images. It is also added to an estimate taken over from another
	// shard.
	weightDrift = 0.002
	// loadMargin is utilisation kept free for growth of the load while a newly placed run
	// lasts.
	loadMargin = 0.04
	// settleTime is how long it takes until the start or throttling of a run shows in a
	// tail latency.
	settleTime = 700 * time.Millisecond
	// baseLoadMaxAge is how long a reading taken without backfill runs on the host is used
	// as the own load of a service.
	baseLoadMaxAge = 2500 * time.Millisecond
	// maxUtilisation bounds utilisations: the model is inaccurate for latencies far above a
	// target.
	maxUtilisation = 0.985
	// unknownUtilisation is assumed for a service without a reading.
	unknownUtilisation = 0.6
)

// imagePair is a backfill image and the image of a service on the same host.
type imagePair struct{ backfill, service string }

// pairWeight is the estimated weight of a pair of images.
type pairWeight struct{ mean, variance float64 }

// interferenceModel estimates, from observed tail latencies, how much backfill images disturb
// services on the same host.
type interferenceModel struct {
	baselineTail map[string]float64 // lowest tail latency of each service image, milliseconds
	pairs        map[imagePair]pairWeight
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{baselineTail: map[string]float64{}, pairs: map[imagePair]pairWeight{}}
}

// pairWeight returns the estimate for a pair, or the prior.
func (m *interferenceModel) pairWeight(p imagePair) pairWeight {
	if w, ok := m.pairs[p]; ok {
		return w
	}
	return pairWeight{priorWeight, priorWeightVariance}
}

// utilisation returns the utilisation at which the image has the given tail latency.
func (m *interferenceModel) utilisation(image string, tail float64) float64 {
	baselineTail, ok := m.baselineTail[image]
	if !ok || tail <= 0 {
		return unknownUtilisation
	}
	return min(maxUtilisation, max(0, 1-baselineShare*baselineTail/tail))
}

// targetUtilisation is the utilisation at which the tail latency of an image reaches its
// target.
func (m *interferenceModel) targetUtilisation(image string, target float64) float64 {
	baselineTail, ok := m.baselineTail[image]
	if !ok {
		return unknownUtilisation
	}
	return min(maxUtilisation, 1-baselineShare*baselineTail/target)
}

// observeBaseline updates the lowest tail latency of a service image.
func (m *interferenceModel) observeBaseline(image string, tail float64) {
	if q, ok := m.baselineTail[image]; tail > 0 && (!ok || tail < q) {
		m.baselineTail[image] = tail
	}
}

// cpuShare is the fraction of the host's CPU that a backfill run uses: what it declares,
// reduced by its CPU limit.
func cpuShare(backfill *task, h *host) float64 {
	if h.Capacity.MilliCPU == 0 {
		return 0
	}
	used := float64(backfill.step.Needs.MilliCPU)
	if backfill.cpuLimit > 0 {
		used = used * float64(backfill.cpuLimit) / 100
	}
	return used / float64(h.Capacity.MilliCPU)
}

// updateWeights updates the weights of the pairs on a host from one reading. excess is the
// utilisation of a service beyond its own load.
func (m *interferenceModel) updateWeights(service string, excess float64, backfills []*task, h *host) {
	shares := map[string]float64{}
	for _, backfill := range backfills {
		shares[backfill.step.Image] += cpuShare(backfill, h)
	}
	predicted, variance := 0.0, readingVariance
	for image, x := range shares {
		w := m.pairWeight(imagePair{image, service})
		predicted += w.mean * x
		variance += w.variance * x * x
	}
	residual := excess - predicted
	for image, x := range shares {
		p := imagePair{image, service}
		w := m.pairWeight(p)
		gain := w.variance * x / variance
		w.mean = min(weightMax, max(weightMin, w.mean+gain*residual))
		w.variance = max(w.variance*(1-gain*x), 0) + weightDrift
		m.pairs[p] = w
	}
}

// isService reports whether t is a service: long-running, with a tail latency target.
func (t *task) isService() bool { return t.step.LongRunning && t.step.TargetMillis > 0 }

// addedUtilisation is what the run backfill adds to the utilisation of the service t on
// h.
func (m *interferenceModel) addedUtilisation(backfill, t *task, h *host) float64 {
	return m.pairWeight(imagePair{backfill.step.Image, t.step.Image}).mean * cpuShare(backfill, h)
}

// headroom is the utilisation that the service t can take in addition to what runs on h
// now. It is negative when the target is at risk. Backfill runs that the last reading
// cannot show yet are added by their estimates.
func (m *interferenceModel) headroom(t *task, h *host, now time.Duration) float64 {
	u := unknownUtilisation
	if t.stage == stageRunning && t.gauge > 0 {
		u = m.utilisation(t.step.Image, t.gauge)
	}
	for _, backfill := range h.tasks {
		if backfill.step.Backfill && !backfill.stopWanted && (backfill.stage != stageRunning || now-backfill.stageSince < settleTime) {
			u += m.addedUtilisation(backfill, t, h)
		}
	}
	return m.targetUtilisation(t.step.Image, float64(t.step.TargetMillis)) - loadMargin - u
}

// imageHeadroom is the headroom of a service, by its image.
type imageHeadroom struct {
	image    string
	headroom float64
}

// headrooms returns the headroom of each service on h.
func (m *interferenceModel) headrooms(h *host, now time.Duration) []imageHeadroom {
	var out []imageHeadroom
	for _, t := range h.tasks {
		if t.isService() {
			out = append(out, imageHeadroom{t.step.Image, m.headroom(t, h, now)})
		}
	}
	return out
}

// maxShareFor is the fraction of a host's CPU that one more run of a backfill image
// may use without bringing a service there near its target. It is negative if a service is
// near its target already.
func (m *interferenceModel) maxShareFor(image string, headrooms []imageHeadroom) float64 {
	maxShare := 1.0
	for _, h := range headrooms {
		if h.headroom < 0 {
			return -1
		}
		if w := m.pairWeight(imagePair{image, h.image}).mean; w > 0 {
			maxShare = min(maxShare, h.headroom/w)
		}
	}
	return maxShare
}

// backfillImages lists the backfill images that were observed next to services.
func (m *interferenceModel) backfillImages() []string {
	var out []string
	for p := range m.pairs {
		if !slices.Contains(out, p.backfill) {
			out = append(out, p.backfill)
		}
	}
	slices.Sort(out)
	return out
}

// maxAddedUtilisation is the most that the run backfill adds to the utilisation of a
// service on h.
func (m *interferenceModel) maxAddedUtilisation(backfill *task, h *host) float64 {
	most, last := 0.0, ""
	for _, t := range h.tasks {
		if !t.isService() || t.step.Image == last {
			continue
		}
		last = t.step.Image
		most = max(most, m.addedUtilisation(backfill, t, h))
	}
	return most
}
