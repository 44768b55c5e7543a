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

// Bounds of the measurements, as the product's targets state them.
const (
	minThroughput   = 0.60
	maxAddedMedian  = 150 * time.Microsecond
	maxAddedTail    = time.Millisecond
	minGoodput      = 0.90
	minInTime       = 0.999
	maxRefusal      = 5 * time.Millisecond
	maxNeighbours   = 1.5
	maxAttempts     = 1.1
	maxMemory       = 64 << 20
	memoryRequests  = 5000
	memoryTenants   = 77
	memoryUpstreams = 700
)

// Sizes of the load.
const (
	workers     = 16
	concurrency = 64
	slotsAll    = 8 * 4 // of the overload's four workers
	held        = 10 * time.Millisecond
	// serviceTime is what examples/dosanko/standin.json gives the service.
	serviceTime = 2 * time.Millisecond
	deadline    = 250 * time.Millisecond
	warmUp      = 500 * time.Millisecond
	span        = 3 * time.Second
	mostOpen    = 4000
	percent     = 100.0
)

// Run makes every measurement, prints figures and verdicts to w, and reports
// whether every bound was met.
func Run(w io.Writer) (bool, error) {
	r := &report{w: w}
	fmt.Fprintf(w, "one process, %d threads, loopback\n", runtime.GOMAXPROCS(0))
	for _, phase := range []func(*report) error{speed, overload, neighbours, brownOut, memory} {
		if err := phase(r); err != nil {
			return false, err
		}
	}
	fmt.Fprintf(w, "\n%d bounds missed\n", r.missed)
	return r.missed == 0, nil
}

// speed compares the entry with direct calls.
func speed(r *report) error {
	b, err := newRig(workers)
	if err != nil {
		return err
	}
	defer b.close()
	c := newClient(concurrency, nil)
	defer c.close()
	q := request{tenant: "counter", timeout: time.Second}
	r.section(fmt.Sprintf("throughput, %d requests at once", concurrency))
	closed(c, b.direct, q, concurrency, warmUp)
	closed(c, b.url, q, concurrency, warmUp)
	_, direct := closed(c, b.direct, q, concurrency, span/2)
	_, entry := closed(c, b.url, q, concurrency, span/2)
	r.figure("an upstream without work, direct", "%.0f/s", direct)
	r.figure("an upstream without work, through the entry", "%.0f/s, %.0f%% of direct", entry, percent*entry/direct)
	b.up.held.Store(int64(serviceTime))
	_, direct = closed(c, b.direct, q, concurrency, span)
	through, entry := closed(c, b.url, q, concurrency, span)
	r.figure(fmt.Sprintf("stand-in upstream of %v, direct", serviceTime), "%.0f/s", direct)
	r.bound("the same through the entry", entry >= minThroughput*direct, "%.0f/s, %.0f%% of direct, at least %.0f%%",
		entry, percent*entry/direct, percent*minThroughput)
	r.figure("refused, broken, late", "%d, %d, %d", through.refused.TotalCount(), through.broken, through.late)
	r.section("latency at half of that load")
	d := paced(c, b.direct, q, entry/2, concurrency, span)
	e := paced(c, b.url, q, entry/2, concurrency, span)
	added(r, "p50", d.ok, e.ok, 50, maxAddedMedian)
	added(r, "p99", d.ok, e.ok, 99, maxAddedTail)
	return allocations(r, b, c, q)
}

func added(r *report, name string, direct, entry *hdrhistogram.Histogram, p float64, most time.Duration) {
	a, b := at(direct, p), at(entry, p)
	r.bound("added "+name, b-a < most, "%v (direct %v, entry %v), under %v", b-a, a, b, most)
}

// allocations counts heap objects per request, sent one after another.
func allocations(r *report, b *rig, c *client, q request) error {
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
	direct := count(func() { c.get(b.direct, q) })
	entry := count(func() { c.get(b.url, q) })
	r.figure("per request", "%.1f direct, %.1f through the entry, %.1f added", direct, entry, entry-direct)
	var found bool
	read := count(func() { found = b.entry.Snapshot().Service(service) != nil })
	// Other goroutines of the process allocate now and then.
	r.bound("snapshot read", found && read < 0.05, "%.3f", read)
	return nil
}

