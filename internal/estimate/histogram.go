// Package estimate learns what the tasks of a job family use and how long they
// run, from usage reports and ended runs. It holds no policy.
package estimate

import "math"

const (
	buckets    = 320
	growth     = 1.08 // upper bound of a bucket over that of the one below
	halfWeight = 512  // samples after which older samples weigh half
)

var logGrowth = math.Log(growth)

// histogram counts positive values in logarithmic buckets. Old samples fade.
type histogram struct {
	count [buckets]float32
	total float32
	top   int // highest bucket in use
}

// add counts v. Values that are not finite or not positive count in the lowest
// bucket.
func (h *histogram) add(v float64) {
	i := bucketOf(v)
	h.count[i]++
	h.total++
	h.top = max(h.top, i)
	if h.total > 2*halfWeight {
		h.fade()
	}
}

func (h *histogram) fade() {
	h.total, h.top = 0, 0
	for i := range h.count {
		h.count[i] /= 2
		if h.count[i] < 0.05 {
			h.count[i] = 0
			continue
		}
		h.total += h.count[i]
		h.top = i
	}
}

// percentile returns the upper bound of the bucket that holds the share p of
// the samples, and 0 without samples.
func (h *histogram) percentile(p float64) float64 {
	if h.total == 0 {
		return 0
	}
	want := float32(p) * h.total
	var sum float32
	for i := 0; i <= h.top; i++ {
		sum += h.count[i]
		if sum >= want && sum > 0 {
			return bound(i)
		}
	}
	return bound(h.top)
}

func bucketOf(v float64) int {
	if !(v > 1) { // also NaN
		return 0
	}
	i := int(math.Log(math.Min(v, 1e12)) / logGrowth)
	return min(i+1, buckets-1)
}

func bound(i int) float64 { return math.Exp(float64(i) * logGrowth) }
