package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelSlots is the number of slots of each worker in the model.
const modelSlots = 8

var modelWorkers = []string{"w0", "w1", "w2"}

// entrySim simulates one incarnation of an entry.
type entrySim struct {
	id      string
	manager *Manager
	gauges  map[string]*Semaphore
	rate    float64 // speed of its clock relative to the simulated time
	alive   bool
	paused  bool
}

// Limit implements Pool.
func (e *entrySim) Limit(s Partitions) bool {
	within := true
	for w, g := range e.gauges {
		if !g.SetLimit(s.UnitsOf(w, modelSlots)) {
			within = false
		}
	}
	return within
}

// requestSim is a request that runs at a worker until its end time.
type requestSim struct {
	entry  *entrySim
	worker string
	until  time.Duration
}

// messageSim is a message in transit, which may arrive at any time or never.
type messageSim struct {
	to      *entrySim
	deliver func()
}

// testEnv simulates several entries, the platform's table and instance list, and
// the network between the entries.
type testEnv struct {
	t                *rapid.T
	now              time.Duration
	entries          []*entrySim     // newest incarnation of each instance
	droppedInstances map[string]bool // instances that the platform's list has dropped
	requests         []*requestSim
	messages         []*messageSim
	row              Assignment
	version          uint64
	delayedWrites    []func() // writes without a response that may still take effect
	incarnations     int
	served           int
}

func newTestEnv(t *rapid.T) *testEnv {
	w := &testEnv{t: t, droppedInstances: map[string]bool{}}
	w.addEntry()
	w.addEntry()
	return w
}

func (w *testEnv) clock(e *entrySim) time.Duration { return time.Duration(float64(w.now) * e.rate) }

func (w *testEnv) start(id string) *entrySim {
	e := &entrySim{id: id, gauges: map[string]*Semaphore{}, alive: true}
	e.rate = rapid.SampledFrom([]float64{1, 1.003, 0.997}).Draw(w.t, "rate")
	for _, name := range modelWorkers {
		e.gauges[name] = new(Semaphore)
	}
	w.incarnations++
	e.manager = NewManager(id, uint64(w.incarnations)<<32, e)
	return e
}

func (w *testEnv) addEntry() {
	if len(w.entries) >= 4 {
		return
	}
	w.entries = append(w.entries, w.start(fmt.Sprintf("i%d", w.incarnations)))
}

// drawEntry draws an entry and returns it, or nil if it is dead or paused.
func (w *testEnv) drawEntry(name string) *entrySim {
	e := rapid.SampledFrom(w.entries).Draw(w.t, name)
	if !e.alive || e.paused {
		return nil
	}
	return e
}

func (w *testEnv) advance() {
	w.now += time.Duration(rapid.IntRange(1, 20000).Draw(w.t, "ms")) * time.Millisecond
	kept := w.requests[:0]
	for _, r := range w.requests {
		if r.until <= w.now {
			r.entry.gauges[r.worker].Release()
			continue
		}
		kept = append(kept, r)
	}
	w.requests = kept
	for _, e := range w.entries {
		if e.alive && !e.paused {
			e.manager.ExpireLoans(w.clock(e))
		}
	}
}

// fillSlots fills every slot that an entry may use at some workers, so that a
// partition used by two entries overloads a worker.
func (w *testEnv) fillSlots() {
	e := w.drawEntry("entry")
	if e == nil {
		return
	}
	e.manager.ExpireLoans(w.clock(e))
	workers := modelWorkers[rapid.IntRange(0, len(modelWorkers)-1).Draw(w.t, "workers"):]
	d := time.Duration(rapid.IntRange(1, 30).Draw(w.t, "seconds")) * time.Second
	for _, name := range workers {
		for e.gauges[name].TryAcquire() {
			w.served++
			w.requests = append(w.requests, &requestSim{e, name, w.now + d})
		}
	}
}

// finishRequests ends all requests of one entry.
func (w *testEnv) finishRequests() {
	if len(w.requests) == 0 {
		return
	}
	e := rapid.SampledFrom(w.requests).Draw(w.t, "request").entry
	kept := w.requests[:0]
	for _, r := range w.requests {
		if r.entry == e {
			r.entry.gauges[r.worker].Release()
			continue
		}
		kept = append(kept, r)
	}
	w.requests = kept
}

// syncRow lets one entry read and write the row. The table may be unreachable,
// and the write may be refused, lose its response or take effect late.
func (w *testEnv) syncRow() {
	e := w.drawEntry("entry")
	if e == nil || rapid.IntRange(0, 4).Draw(w.t, "table") == 0 {
		return
	}
	if w.version == 0 {
		w.commit(e, NewAssignment(e.id), 0)
		return
	}
	e.manager.Read(w.clock(e), w.row, w.version)
	var gone []string
	for id := range w.droppedInstances {
		if w.row.IsMember(id) {
			gone = append(gone, id)
		}
	}
	if d, version, change := e.manager.PlanWrite(w.clock(e), gone); change {
		w.commit(e, d, version)
	}
}

