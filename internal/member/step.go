package member

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/link"
)

// Times of the loop.
const (
	ticksPerBeat = 4
	// farBeats is the heartbeat interval between zones in those of a zone.
	farBeats = 4
	// firstBackoff is the wait after the first failed dial; it doubles.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 8 * time.Second
	// idleAfter is the time without a call after which an own connection
	// that carries no heartbeats is closed.
	idleAfter = time.Minute
	// forgetAfter is the time after which a dead peer that the platform no
	// longer lists is forgotten.
	forgetAfter = time.Minute
)

// interval is the heartbeat interval between this process and p.
func (m *Members) interval(p *peer) time.Duration {
	if p.Zone == m.self.Zone {
		return m.cfg.Heartbeat
	}
	return m.cfg.Heartbeat * farBeats
}

// step does what is due: states, targets, connections and heartbeats.
func (m *Members) step(ctx context.Context, push bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.refresh(now)
	m.chooseTargets(now)
	push = push || m.pushed
	m.pushed = false
	for _, p := range m.peers {
		m.tend(ctx, p, now, push)
	}
	m.meters.update(now, m.current.Load().view)
}

// tend keeps the connection and the heartbeats with one peer.
func (m *Members) tend(ctx context.Context, p *peer, now time.Duration, push bool) {
	wanted := p.Zone == m.self.Zone || p.target
	if p.conn() == nil {
		if wanted && !p.dialing && now >= p.dialAt {
			m.dial(ctx, p)
		}
		return
	}
	m.closeStale(p, now, wanted)
	c := p.conn()
	p.owed = p.owed || push
	if p.owed && now-p.beaten >= m.interval(p)/ticksPerBeat || m.parting() != p.sent[c].parting {
		p.beatAt = now
	}
	if now >= p.beatAt && !p.beating && (wanted || now < p.askedUntil || m.leaving.Load()) {
		m.beat(p, c, now)
	}
}

// closeStale closes connections on which nothing is heard any more, so that a
// new one is not held up by old retransmissions, and idle ones.
func (m *Members) closeStale(p *peer, now time.Duration, wanted bool) {
	silent := now-p.heard > m.interval(p)*deadTenths/10
	idle := !wanted && now >= p.askedUntil && now-p.usedAt > idleAfter
	for _, c := range p.conns {
		if p.State == Dead && silent && wanted || idle && c.Dialed() && !c.Busy() {
			go c.Close()
		}
	}
}

// parting is how far a process has gone in leaving.
type parting struct{ leaving, gone bool }

func (m *Members) parting() parting { return parting{m.leaving.Load(), m.gone.Load()} }

// beat sends a heartbeat on c.
func (m *Members) beat(p *peer, c *link.Conn, now time.Duration) {
	b := m.nextBeat(p, c)
	p.sent[c].parting = parting{b.Leaving, b.Gone}
	var params any
	if !b.empty() {
		params = b
	}
	method := beatMethod
	if p.target {
		method = askMethod
	}
	p.beating, p.owed = true, false
	p.beaten = now
	p.beatAt = now + m.interval(p)
	m.meters.beats.Inc(1)
	go func() {
		if err := c.Notify(method, params); err != nil {
			c.Close()
		}
		m.mu.Lock()
		p.beating = false
		m.mu.Unlock()
	}()
}

// dial opens a connection to p in the background.
func (m *Members) dial(ctx context.Context, p *peer) {
	p.dialing = true
	address := p.Address
	go func() {
		c, err := m.endpoint.Dial(ctx, address)
		m.mu.Lock()
		defer m.mu.Unlock()
		p.dialing = false
		m.dialed(p, c, err)
	}()
}

// dialed records the outcome of a dial. Opened has registered the connection.
func (m *Members) dialed(p *peer, c *link.Conn, err error) {
	now := m.now()
	if err == nil {
		p.failures = 0
		if got := c.Peer(); IDOf(got.Instance, Program(got.Program)) != p.ID {
			logger.WithField("peer", p.ID).WithField("address", p.Address).Warn("another process answers at the peer's address")
			p.dialAt = now + maxBackoff
		}
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refusals++
		p.refusedAt = now
		m.poke()
	}
	p.dialAt = now + jitter(min(firstBackoff<<min(p.failures, 6), maxBackoff))
	p.failures++
}

// jitter returns three quarters to five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
