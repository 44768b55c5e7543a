package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/workload"
)

const (
	tableLayout = "layout"
	keyLayout   = "layout"
	// workersPerCore is how many workers an owner follows with a core of its own. By
	// the slopes of docs/CAPACITY.md it then uses a third of its machine.
	workersPerCore = 175
	// minPerShard and maxPerShard bound the workers of a shard. Below the lower one,
	// jobs would wait in one shard while another has room; above the upper one, a
	// takeover and a plan take long.
	minPerShard = 64
	maxPerShard = 128
	// maxShards bounds the shards of a zone.
	maxShards = 16
	// The first start waits until no worker has registered for registryQuiet, at
	// most registryWait: workers register within about three heartbeats.
	registryQuiet = 1200 * time.Millisecond
	registryWait  = 4500 * time.Millisecond
)

// Layout is the division of an installation into shards. It is written once.
type Layout struct {
	Zones   []string `json:"zones"`
	PerZone int      `json:"per_zone"` // 0: one shard holds all workers
	// Racks holds the shard of each rack that was known when the layout was
	// written, so that shards are of about one size. Other racks go by their hash.
	Racks map[string]string `json:"racks,omitempty"`
}

// wholeShard is the shard of an installation that one owner can follow. It sees
// all room at once and needs no balance between shards.
const wholeShard = "whole"

// Shards returns the names of all shards.
func (l *Layout) Shards() []string {
	if l.PerZone == 0 {
		return []string{wholeShard}
	}
	var out []string
	for _, z := range l.Zones {
		for i := range l.PerZone {
			out = append(out, shardName(z, i))
		}
	}
	return out
}

func shardName(zone string, i int) string { return fmt.Sprintf("%s-%d", zone, i) }

// Home is the shard that a job's id belongs to. It depends on the id alone, so
// that every instance and every retry agrees.
func (l *Layout) Home(id string) string {
	shards := l.Shards()
	return shards[xxhash.Sum64String(id)%uint64(len(shards))]
}

// ShardOf is the shard that a worker belongs to: its rack's.
func (l *Layout) ShardOf(w fleet.Worker) string {
	if l.PerZone == 0 {
		return wholeShard
	}
	if shard, ok := l.Racks[w.Rack]; ok {
		return shard
	}
	zone := w.Zone
	if !slices.Contains(l.Zones, zone) {
		zone = l.Zones[xxhash.Sum64String(zone)%uint64(len(l.Zones))]
	}
	return shardName(zone, int(xxhash.Sum64String(w.Rack)%uint64(l.PerZone)))
}

// ZoneOf is the zone of a shard's workers.
func (l *Layout) ZoneOf(shard string) string {
	for _, z := range l.Zones {
		for i := range l.PerZone {
			if shardName(z, i) == shard {
				return z
			}
		}
	}
	return ""
}

// readLayout returns the stored layout and writes it where there is none.
func (n *Node) readLayout(ctx context.Context) (*Layout, error) {
	started := time.Now()
	count, since := 0, started
	for {
		l, workers, err := n.tryLayout(ctx, count > 0 && time.Since(since) > registryQuiet || time.Since(started) > registryWait)
		if workers != count {
			count, since = workers, time.Now()
		}
		if err == nil && l != nil {
			return l, nil
		}
		if err != nil {
			logger.WithError(err).Debug("layout cannot be read")
		}
		if l := n.peers.layout(ctx); l != nil {
			return l, nil
		}
		if !pause.For(ctx, retryPause) {
			return nil, ctx.Err()
		}
	}
}

// tryLayout reads the layout. Where there is none, it counts the workers and, if
// decide is set, writes one for them.
func (n *Node) tryLayout(ctx context.Context, decide bool) (*Layout, int, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := n.deps.Store.Range(ctx, tableLayout, "", "", "")
	if err != nil {
		return nil, 0, err
	}
	n.sawStoreClock(p.Clock)
	if len(p.Rows) > 0 {
		l := new(Layout)
		return l, 0, workload.Decode(p.Rows[0].Value, l)
	}
	workers, err := n.deps.Store.Range(ctx, n.deps.Registry.Table(), "", "", "")
	if err != nil || !decide {
		return nil, len(workers.Rows), err
	}
	instances, err := n.readInstances(ctx)
	if err != nil {
		return nil, len(workers.Rows), err
	}
	l := newLayout(n.settings.Zones, listed(n.deps.Registry, workers.Rows), workersPerShard(instances))
	logger.WithField("workers", len(workers.Rows)).WithField("shards", len(l.Shards())).Info("layout written")
	_, err = n.deps.Store.Commit(ctx, fleet.Tx{
		Expect: []fleet.Row{{Table: tableLayout, Key: keyLayout}},
		Put:    []fleet.Row{{Table: tableLayout, Key: keyLayout, Value: workload.Encode(l)}},
	})
	return nil, len(workers.Rows), err // read again: another instance may have been first
}

// listed decodes the entries of the registry.
func listed(reg fleet.Registry, rows []fleet.Row) []fleet.Worker {
	var out []fleet.Worker
	for _, r := range rows {
		if w, ok := reg.Worker(r); ok {
			out = append(out, w)
		}
	}
	return out
}

// workersPerShard is how many workers one owner can follow in every zone, also
// after the zone's largest instance has failed.
func workersPerShard(instances []Instance) int {
	byZone := map[string][]float64{}
	for _, i := range instances {
		byZone[i.Zone] = append(byZone[i.Zone], i.Cores)
	}
	if len(instances) == 0 {
		return minPerShard
	}
	least := float64(maxPerShard) / workersPerCore
	for _, cores := range byZone {
		slices.Sort(cores)
		least = min(least, cores[max(0, len(cores)-2)])
	}
	return max(minPerShard, int(least*workersPerCore))
}

// newLayout divides the workers into shards of whole racks, of about perShard
// workers at most.
func newLayout(zones []string, workers []fleet.Worker, perShard int) *Layout {
	l := &Layout{Zones: slices.Sorted(slices.Values(zones))}
	if len(workers) <= minPerShard {
		return l
	}
	racks := map[string]map[string]int{} // zone, rack, workers
	sizes := map[string]int{}
	largest := 0
	for _, w := range workers {
		if racks[w.Zone] == nil {
			racks[w.Zone] = map[string]int{}
		}
		racks[w.Zone][w.Rack]++
		sizes[w.Zone]++
		largest = max(largest, sizes[w.Zone])
	}
	l.PerZone = min((largest+perShard-1)/perShard, maxShards)
	l.Racks = map[string]string{}
	for zone, sizes := range racks {
		l.spread(zone, sizes)
	}
	return l
}

// spread gives the racks of a zone, the largest first, to its smallest shard.
func (l *Layout) spread(zone string, racks map[string]int) {
	names := slices.Collect(maps.Keys(racks))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(racks[b], racks[a]), cmp.Compare(a, b))
	})
	filled := make([]int, l.PerZone)
	for _, rack := range names {
		least := 0
		for i, n := range filled {
			if n < filled[least] {
				least = i
			}
		}
		filled[least] += racks[rack]
		l.Racks[rack] = shardName(zone, least)
	}
}
