package member

import (
	"slices"
	"time"
)

// targetsPerZone is the number of processes in each other zone to which a process
// sends heartbeats.
const targetsPerZone = 2

// chooseTargets selects the peers of other zones to which this process sends
// heartbeats: by rendezvous hashing among those that are neither dead nor leaving.
// Where there are too few, dead and leaving ones take the remaining places in
// rotation, so that a zone that becomes reachable again is found.
func (m *Membership) chooseTargets(now time.Duration) {
	zones := map[string][]*peer{}
	for _, p := range m.peers {
		if p.Zone != m.self.Zone {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for _, peers := range zones {
		m.chooseInZone(peers, now)
	}
}

func (m *Membership) chooseInZone(peers []*peer, now time.Duration) {
	turn := uint64(now / (maxDialBackoff * 2))
	score := func(p *peer) uint64 {
		if p.State == Dead || p.State == Leaving {
			return (p.hashRank + turn*(1<<61)) >> 1
		}
		return p.hashRank>>1 | 1<<63
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	for i, p := range peers {
		chosen := i < targetsPerZone
		if chosen && !p.heartbeatTarget && (p.State == Alive || p.State == Leaving) {
			p.waitingSince = now // its first heartbeat is awaited from now on
		}
		if !chosen && p.heartbeatTarget && p.everReceived {
			p.waitingSince = 0
		}
		p.heartbeatTarget = chosen
	}
}
