package policybench

import (
	"math/rand/v2"
	"time"
)

// Fault is what goes wrong in a run of the bench.
type Fault string

// The faults.
const (
	NoFault       Fault = "none"
	WorkersDie    Fault = "workers-die"
	NoiseWave     Fault = "noise-wave"
	ReportsLag    Fault = "reports-lag"
	WorkersFail   Fault = "workers-fail-all"
	Cancellations Fault = "cancellations"
	TableAway     Fault = "table-away"
)

// Faults returns every fault.
func Faults() []Fault {
	return []Fault{WorkersDie, NoiseWave, ReportsLag, WorkersFail, Cancellations, TableAway}
}

const (
	minLag, maxLag         = 2 * time.Second, 8 * time.Second
	minLongLag, maxLongLag = 25 * time.Second, 60 * time.Second
	deaths                 = 8
	deadFor                = 8 * time.Minute
	failing                = 4
	cancelShare            = 0.6
	noticeIn               = 3 * time.Second  // until a dead worker is known to be unreachable
	lapseIn                = 10 * time.Second // until its grant has lapsed
)

// lag draws a report's delay.
func (f Fault) lag(rng *rand.Rand) time.Duration {
	lo, hi := minLag, maxLag
	if f == ReportsLag {
		lo, hi = minLongLag, maxLongLag
	}
	return (lo + time.Duration(rng.Int64N(int64(hi-lo)))).Truncate(tick)
}

// during reports whether a fault with a duration is present at a fraction of
// the day.
func (f Fault) during(at float64) bool {
	switch f {
	case NoiseWave:
		return at > 0.4 && at < 0.75
	case WorkersFail:
		return at > 0.15
	case TableAway:
		return at > 0.6 && at < 0.72
	default:
		return false
	}
}
