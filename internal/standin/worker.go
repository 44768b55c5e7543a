package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/platform"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// clockBase is the first reading of a worker's clock. It is not zero, because a stamp of
// zero means that there is no stamp.
const clockBase = time.Second

// worker is a simulated worker with its runs. Its methods that end in Locked must be called
// with mu held.
type worker struct {
	sys      *System
	inst     contract.Instance
	dataAddr string
	index    int

	mu               sync.Mutex
	boots            int // number of incarnations so far
	booted           time.Time
	incarnation      string
	epoch            uint64        // highest epoch in an accepted exchange
	grantStamp       int64         // stamp from which the lease grant in force counts
	leaseEnd         time.Duration // end of the lease on the worker's clock; zero for none
	advancedTo       time.Duration // time on the worker's clock up to which the runs are simulated
	runs             map[job.RunID]*taskRun
	order            []job.RunID           // keys of runs, in the order of their start
	highestForgotten map[job.TaskID]uint32 // highest forgotten attempt of each task
	dead             bool
	paused           chan struct{} // closed at the end of the pause; nil when not paused
	leaving          bool
	leavingSince     time.Time // time of the first report that the worker is leaving
	timer            *time.Timer
	died             chan struct{} // closed when the incarnation ends
	slots            int           // requests in flight
	conns            int           // open connections to the upstreams
	setListening     func(on bool) // opens and closes the listeners
}

func newWorker(s *System, inst contract.Instance, dataAddr string, index int) *worker {
	w := &worker{sys: s, inst: inst, dataAddr: dataAddr, index: index}
	w.bootLocked()
	return w
}

// bootLocked begins a new incarnation without runs, epoch or lease.
func (w *worker) bootLocked() {
	w.boots++
	w.booted = time.Now()
	w.incarnation = fmt.Sprintf("%s#%d", w.inst.ID, w.boots)
	w.epoch = 0
	w.leaseEnd = 0
	w.grantStamp = 0
	w.advancedTo = clockBase
	w.runs = map[job.RunID]*taskRun{}
	w.order = nil
	w.highestForgotten = map[job.TaskID]uint32{}
	w.dead = false
	w.died = make(chan struct{})
	w.slots = 0
}

// clock returns the reading of the worker's monotonic clock, which starts anew with each
// incarnation.
func (w *worker) clock() time.Duration { return time.Since(w.booted) + clockBase }

// sinceSystemStart converts a reading of the worker's clock to the time since the start of the
// system.
func (w *worker) sinceSystemStart(clock time.Duration) time.Duration {
	return w.booted.Sub(w.sys.started) + clock - clockBase
}

// applyAction applies an action to the worker.
func (w *worker) applyAction(f Fault) {
	switch f.Kind {
	case Pause:
		w.pause()
		if f.Duration > 0 {
			time.AfterFunc(f.Duration.D(), w.resume)
		}
	case Resume:
		w.resume()
	case Kill:
		w.kill()
	case Restart:
		w.kill()
		if f.Delay > 0 {
			time.AfterFunc(f.Delay.D(), w.boot)
			return
		}
		w.boot()
	}
}

func (w *worker) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.paused != nil {
		return
	}
	w.advanceLocked()
	w.paused = make(chan struct{})
}

func (w *worker) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused == nil {
		return
	}
	close(w.paused)
	w.paused = nil
	w.expireLeaseAfterPauseLocked()
	w.advanceLocked()
}

// kill ends the incarnation and its runs. If the worker is paused, its runs end at the
// beginning of the pause.
func (w *worker) kill() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.advanceLocked()
	w.dead = true
	now := min(w.clock(), w.activeUntilLocked())
	for _, id := range w.order {
		if r := w.runs[id]; !r.state.Final() {
			w.endLocked(r, contract.Stopped, "worker died", history.RunLost, now)
		}
	}
	if w.paused != nil {
		close(w.paused)
		w.paused = nil
	}
	close(w.died)
	set := w.setListening
	w.mu.Unlock()
	if set != nil {
		set(false)
	}
}

// boot restarts a dead worker.
func (w *worker) boot() {
	w.mu.Lock()
	if !w.dead {
		w.mu.Unlock()
		return
	}
	w.bootLocked()
	set := w.setListening
	w.mu.Unlock()
	if set != nil {
		set(true)
	}
}

func (w *worker) setLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = on
	if !on {
		w.leavingSince = time.Time{}
	}
}

// waitUntilResumed waits for the end of a pause. It returns an error if the worker is
// dead or ctx ends first.
func (w *worker) waitUntilResumed(ctx context.Context) error {
	for {
		w.mu.Lock()
		paused, dead := w.paused, w.dead
		w.mu.Unlock()
		if dead {
			return refused(result.WorkerUnavailable, w.inst.ID+" is dead")
		}
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return unknown(result.WorkerUnavailable, "no response before the timeout")
		}
	}
}

// sendExchange makes an exchange under the faults in force.
func (w *worker) sendExchange(ctx context.Context, from platform.Caller, req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	waiting, cancel := context.WithTimeout(ctx, w.sys.cfg.CallTimeout.D())
	defer cancel()
	if err := w.waitUntilResumed(waiting); err != nil {
		return contract.ExchangeReply{}, err
	}
	p := callPath{from.Zone, w.inst.Zone, []string{w.inst.ID, "workers"}, result.WorkerUnavailable, result.WorkerUnavailable}
	reply := make(chan contract.ExchangeReply, 1)
	err := w.sys.callUnderFaults(ctx, p, true, func() error {
		r, err := w.exchange(req)
		reply <- r
		return err
	})
	if err != nil {
		return contract.ExchangeReply{}, err
	}
	r := <-reply
	w.markReported(r)
	return r, nil
}

// markReported records which runs were reported as ended, once the reply was delivered.
func (w *worker) markReported(reply contract.ExchangeReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Incarnation != w.incarnation {
		return
	}
	for _, report := range reply.Runs {
		if r := w.runs[report.Run]; r != nil && report.State.Final() && !r.reported {
			r.reported = true
			w.sys.events.addReport(history.EndReport{At: w.sys.now(), Incarnation: w.incarnation, Run: r.id})
		}
	}
}

// match returns the first fault of kind in force on the worker.
func (w *worker) match(kind Kind) (Fault, bool) {
	return w.sys.faults.match(kind, w.inst.ID, "workers")
}

// committedLocked returns the sum of the commitments of all runs that have not ended.
func (w *worker) committedLocked() resource.Vector {
	var sum resource.Vector
	for _, r := range w.runs {
		if !r.state.Final() {
			sum = sum.Add(r.commit)
		}
	}
	return sum
}
