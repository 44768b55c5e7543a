package member

import (
	"slices"
	"time"
)

// refresh determines every peer's state and publishes a new view if one changed. It
// first sets the states that this process observes itself, then those that peers
// of the other zones report. It also removes peers that have been dead and
// unlisted for long. The caller holds m.mu.
func (m *Membership) refresh(now time.Duration) {
	for _, p := range m.peers {
		if s := classifyPeer(p.evidence, now, m.interval(p)); m.usesOwnEvidence(p, s, now) {
			m.setState(p, applyListedState(p, s), now)
		}
	}
	reporters := m.reporters(now)
	for id, p := range m.peers {
		if s := classifyPeer(p.evidence, now, m.interval(p)); !m.usesOwnEvidence(p, s, now) {
			m.setState(p, applyListedState(p, reportedState(p, s, reporters[p.Zone])), now)
		}
		if p.State == Dead && !p.listed && now-p.deadSince > deadPeerRetention && len(p.conns) == 0 {
			delete(m.peers, id)
			m.viewOutdated = true
		}
	}
	m.publish()
}

// usesOwnEvidence reports whether s, the state by this process's own evidence, is
// used for p: for every peer of its zone, for those of other zones with which it
// exchanges heartbeats, and for a peer that announced its stop or refuses
// connections. For the others it relies on the reports of peers in their zone.
func (m *Membership) usesOwnEvidence(p *peer, s State, now time.Duration) bool {
	if p.Zone == m.self.Zone || p.announcedStop || p.refusesConnections(now) {
		return true
	}
	return len(p.conns) > 0 && (p.heartbeatTarget || s == Alive)
}

// setState records a change of a peer's state. A change in this process's zone is
// sent to the peers without waiting for the next regular heartbeat.
func (m *Membership) setState(p *peer, s State, now time.Duration) {
	if s == p.State {
		return
	}
	if s == Dead {
		p.deadSince = now
		if p.up {
			p.flaps.recordDeath(now)
		}
		p.up = false
	}
	if p.State != "" || s != Suspect {
		logger.WithField("peer", p.ID).WithField("zone", p.Zone).Infof("peer is %s", s)
	}
	p.State = s
	m.viewOutdated = true
	if p.Zone == m.self.Zone {
		m.sendNow = true
	}
}

// applyListedState returns s, or Leaving for an alive peer that the platform's list
// shows as leaving.
func applyListedState(p *peer, s State) State {
	if p.listedLeaving && s == Alive {
		return Leaving
	}
	return s
}

// statePrecedence holds the states by precedence: where reports about a peer
// differ, the first of them counts.
var statePrecedence = []State{Alive, Leaving, Suspect, Dead}

// reporters returns, by zone, the peers of the other zones whose reports about the
// processes of their zone are used: those with an open connection from which a
// message arrived recently enough that they are not dead. What others report about a
// peer does not make it a reporter: otherwise silent peers could keep each other
// alive with old reports.
func (m *Membership) reporters(now time.Duration) map[string][]*peer {
	out := map[string][]*peer{}
	for _, q := range m.peers {
		fresh := q.everReceived && now-q.lastMessage <= m.interval(q)*deadTenths/10
		if q.Zone != m.self.Zone && fresh && len(q.conns) > 0 {
			out[q.Zone] = append(out[q.Zone], q)
		}
	}
	return out
}

// reportedState returns the state of p that comes first in statePrecedence among
// those that the reporters of p's zone report for its current incarnation. Without
// a report it returns own, the state by this process's evidence, if p is a
// heartbeat target. Otherwise a dead peer stays dead, and any other is suspect.
func reportedState(p *peer, own State, reporters []*peer) State {
	bestRank := -1
	for _, q := range reporters {
		e, ok := q.roster[p.ID]
		if !ok || p.Incarnation != "" && e.Incarnation != p.Incarnation {
			continue
		}
		rank := slices.Index(statePrecedence, e.State)
		if rank >= 0 && (bestRank < 0 || rank < bestRank) {
			bestRank = rank
		}
	}
	if bestRank < 0 && p.heartbeatTarget {
		return own
	}
	if bestRank < 0 && p.State == Dead {
		return Dead
	}
	if bestRank < 0 {
		return Suspect
	}
	return statePrecedence[bestRank]
}

// publish replaces the current view if a peer changed.
func (m *Membership) publish() {
	if !m.viewOutdated {
		return
	}
	m.viewOutdated = false
	old := m.currentView.Load()
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
	m.currentView.Store(&publishedView{view: next, changed: make(chan struct{})})
	close(old.changed)
}
