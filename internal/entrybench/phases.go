package entrybench

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkport/internal/job"
)

// Bounds of the measurements, from the targets of the product, and the load of
// the memory measurement.
const (
	minThroughputRatio    = 0.60
	maxAddedMedian        = 150 * time.Microsecond
	maxAddedP99           = time.Millisecond
	minGoodputRatio       = 0.90
	minAcceptedInTime     = 0.999
	maxRefusalLatency     = 5 * time.Millisecond
	maxNeighbourSlowdown  = 1.5
	maxAttemptsPerRequest = 1.1
	maxMemoryBytes        = 64 << 20
	memoryRequests        = 5000
	memoryOrganisations   = 77
	memoryUpstreams       = 700
)

// Parameters of the load.
const (
	workers             = 16
	concurrency         = 64
	overloadSlots       = 8 * 4 // four workers with eight slots each, in the overload measurements
	overloadServiceTime = 10 * time.Millisecond
	// standinServiceTime is the service time in examples/dosanko/standin.json.
	standinServiceTime = 2 * time.Millisecond
	requestTimeout     = 250 * time.Millisecond
	warmUpTime         = 500 * time.Millisecond
	measureTime        = 3 * time.Second
	maxOpenRequests    = 4000
	percent            = 100.0
)

// Run makes every measurement, prints the figures to w with a verdict for each
// that has a bound, and reports whether every bound was met.
func Run(w io.Writer) (bool, error) {
	r := &report{w: w}
	fmt.Fprintf(w, "one process, %d threads, loopback\n", runtime.GOMAXPROCS(0))
	for _, phase := range []func(*report) error{measureThroughput, measureOverload, measureFairness, measureBrownOut, measureMemory} {
		if err := phase(r); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(w, "\n%d bounds missed\n", r.missed)
	return r.missed == 0, nil
}

// measureThroughput compares the throughput, the latency and the allocations of
// requests through the entry with those of direct calls to the upstream.
func measureThroughput(r *report) error {
	b, err := newRig(workers)
	if err != nil {
		return err
	}
	defer b.close()
	c := newClient(concurrency, nil)
	defer c.close()
	q := request{organisation: "counter", timeout: time.Second}
	r.section(fmt.Sprintf("throughput, %d requests at once", concurrency))
	closedLoop(c, b.upstreamURL, q, concurrency, warmUpTime)
	closedLoop(c, b.entryURL, q, concurrency, warmUpTime)
	_, direct := closedLoop(c, b.upstreamURL, q, concurrency, measureTime/2)
	_, entry := closedLoop(c, b.entryURL, q, concurrency, measureTime/2)
	r.figure("an upstream without work, direct", "%.0f/s", direct)
	r.figure("an upstream without work, through the entry", "%.0f/s, %.0f%% of direct", entry, percent*entry/direct)
	b.upstream.serviceTime.Store(int64(standinServiceTime))
	_, direct = closedLoop(c, b.upstreamURL, q, concurrency, measureTime)
	through, entry := closedLoop(c, b.entryURL, q, concurrency, measureTime)
	r.figure(fmt.Sprintf("stand-in upstream of %v, direct", standinServiceTime), "%.0f/s", direct)
	r.bound("the same through the entry", entry >= minThroughputRatio*direct, "%.0f/s, %.0f%% of direct, at least %.0f%%",
		entry, percent*entry/direct, percent*minThroughputRatio)
	r.figure("refused, broken, late", "%d, %d, %d", through.refused.TotalCount(), through.broken, through.late)
	r.section("latency at half of that load")
	d := fixedRate(c, b.upstreamURL, q, entry/2, concurrency, measureTime)
	e := fixedRate(c, b.entryURL, q, entry/2, concurrency, measureTime)
	checkAddedLatency(r, "p50", d.ok, e.ok, 50, maxAddedMedian)
	checkAddedLatency(r, "p99", d.ok, e.ok, 99, maxAddedP99)
	return measureAllocations(r, b, c, q)
}

// checkAddedLatency checks the latency that the entry adds at a percentile.
func checkAddedLatency(r *report, name string, direct, entry *hdrhistogram.Histogram, p float64, limit time.Duration) {
	a, b := latencyAt(direct, p), latencyAt(entry, p)
	r.bound("added "+name, b-a < limit, "%v (direct %v, entry %v), under %v", b-a, a, b, limit)
}

// measureAllocations counts the heap objects that are allocated per request,
// with requests sent one after another.
func measureAllocations(r *report, b *rig, c *client, q request) error {
	const n = 500
	count := func(f func()) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range n {
			f()
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / n
	}
	r.section("allocations")
	direct := count(func() { c.get(b.upstreamURL, q) })
	entry := count(func() { c.get(b.entryURL, q) })
	r.figure("per request", "%.1f direct, %.1f through the entry, %.1f added", direct, entry, entry-direct)
	var found bool
	read := count(func() { found = b.entry.Snapshot().Service(service) != nil })
	// The bound is not 0 because other goroutines of the process allocate too.
	r.bound("snapshot read", found && read < 0.05, "%.3f", read)
	return nil
}

// measureOverload sends requests at twice the upstreams' capacity, and checks
// goodput, the share of accepted latency-critical requests that are answered in
// time, and how long the entry takes to refuse a request.
func measureOverload(r *report) error {
	b, c, capacity, err := newSaturatedRig()
	if err != nil {
		return err
	}
	defer b.close()
	defer c.close()
	r.section("overload: twice the capacity, half latency-critical, half batch")
	r.figure("capacity, direct calls on every slot", "%.0f/s", capacity)
	var latency, batch *outcomeCounts
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		latency = openLoop(c, b.entryURL, request{"counter", job.LatencyCritical, requestTimeout}, capacity, maxOpenRequests, measureTime)
	})
	wg.Go(func() {
		batch = openLoop(c, b.entryURL, request{"renewals", job.BestEffort, requestTimeout}, capacity, maxOpenRequests, measureTime)
	})
	wg.Wait()
	took := time.Since(start)
	good := float64(latency.ok.TotalCount()+batch.ok.TotalCount()) / took.Seconds()
	r.bound("goodput", good >= minGoodputRatio*capacity, "%.0f/s, %.0f%% of capacity, at least %.0f%%",
		good, percent*good/capacity, percent*minGoodputRatio)
	accepted := float64(latency.ok.TotalCount() + latency.late + latency.broken)
	inTime := float64(latency.ok.TotalCount()) / max(accepted, 1)
	r.bound("accepted latency-critical in time", inTime >= minAcceptedInTime, "%.3f%% of %.0f, at least %.1f%%",
		percent*inTime, accepted, percent*minAcceptedInTime)
	r.figure("latency-critical sent, answered, refused", "%d, %d, %d", latency.sent, latency.ok.TotalCount(), latency.refused.TotalCount())
	r.figure("batch sent, answered, refused", "%d, %d, %d", batch.sent, batch.ok.TotalCount(), batch.refused.TotalCount())
	latency.refused.Merge(batch.refused)
	p99 := latencyAt(latency.refused, 99)
	r.bound("refusals", p99 < maxRefusalLatency, "p99 %v, max %v, under %v", p99, time.Duration(latency.refused.Max()), maxRefusalLatency)
	return nil
}

