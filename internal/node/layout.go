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
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	tableLayout = "layout"
	keyLayout   = "layout"
	// workersPerCore is how many workers an instance may own per core of its machine.
	// At the cost per worker in docs/CAPACITY.md that uses a third of the machine.
	workersPerCore = 175
	// minPerShard and maxPerShard bound the number of workers that a shard is sized
	// for. In smaller shards, jobs would wait while another shard has free capacity;
	// in larger ones, takeovers and planning rounds take too long.
	minPerShard = 64
	maxPerShard = 128
	// maxShards bounds the number of shards of a zone.
	maxShards = 16
	// The first start of a deployment writes the layout once no worker has registered
	// for registryQuiet, or after registryWait. Workers register within about three
	// heartbeats.
	registryQuiet = 1200 * time.Millisecond
	registryWait  = 4500 * time.Millisecond
)

// Layout divides the workers of a deployment into shards. It is stored once and never
// changes.
type Layout struct {
	Zones   []string `json:"zones"`
	PerZone int      `json:"per_zone"` // shards per zone; 0 if one shard holds all workers
	// Racks maps each rack that was known when the layout was written to its shard, so
	// that the shards have about the same size. Other racks are assigned by their hash.
	Racks map[string]string `json:"racks,omitempty"`
}

// singleShard is the only shard of a deployment that is small enough for one owner. Its
// owner sees the free capacity of all workers, so nothing is balanced between shards.
const singleShard = "whole"

// Validate returns an error with the code JournalCorrupt if the layout has no shards.
func (l *Layout) Validate() error {
	if l.PerZone < 0 || l.PerZone > maxShards || l.PerZone > 0 && len(l.Zones) == 0 {
		return result.Errorf(result.JournalCorrupt, "layout of %d zones with %d shards each", len(l.Zones), l.PerZone)
	}
	return nil
}

// Shards returns the names of all shards.
func (l *Layout) Shards() []string {
	if l.PerZone == 0 {
		return []string{singleShard}
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

// HomeShard returns the home shard of a job. It depends only on the job's id, so that all
// instances and all retries agree.
func (l *Layout) HomeShard(id string) string {
	shards := l.Shards()
	return shards[xxhash.Sum64String(id)%uint64(len(shards))]
}

// ShardOf returns the shard that a worker belongs to, which is that of its rack.
func (l *Layout) ShardOf(w fleet.Worker) string {
	if l.PerZone == 0 {
		return singleShard
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

// ZoneOf returns the zone of a shard's workers, or "" for a shard without a zone.
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

// readLayout returns the stored layout, after writing one if there is none. If the
// store returns none, a layout that a peer has sent is used.
func (n *Node) readLayout(ctx context.Context) (*Layout, error) {
	started := time.Now()
	count, since := 0, started
	for {
		l, workers, err := n.readOrWriteLayout(ctx, count > 0 && time.Since(since) > registryQuiet || time.Since(started) > registryWait)
		if workers != count {
			count, since = workers, time.Now()
		}
		if err == nil && l != nil {
			return l, nil
		}
		if err != nil {
			logger.WithError(err).Debug("reading the layout failed")
		}
		if l := n.peers.requestLayout(ctx); l != nil {
			return l, nil
		}
		// A large registry is read in many pages, by all instances of a new deployment.
		if !pause.For(ctx, retryPause*time.Duration(1+workers/pageRows)) {
			return nil, ctx.Err()
		}
	}
}

// pageRows is the number of rows that the store returns at a time.
const pageRows = 500

// readTable reads all rows of a table without parts, page by page. Each page may take storeTimeout.
func (n *Node) readTable(ctx context.Context, table string) ([]fleet.Row, error) {
	var rows []fleet.Row
	from := ""
	for {
		tctx, cancel := context.WithTimeout(ctx, storeTimeout)
		p, err := n.deps.Store.Range(tctx, table, "", from, "", 0)
		cancel()
		n.recordStoreResult(err)
		if err != nil {
			return nil, err
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, nil
		}
		from = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}

// readOrWriteLayout reads the layout. If there is none, it counts the registered
// workers and, if write is set, stores a layout for them.
func (n *Node) readOrWriteLayout(ctx context.Context, write bool) (*Layout, int, error) {
	tctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p, err := n.deps.Store.Range(tctx, tableLayout, "", "", "", 0)
	if err != nil {
		return nil, 0, err
	}
	n.observeStoreClock(p.Clock)
	if len(p.Rows) > 0 {
		l := new(Layout)
		if err := workload.Decode(p.Rows[0].Value, l); err != nil {
			return nil, 0, err
		}
		return l, 0, l.Validate()
	}
	rows, err := n.readTable(ctx, n.deps.Registry.Table())
	if err != nil || !write {
		return nil, len(rows), err
	}
	instances, err := n.readInstances(ctx)
	if err != nil {
		return nil, len(rows), err
	}
	l := newLayout(n.settings.Zones, decodeWorkers(n.deps.Registry, rows), workersPerShard(instances))
	bounds := n.bounds()
	l.fit(bounds.RowLimit())
	logger.WithField("workers", len(rows)).WithField("shards", len(l.Shards())).WithField("racks", len(l.Racks)).Info("layout written")
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = n.deps.Store.Commit(wctx, fleet.Tx{
		Expect: []fleet.Row{{Table: tableLayout, Key: keyLayout}},
		Put:    []fleet.Row{{Table: tableLayout, Key: keyLayout, Value: workload.Encode(l)}},
	})
	return nil, len(rows), err // read again: another instance may have been first
}

// decodeWorkers decodes the entries of the registry.
func decodeWorkers(reg fleet.Registry, rows []fleet.Row) []fleet.Worker {
	var out []fleet.Worker
	for _, r := range rows {
		if w, ok := reg.Worker(r); ok {
			out = append(out, w)
		}
	}
	return out
}

// workersPerShard returns the number of workers for which an instance in every zone is
// large enough even after the zone's largest instance has failed.
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

// newLayout divides the workers into shards of whole racks with about perShard
// workers each, or fewer.
func newLayout(zones []string, workers []fleet.Worker, perShard int) *Layout {
	l := &Layout{Zones: slices.Sorted(slices.Values(zones))}
	if len(workers) <= minPerShard {
		return l
	}
	racks := map[string]map[string]int{} // number of workers by zone and rack
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
		l.assignRacks(zone, sizes)
	}
	return l
}

// fit drops racks until the encoded layout has at most limit bytes. They are assigned by their hash then.
func (l *Layout) fit(limit int) {
	left := limit - len(workload.Encode(&Layout{Zones: l.Zones, PerZone: l.PerZone})) - len(`,"racks":{}`)
	for _, rack := range slices.Sorted(maps.Keys(l.Racks)) {
		size := len(workload.Encode(map[string]string{rack: l.Racks[rack]})) // the braces stand for the comma
		if left -= size; left < 0 {
			delete(l.Racks, rack)
		}
	}
}

// assignRacks assigns the racks of a zone, largest first, each to the zone's shard with
// the fewest workers so far.
func (l *Layout) assignRacks(zone string, racks map[string]int) {
	names := slices.Collect(maps.Keys(racks))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(racks[b], racks[a]), cmp.Compare(a, b))
	})
	shardSizes := make([]int, l.PerZone)
	for _, rack := range names {
		smallest := 0
		for i, n := range shardSizes {
			if n < shardSizes[smallest] {
				smallest = i
			}
		}
		shardSizes[smallest] += racks[rack]
		l.Racks[rack] = shardName(zone, smallest)
	}
}
