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

// RackShard returns the name of the shard that the workers of a rack belong to,
// given the number of shards in the zone.
func RackShard(zone, rack string, shards int) string {
	return Name(zone, int(xxhash.Sum64String(rack)%uint64(shards)))
}

// Name returns the name of the zone's shard n, counted from 0.
func Name(zone string, n int) string { return fmt.Sprintf("%s/%d", zone, n) }

// Fleet caches the platform's list of workers by shard. While the platform is
// unavailable, the last list stays in use.
type Fleet struct {
	instances contract.Instances
	shards    int
	list      atomic.Pointer[map[string][]contract.Instance]
}

// NewFleet returns an empty Fleet. shards is the number of shards in each zone.
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
			name := RackShard(i.Zone, i.Rack, f.shards)
			byShard[name] = append(byShard[name], i)
		}
	}
	f.list.Store(&byShard)
}

// WorkersOf returns the workers of the named shard.
func (f *Fleet) WorkersOf(name string) []contract.Instance { return (*f.list.Load())[name] }

// OtherShardFor returns a shard other than except that has a live worker in one of
// spec's zones which could hold a task of spec if no other run were on it.
func (f *Fleet) OtherShardFor(spec *job.Spec, except string) (string, bool) {
	shards := *f.list.Load()
	for _, name := range slices.Sorted(maps.Keys(shards)) {
		if name != except && anyWorkerFits(shards[name], spec) {
			return name, true
		}
	}
	return "", false
}

func anyWorkerFits(workers []contract.Instance, spec *job.Spec) bool {
	for _, w := range workers {
		allowed := len(spec.Zones) == 0 || slices.Contains(spec.Zones, w.Zone)
		if allowed && w.State == contract.Live && spec.Needs.Fits(w.Capacity) {
			return true
		}
	}
	return false
}
