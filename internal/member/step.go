package member

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/link"
)

// Intervals and timeouts of the membership loop, which calls step.
const (
	// stepsPerHeartbeat is the number of steps in a heartbeat interval.
	stepsPerHeartbeat = 4
	// crossZoneFactor is the heartbeat interval between peers of different zones, in
	// multiples of the interval within a zone.
	crossZoneFactor = 4
	// minDialBackoff is the wait after the first failed dial. It doubles with every
	// failure up to maxDialBackoff.
	minDialBackoff = 200 * time.Millisecond
	maxDialBackoff = 8 * time.Second
	// idleTimeout is the time without a call after which a connection that this
	// process opened and that carries no heartbeats is closed.
	idleTimeout = time.Minute
	// deadPeerRetention is the time after which a dead peer that the platform's list
	// does not contain is removed from the view.
	deadPeerRetention = time.Minute
)

// interval returns the heartbeat interval between this process and p.
func (m *Membership) interval(p *peer) time.Duration {
	if p.Zone == m.self.Zone {
		return m.cfg.Heartbeat
	}
	return m.cfg.Heartbeat * crossZoneFactor
}

// step updates the states and the heartbeat targets, and opens connections, closes
// them and sends heartbeats where that is due. With sendEarly the heartbeats do not wait
// for the end of their interval (see maintainPeer for the shortest wait).
func (m *Membership) step(ctx context.Context, sendEarly bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.refresh(now)
	m.chooseTargets(now)
	sendEarly = sendEarly || m.sendNow
	m.sendNow = false
	for _, p := range m.peers {
		m.maintainPeer(ctx, p, now, sendEarly)
	}
	m.meters.update(now, m.currentView.Load().view)
}

// maintainPeer maintains the connection to one peer and sends the heartbeat that is
// due. An early heartbeat with a change waits a quarter of the interval after the
// last one; an announcement of leaving does not wait.
func (m *Membership) maintainPeer(ctx context.Context, p *peer, now time.Duration, sendEarly bool) {
	wanted := p.Zone == m.self.Zone || p.heartbeatTarget
	if p.conn() == nil {
		if wanted && !p.dialing && now >= p.nextDial {
			m.dial(ctx, p)
		}
		return
	}
	m.closeStale(p, now, wanted)
	c := p.conn()
	p.changePending = p.changePending || sendEarly
	if p.changePending && now-p.lastHeartbeat >= m.interval(p)/stepsPerHeartbeat || m.departure() != p.sentState[c].departure {
		p.heartbeatDue = now
	}
	if now >= p.heartbeatDue && !p.sending && (wanted || now < p.heartbeatsRequestedUntil || m.leaving.Load()) {
		m.sendHeartbeat(p, c, now)
	}
}

// closeStale closes idle connections and the connections to a dead, silent peer. A
// new connection is usable sooner than an old one whose TCP retransmissions have
// backed off.
func (m *Membership) closeStale(p *peer, now time.Duration, wanted bool) {
	silent := now-p.lastMessage > m.interval(p)*deadTenths/10
	idle := !wanted && now >= p.heartbeatsRequestedUntil && now-p.lastUsed > idleTimeout
	for _, c := range p.conns {
		if p.State == Dead && silent && wanted || idle && c.Dialed() && !c.Busy() {
			go c.Close()
		}
	}
}

// departure is what this process announces about its end: that it is about to stop,
// and that it stops now.
type departure struct{ leaving, stopped bool }

func (m *Membership) departure() departure { return departure{m.leaving.Load(), m.stopped.Load()} }

// sendHeartbeat sends a heartbeat on c in the background and closes c if that fails. A
// heartbeat to a target in another zone requests heartbeats in return.
func (m *Membership) sendHeartbeat(p *peer, c *link.Conn, now time.Duration) {
	hb := m.nextHeartbeat(p, c)
	p.sentState[c].departure = departure{hb.Leaving, hb.Stopped}
	var params any
	if !hb.empty() {
		params = hb
	}
	method := heartbeatMethod
	if p.heartbeatTarget {
		method = heartbeatRequestMethod
	}
	p.sending, p.changePending = true, false
	p.lastHeartbeat = now
	p.heartbeatDue = now + m.interval(p)
	m.meters.heartbeatsSent.Inc(1)
	go func() {
		if err := c.Notify(method, params); err != nil {
			c.Close()
		}
		m.mu.Lock()
		p.sending = false
		m.mu.Unlock()
	}()
}

// dial opens a connection to p in the background.
func (m *Membership) dial(ctx context.Context, p *peer) {
	p.dialing = true
	address := p.Address
	go func() {
		c, err := m.endpoint.Dial(ctx, address)
		m.mu.Lock()
		defer m.mu.Unlock()
		p.dialing = false
		m.recordDial(p, c, err)
	}()
}

// recordDial records the outcome of a dial. connHandler.Opened has already
// registered a new connection, under the id of the process that responded. The
// caller holds m.mu.
func (m *Membership) recordDial(p *peer, c *link.Conn, err error) {
	now := m.now()
	if err == nil {
		p.failedDials = 0
		if got := c.Peer(); PeerID(got.Instance, Program(got.Program)) != p.ID {
			logger.WithField("peer", p.ID).WithField("address", p.Address).Warn("another process listens at the peer's address")
			p.nextDial = now + maxDialBackoff
		}
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refusedDials++
		p.lastRefusedDial = now
		m.wakeLoop()
	}
	p.nextDial = now + jitter(min(minDialBackoff<<min(p.failedDials, 6), maxDialBackoff))
	p.failedDials++
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
