package node

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"skylarkport/internal/contract/fleet"
)

// bootClock returns the time since boot. Unlike Go's monotonic clock it also advances
// while the machine is suspended, as the deadlines of an owner must.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}

// observeStoreClock measures, once per process, how far the wall clock is ahead of
// the store's clock. Later jumps of the wall clock do not change the result.
func (n *Node) observeStoreClock(c fleet.Clock) {
	if c > 0 && n.offset.Load() == 0 {
		n.offset.Store(time.Now().UnixMilli() - int64(c))
	}
}

// wallTime converts the store's clock to wall-clock time. It uses the median of the
// offsets that the instances measured, so that one wrong wall clock has no effect.
func (n *Node) wallTime(now fleet.Clock) time.Time {
	offsets := []int64{n.offset.Load()}
	for _, i := range n.peers.instances() {
		if i.Offset != 0 {
			offsets = append(offsets, i.Offset)
		}
	}
	slices.Sort(offsets)
	return time.UnixMilli(int64(now) + offsets[len(offsets)/2])
}
