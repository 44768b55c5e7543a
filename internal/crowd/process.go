package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// sampleInterval is the interval between two counts of open descriptors.
const sampleInterval = 20 * time.Millisecond

// PeakMemory returns the most memory that the process with the given id has had resident, in bytes.
func PeakMemory(pid int) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		rest, ok := strings.CutPrefix(s.Text(), "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
		return kb << 10, err
	}
	return 0, fmt.Errorf("process %d states no peak of its memory", pid)
}

// Descriptors counts the open descriptors of a process until Stop.
type Descriptors struct {
	most atomic.Int64
	stop chan struct{}
	done chan struct{}
}

// WatchDescriptors begins to count the open descriptors of the process with the given id.
func WatchDescriptors(pid int) *Descriptors {
	d := &Descriptors{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for {
			if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				d.most.Store(max(d.most.Load(), int64(len(list))))
			}
			select {
			case <-d.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return d
}

// Stop returns the most descriptors that were open at a time.
func (d *Descriptors) Stop() int {
	close(d.stop)
	<-d.done
	return int(d.most.Load())
}
