package member

import (
	"time"

	"skylarkport/internal/link"
)

// peer is this process's record of a peer, guarded by Membership.mu. Times are since
// the process started, by the monotonic clock.
type peer struct {
	Peer
	evidence
	flaps flaps
	up    bool // a message was received since the peer was last dead

	listed                   bool          // in the platform's list
	listedLeaving            bool          // listed there as leaving
	heartbeatTarget          bool          // a peer of another zone to which this process sends heartbeats
	hashRank                 uint64        // rendezvous hash of this process and the peer
	heartbeatsRequestedUntil time.Duration // until when the peer wants heartbeats in return

	conns         []*link.Conn // newest last
	sentState     map[*link.Conn]*sentState
	dialing       bool
	failedDials   int           // dials failed in a row
	nextDial      time.Duration // earliest time of the next dial
	sending       bool          // a heartbeat is being written
	changePending bool          // a change has not been sent yet
	heartbeatDue  time.Duration // when the next heartbeat is due
	lastHeartbeat time.Duration // when the last heartbeat was sent
	lastUsed      time.Duration // last time that a connection opened or this process called
	deadSince     time.Duration // when the peer became dead

	roster map[string]rosterEntry // the states that the peer reports for its zone, by peer id
}

// conn returns the newest connection, or nil.
func (p *peer) conn() *link.Conn {
	if len(p.conns) == 0 {
		return nil
	}
	return p.conns[len(p.conns)-1]
}

// recordMessage records that a message of the peer was received. A peer that was
// dead stays suspect for a while if it flaps.
func (p *peer) recordMessage(now time.Duration) {
	if !p.everReceived || p.State == Dead {
		p.dampedUntil = now + p.flaps.suspectTime(now)
	}
	p.lastMessage = now
	p.up = true
	p.everReceived = true
	p.refusedDials = 0
	p.announcedStop = false
}

// resetForIncarnation resets the record for a new incarnation of the peer. A change
// of the incarnation counts as a death of the peer.
func (p *peer) resetForIncarnation(incarnation string, now time.Duration) {
	if p.Incarnation != "" {
		p.flaps.recordDeath(now)
		p.dampedUntil = now + p.flaps.suspectTime(now)
	}
	p.Incarnation = incarnation
	p.announcedLeaving = false
	p.announcedStop = false
	p.refusedDials = 0
	p.notReceivedUntil = 0
	p.roster = map[string]rosterEntry{}
}

// removeConn removes a closed connection.
func (p *peer) removeConn(c *link.Conn) {
	for i, have := range p.conns {
		if have == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			break
		}
	}
	delete(p.sentState, c)
}
