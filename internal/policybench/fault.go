package policybench

import (
	"math/rand/v2"
	"time"
)

// Fault names the fault that is injected into a run.
type Fault string

// The faults.
const (
	NoFault        Fault = "none"
	WorkersDie     Fault = "workers-die"
	NoiseWave      Fault = "noise-wave"
	ReportsLag     Fault = "reports-lag"
	WorkersFailAll Fault = "workers-fail-all"
	Cancellations  Fault = "cancellations"
	TableOutage    Fault = "table-away"
)

// Faults returns every fault.
func Faults() []Fault {
	return []Fault{WorkersDie, NoiseWave, ReportsLag, WorkersFailAll, Cancellations, TableOutage}
}

const (
	minReportDelay, maxReportDelay         = 2 * time.Second, 8 * time.Second
	minLongReportDelay, maxLongReportDelay = 25 * time.Second, 60 * time.Second
	workerDeaths                           = 8               // workers that die in a run
	deadDuration                           = 8 * time.Minute // until a dead worker is restarted
	failingWorkers                         = 4               // workers that fail every run
	cancelledJobFraction                   = 0.6
	unreachableDelay                       = 3 * time.Second  // until the policy sees a dead worker as unreachable
	leaseExpiryDelay                       = 10 * time.Second // until the leases on a dead worker's runs expire
)

// reportDelay returns a random delay until a worker's report reaches the policy, rounded
// down to whole ticks.
func (f Fault) reportDelay(rng *rand.Rand) time.Duration {
	lo, hi := minReportDelay, maxReportDelay
	if f == ReportsLag {
		lo, hi = minLongReportDelay, maxLongReportDelay
	}
	return (lo + time.Duration(rng.Int64N(int64(hi-lo)))).Truncate(tick)
}

// activeAt reports whether a fault that lasts for a while is present at a
// fraction of the run.
func (f Fault) activeAt(at float64) bool {
	switch f {
	case NoiseWave:
		return at > 0.4 && at < 0.75
	case WorkersFailAll:
		return at > 0.15
	case TableOutage:
		return at > 0.6 && at < 0.72
	default:
		return false
	}
}