func (w *testEnv) commit(e *entrySim, d Assignment, version uint64) {
	apply := func() bool {
		if w.version != version {
			return false
		}
		w.row, w.version = d.clone(), version+1
		return true
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "delayed", "refused"}).Draw(w.t, "write") {
	case "ok":
		if apply() {
			e.manager.RecordWrite(w.clock(e), d, version+1)
		} else {
			e.manager.RecordRefusedWrite(w.clock(e), version)
		}
	case "lost":
		apply()
		e.manager.RecordUncertainWrite(version)
	case "delayed":
		w.delayedWrites = append(w.delayedWrites, func() { apply() })
		e.manager.RecordUncertainWrite(version)
	case "refused":
		e.manager.RecordRefusedWrite(w.clock(e), version)
	}
}

func (w *testEnv) applyDelayedWrite() {
	if len(w.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayedWrites)-1).Draw(w.t, "delayed")
	w.delayedWrites[i]()
	w.delayedWrites = append(w.delayedWrites[:i], w.delayedWrites[i+1:]...)
}

// send puts a message for to in transit; f runs when it arrives.
func (w *testEnv) send(to *entrySim, f func()) { w.messages = append(w.messages, &messageSim{to, f}) }

func (w *testEnv) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
	m := w.messages[i]
	if m.to.paused {
		return
	}
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if m.to.alive && rapid.IntRange(0, 5).Draw(w.t, "lost") > 0 {
		m.deliver()
	}
}

// byID returns the newest incarnation of an instance.
func (w *testEnv) byID(id string) *entrySim {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *testEnv) borrow() {
	e, lender := w.drawEntry("borrower"), w.drawEntry("lender")
	if e == nil || lender == nil || e == lender {
		return
	}
	e.manager.BeginBorrow()
	asked := w.clock(e)
	want := rapid.IntRange(1, PartitionCount).Draw(w.t, "want")
	answered := false
	w.send(lender, func() {
		l := lender.manager.Lend(w.clock(lender), e.id, want)
		w.send(e, func() {
			answered = true
			e.manager.CompleteBorrow(w.clock(e), asked, lender.id, l)
		})
	})
	// The call may time out; a response that arrives later is discarded.
	w.messages = append(w.messages, &messageSim{e, func() {
		if !answered {
			e.manager.AbortBorrow()
			w.discardMessages(e, &answered)
		}
	}})
}

// discardMessages discards the messages to e after its call has timed out.
func (w *testEnv) discardMessages(e *entrySim, answered *bool) {
	kept := w.messages[:0]
	for _, m := range w.messages {
		if m.to != e {
			kept = append(kept, m)
		}
	}
	w.messages = kept
	*answered = true
}

// borrowWithoutDelay is a loan request whose response arrives immediately.
func (w *testEnv) borrowWithoutDelay() {
	n := len(w.messages)
	w.borrow()
	if len(w.messages) == n {
		return
	}
	ask := w.messages[n]
	w.messages = w.messages[:n]
	ask.deliver()
	reply := w.messages[n]
	w.messages = w.messages[:n]
	reply.deliver()
}

// syncAll lets every running entry read and write the row twice without faults.
func (w *testEnv) syncAll() {
	for range 2 {
		for _, e := range w.entries {
			if e.alive && !e.paused && w.version > 0 {
				e.manager.Read(w.clock(e), w.row, w.version)
				if d, version, change := e.manager.PlanWrite(w.clock(e), nil); change {
					w.row, w.version = d.clone(), version+1
					e.manager.RecordWrite(w.clock(e), d, version+1)
				}
			}
		}
	}
}

func (w *testEnv) renewLoans() {
	e := w.drawEntry("borrower")
	if e == nil {
		return
	}
	asked := w.clock(e)
	for id, loans := range e.manager.RenewableLoans() {
		if lender := w.byID(id); lender != nil {
			w.send(lender, func() {
				extended := lender.manager.Renew(w.clock(lender), e.id, loans)
				w.send(e, func() { e.manager.HandleRenewal(w.clock(e), asked, id, extended) })
			})
		}
	}
}

func (w *testEnv) recallLoans() {
	e := w.drawEntry("lender")
	if e == nil {
		return
	}
	for id, loans := range e.manager.Recall() {
		if b := w.byID(id); b != nil {
			w.send(b, func() { b.manager.HandleRecall(w.clock(b), e.id, loans) })
		}
	}
}

func (w *testEnv) returnLoans() {
	e := w.drawEntry("borrower")
	if e == nil {
		return
	}
	if rapid.Bool().Draw(w.t, "drop") {
		e.manager.ReleaseIdleBorrowed(w.clock(e), PartitionCount)
	}
	for id, loans := range e.manager.TakeReturnable(w.clock(e)) {
		if l := w.byID(id); l != nil {
			w.send(l, func() { l.manager.HandleReturn(w.clock(l), e.id, loans) })
		}
	}
}

