package policybench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run of the bench measured.
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

	Windows          int `json:"windows"`
	Violating        int `json:"violating"` // 99th percentile over target, all replicas together
	ReplicaWindows   int `json:"replica_windows"`
	ReplicaViolating int `json:"replica_violating"`

	CoreHours   float64 `json:"core_hours"` // batch work of finished tasks
	Submitted   int     `json:"submitted"`  // batch tasks
	Finished    int     `json:"finished"`
	Cancelled   int     `json:"cancelled"`
	SetAside    int     `json:"set_aside"`
	Due         int     `json:"due"` // deadlines that fell into the run
	Met         int     `json:"met"`
	Evictions   int     `json:"evictions"` // moves, preemptions and evictions
	Throttles   int     `json:"throttles"`
	Failures    int     `json:"failures"`
	Utilisation float64 `json:"utilisation"` // processors used over capacity
	UrgentP99   float64 `json:"urgent_p99_s"`

	Overcommitted int `json:"overcommitted"` // worker-seconds
	Lost          int `json:"lost"`
	Doubled       int `json:"doubled"`
	Rejected      int `json:"rejected"` // decisions that the applier could not follow
}

// perFinished is the evictions per finished task.
func (r *Result) perFinished() float64 { return ratio(float64(r.Evictions), float64(r.Finished)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

const (
	windowTicks = 30 // of the service's 99th percentile
	// spread is the 99th percentile of one replica's requests over their
	// median; latencies are taken to be log-normal.
	spread = 3.0
	z99    = 2.326
)

var (
	sigma     = math.Log(spread) / z99
	quantiles = func() []float64 {
		var q []float64
		for i := range 200 {
			q = append(q, (float64(i)+0.5)/200)
		}
		return append(q, 0.9985, 0.9995)
	}()
	factors = func() []float64 {
		var f []float64
		for _, q := range quantiles {
			z := math.Sqrt2 * math.Erfinv(2*q-1)
			f = append(f, math.Exp(sigma*z)/spread)
		}
		return f
	}()
)

// meter measures the checked service.
type meter struct {
	target        float64 // seconds
	hist          *hdrhistogram.Histogram
	requests, bad float64 // in the window
	ticks         int
	replicas      map[*fakeRun]*replicaWindow
	r             *Result
}

type replicaWindow struct {
	sum   float64
	ticks int
}

func newMeter(target float64, r *Result) *meter {
	return &meter{
		target: target, r: r,
		hist:     hdrhistogram.New(1, 60_000_000, 3),
		replicas: map[*fakeRun]*replicaWindow{},
	}
}

// add counts one replica's tick.
func (m *meter) add(run *fakeRun) {
	over := overTarget(run.p99 / m.target)
	m.requests += run.load
	m.bad += run.load * over
	w := m.replicas[run]
	if w == nil {
		w = &replicaWindow{}
		m.replicas[run] = w
	}
	w.sum += over
	w.ticks++
}

// overTarget is the share of requests over the target where the 99th
// percentile is ratio times the target.
func overTarget(ratio float64) float64 {
	median := ratio / spread
	return 0.5 * math.Erfc(-math.Log(median)/sigma/math.Sqrt2)
}

// sample adds a replica's latencies to the histogram.
func (m *meter) sample(run *fakeRun) {
	weight := int64(math.Ceil(run.load * 100))
	for _, f := range factors {
		us := run.p99 * f * 1e6
		_ = m.hist.RecordValues(int64(math.Min(us, 59e6)), weight)
	}
}

// end closes the tick and, where due, the window.
func (m *meter) end() {
	m.ticks++
	if m.ticks%windowTicks != 0 {
		return
	}
	m.r.Windows++
	if m.requests == 0 || m.bad/m.requests > 0.01 {
		m.r.Violating++
	}
	m.requests, m.bad = 0, 0
	for _, w := range m.replicas {
		m.r.ReplicaWindows++
		if w.sum/float64(w.ticks) > 0.01 {
			m.r.ReplicaViolating++
		}
	}
	clear(m.replicas)
}