// overload offers twice what the upstreams can do.
func overload(r *report) error {
	b, c, capacity, err := saturated()
	if err != nil {
		return err
	}
	defer b.close()
	defer c.close()
	r.section("overload: twice the capacity, half latency-critical, half batch")
	r.figure("capacity, direct calls on every slot", "%.0f/s", capacity)
	var latency, batch *tally
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		latency = open(c, b.url, request{"counter", job.LatencyCritical, deadline}, capacity, mostOpen, span)
	})
	wg.Go(func() {
		batch = open(c, b.url, request{"renewals", job.BestEffort, deadline}, capacity, mostOpen, span)
	})
	wg.Wait()
	took := time.Since(start)
	good := float64(latency.ok.TotalCount()+batch.ok.TotalCount()) / took.Seconds()
	r.bound("goodput", good >= minGoodput*capacity, "%.0f/s, %.0f%% of capacity, at least %.0f%%",
		good, percent*good/capacity, percent*minGoodput)
	accepted := float64(latency.ok.TotalCount() + latency.late + latency.broken)
	inTime := float64(latency.ok.TotalCount()) / max(accepted, 1)
	r.bound("accepted latency-critical in time", inTime >= minInTime, "%.3f%% of %.0f, at least %.1f%%",
		percent*inTime, accepted, percent*minInTime)
	r.figure("latency-critical sent, answered, refused", "%d, %d, %d", latency.sent, latency.ok.TotalCount(), latency.refused.TotalCount())
	r.figure("batch sent, answered, refused", "%d, %d, %d", batch.sent, batch.ok.TotalCount(), batch.refused.TotalCount())
	latency.refused.Merge(batch.refused)
	p99 := at(latency.refused, 99)
	r.bound("refusals", p99 < maxRefusal, "p99 %v, max %v, under %v", p99, time.Duration(latency.refused.Max()), maxRefusal)
	return nil
}

// saturated returns a rig whose upstreams hold each request for a while, and
// what direct calls on every slot get out of them.
func saturated() (*rig, *client, float64, error) {
	b, err := newRig(slotsAll / 8)
	if err != nil {
		return nil, nil, 0, err
	}
	b.up.held.Store(int64(held))
	c := newClient(mostOpen, nil)
	q := request{tenant: "counter", timeout: time.Second}
	_, capacity := closed(c, b.direct, q, slotsAll, span/2)
	closed(c, b.url, q, slotsAll, warmUp)
	return b, c, capacity, nil
}

// neighbours floods the entry with one tenant's requests.
func neighbours(r *report) error {
	b, c, capacity, err := saturated()
	if err != nil {
		return err
	}
	defer b.close()
	defer c.close()
	const others = 4
	load := func() *hdrhistogram.Histogram {
		all := newTally()
		var wg sync.WaitGroup
		for i := range others {
			wg.Go(func() {
				t := open(c, b.url, request{fmt.Sprintf("dealer%d", i), job.LatencyCritical, deadline}, capacity/10, mostOpen, span)
				all.mu.Lock()
				defer all.mu.Unlock()
				all.ok.Merge(t.ok)
				all.refused.Merge(t.refused)
				all.broken += t.broken + t.late
			})
		}
		wg.Wait()
		r.figure("of the others refused, broken or late", "%d, %d", all.refused.TotalCount(), all.broken)
		return all.ok
	}
	r.section(fmt.Sprintf("one tenant's flood: %d others at a tenth of the capacity each", others))
	quiet := load()
	var flood *tally
	var wg sync.WaitGroup
	wg.Go(func() {
		flood = open(c, b.url, request{"flood", job.LatencyCritical, deadline}, 2*capacity, mostOpen, span)
	})
	noisy := load()
	wg.Wait()
	ratio := float64(at(noisy, 99)) / float64(at(quiet, 99))
	r.figure("flood sent, answered, refused", "%d, %d, %d", flood.sent, flood.ok.TotalCount(), flood.refused.TotalCount())
	r.bound("the others' p99", ratio <= maxNeighbours, "%v quiet, %v in the flood, %.2fx, at most %.1fx",
		at(quiet, 99), at(noisy, 99), ratio, maxNeighbours)
	return nil
}

// brownOut breaks every request off at the upstream.
func brownOut(r *report) error {
	b, err := newRig(workers)
	if err != nil {
		return err
	}
	defer b.close()
	c := newClient(concurrency, nil)
	defer c.close()
	closed(c, b.url, request{tenant: "counter", timeout: time.Second}, concurrency, warmUp)
	b.up.broken.Store(true)
	before := b.up.arrived.Load()
	t, _ := closed(c, b.url, request{tenant: "counter", timeout: time.Second}, concurrency, span/2)
	arrived := b.up.arrived.Load() - before
	ratio := float64(arrived) / float64(t.sent)
	r.section("brown-out: every upstream breaks off, idempotent requests")
	r.bound("attempts per request", ratio <= maxAttempts && arrived > 0, "%.3f (%d of %d), at most %.1f", ratio, arrived, t.sent, maxAttempts)
	return nil
}
