package node

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"skylarkport/internal/contract/fleet"
)

// bootClock counts also while the machine is suspended, as a holder's own
// deadlines must.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}

// sawStoreClock measures, once in a life, how far the time of day is ahead of
// the store's clock. A later jump of the time of day does not change it.
func (n *Node) sawStoreClock(c fleet.Clock) {
	if c > 0 && n.offset.Load() == 0 {
		n.offset.Store(time.Now().UnixMilli() - int64(c))
	}
}

// unix converts the store's clock to the time of day that most instances agree on.
func (n *Node) unix(now fleet.Clock) time.Time {
	offsets := []int64{n.offset.Load()}
	for _, i := range n.peers.instances() {
		if i.Offset != 0 {
			offsets = append(offsets, i.Offset)
		}
	}
	slices.Sort(offsets)
	return time.UnixMilli(int64(now) + offsets[len(offsets)/2])
}
