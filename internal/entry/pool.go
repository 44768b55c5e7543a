package entry

import (
	"net/http"
	"sync"

	"skylarkport/internal/route"
	"skylarkport/internal/share"
)

// workerLimits sets this entry's limits of slots and connections at every worker of
// the zone, according to the partitions that the entry may use. It implements
// share.Pool.
type workerLimits struct {
	mu         sync.Mutex
	partitions share.Partitions
	workers    map[string]*route.Worker
}

// Limit implements share.Pool: it limits the slots and connections at each worker to
// the partitions s, and reports whether those in use are within the limits.
func (p *workerLimits) Limit(s share.Partitions) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitions = s
	return p.apply()
}

// setWorkers replaces the workers by those of a snapshot that is about to become
// current.
func (p *workerLimits) setWorkers(s *route.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = s.Workers
	p.apply()
}

// apply sets the limits of all workers and reports whether the slots and connections
// in use are within them.
func (p *workerLimits) apply() bool {
	withinLimits := true
	for _, w := range p.workers {
		if !w.Slots.SetLimit(p.partitions.UnitsOf(w.ID, w.DeclaredSlots)) {
			withinLimits = false
		}
		if !setConnLimit(w, p.partitions.UnitsOf(w.ID, w.DeclaredConns)) {
			withinLimits = false
		}
	}
	return withinLimits
}

// setConnLimit sets the limit of the connections to w. If more are open, it closes
// the idle ones. It reports whether the open ones are within the limit.
func setConnLimit(w *route.Worker, limit int) bool {
	if w.Conns.SetLimit(limit) {
		return true
	}
	if t, ok := w.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	return w.Conns.Used() <= limit
}
