package admission

import "time"

// Tuning of the rates.
const (
	rateWindow = 100 * time.Millisecond // between two updates
	rateWeight = 0.5                    // of the newest window
	rateRise   = 10 * time.Millisecond  // of a window, from which a rise counts
)

// rate is the number of slots that a class takes per second.
type rate struct {
	value float64
	count int
	since time.Time
}

// add counts one slot.
func (r *rate) add(now time.Time) {
	r.settle(now)
	r.count++
}

// settle closes the window when it is over.
func (r *rate) settle(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	d := now.Sub(r.since)
	if d < rateWindow {
		return
	}
	newest := float64(r.count) / d.Seconds()
	weight := rateWeight
	if d > 4*rateWindow || r.value == 0 {
		weight = 1
	}
	r.value += weight * (newest - r.value)
	r.count, r.since = 0, now
}

// perSecond returns the newest estimate. A rise counts before its window is
// over.
func (r *rate) perSecond(now time.Time) float64 {
	r.settle(now)
	if d := now.Sub(r.since); d >= rateRise {
		return max(r.value, float64(r.count)/d.Seconds())
	}
	return r.value
}
