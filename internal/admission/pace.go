package admission

import "time"

// Parameters of the rate estimate.
const (
	rateWindow    = 100 * time.Millisecond // least time between two updates
	rateWeight    = 0.5                    // weight of the newest window in the moving average
	minRiseWindow = 10 * time.Millisecond  // age of an unfinished window from which a higher rate is used
)

// rate estimates the number of slots that a class takes per second, as an
// exponentially weighted moving average over windows.
type rate struct {
	average     float64
	count       int
	windowStart time.Time
}

// add counts one taken slot.
func (r *rate) add(now time.Time) {
	r.closeWindow(now)
	r.count++
}

// closeWindow adds the window to the average once it has lasted rateWindow.
// After more than four window lengths, or without an earlier value, the new
// value replaces the average.
func (r *rate) closeWindow(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	d := now.Sub(r.windowStart)
	if d < rateWindow {
		return
	}
	newest := float64(r.count) / d.Seconds()
	weight := rateWeight
	if d > 4*rateWindow || r.average == 0 {
		weight = 1
	}
	r.average += weight * (newest - r.average)
	r.count, r.windowStart = 0, now
}

// perSecond returns the current estimate. It includes the unfinished window if
// that one has a higher rate, so that a rise takes effect early.
func (r *rate) perSecond(now time.Time) float64 {
	r.closeWindow(now)
	if d := now.Sub(r.windowStart); d >= minRiseWindow {
		return max(r.average, float64(r.count)/d.Seconds())
	}
	return r.average
}
