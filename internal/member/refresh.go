package member

import (
	"slices"
	"time"
)

// refresh works out every peer's state and publishes a view where one changed.
// The caller holds m.mu.
func (m *Members) refresh(now time.Duration) {
	for _, p := range m.peers {
		if s := assess(p.evidence, now, m.interval(p)); m.observed(p, s, now) {
			m.setState(p, listedState(p, s), now)
		}
	}
	reporters := m.reporters(now)
	for id, p := range m.peers {
		if s := assess(p.evidence, now, m.interval(p)); !m.observed(p, s, now) {
			m.setState(p, listedState(p, reported(p, s, reporters[p.Zone])), now)
		}
		if p.State == Dead && !p.listed && now-p.diedAt > forgetAfter && len(p.conns) == 0 {
			delete(m.peers, id)
			m.dirty = true
		}
	}
	m.publish()
}

// observed reports whether the state s by own evidence counts: for the peers
// that this process beats or hears. Of the others it is told.
func (m *Members) observed(p *peer, s State, now time.Duration) bool {
	if p.Zone == m.self.Zone || p.gone || p.refused(now) {
		return true
	}
	return len(p.conns) > 0 && (p.target || s == Alive)
}

func (m *Members) setState(p *peer, s State, now time.Duration) {
	if s == p.State {
		return
	}
	if s == Dead {
		p.diedAt = now
		if p.up {
			p.flaps.died(now)
		}
		p.up = false
	}
	if p.State != "" || s != Suspect {
		logger.WithField("peer", p.ID).WithField("zone", p.Zone).Infof("peer is %s", s)
	}
	p.State = s
	m.dirty = true
	if p.Zone == m.self.Zone {
		m.pushed = true
	}
}

// listedState applies what the platform's list says.
func listedState(p *peer, s State) State {
	if p.listedLeaving && s == Alive {
		return Leaving
	}
	return s
}

// order ranks reports of several peers: the best goes first.
var order = []State{Alive, Leaving, Suspect, Dead}

// reporters returns the peers of each other zone that are heard directly. What
// others say of them does not count, or silent ones would vouch for each other.
func (m *Members) reporters(now time.Duration) map[string][]*peer {
	out := map[string][]*peer{}
	for _, q := range m.peers {
		fresh := q.everHeard && now-q.heard <= m.interval(q)*deadTenths/10
		if q.Zone != m.self.Zone && fresh && len(q.conns) > 0 {
			out[q.Zone] = append(out[q.Zone], q)
		}
	}
	return out
}

// reported is the best that the reporters of p's zone say of p. Where none of
// them knows p it is own, the state by own evidence, for a peer that this process
// tries to reach, and for the others Dead where it was, else Suspect.
func reported(p *peer, own State, reporters []*peer) State {
	best := -1
	for _, q := range reporters {
		e, ok := q.roster[p.ID]
		if !ok || p.Incarnation != "" && e.Incarnation != p.Incarnation {
			continue
		}
		rank := slices.Index(order, e.State)
		if rank >= 0 && (best < 0 || rank < best) {
			best = rank
		}
	}
	if best < 0 && p.target {
		return own
	}
	if best < 0 && p.State == Dead {
		return Dead
	}
	if best < 0 {
		return Suspect
	}
	return order[best]
}

// publish replaces the view where it differs.
func (m *Members) publish() {
	if !m.dirty {
		return
	}
	m.dirty = false
	old := m.current.Load()
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p.Peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(peers, old.view.Peers) {
		return
	}
	next := &View{Version: old.view.Version + 1, Peers: peers}
	m.current.Store(&published{view: next, changed: make(chan struct{})})
	close(old.changed)
}
