package capacity

import "fmt"

// The target size of a deployment, and the bounds that each role must meet at
// that size.
const (
	targetWorkers = 4300.0
	targetZones   = 7.0
	targetTasks   = 35000.0
	targetStarts  = 750.0           // task starts per second at the peak
	targetJobs    = 83000.0 / 86400 // jobs per second, from 83,000 a day
	targetShards  = 70.0

	instancesPerZone = targetShards / targetZones // each instance owns one shard
	workersPerShard  = targetWorkers / targetShards
	tasksPerShard    = targetTasks / targetShards
	peersInZone      = 2*instancesPerZone - 1 // each instance runs an entry and a scheduler; a process does not count itself
	upstreamsInZone  = 10000 / targetZones
	totalInstances   = targetZones * instancesPerZone

	boundMilliCores      = 33.0 // 3.3% of a core
	boundMemoryMB        = 64.0
	boundNetworkBytes    = 6000.0 // bytes per second
	boundConfigSeconds   = 8.0
	boundTakeoverSeconds = 5.0
	boundTableRows       = 400.0 // table rows per second, for a target of several hundred
)

// Names of the measured series. They are also the names of the plot files.
const (
	SchedulerCPUWorkers    = "scheduler-cpu-workers"
	SchedulerBytesWorkers  = "scheduler-bytes-workers"
	SchedulerMemoryWorkers = "scheduler-memory-workers"
	SchedulerCPUTasks      = "scheduler-cpu-tasks"
	SchedulerBytesTasks    = "scheduler-bytes-tasks"
	SchedulerMemoryTasks   = "scheduler-memory-tasks"
	PeerCPU                = "peer-cpu-peers"
	PeerBytes              = "peer-bytes-peers"
	EntryMemoryUpstreams   = "entry-memory-upstreams"
	BundleSeconds          = "bundle-seconds-instances"
	TakeoverSeconds        = "takeover-seconds-tasks"
	JournalRows            = "journal-rows-starts"
)

// estimates are the rows of the page's table of roles, in order.
var estimates = []estimate{
	{
		role: "scheduler, owner of one shard", quantity: "processor", unit: "millicores", bound: boundMilliCores,
		terms:     []term{{series: SchedulerCPUWorkers, size: workersPerShard}, {series: SchedulerCPUTasks, size: tasksPerShard, slopeOnly: true}, {series: PeerCPU, size: peersInZone, slopeOnly: true}},
		mechanism: "one exchange per worker for all its runs; placement over an index",
	},
	{
		role: "scheduler, owner of one shard", quantity: "network", unit: "bytes/s", bound: boundNetworkBytes,
		terms:     []term{{series: SchedulerBytesWorkers, size: workersPerShard}, {series: SchedulerBytesTasks, size: tasksPerShard, slopeOnly: true}, {series: PeerBytes, size: peersInZone, slopeOnly: true}},
		mechanism: "reports of what changed only; thin heartbeats between zones",
	},
	{
		role: "scheduler, owner of one shard", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: SchedulerMemoryWorkers, size: workersPerShard}, {series: SchedulerMemoryTasks, size: tasksPerShard, slopeOnly: true}},
		mechanism: "state of one shard only; bounded reasons and observations",
	},
	{
		role: "scheduler, standby and operator API", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: SchedulerMemoryWorkers, size: 0}},
		mechanism: "a standby keeps no copy; it reads snapshot and tail when it takes over",
	},
	{
		role: "scheduler, standby and operator API", quantity: "takeover", unit: "s", bound: boundTakeoverSeconds,
		terms:     []term{{series: TakeoverSeconds, size: tasksPerShard}},
		mechanism: "heartbeats, one conditional owner row, snapshot and tail",
	},
	{
		role: "entry", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: EntryMemoryUpstreams, size: upstreamsInZone}},
		mechanism: "one immutable routing snapshot per version of a shard's list",
	},
	{
		role: "membership", quantity: "network of one process", unit: "bytes/s", bound: boundNetworkBytes,
		terms:     []term{{series: PeerBytes, size: peersInZone}},
		mechanism: "full heartbeats in the zone, a few peers per other zone",
	},
	{
		role: "bundle distribution", quantity: "in force everywhere", unit: "s", bound: boundConfigSeconds,
		terms:     []term{{series: BundleSeconds, size: totalInstances}},
		mechanism: "poll of one small row, newest version in every heartbeat",
	},
	{
		role: "journal and snapshots", quantity: "table rows written", unit: "rows/s", bound: boundTableRows,
		terms:     []term{{series: JournalRows, size: 0, multiplier: targetJobs}, {series: JournalRows, size: targetStarts, slopeOnly: true}},
		mechanism: "group commit: one row for all decisions of a window",
	},
}

// term evaluates the fitted line of one series at a size.
type term struct {
	series     string  // name of the series
	size       float64 // size at which the line is evaluated
	multiplier float64 // factor of the result; 0 means 1
	slopeOnly  bool    // count only slope times size, because another term contains the intercept
}

// estimate is the need of one role for one quantity at the target size, as a
// sum of terms.
type estimate struct {
	role, quantity, unit string
	terms                []term
	bound                float64 // 0 means no bound
	mechanism            string
}

// boundText formats the bound with its unit.
func (e *estimate) boundText() string {
	if e.bound == 0 {
		return ""
	}
	return decimal(e.bound) + " " + e.unit
}

// value returns the sum of the terms and a description of how it was computed.
// ok is false if a series was not measured.
func (e *estimate) value(r *Results) (v float64, derivation string, ok bool) {
	for i, t := range e.terms {
		s := r.Find(t.series)
		if s == nil {
			return 0, "", false
		}
		if i > 0 {
			derivation += " + "
		}
		v += t.value(s)
		derivation += t.explanation(s)
	}
	return v, derivation, true
}

func (t *term) effectiveMultiplier() float64 {
	if t.multiplier == 0 {
		return 1
	}
	return t.multiplier
}

// nonIncreasing reports whether the series does not rise with size. A falling
// line must not be extrapolated to the target size, so the largest measured
// value is used instead. With slopeOnly, a falling line counts as zero.
func (t *term) nonIncreasing(s *Series) bool { return s.Fit.Slope <= 0 && !t.slopeOnly }

// value evaluates the term.
func (t *term) value(s *Series) float64 {
	f := s.Fit
	if t.nonIncreasing(s) {
		f = Fit{Intercept: s.maxY()}
	}
	if t.slopeOnly {
		f = Fit{Slope: max(f.Slope, 0)}
	}
	return t.effectiveMultiplier() * f.ValueAt(t.size)
}

// explanation returns how value is computed, for the page.
func (t *term) explanation(s *Series) string {
	explanation := fmt.Sprintf("%s at %s", t.series, decimal(t.size))
	if t.slopeOnly {
		explanation = fmt.Sprintf("rise of %s to %s", t.series, decimal(t.size))
	}
	if t.nonIncreasing(s) {
		explanation = "largest of " + t.series + ", which does not rise"
	}
	if t.multiplier != 0 {
		explanation += " × " + decimal(t.multiplier)
	}
	return explanation
}
