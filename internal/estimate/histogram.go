// Package estimate summarises the resource use and run times of the tasks of each
// job family, from usage reports and finished runs. It makes no placement decisions.
package estimate

import "math"

const (
	numBuckets   = 320
	bucketGrowth = 1.08 // ratio of the upper bounds of neighbouring buckets
	decaySamples = 512  // all counts are halved when their sum exceeds twice this
)

var logBucketGrowth = math.Log(bucketGrowth)

// histogram counts positive values in logarithmic buckets. Older samples weigh
// less, because the counts are halved from time to time.
type histogram struct {
	count   [numBuckets]float32
	total   float32
	highest int // highest bucket in use
}

// add counts v. NaN and values up to 1 count in the lowest bucket.
func (h *histogram) add(v float64) {
	i := bucketOf(v)
	h.count[i]++
	h.total++
	h.highest = max(h.highest, i)
	if h.total > 2*decaySamples {
		h.decay()
	}
}

// decay halves all counts and clears those that become negligible.
func (h *histogram) decay() {
	h.total, h.highest = 0, 0
	for i := range h.count {
		h.count[i] /= 2
		if h.count[i] < 0.05 {
			h.count[i] = 0
			continue
		}
		h.total += h.count[i]
		h.highest = i
	}
}

// percentile returns the upper bound of the lowest bucket up to which the fraction
// p of the samples lie, or 0 without samples.
func (h *histogram) percentile(p float64) float64 {
	if h.total == 0 {
		return 0
	}
	want := float32(p) * h.total
	var sum float32
	for i := 0; i <= h.highest; i++ {
		sum += h.count[i]
		if sum >= want && sum > 0 {
			return bucketBound(i)
		}
	}
	return bucketBound(h.highest)
}

// bucketOf returns the bucket of v, which is limited to 1e12.
func bucketOf(v float64) int {
	if !(v > 1) { // also NaN
		return 0
	}
	i := int(math.Log(math.Min(v, 1e12)) / logBucketGrowth)
	return min(i+1, numBuckets-1)
}

// bucketBound returns the upper bound of bucket i.
func bucketBound(i int) float64 { return math.Exp(float64(i) * logBucketGrowth) }
