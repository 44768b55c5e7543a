package node

import (
	"cmp"
	"slices"
)

// configReaders is the number of instances of a zone that follow the configuration in the
// store. The others fetch it from peers, compressed and without a long transfer over each
// instance's link. One reader would leave the zone behind while it is slow or just lost.
const configReaders = 2

// configCandidate is an instance that may follow the configuration in the store.
type configCandidate struct {
	Instance
	ownsShard bool
}

// isConfigReader reports whether an instance is among the configReaders of its zone. Owners
// of shards come last, as they need their link for leases, and larger links come first.
func isConfigReader(name string, candidates []configCandidate) bool {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b configCandidate) int {
		return cmp.Or(
			compareTrueFirst(!a.ownsShard, !b.ownsShard),
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(weight("config", a.Instance), weight("config", b.Instance)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	ranked = ranked[:min(len(ranked), configReaders)]
	return slices.ContainsFunc(ranked, func(c configCandidate) bool { return c.Name == name })
}

// readsStore reports whether this instance has to follow the configuration in the store
// itself: in a small deployment, while it has none, and as a reader of its zone.
func (c *configs) readsStore() bool {
	candidates, known := c.node.peers.configCandidates()
	if c.current.Load() == nil || known <= maxPingTargets {
		return true
	}
	candidates = append(candidates, configCandidate{c.node.self, c.node.owners.ownsAny()})
	return isConfigReader(c.node.self.Name, candidates)
}

// configCandidates returns the live peers of the own zone that reach the store, and the
// number of all known peers.
func (p *peers) configCandidates() (candidates []configCandidate, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.byName {
		if pr.Zone == p.node.self.Zone && pr.storeOK && !pr.leaving && pr.aliveLocked() {
			candidates = append(candidates, configCandidate{pr.Instance, len(pr.owned) > 0})
		}
	}
	return candidates, len(p.byName)
}
