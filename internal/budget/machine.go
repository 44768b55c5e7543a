package budget

import (
	"golang.org/x/sys/unix"
)

// Machine is the size of the machine that a process may use. Zero means unknown.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
}

const (
	// fileDescriptors is the part of the descriptors that is reserved for files.
	fileDescriptors = 200
	// minSockets is the least number of sockets that are divided, where a machine has hardly any descriptors.
	minSockets = 64
	// minHolders is the least number of connections of a share.
	minHolders = 4
)

// OrDefault returns m with what is unknown replaced by the memory of the whole machine and the process's limit of
// descriptors.
func (m Machine) OrDefault() Machine {
	var info unix.Sysinfo_t
	if m.Memory == 0 && unix.Sysinfo(&info) == nil {
		m.Memory = int64(info.Totalram) * int64(info.Unit)
	}
	var limit unix.Rlimit
	if m.Descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		m.Descriptors = int(min(limit.Cur, 1<<20))
	}
	return m
}

// share returns the fraction 1/memory of the machine's memory and 1/sockets of its sockets.
func (m Machine) share(memory int64, sockets int) Share {
	n := max(minSockets, m.Descriptors-fileDescriptors)
	return Share{Bytes: m.Memory / memory, Holders: max(minHolders, n/sockets)}
}

// Callers returns the share of the clients that nobody vouches for: a quarter of the memory and half of the
// sockets.
func (m Machine) Callers() Share { return m.share(4, 2) }

// Peers returns the share of the other processes of the deployment.
func (m Machine) Peers() Share { return m.share(8, 4) }

// Probe returns the share of those that check or scrape the process.
func (m Machine) Probe() Share { return m.share(64, 32) }

// HeapLimit returns the bytes that the Go runtime should keep to. The rest is for what it does not account for:
// the program itself and what the kernel holds for its sockets.
func (m Machine) HeapLimit() int64 { return m.Memory / 4 * 3 }
