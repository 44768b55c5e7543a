package member

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/link"
	"skylarkport/internal/result"
)

// connHandler implements link.Handler for a Membership.
type connHandler struct{ m *Membership }

var _ link.Handler = connHandler{}

// Opened implements link.Handler. A connection from a new incarnation closes those
// of the earlier one.
func (h connHandler) Opened(c *link.Conn) {
	m, hello := h.m, c.Peer()
	id := PeerID(hello.Instance, Program(hello.Program))
	if id == m.self.ID {
		go c.Close()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	p := m.ensurePeer(id, hello.Instance, Program(hello.Program), hello.Zone, hello.Address)
	p.Zone, p.Address = hello.Zone, hello.Address
	m.viewOutdated = true
	if p.Incarnation != hello.Incarnation {
		p.resetForIncarnation(hello.Incarnation, now)
		closeInBackground(p.conns)
	}
	p.recordMessage(now)
	p.conns = append(p.conns, c)
	p.sentState[c] = &sentState{roster: map[string]rosterEntry{}, attached: map[string]string{}}
	p.heartbeatDue, p.lastUsed = now, now
	p.failedDials = 0
	m.refresh(now)
	m.wakeLoop()
}

// closeInBackground closes connections without waiting, because the caller holds m.mu,
// which the handler of a closed connection takes.
func closeInBackground(conns []*link.Conn) {
	for _, c := range conns {
		go c.Close()
	}
}

// ensurePeer returns the record of a process and creates it if there is none. The
// caller holds m.mu.
func (m *Membership) ensurePeer(id, instance string, program Program, zone, address string) *peer {
	if p := m.peers[id]; p != nil {
		return p
	}
	p := &peer{
		Peer:      Peer{ID: id, Instance: instance, Program: program, Zone: zone, Address: address},
		sentState: map[*link.Conn]*sentState{},
		roster:    map[string]rosterEntry{},
	}
	p.waitingSince = m.now()
	p.hashRank = xxhash.Sum64String(m.self.ID + "\x00" + id)
	m.viewOutdated = true
	m.peers[id] = p
	return p
}

// peerOfConn returns the record of the peer at the other end of c, or nil when c is
// closed or of an earlier incarnation. The caller holds m.mu.
func (m *Membership) peerOfConn(c *link.Conn) *peer {
	hello := c.Peer()
	p := m.peers[PeerID(hello.Instance, Program(hello.Program))]
	if p == nil || p.sentState[c] == nil {
		return nil
	}
	return p
}

// Closed implements link.Handler.
func (h connHandler) Closed(c *link.Conn) {
	m := h.m
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerOfConn(c)
	if p == nil {
		return
	}
	p.removeConn(c)
	if len(p.conns) > 0 {
		return
	}
	p.nextDial = m.now() + jitter(minDialBackoff/4)
	m.refresh(m.now())
}

// Notified implements link.Handler. It takes heartbeats and passes their attached
// values on.
func (h connHandler) Notified(c *link.Conn, method string, params json.RawMessage) {
	if method != heartbeatMethod && method != heartbeatRequestMethod {
		return
	}
	var hb heartbeat
	if len(params) > 0 {
		if err := json.Unmarshal(params, &hb); err != nil {
			logger.WithError(err).WithField("peer", c.Peer().Instance).Warn("cannot decode a heartbeat; it is dropped")
			return
		}
	}
	from, ok := h.m.recordHeartbeat(c, method, &hb)
	if !ok {
		return
	}
	for key, value := range hb.Attached {
		for _, f := range h.m.listeners[key] {
			f(from, value)
		}
	}
}

// recordHeartbeat records a heartbeat. It returns false when c is not a current
// connection of the peer.
func (m *Membership) recordHeartbeat(c *link.Conn, method string, hb *heartbeat) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerOfConn(c)
	if p == nil {
		return Peer{}, false
	}
	now := m.now()
	p.recordMessage(now)
	p.announcedLeaving = p.announcedLeaving || hb.Leaving
	p.announcedStop = hb.Stopped
	if hb.ReceivesNothing {
		p.notReceivedUntil = now + m.interval(p)*deadTenths/10
	}
	for _, r := range hb.Roster {
		m.recordRosterEntry(p, r)
	}
	if method == heartbeatRequestMethod && !p.heartbeatTarget {
		p.heartbeatsRequestedUntil = now + m.interval(p)*deadTenths/10
		p.heartbeatDue = now
		m.wakeLoop()
	}
	if !hb.empty() || p.State != Alive {
		m.refresh(now)
	}
	return p.Peer, true
}

// recordRosterEntry records what the peer from reports about a process of its zone. The
// caller holds m.mu.
func (m *Membership) recordRosterEntry(from *peer, r rosterEntry) {
	id := r.id()
	if id == m.self.ID {
		return
	}
	from.roster[id] = r
	if r.State != Alive {
		return
	}
	p := m.ensurePeer(id, r.Instance, r.Program, from.Zone, r.Address)
	if len(p.conns) == 0 && p.Incarnation != r.Incarnation && from.Zone != m.self.Zone {
		p.Address = r.Address
		p.resetForIncarnation(r.Incarnation, m.now())
		m.viewOutdated = true
	}
}

// Called implements link.Handler. It runs the handler that was registered for the
// method with Handle.
func (h connHandler) Called(ctx context.Context, c *link.Conn, method string, params json.RawMessage) (any, error) {
	handler := h.m.handlers[method]
	if handler == nil {
		return nil, result.Errorf(result.RequestUnsupported, "no handler for peer method %q", method)
	}
	h.m.mu.Lock()
	p := h.m.peerOfConn(c)
	if p == nil {
		h.m.mu.Unlock()
		return nil, result.Errorf(result.PeerUnknown, "the connection belongs to an earlier incarnation of the peer")
	}
	p.recordMessage(h.m.now())
	from := p.Peer
	h.m.mu.Unlock()
	return handler(ctx, from, params)
}
