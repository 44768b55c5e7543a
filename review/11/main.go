// Command 11 plays a cancellation that is acknowledged before it is stored: the answers to two commits of the owner
// are lost, and its process is killed after the acknowledgement.
package main

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"skylarkport/review/rig3"
)

const (
	job    = "00000000000000a1"
	prefix = "/aaa/"
	// lateBy is how much later the store carries out the writes without an answer.
	lateBy = 3 * time.Second
	// lostWrites is how many writes in a row get no answer. They are less than 35 of 100 of the writes in lostWindow.
	lostWrites   = 2
	lostWindow   = 4500 * time.Millisecond
	lostShare    = 0.35
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

// trouble reports whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() { rig3.Main(run) }

func run(r *rig3.Rig) (int, error) {
	var lossesLeft atomic.Int32
	var writes writeLog
	var owner atomic.Pointer[rig3.Node]
	r.Store.Lose = func(client, path string) rig3.Loss {
		if path != "/rows-tx" {
			return rig3.Loss{}
		}
		known := owner.Load()
		lost := known != nil && client == known.Name && lossesLeft.Add(-1) >= 0
		writes.add(lost)
		if lost {
			r.Record.Add("lost-write", "node", client, "late", lateBy)
			return rig3.Loss{Lost: true, Late: lateBy}
		}
		return rig3.Loss{}
	}
	if err := r.StartSmall(3, rig3.NewRoute("r-a", prefix, 4)); err != nil {
		return rig3.NotRun, err
	}
	owned := r.OwnerNode()
	owner.Store(owned)
	var others []*rig3.Node
	for _, n := range r.Nodes {
		if n != owned {
			others = append(others, n)
		}
	}
	r.Record.Add("owner", "node", owned.Name)

	step := func(after ...int) *rig3.Step {
		return &rig3.Step{Count: 3, CPU: 1000, MemMB: 256, EstimatedMs: 4000, After: after, Work: 4 * time.Second}
	}
	if trouble() {
		lossesLeft.Store(lostWrites)
	}
	// The client hands the job in and cancels it before it has an answer.
	var wg sync.WaitGroup
	wg.Go(func() { r.Submit(others[0], prefix, job, rig3.Schedule{}, step(), step(0), step(1)) })
	time.Sleep(400 * time.Millisecond)
	reply := r.Do(others[1], http.MethodDelete, prefix+job, nil)
	acked := r.Record.Now()
	if trouble() {
		owned.Signal(syscall.SIGKILL)
	}
	wg.Wait()
	for reply.Status != http.StatusOK && reply.Status != http.StatusGone {
		reply = r.Do(others[1], http.MethodDelete, prefix+job, nil)
		acked = r.Record.Now()
	}
	r.Record.Add("cancelled", "status", reply.Status)
	time.Sleep(16 * time.Second)
	for _, n := range others {
		r.State(n, prefix, job)
	}
	share := writes.largestShare(lostWindow)
	r.Record.Add("lost-share", "share", share)
	if share > lostShare {
		return rig3.NotRun, nil
	}
	// Only starts by machines in touch count: the process that was killed, and the last late write, are over for so long.
	from := acked + max(cancelBound, lateBy+contactBound)
	code := rig3.Held
	for _, e := range r.Record.Events("start") {
		if e.At > from {
			r.Record.Add("broken", "rule", "UNASKED", "task", e.Fields["task"], "after_ack", e.At-acked)
			code = rig3.Broken
		}
	}
	return code, nil
}

// writeLog tells how many of the writes got no answer.
type writeLog struct {
	mu   sync.Mutex
	at   []time.Time
	lost []bool
}

func (l *writeLog) add(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at, l.lost = append(l.at, time.Now()), append(l.lost, lost)
}

// largestShare returns the share of lost writes in the window that ends with the last of them.
func (l *writeLog) largestShare(window time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := -1
	for i := range l.lost {
		if l.lost[i] {
			last = i
		}
	}
	if last < 0 {
		return 0
	}
	lost, all := 0, 0
	for i := range l.at {
		if d := l.at[last].Sub(l.at[i]); d >= 0 && d <= window {
			all++
			if l.lost[i] {
				lost++
			}
		}
	}
	return float64(lost) / float64(all)
}
