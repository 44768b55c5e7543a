package member

import (
	"time"

	"skylarkport/internal/link"
)

// peer is this process's record of a peer. Members.mu guards it.
type peer struct {
	Peer
	evidence
	flaps flaps
	up    bool // heard since the last death

	listed        bool // in the platform's list
	listedLeaving bool
	target        bool   // a peer of another zone that this process beats
	rank          uint64 // by rendezvous hashing with this process
	askedUntil    time.Duration

	conns    []*link.Conn // newest last
	sent     map[*link.Conn]*sent
	dialing  bool
	failures int // of dialing, in a row
	dialAt   time.Duration
	beating  bool
	owed     bool // a change that was not sent yet
	beatAt   time.Duration
	beaten   time.Duration
	usedAt   time.Duration // last opened or called by this process
	diedAt   time.Duration

	roster map[string]rosterEntry // what the peer says of its zone
}

func (p *peer) conn() *link.Conn {
	if len(p.conns) == 0 {
		return nil
	}
	return p.conns[len(p.conns)-1]
}

// hear records a message of the peer.
func (p *peer) hear(now time.Duration) {
	if !p.everHeard || p.State == Dead {
		p.heldUntil = now + p.flaps.hold(now)
	}
	p.heard = now
	p.up = true
	p.everHeard = true
	p.refusals = 0
	p.gone = false
}

// restart forgets what is known of the earlier incarnation.
func (p *peer) restart(incarnation string, now time.Duration) {
	if p.Incarnation != "" {
		p.flaps.died(now)
		p.heldUntil = now + p.flaps.hold(now)
	}
	p.Incarnation = incarnation
	p.saidLeaving = false
	p.gone = false
	p.refusals = 0
	p.unheardUntil = 0
	p.roster = map[string]rosterEntry{}
}

func (p *peer) drop(c *link.Conn) {
	for i, have := range p.conns {
		if have == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			break
		}
	}
	delete(p.sent, c)
}
