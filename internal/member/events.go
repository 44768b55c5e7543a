package member

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/link"
	"skylarkport/internal/result"
)

// events takes what arrives on the connections.
type events struct{ m *Members }

var _ link.Handler = events{}

// Opened implements link.Handler.
func (e events) Opened(c *link.Conn) {
	m, hello := e.m, c.Peer()
	id := IDOf(hello.Instance, Program(hello.Program))
	if id == m.self.ID {
		go c.Close()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	p := m.know(id, hello.Instance, Program(hello.Program), hello.Zone, hello.Address)
	p.Zone, p.Address = hello.Zone, hello.Address
	m.dirty = true
	if p.Incarnation != hello.Incarnation {
		p.restart(hello.Incarnation, now)
		closeAll(p.conns)
	}
	p.hear(now)
	p.conns = append(p.conns, c)
	p.sent[c] = &sent{roster: map[string]rosterEntry{}, attached: map[string]string{}}
	p.beatAt, p.usedAt = now, now
	p.failures = 0
	m.refresh(now)
	m.poke()
}

func closeAll(conns []*link.Conn) {
	for _, c := range conns {
		go c.Close()
	}
}

// know returns the record of a process, a new one where there is none. The
// caller holds m.mu.
func (m *Members) know(id, instance string, program Program, zone, address string) *peer {
	if p := m.peers[id]; p != nil {
		return p
	}
	p := &peer{
		Peer:   Peer{ID: id, Instance: instance, Program: program, Zone: zone, Address: address},
		sent:   map[*link.Conn]*sent{},
		roster: map[string]rosterEntry{},
	}
	p.since = m.now()
	p.rank = xxhash.Sum64String(m.self.ID + "\x00" + id)
	m.dirty = true
	m.peers[id] = p
	return p
}

// peerOf returns the record of a connection's peer, nil for one of an earlier
// incarnation.
func (m *Members) peerOf(c *link.Conn) *peer {
	hello := c.Peer()
	p := m.peers[IDOf(hello.Instance, Program(hello.Program))]
	if p == nil || p.sent[c] == nil {
		return nil
	}
	return p
}

// Closed implements link.Handler.
func (e events) Closed(c *link.Conn) {
	m := e.m
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerOf(c)
	if p == nil {
		return
	}
	p.drop(c)
	if len(p.conns) > 0 {
		return
	}
	p.dialAt = m.now() + jitter(firstBackoff/4)
	m.refresh(m.now())
}

// Notified implements link.Handler.
func (e events) Notified(c *link.Conn, method string, params json.RawMessage) {
	if method != beatMethod && method != askMethod {
		return
	}
	var b beat
	if len(params) > 0 {
		if err := json.Unmarshal(params, &b); err != nil {
			logger.WithError(err).WithField("peer", c.Peer().Instance).Warn("a heartbeat cannot be read")
			return
		}
	}
	from, ok := e.m.took(c, method, &b)
	if !ok {
		return
	}
	for key, value := range b.Attached {
		for _, f := range e.m.listeners[key] {
			f(from, value)
		}
	}
}

// took records a heartbeat.
func (m *Members) took(c *link.Conn, method string, b *beat) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerOf(c)
	if p == nil {
		return Peer{}, false
	}
	now := m.now()
	p.hear(now)
	p.saidLeaving = p.saidLeaving || b.Leaving
	p.gone = b.Gone
	if b.Unheard {
		p.unheardUntil = now + m.interval(p)*deadTenths/10
	}
	for _, r := range b.Roster {
		m.takeRoster(p, r)
	}
	if method == askMethod && !p.target {
		p.askedUntil = now + m.interval(p)*deadTenths/10
		p.beatAt = now
		m.poke()
	}
	if !b.empty() || p.State != Alive {
		m.refresh(now)
	}
	return p.Peer, true
}

// takeRoster records what from says of a process of its zone.
func (m *Members) takeRoster(from *peer, r rosterEntry) {
	id := r.id()
	if id == m.self.ID {
		return
	}
	from.roster[id] = r
	if r.State != Alive {
		return
	}
	p := m.know(id, r.Instance, r.Program, from.Zone, r.Address)
	if len(p.conns) == 0 && p.Incarnation != r.Incarnation && from.Zone != m.self.Zone {
		p.Address = r.Address
		p.restart(r.Incarnation, m.now())
		m.dirty = true
	}
}

// Called implements link.Handler.
func (e events) Called(ctx context.Context, c *link.Conn, method string, params json.RawMessage) (any, error) {
	h := e.m.handlers[method]
	if h == nil {
		return nil, result.Errorf(result.RequestUnsupported, "no method %q", method)
	}
	e.m.mu.Lock()
	p := e.m.peerOf(c)
	if p == nil {
		e.m.mu.Unlock()
		return nil, result.Errorf(result.PeerUnknown, "the connection is of an earlier incarnation")
	}
	p.hear(e.m.now())
	from := p.Peer
	e.m.mu.Unlock()
	return h(ctx, from, params)
}
