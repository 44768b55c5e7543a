package entrybench

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"skylarkport/internal/forward"
)

// measureMemory measures the memory that the entry needs for requests in
// flight. It blocks requests at the upstream, first sent directly and then
// through the entry; the difference is the entry's share, as all run in this
// process.
func measureMemory(r *report) error {
	r.section(fmt.Sprintf("memory: %d upstreams, %d organisations, %d requests in flight without bodies, in-memory connections", memoryUpstreams, memoryOrganisations, memoryRequests))
	base := memoryInUse()
	up, callers := newPipeListener(), newPipeListener()
	b := startRig(memoryUpstreams, up, callers, up.dial)
	defer b.close()
	if err := b.waitReady(newClient(1, callers.dial)); err != nil {
		return err
	}
	idle := memoryInUse() - base
	direct, err := b.measureHeldMemory(b.upstreamURL, up.dial)
	if err != nil {
		return err
	}
	entry, err := b.measureHeldMemory(b.entryURL, callers.dial)
	if err != nil {
		return err
	}
	r.figure("entry without requests", "%.1f MB", megabytes(idle))
	r.figure("requests held: direct, through the entry", "%.1f MB, %.1f MB", megabytes(direct), megabytes(entry))
	total := idle + entry - direct
	r.bound("entry with requests", total < maxMemoryBytes, "%.1f MB, under %d MB", megabytes(total), maxMemoryBytes>>20)
	return nil
}

// measureHeldMemory sends requests that block at the upstream's gate and
// returns by how many bytes they increase the memory of the process.
func (b *rig) measureHeldMemory(url string, dial forward.Dialer) (int64, error) {
	gate := make(chan struct{})
	b.upstream.gate.Store(&gate)
	before := memoryInUse()
	c := newClient(1, dial)
	defer c.close()
	var wg sync.WaitGroup
	for i := range memoryRequests {
		wg.Go(func() {
			c.get(url, request{organisation: fmt.Sprintf("t%d", i%memoryOrganisations), timeout: 30 * time.Second})
		})
	}
	end := time.Now().Add(20 * time.Second)
	for b.upstream.waiting.Load() < memoryRequests && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	reached := b.upstream.waiting.Load()
	held := memoryInUse() - before
	b.upstream.gate.Store(nil)
	close(gate)
	wg.Wait()
	if reached < memoryRequests {
		return 0, fmt.Errorf("only %d of %d requests reached the upstream within 20 s", reached, memoryRequests)
	}
	return held, nil
}

// memoryInUse returns the bytes of live heap objects and of stacks, after
// collecting garbage.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }
