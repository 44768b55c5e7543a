package member

import (
	"time"

	"skylarkport/internal/link"
)

// TestNet is the in-memory network for tests in package member_test.
type TestNet struct{ net *memNet }

// NewTestNet returns a network with a one-way delay.
func NewTestNet(delay time.Duration) TestNet { return TestNet{newNet(delay)} }

// Host returns the network as the process at address sees it.
func (n TestNet) Host(address string) link.Transport { return memHost{n.net, address} }

// SetPartition blocks or unblocks both directions between two sets of addresses.
func (n TestNet) SetPartition(blocked bool, a, b []string) {
	n.net.setBlockedBoth(blocked, a, b)
}
