package dispatch

import (
	"slices"
	"time"
)

// The tail latency of a lasting task is taken to grow like that of a queue:
// quiet / (1 - u), where u is its own load plus, for each filling run beside
// it, a weight times the share of the worker's processors that the run uses.
// The weight depends on the pair of images. Weights are followed by a Kalman
// filter with a diagonal covariance.
const (
	// quietShare is the tail without any load as a share of the lowest tail
	// seen: the load of a lasting task swings, but does not reach zero.
	quietShare = 0.75
	// Prior belief about a pair that was not seen together.
	weightMean     = 1.2
	weightVariance = 4.0
	weightMin      = 0.0
	weightMax      = 12.0
	// readingVariance is the variance of the utilisation seen in one reading.
	readingVariance = 0.01
	// weightDrift is the variance that a weight regains with each reading of
	// another pair: what disturbs changes with time.
	weightDrift = 0.002
	// loadMargin covers the growth of a load during the run to be placed.
	loadMargin = 0.04
	// settled is how long after a run's start its influence is seen in a tail.
	settled = 700 * time.Millisecond
	// cleanFor is how long a reading without filling neighbours tells the load.
	cleanFor = 2500 * time.Millisecond
	// uMax bounds utilisations; far above a target the tail tells little.
	uMax = 0.985
	// unknownTail is the utilisation taken for a lasting task without a reading.
	unknownTail = 0.6
)

// imagePair is a filling image beside a serving one.
type imagePair struct{ fills, serves string }

// weight is the belief about a pair.
type weight struct{ mean, variance float64 }

// imageBook is what was learned about images.
type imageBook struct {
	quiet map[string]float64 // lowest tail of a serving image, milliseconds
	pairs map[imagePair]weight
}

func newImageBook() imageBook {
	return imageBook{quiet: map[string]float64{}, pairs: map[imagePair]weight{}}
}

// weight returns the belief about a pair.
func (b *imageBook) weight(p imagePair) weight {
	if w, ok := b.pairs[p]; ok {
		return w
	}
	return weight{weightMean, weightVariance}
}

// utilisation converts a tail of an image.
func (b *imageBook) utilisation(image string, tail float64) float64 {
	quiet, ok := b.quiet[image]
	if !ok || tail <= 0 {
		return unknownTail
	}
	return min(uMax, max(0, 1-quietShare*quiet/tail))
}

// limit is the utilisation at which the tail of an image reaches its target.
func (b *imageBook) limit(image string, target float64) float64 {
	quiet, ok := b.quiet[image]
	if !ok {
		return unknownTail
	}
	return min(uMax, 1-quietShare*quiet/target)
}

// sawTail notes a reading of a serving image.
func (b *imageBook) sawTail(image string, tail float64) {
	if q, ok := b.quiet[image]; tail > 0 && (!ok || tail < q) {
		b.quiet[image] = tail
	}
}

// share is the part of the host's processors that a filling run uses, as
// reported or else as declared.
func share(f *task, h *host) float64 {
	if h.Capacity.MilliCPU == 0 {
		return 0
	}
	used := float64(f.step.Needs.MilliCPU)
	if f.pace > 0 {
		used = used * float64(f.pace) / 100
	}
	return used / float64(h.Capacity.MilliCPU)
}

// learn updates the weights of the pairs on a host: excess is the utilisation
// of a serving run beyond its own load.
func (b *imageBook) learn(serves string, excess float64, fills []*task, h *host) {
	xs := map[string]float64{}
	for _, f := range fills {
		xs[f.step.Image] += share(f, h)
	}
	predicted, variance := 0.0, readingVariance
	for image, x := range xs {
		w := b.weight(imagePair{image, serves})
		predicted += w.mean * x
		variance += w.variance * x * x
	}
	miss := excess - predicted
	for image, x := range xs {
		p := imagePair{image, serves}
		w := b.weight(p)
		gain := w.variance * x / variance
		w.mean = min(weightMax, max(weightMin, w.mean+gain*miss))
		w.variance = max(w.variance*(1-gain*x), 0) + weightDrift
		b.pairs[p] = w
	}
}

// serving reports whether t has a tail target to keep.
func (t *task) serving() bool { return t.step.Lasting && t.step.TargetMillis > 0 }

// strain is what the filling run f adds to the utilisation of the serving run t
// on h.
func (b *imageBook) strain(f, t *task, h *host) float64 {
	return b.weight(imagePair{f.step.Image, t.step.Image}).mean * share(f, h)
}

// headroom is how much utilisation the serving run t could take on top of what
// runs on h now: negative where its target is in danger.
func (b *imageBook) headroom(t *task, h *host, now time.Duration) float64 {
	u := unknownTail
	if t.stage == stageRunning && t.gauge > 0 {
		u = b.utilisation(t.step.Image, t.gauge)
	}
	for _, f := range h.tasks {
		if f.step.Fills && !f.stopWanted && (f.stage != stageRunning || now-f.since < settled) {
			u += b.strain(f, t, h)
		}
	}
	return b.limit(t.step.Image, float64(t.step.TargetMillis)) - loadMargin - u
}

// headroomOf is the headroom of a serving image on a host.
type headroomOf struct {
	image string
	room  float64
}

// headrooms returns the headroom of every serving run on h.
func (b *imageBook) headrooms(h *host, now time.Duration) []headroomOf {
	var out []headroomOf
	for _, t := range h.tasks {
		if t.serving() {
			out = append(out, headroomOf{t.step.Image, b.headroom(t, h, now)})
		}
	}
	return out
}

// bearableOf is the share of a host's processors that one more run of a filling image
// may use without bringing a serving run there near its target; negative where one is
// near it already.
func (b *imageBook) bearableOf(image string, heads []headroomOf) float64 {
	most := 1.0
	for _, s := range heads {
		if s.room < 0 {
			return -1
		}
		if w := b.weight(imagePair{image, s.image}).mean; w > 0 {
			most = min(most, s.room/w)
		}
	}
	return most
}

// filling lists the filling images that were seen beside serving ones.
func (b *imageBook) filling() []string {
	var out []string
	for p := range b.pairs {
		if !slices.Contains(out, p.fills) {
			out = append(out, p.fills)
		}
	}
	slices.Sort(out)
	return out
}

// worstStrain is the most that the filling run f adds to the utilisation of a
// serving run on h.
func (b *imageBook) worstStrain(f *task, h *host) float64 {
	worst, last := 0.0, ""
	for _, t := range h.tasks {
		if !t.serving() || t.step.Image == last {
			continue
		}
		last = t.step.Image
		worst = max(worst, b.strain(f, t, h))
	}
	return worst
}
