package member

import (
	"slices"
	"time"
)

// targetsPerZone is how many processes of each other zone a process beats.
const targetsPerZone = 2

// chooseTargets picks the peers of other zones that this process beats: by
// rendezvous hashing among those that are not dead, filled up with dead ones in
// turn, so that a zone that comes back is found.
func (m *Members) chooseTargets(now time.Duration) {
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

func (m *Members) chooseInZone(peers []*peer, now time.Duration) {
	turn := uint64(now / (maxBackoff * 2))
	score := func(p *peer) uint64 {
		if p.State == Dead || p.State == Leaving {
			return (p.rank + turn*(1<<61)) >> 1
		}
		return p.rank>>1 | 1<<63
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	for i, p := range peers {
		chosen := i < targetsPerZone
		if chosen && !p.target && (p.State == Alive || p.State == Leaving) {
			p.since = now // the wait for its first heartbeat begins
		}
		if !chosen && p.target && p.everHeard {
			p.since = 0
		}
		p.target = chosen
	}
}
