package policybench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one simulated case.
type Result struct {
	Deployment string `json:"deployment"`
	Level      string `json:"level"`
	Fault      Fault  `json:"fault"`
	Policy     Policy `json:"policy"`
	Seed       uint64 `json:"seed"`

	P50    float64 `json:"p50_ms"` // of the checked service's requests
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p999_ms"`
	Target float64 `json:"target_ms"`

	Windows                 int `json:"windows"`
	ViolatingWindows        int `json:"violating"` // 99th percentile over target, all replicas together
	ReplicaWindows          int `json:"replica_windows"`
	ViolatingReplicaWindows int `json:"replica_violating"`

	CoreHours    float64 `json:"core_hours"` // batch work of finished tasks
	Submitted    int     `json:"submitted"`  // batch tasks
	Finished     int     `json:"finished"`
	Cancelled    int     `json:"cancelled"`
	SetAside     int     `json:"set_aside"`
	DeadlinesDue int     `json:"due"`       // deadlines within the run
	DeadlinesMet int     `json:"met"`       // of those, met
	Evictions    int     `json:"evictions"` // moves, preemptions and evictions
	Throttles    int     `json:"throttles"`
	Failures     int     `json:"failures"`
	Utilisation  float64 `json:"utilisation"`  // processors used, relative to capacity
	UrgentP99    float64 `json:"urgent_p99_s"` // from submission to start of urgent tasks

	Overcommitted int `json:"overcommitted"` // worker-seconds
	Lost          int `json:"lost"`          // tasks that are neither queued, running nor finished
	Duplicated    int `json:"doubled"`       // tasks that run twice or finished twice
	Rejected      int `json:"rejected"`      // decisions that did not match the state of their task
}

// evictionsPerTask returns the evictions per finished task.
func (r *Result) evictionsPerTask() float64 { return ratio(float64(r.Evictions), float64(r.Finished)) }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

const (
	windowTicks = 30 // over which the service's 99th percentile is compared with its target
	// tailToMedian is the ratio of the 99th percentile to the median of one
	// replica's latencies, which are assumed to be log-normal.
	tailToMedian     = 3.0
	normalQuantile99 = 2.326 // 99th percentile of the standard normal distribution
)

var (
	logSigma        = math.Log(tailToMedian) / normalQuantile99
	sampleQuantiles = func() []float64 {
		var q []float64
		for i := range 200 {
			q = append(q, (float64(i)+0.5)/200)
		}
		return append(q, 0.9985, 0.9995)
	}()
	latencyFactors = func() []float64 {
		var f []float64
		for _, q := range sampleQuantiles {
			z := math.Sqrt2 * math.Erfinv(2*q-1)
			f = append(f, math.Exp(logSigma*z)/tailToMedian)
		}
		return f
	}()
)

// latencyMeter measures the latency of the checked service.
type latencyMeter struct {
	target               float64 // seconds
	histogram            *hdrhistogram.Histogram
	requests, overTarget float64 // in the current window, in units of load
	ticks                int
	replicas             map[*fakeRun]*replicaWindow
	result               *Result
}

// replicaWindow sums up one replica's fractions of requests over the target.
type replicaWindow struct {
	overTargetSum float64
	ticks         int
}

func newLatencyMeter(target float64, r *Result) *latencyMeter {
	return &latencyMeter{
		target: target, result: r,
		histogram: hdrhistogram.New(1, 60_000_000, 3),
		replicas:  map[*fakeRun]*replicaWindow{},
	}
}

// addTick adds one replica's tick to the current window.
func (m *latencyMeter) addTick(run *fakeRun) {
	over := fractionOverTarget(run.p99 / m.target)
	m.requests += run.load
	m.overTarget += run.load * over
	w := m.replicas[run]
	if w == nil {
		w = &replicaWindow{}
		m.replicas[run] = w
	}
	w.overTargetSum += over
	w.ticks++
}

// fractionOverTarget returns the fraction of requests over the target if the 99th
// percentile is ratio times the target.
func fractionOverTarget(ratio float64) float64 {
	median := ratio / tailToMedian
	return 0.5 * math.Erfc(-math.Log(median)/logSigma/math.Sqrt2)
}

// recordLatencies adds the latency distribution that follows from a replica's 99th
// percentile to the histogram, weighted by its load.
func (m *latencyMeter) recordLatencies(run *fakeRun) {
	weight := int64(math.Ceil(run.load * 100))
	for _, f := range latencyFactors {
		us := run.p99 * f * 1e6
		_ = m.histogram.RecordValues(int64(math.Min(us, 59e6)), weight)
	}
}

// endTick ends the tick and, after windowTicks, the window. A window is
// violating if more than 1% of its requests are over the target.
func (m *latencyMeter) endTick() {
	m.ticks++
	if m.ticks%windowTicks != 0 {
		return
	}
	m.result.Windows++
	if m.requests == 0 || m.overTarget/m.requests > 0.01 {
		m.result.ViolatingWindows++
	}
	m.requests, m.overTarget = 0, 0
	for _, w := range m.replicas {
		m.result.ReplicaWindows++
		if w.overTargetSum/float64(w.ticks) > 0.01 {
			m.result.ViolatingReplicaWindows++
		}
	}
	clear(m.replicas)
}
