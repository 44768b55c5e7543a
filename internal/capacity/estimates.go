package capacity

import "fmt"

// The size to build for.
const (
	targetWorkers     = 4300.0
	targetZones       = 7.0
	targetTasks       = 35000.0
	targetStarts      = 750.0 // a second, at the peak
	targetShards      = 70.0
	targetConfigs     = 2700.0 // a day
	targetTenants     = 77.0
	workersPerShard   = targetWorkers / targetShards
	tasksPerShard     = targetTasks / targetShards
	instancesPerZone  = 10.0 // one shard each
	peersInZone       = 2*instancesPerZone - 1
	upstreamsPerZone  = 10000.0 / targetZones
	secondsPerDay     = 86400.0
	boundMilliCores   = 33.0 // 3.3% of a core
	boundMemoryMB     = 64.0
	boundBytesPerSec  = 6000.0
	boundConfigSec    = 8.0
	boundTakeoverSec  = 5.0
	boundWritesPerSec = 400.0 // several hundred
)

// term is one measured line and the size at which it is read.
type term struct {
	series string
	x      float64
	scale  float64 // 0 for 1
	rise   bool    // only slope times x, where the intercept is counted elsewhere
}

// estimate is one quantity of one role at the target size.
type estimate struct {
	role, quantity, unit string
	terms                []term
	bound                float64 // 0 for none
	mechanism            string
}

func (e *estimate) boundText() string {
	if e.bound == 0 {
		return ""
	}
	return number(e.bound) + " " + e.unit
}

// value sums the terms. It returns false where a series is missing.
func (e *estimate) value(r *Results) (v float64, how string, ok bool) {
	for i, t := range e.terms {
		s := r.Find(t.series)
		if s == nil {
			return 0, "", false
		}
		f := s.Fit
		if t.rise {
			f.Intercept = 0
		}
		scale := t.scale
		if scale == 0 {
			scale = 1
		}
		v += scale * f.At(t.x)
		if i > 0 {
			how += " + "
		}
		how += fmt.Sprintf("%s at %s", t.series, number(t.x))
		if scale != 1 {
			how += fmt.Sprintf(" × %s", number(scale))
		}
	}
	return v, how, true
}

// estimates are worked out in the order of the page.
var estimates = []estimate{}
