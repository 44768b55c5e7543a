package shard

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
)

const (
	fleetInterval = 2 * time.Second
	fleetTimeout  = 5 * time.Second
)

// NameOf returns the shard of a worker's rack, given the number of shards of
// its zone.
func NameOf(zone, rack string, shards int) string {
	return Name(zone, int(xxhash.Sum64String(rack)%uint64(shards)))
}

// Name returns the name of the zone's shard n, counted from 0.
func Name(zone string, n int) string { return fmt.Sprintf("%s/%d", zone, n) }

// Fleet keeps the newest copy of the platform's list. While the platform is
// away the last copy stays in use.
type Fleet struct {
	instances contract.Instances
	shards    int
	list      atomic.Pointer[map[string][]contract.Instance]
}

// NewFleet returns an empty fleet; shards is the number per zone.
func NewFleet(instances contract.Instances, shards int) *Fleet {
	f := &Fleet{instances: instances, shards: shards}
	f.list.Store(&map[string][]contract.Instance{})
	return f
}

// Run refreshes the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	t := time.NewTicker(fleetInterval)
	defer t.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (f *Fleet) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	list, err := f.instances.List(ctx)
	if err != nil {
		return
	}
	byShard := map[string][]contract.Instance{}
	for _, i := range list {
		if i.Role == contract.WorkerRole {
			name := NameOf(i.Zone, i.Rack, f.shards)
			byShard[name] = append(byShard[name], i)
		}
	}
	f.list.Store(&byShard)
}

// Shard returns the workers of the named shard.
func (f *Fleet) Shard(name string) []contract.Instance { return (*f.list.Load())[name] }

// Elsewhere names a shard other than except, in the zones of spec, with a live
// worker that could hold one of its tasks if it were empty.
func (f *Fleet) Elsewhere(spec *job.Spec, except string) (string, bool) {
	shards := *f.list.Load()
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		if name != except && holdsAny(shards[name], spec) {
			return name, true
		}
	}
	return "", false
}

func holdsAny(workers []contract.Instance, spec *job.Spec) bool {
	for _, w := range workers {
		allowed := len(spec.Zones) == 0 || slices.Contains(spec.Zones, w.Zone)
		if allowed && w.State == contract.Live && spec.Needs.Fits(w.Capacity) {
			return true
		}
	}
	return false
}