// newSaturatedRig returns a rig whose upstreams hold each request for a while,
// a client, and the upstreams' capacity: the throughput of direct calls on
// every slot.
func newSaturatedRig() (*rig, *client, float64, error) {
	b, err := newRig(overloadSlots / 8)
	if err != nil {
		return nil, nil, 0, err
	}
	b.upstream.serviceTime.Store(int64(overloadServiceTime))
	c := newClient(maxOpenRequests, nil)
	q := request{organisation: "counter", timeout: time.Second}
	_, capacity := closedLoop(c, b.upstreamURL, q, overloadSlots, measureTime/2)
	closedLoop(c, b.entryURL, q, overloadSlots, warmUpTime)
	return b, c, capacity, nil
}

// measureFairness checks that one organisation's flood of requests raises the
// 99th percentile latency of the others at most by the factor
// maxNeighbourSlowdown. The flood is sent at twice the capacity, and each of
// the others sends at a tenth of it.
func measureFairness(r *report) error {
	b, c, capacity, err := newSaturatedRig()
	if err != nil {
		return err
	}
	defer b.close()
	defer c.close()
	const others = 4
	load := func() *hdrhistogram.Histogram {
		all := newOutcomeCounts()
		var wg sync.WaitGroup
		for i := range others {
			wg.Go(func() {
				counts := openLoop(c, b.entryURL, request{fmt.Sprintf("dealer%d", i), job.LatencyCritical, requestTimeout}, capacity/10, maxOpenRequests, measureTime)
				all.mu.Lock()
				defer all.mu.Unlock()
				all.ok.Merge(counts.ok)
				all.refused.Merge(counts.refused)
				all.broken += counts.broken + counts.late
			})
		}
		wg.Wait()
		r.figure("of the others refused, broken or late", "%d, %d", all.refused.TotalCount(), all.broken)
		return all.ok
	}
	r.section(fmt.Sprintf("one organisation's flood: %d others at a tenth of the capacity each", others))
	alone := load()
	var flood *outcomeCounts
	var wg sync.WaitGroup
	wg.Go(func() {
		flood = openLoop(c, b.entryURL, request{"flood", job.LatencyCritical, requestTimeout}, 2*capacity, maxOpenRequests, measureTime)
	})
	duringFlood := load()
	wg.Wait()
	ratio := float64(latencyAt(duringFlood, 99)) / float64(latencyAt(alone, 99))
	r.figure("flood sent, answered, refused", "%d, %d, %d", flood.sent, flood.ok.TotalCount(), flood.refused.TotalCount())
	r.bound("the others' p99", ratio <= maxNeighbourSlowdown, "%v without the flood, %v during it, %.2fx, at most %.1fx",
		latencyAt(alone, 99), latencyAt(duringFlood, 99), ratio, maxNeighbourSlowdown)
	return nil
}

// measureBrownOut makes every upstream break the connection, and checks that
// retries do not multiply the requests that reach the upstreams.
func measureBrownOut(r *report) error {
	b, err := newRig(workers)
	if err != nil {
		return err
	}
	defer b.close()
	c := newClient(concurrency, nil)
	defer c.close()
	closedLoop(c, b.entryURL, request{organisation: "counter", timeout: time.Second}, concurrency, warmUpTime)
	b.upstream.breakConnections.Store(true)
	before := b.upstream.arrived.Load()
	counts, _ := closedLoop(c, b.entryURL, request{organisation: "counter", timeout: time.Second}, concurrency, measureTime/2)
	arrived := b.upstream.arrived.Load() - before
	ratio := float64(arrived) / float64(counts.sent)
	r.section("brown-out: every upstream breaks the connection, idempotent requests")
	r.bound("attempts per request", ratio <= maxAttemptsPerRequest && arrived > 0, "%.3f (%d of %d), at most %.1f", ratio, arrived, counts.sent, maxAttemptsPerRequest)
	return nil
}
