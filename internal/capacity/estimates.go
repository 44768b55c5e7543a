package capacity

import "fmt"

// The size to build for, and the bounds at that size.
const (
	targetWorkers = 4300.0
	targetZones   = 7.0
	targetTasks   = 35000.0
	targetStarts  = 750.0           // a second, at the peak
	targetJobs    = 83000.0 / 86400 // a second
	targetShards  = 70.0

	instancesPerZone = targetShards / targetZones // one shard each
	workersPerShard  = targetWorkers / targetShards
	tasksPerShard    = targetTasks / targetShards
	peersInZone      = 2*instancesPerZone - 1 // an entry and a scheduler each
	upstreamsInZone  = 10000 / targetZones
	instancesInAll   = targetZones * instancesPerZone

	boundMilliCores  = 33.0 // 3.3% of a core
	boundMemoryMB    = 64.0
	boundBytes       = 6000.0 // a second
	boundConfigSec   = 8.0
	boundTakeoverSec = 5.0
	boundWrites      = 400.0 // rows a second, several hundred
)

// The names of the series.
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

// estimates are the lines of the page, in its order.
var estimates = []estimate{
	{
		role: "scheduler, owner of one shard", quantity: "processor", unit: "millicores", bound: boundMilliCores,
		terms:     []term{{series: SchedulerCPUWorkers, x: workersPerShard}, {series: SchedulerCPUTasks, x: tasksPerShard, rise: true}, {series: PeerCPU, x: peersInZone, rise: true}},
		mechanism: "one exchange per worker for all its runs; placement over an index",
	},
	{
		role: "scheduler, owner of one shard", quantity: "network", unit: "bytes/s", bound: boundBytes,
		terms:     []term{{series: SchedulerBytesWorkers, x: workersPerShard}, {series: SchedulerBytesTasks, x: tasksPerShard, rise: true}, {series: PeerBytes, x: peersInZone, rise: true}},
		mechanism: "reports of what changed only; thin heartbeats between zones",
	},
	{
		role: "scheduler, owner of one shard", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: SchedulerMemoryWorkers, x: workersPerShard}, {series: SchedulerMemoryTasks, x: tasksPerShard, rise: true}},
		mechanism: "state of one shard only; bounded reasons and observations",
	},
	{
		role: "scheduler, standby and operator API", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: SchedulerMemoryWorkers, x: 0}},
		mechanism: "a standby keeps no copy; it reads snapshot and tail when it takes over",
	},
	{
		role: "scheduler, standby and operator API", quantity: "takeover", unit: "s", bound: boundTakeoverSec,
		terms:     []term{{series: TakeoverSeconds, x: tasksPerShard}},
		mechanism: "heartbeats, one conditional owner row, snapshot and tail",
	},
	{
		role: "entry", quantity: "memory", unit: "MB", bound: boundMemoryMB,
		terms:     []term{{series: EntryMemoryUpstreams, x: upstreamsInZone}},
		mechanism: "one immutable routing snapshot per version of a shard's list",
	},
	{
		role: "membership", quantity: "network of one process", unit: "bytes/s", bound: boundBytes,
		terms:     []term{{series: PeerBytes, x: peersInZone}},
		mechanism: "full heartbeats in the zone, a few peers per other zone",
	},
	{
		role: "bundle distribution", quantity: "in force everywhere", unit: "s", bound: boundConfigSec,
		terms:     []term{{series: BundleSeconds, x: instancesInAll}},
		mechanism: "poll of one small row, newest version in every heartbeat",
	},
	{
		role: "journal and snapshots", quantity: "table rows written", unit: "rows/s", bound: boundWrites,
		terms:     []term{{series: JournalRows, x: 0, scale: targetJobs}, {series: JournalRows, x: targetStarts, rise: true}},
		mechanism: "group commit: one row for all decisions of a window",
	},
}

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
		if i > 0 {
			how += " + "
		}
		v += t.value(s)
		how += t.text(s)
	}
	return v, how, true
}

func (t *term) factor() float64 {
	if t.scale == 0 {
		return 1
	}
	return t.scale
}

// flat reports whether the series does not rise, so that its line must not be
// extended downwards: its largest point stands for every size.
func (t *term) flat(s *Series) bool { return s.Fit.Slope <= 0 && !t.rise }

func (t *term) value(s *Series) float64 {
	f := s.Fit
	if t.flat(s) {
		f = Fit{Intercept: s.largest()}
	}
	if t.rise {
		f = Fit{Slope: max(f.Slope, 0)}
	}
	return t.factor() * f.At(t.x)
}

func (t *term) text(s *Series) string {
	text := fmt.Sprintf("%s at %s", t.series, number(t.x))
	if t.rise {
		text = fmt.Sprintf("rise of %s to %s", t.series, number(t.x))
	}
	if t.flat(s) {
		text = "largest of " + t.series + ", which does not rise"
	}
	if t.scale != 0 {
		text += " × " + number(t.scale)
	}
	return text
}
