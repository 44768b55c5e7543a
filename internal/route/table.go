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

// Snapshot is an immutable picture of the services of the entry's zone.
type Snapshot struct {
	Version  uint64
	Services map[string]*Service
	Workers  map[string]*Worker // also those with requests left but no service
}

// Service returns the service name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.Services[name] }

// Table merges the lists of the schedulers into snapshots. Reading takes no
// lock and allocates nothing.
type Table struct {
	current atomic.Pointer[Snapshot]

	zone         string
	newTransport func(*Worker) http.RoundTripper

	mu        sync.Mutex
	shards    map[string]feed.Shard
	workers   map[string]*Worker
	upstreams map[upstreamKey]*Upstream
	ejections map[string]*sync.Mutex
	leaving   map[string]bool
	onChange  func(*Snapshot)
}

type upstreamKey struct {
	run  job.RunID
	base string
}

// NewTable returns an empty table of zone. The transport of a worker is made
// by newTransport when the worker is first seen.
func NewTable(zone string, newTransport func(*Worker) http.RoundTripper) *Table {
	t := &Table{
		zone:         zone,
		newTransport: newTransport,
		shards:       make(map[string]feed.Shard),
		workers:      make(map[string]*Worker),
		upstreams:    make(map[upstreamKey]*Upstream),
		ejections:    make(map[string]*sync.Mutex),
		leaving:      make(map[string]bool),
	}
	t.current.Store(&Snapshot{})
	return t
}

// OnChange calls f with every new snapshot before it is in force, so that f
// can set the limits of new workers. It is called before the first Merge.
func (t *Table) OnChange(f func(*Snapshot)) { t.onChange = f }

// Current returns the snapshot in force.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// Have returns the versions that the table holds.
func (t *Table) Have() feed.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r feed.Request
	for _, s := range t.shards {
		r.Have = append(r.Have, feed.Have{Shard: s.Shard, Version: s.Version})
	}
	return r
}

// Merge takes over every list that is newer than the one held. It reports
// whether a new snapshot came into force, as after the first answer of all.
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

// SetLeaving takes the workers in ids out of use for new requests, and puts the
// others back into use.
func (t *Table) SetLeaving(ids map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = ids
	for id, w := range t.workers {
		w.leaving.Store(ids[id])
	}
}

// rebuild makes a snapshot of the lists held. Upstreams and workers that stay
// keep their state.
func (t *Table) rebuild(now time.Duration) {
	next := &Snapshot{
		Version:  t.current.Load().Version + 1,
		Services: make(map[string]*Service),
		Workers:  make(map[string]*Worker),
	}
	keep := make(map[upstreamKey]*Upstream)
	for _, s := range t.shards {
		for _, f := range s.Upstreams {
			t.place(next, keep, f, now)
		}
	}
	t.upstreams = keep
	t.retain(next)
	finish(next)
	if t.onChange != nil {
		t.onChange(next)
	}
	t.current.Store(next)
}

// retain keeps the workers that still hold slots or connections, so that these
// count against the limits and one that comes back is the same.
func (t *Table) retain(next *Snapshot) {
	for id, w := range t.workers {
		if next.Workers[id] == nil && (w.Slots.Used() > 0 || w.Conns.Used() > 0) {
			next.Workers[id] = w
		}
	}
	t.workers = next.Workers
}

// place adds the upstream f to next. One of another zone or with a URL that
// cannot be parsed is left out.
func (t *Table) place(next *Snapshot, keep map[upstreamKey]*Upstream, f feed.Upstream, now time.Duration) {
	key := upstreamKey{f.Run, f.BaseURL}
	if f.Zone != t.zone || keep[key] != nil {
		return
	}
	w := t.worker(next, f)
	u := t.upstreams[key]
	if u == nil {
		var err error
		if u, err = newUpstream(f, w, now); err != nil {
			return
		}
	}
	if f.Leaving {
		u.Leave()
	}
	keep[key] = u
	s := next.Services[f.Service]
	if s == nil {
		s = &Service{Name: f.Service, ejection: t.ejection(f.Service)}
		next.Services[f.Service] = s
	}
	s.Upstreams = append(s.Upstreams, u)
}

func (t *Table) worker(next *Snapshot, f feed.Upstream) *Worker {
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

func (t *Table) ejection(service string) *sync.Mutex {
	if m := t.ejections[service]; m != nil {
		return m
	}
	m := new(sync.Mutex)
	t.ejections[service] = m
	return m
}

// finish links the parts of a snapshot.
func finish(next *Snapshot) {
	on := make(map[string][]string)
	for name, s := range next.Services {
		for _, u := range s.Upstreams {
			u.setService(s)
			if !slices.Contains(on[u.Worker.ID], name) {
				on[u.Worker.ID] = append(on[u.Worker.ID], name)
			}
		}
	}
	for id, w := range next.Workers {
		w.services.Store(new(on[id]))
	}
}
