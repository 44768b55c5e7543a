package colocation

// Use is how much of its CPU a backfill run uses, as last reported. Runs change between full and
// reduced use within seconds, and disturb services much less at reduced use.
type Use uint8

// Uses of a run.
const (
	UseUnknown Use = iota // not reported yet
	UseFull
	UseReduced
	uses
)

// fullUse is the share of its CPU from which the use of a run is full.
const fullUse = 0.85

// UseOf returns the use of a run that is reported to use a share of the CPU that it may use.
func UseOf(share float64) Use {
	switch {
	case share <= 0:
		return UseUnknown
	case share < fullUse:
		return UseReduced
	}
	return UseFull
}

const (
	// priorWeightVariance is the variance of the weight of a pair that was not observed together.
	priorWeightVariance = 4.0
	// weightMin and weightMax bound the estimated weights.
	weightMin = 0.0
	weightMax = 12.0
	// weightDrift is added to the variance of a weight with each reading, so that weights
	// follow changes of the images. It is also added to an estimate taken over from another
	// shard.
	weightDrift = 0.002
	// priorFullShare is the share of the readings of an image that show full use, before any.
	priorFullShare = 0.6
	// fullShareWindow is the number of readings over which that share is smoothed.
	fullShareWindow = 60
)

// priorWeight is the weight of a pair that was not observed together, by use.
var priorWeight = [uses]float64{UseFull: 1.6, UseReduced: 0.5}

// pair is a backfill image and the image of a service on the same worker.
type pair struct{ backfill, service string }

// weight is an estimated weight.
type weight struct{ mean, variance float64 }

// weights are those of a pair, by use.
type weights [uses]weight

// newWeights returns the estimate of a pair that was not observed together.
func newWeights() weights {
	var w weights
	for u := UseFull; u < uses; u++ {
		w[u] = weight{priorWeight[u], priorWeightVariance}
	}
	return w
}

// expected returns the expected weight of a run whose use is u, where fullShare is the share of
// its image's readings with full use.
func (w *weights) expected(u Use, fullShare float64) float64 {
	if u == UseUnknown {
		return fullShare*w[UseFull].mean + (1-fullShare)*w[UseReduced].mean
	}
	return w[u].mean
}
