package member

import (
	"time"

	"skylarkport/internal/link"
)

// TestNet is the in-memory network for the tests outside the package.
type TestNet struct{ net *memNet }

// NewTestNet returns a network with a one-way delay.
func NewTestNet(delay time.Duration) TestNet { return TestNet{newNet(delay)} }

// Host returns the network as the process at address sees it.
func (n TestNet) Host(address string) link.Transport { return host{n.net, address} }

// Cut cuts or heals both directions between two sets of addresses.
func (n TestNet) Cut(cut bool, a, b []string) { n.net.setBoth(cut, a, b) }
