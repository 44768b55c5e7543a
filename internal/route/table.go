package route

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/feed"
	"skylarkport/internal/job"
)

// Snapshot is the immutable routing state of one version: the services of the
// entry's zone and their workers.
type Snapshot struct {
	Version  uint64
	Services map[string]*Service
	Workers  map[string]*Worker // includes workers without a service that still have requests or connections
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.Services[name] }

// Table merges the upstream lists of the scheduler shards into snapshots.
// Reading the current snapshot takes no lock and does not allocate.
type Table struct {
	current atomic.Pointer[Snapshot]

	zone         string
	newTransport func(*Worker) http.RoundTripper

	mu            sync.Mutex
	shards        map[string]feed.ShardList
	workers       map[string]*Worker
	upstreams     map[upstreamKey]*Upstream
	ejectionLocks map[string]*sync.Mutex
	leaving       map[string]bool
	onChange      func(*Snapshot)
}

// upstreamKey identifies an upstream across lists.
type upstreamKey struct {
	run  job.RunID
	base string
}

// NewTable returns an empty table for zone. It calls newTransport to create the
// transport of each worker that appears in a list.
func NewTable(zone string, newTransport func(*Worker) http.RoundTripper) *Table {
	t := &Table{
		zone:          zone,
		newTransport:  newTransport,
		shards:        make(map[string]feed.ShardList),
		workers:       make(map[string]*Worker),
		upstreams:     make(map[upstreamKey]*Upstream),
		ejectionLocks: make(map[string]*sync.Mutex),
		leaving:       make(map[string]bool),
	}
	t.current.Store(&Snapshot{})
	return t
}

// OnChange sets a function that is called with every new snapshot before it
// becomes current, so that it can set the limits of new workers. OnChange must
// be called before the first Merge.
func (t *Table) OnChange(f func(*Snapshot)) { t.onChange = f }

// Current returns the current snapshot.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// FeedRequest returns a feed request with the version of each shard's list in the
// table.
func (t *Table) FeedRequest() feed.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r feed.Request
	for _, s := range t.shards {
		r.KnownVersions = append(r.KnownVersions, feed.KnownVersion{Shard: s.Shard, Version: s.Version})
	}
	return r
}

// Merge replaces each shard's list by the one in reply if that is newer. It
// reports whether there is a new snapshot. The first Merge always makes one,
// even from an empty reply.
func (t *Table) Merge(reply feed.Reply, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.current.Load().Version == 0
	for _, s := range reply.Shards {
		old, ok := t.shards[s.Shard]
		if ok && !old.Version.Less(s.Version) {
			continue
		}
		t.shards[s.Shard] = s
		changed = true
	}
	if changed {
		t.rebuild(now)
	}
	return changed
}

// SetLeaving marks the workers in ids as leaving, so that they get no new
// requests, and clears the mark of all others.
func (t *Table) SetLeaving(ids map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = ids
	for id, w := range t.workers {
		w.leaving.Store(ids[id])
	}
}

// rebuild makes a new snapshot from the current lists. Upstreams and workers
// that were in the previous one keep their state.
func (t *Table) rebuild(now time.Duration) {
	next := &Snapshot{
		Version:  t.current.Load().Version + 1,
		Services: make(map[string]*Service),
		Workers:  make(map[string]*Worker),
	}
	kept := make(map[upstreamKey]*Upstream)
	for _, s := range t.shards {
		for _, f := range s.Upstreams {
			t.addUpstream(next, kept, f, now)
		}
	}
	t.upstreams = kept
	t.keepBusyWorkers(next)
	linkServices(next)
	if t.onChange != nil {
		t.onChange(next)
	}
	t.current.Store(next)
}

// keepBusyWorkers keeps the workers that are in no list but have slots or
// connections in use, so that these still count against the limits if the
// worker is listed again.
func (t *Table) keepBusyWorkers(next *Snapshot) {
	for id, w := range t.workers {
		if next.Workers[id] == nil && (w.Slots.Used() > 0 || w.Conns.Used() > 0) {
			next.Workers[id] = w
		}
	}
	t.workers = next.Workers
}

// addUpstream adds the upstream f to next. It ignores upstreams of other zones,
// duplicates, and new upstreams whose URL cannot be parsed.
func (t *Table) addUpstream(next *Snapshot, kept map[upstreamKey]*Upstream, f feed.Upstream, now time.Duration) {
	key := upstreamKey{f.Run, f.BaseURL}
	if f.Zone != t.zone || kept[key] != nil {
		return
	}
	w := t.workerFor(next, f)
	u := t.upstreams[key]
	if u == nil {
		var err error
		if u, err = newUpstream(f, w, now); err != nil {
			return
		}
	}
	if f.Leaving {
		u.MarkLeaving()
	}
	kept[key] = u
	s := next.Services[f.Service]
	if s == nil {
		s = &Service{Name: f.Service, ejectionLock: t.ejectionLock(f.Service)}
		next.Services[f.Service] = s
	}
	s.Upstreams = append(s.Upstreams, u)
}

// workerFor returns the worker of f and adds it to next if it is missing there.
func (t *Table) workerFor(next *Snapshot, f feed.Upstream) *Worker {
	if w := next.Workers[f.Worker]; w != nil {
		return w
	}
	w := t.workers[f.Worker]
	if w == nil {
		w = &Worker{ID: f.Worker, DeclaredSlots: f.Slots, DeclaredConns: f.Conns}
		w.Transport = t.newTransport(w)
		w.leaving.Store(t.leaving[f.Worker])
	}
	next.Workers[f.Worker] = w
	return w
}

// ejectionLock returns the lock for ejections of the service's upstreams. Each new
// Service with another set of upstreams shares the lock with the earlier ones.
func (t *Table) ejectionLock(service string) *sync.Mutex {
	if m := t.ejectionLocks[service]; m != nil {
		return m
	}
	m := new(sync.Mutex)
	t.ejectionLocks[service] = m
	return m
}

// linkServices links each upstream to its service, and each worker to the names
// of its services.
func linkServices(next *Snapshot) {
	serviceNames := make(map[string][]string)
	for name, s := range next.Services {
		for _, u := range s.Upstreams {
			u.setService(s)
			if !slices.Contains(serviceNames[u.Worker.ID], name) {
				serviceNames[u.Worker.ID] = append(serviceNames[u.Worker.ID], name)
			}
		}
	}
	for id, w := range next.Workers {
		w.services.Store(new(serviceNames[id]))
	}
}