// clear asks every member for its borrowed partitions and ends the wait for
// loans. It does nothing if a member does not respond or has a loan request
// pending.
func (w *testEnv) clear() {
	e := w.drawEntry("entry")
	if e == nil || !e.manager.HasBlocked(w.clock(e)) {
		return
	}
	row, _, _ := e.manager.CurrentAssignment()
	held := map[string]Partitions{}
	for _, id := range row.Members {
		if id == e.id {
			continue
		}
		m := w.byID(id)
		if m == nil || !m.alive || m.paused {
			return
		}
		s, settled := m.manager.BorrowedPartitions()
		if !settled {
			return
		}
		held[id] = s
	}
	e.manager.ClearBlocked(w.clock(e), held)
}

// crash kills a process. Its requests end, because their connections close.
func (w *testEnv) crash() {
	e := rapid.SampledFrom(w.entries).Draw(w.t, "entry")
	if !e.alive || rapid.IntRange(0, 2).Draw(w.t, "crash") > 0 {
		return
	}
	e.alive = false
	kept := w.requests[:0]
	for _, r := range w.requests {
		if r.entry != e {
			kept = append(kept, r)
		}
	}
	w.requests = kept
}

// replaceDead restarts a dead process on its instance, or removes the instance
// from the platform's list.
func (w *testEnv) replaceDead() {
	for i, e := range w.entries {
		if e.alive {
			continue
		}
		if rapid.Bool().Draw(w.t, "restart") {
			w.entries[i] = w.start(e.id)
			return
		}
		w.droppedInstances[e.id] = true
		w.entries = append(w.entries[:i], w.entries[i+1:]...)
		if len(w.entries) == 0 {
			w.addEntry()
		}
		return
	}
}

func (w *testEnv) togglePause() {
	e := rapid.SampledFrom(w.entries).Draw(w.t, "entry")
	e.paused = e.alive && !e.paused
}

func (w *testEnv) leave() {
	e := w.drawEntry("entry")
	if e == nil || len(w.entries) < 2 || rapid.IntRange(0, 4).Draw(w.t, "leave") > 0 {
		return
	}
	for _, r := range w.requests {
		if r.entry == e {
			return
		}
	}
	if d, version, change := e.manager.PlanLeave(w.clock(e)); change {
		w.commit(e, d, version)
	}
	e.alive = false
}

// check verifies the invariant: no worker runs more requests than it has slots.
func (w *testEnv) check(t *rapid.T) {
	for _, name := range modelWorkers {
		sum := 0
		for _, r := range w.requests {
			if r.worker == name {
				sum++
			}
		}
		if sum > modelSlots {
			t.Fatalf("worker %s runs %d requests on %d slots", name, sum, modelSlots)
		}
	}
}

// TestSlotSum checks that entries together never exceed a worker's slots,
// through joins, crashes, restarts, pauses, clock drift, lost and late
// messages, and faults of the table.
func TestSlotSum(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newTestEnv(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"settle":   func(*rapid.T) { w.syncAll() },
			"settle2":  func(*rapid.T) { w.syncAll() },
			"loan":     func(*rapid.T) { w.borrowWithoutDelay() },
			"loan2":    func(*rapid.T) { w.borrowWithoutDelay() },
			"request3": func(*rapid.T) { w.fillSlots() },
			"advance":  func(*rapid.T) { w.advance() },
			"request":  func(*rapid.T) { w.fillSlots() },
			"request2": func(*rapid.T) { w.fillSlots() },
			"finish":   func(*rapid.T) { w.finishRequests() },
			"sync":     func(*rapid.T) { w.syncRow() },
			"sync2":    func(*rapid.T) { w.syncRow() },
			"delayed":  func(*rapid.T) { w.applyDelayedWrite() },
			"deliver":  func(*rapid.T) { w.deliver() },
			"deliver2": func(*rapid.T) { w.deliver() },
			"deliver3": func(*rapid.T) { w.deliver() },
			"borrow":   func(*rapid.T) { w.borrow() },
			"renew":    func(*rapid.T) { w.renewLoans() },
			"recall":   func(*rapid.T) { w.recallLoans() },
			"return":   func(*rapid.T) { w.returnLoans() },
			"clear":    func(*rapid.T) { w.clear() },
			"crash":    func(*rapid.T) { w.crash() },
			"replace":  func(*rapid.T) { w.replaceDead() },
			"pause":    func(*rapid.T) { w.togglePause() },
			"leave":    func(*rapid.T) { w.leave() },
			"join":     func(*rapid.T) { w.addEntry() },
		})
		served += w.served
	})
	if served == 0 {
		t.Error("no request was served in any run")
	}
}
