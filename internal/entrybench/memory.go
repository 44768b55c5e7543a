package entrybench

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"skylarkport/internal/forward"
)

// memory holds requests in flight at the upstreams, first sent directly, then
// through the entry. The difference is what the entry holds.
func memory(r *report) error {
	r.section(fmt.Sprintf("memory: %d upstreams, %d tenants, %d requests in flight without bodies, connections in memory", memoryUpstreams, memoryTenants, memoryRequests))
	base := inUse()
	up, callers := newPipes(), newPipes()
	b := start(memoryUpstreams, up, callers, up.dial)
	defer b.close()
	if err := b.await(newClient(1, callers.dial)); err != nil {
		return err
	}
	idle := inUse() - base
	direct, err := b.hold(b.direct, up.dial)
	if err != nil {
		return err
	}
	entry, err := b.hold(b.url, callers.dial)
	if err != nil {
		return err
	}
	r.figure("entry without requests", "%.1f MB", mb(idle))
	r.figure("requests held: direct, through the entry", "%.1f MB, %.1f MB", mb(direct), mb(entry))
	total := idle + entry - direct
	r.bound("entry with requests", total < maxMemory, "%.1f MB, under %d MB", mb(total), maxMemory>>20)
	return nil
}

// hold sends requests that wait at the upstream's gate and returns what the
// process holds more than without them.
func (b *rig) hold(url string, dial forward.Dialer) (int64, error) {
	gate := make(chan struct{})
	b.up.gate.Store(&gate)
	before := inUse()
	c := newClient(1, dial)
	defer c.close()
	var wg sync.WaitGroup
	for i := range memoryRequests {
		wg.Go(func() {
			c.get(url, request{tenant: fmt.Sprintf("t%d", i%memoryTenants), timeout: 30 * time.Second})
		})
	}
	end := time.Now().Add(20 * time.Second)
	for b.up.waiting.Load() < memoryRequests && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	reached := b.up.waiting.Load()
	held := inUse() - before
	b.up.gate.Store(nil)
	close(gate)
	wg.Wait()
	if reached < memoryRequests {
		return 0, fmt.Errorf("%d of %d requests reached the upstream", reached, memoryRequests)
	}
	return held, nil
}

// inUse returns the bytes of live heap objects and of stacks.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func mb(n int64) float64 { return float64(n) / (1 << 20) }
