package entry

import (
	"net/http"
	"sync"

	"skylarkport/internal/route"
	"skylarkport/internal/share"
)

// pool sets the limits of the zone's workers at this entry. It implements
// share.Pool.
type pool struct {
	mu      sync.Mutex
	seats   share.Partitions
	workers map[string]*route.Worker
}

// Limit implements share.Pool.
func (p *pool) Limit(s share.Partitions) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seats = s
	return p.set()
}

// cover takes over the workers of a snapshot before it is in force.
func (p *pool) cover(s *route.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = s.Workers
	p.set()
}

func (p *pool) set() bool {
	within := true
	for _, w := range p.workers {
		if !w.Slots.SetLimit(p.seats.UnitsOf(w.ID, w.DeclaredSlots)) {
			within = false
		}
		if !setConns(w, p.seats.UnitsOf(w.ID, w.DeclaredConns)) {
			within = false
		}
	}
	return within
}

// setConns closes idle connections where there are too many.
func setConns(w *route.Worker, limit int) bool {
	if w.Conns.SetLimit(limit) {
		return true
	}
	if t, ok := w.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	return w.Conns.Used() <= limit
}
