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
	id         string
	manager    *Manager
	semaphores map[string]*Semaphore
	rate       float64 // speed of its clock relative to the simulated time
	alive      bool
	paused     bool
}

// Limit implements Pool. It limits the entry's semaphore of each worker to its slots in s.
func (e *entrySim) Limit(s Partitions) bool {
	within := true
	for w, sem := range e.semaphores {
		if !sem.SetLimit(s.UnitsOf(w, modelSlots)) {
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
	env := &testEnv{t: t, droppedInstances: map[string]bool{}}
	env.addEntry()
	env.addEntry()
	return env
}

func (env *testEnv) clock(e *entrySim) time.Duration { return time.Duration(float64(env.now) * e.rate) }

func (env *testEnv) start(id string) *entrySim {
	e := &entrySim{id: id, semaphores: map[string]*Semaphore{}, alive: true}
	e.rate = rapid.SampledFrom([]float64{1, 1.003, 0.997}).Draw(env.t, "rate")
	for _, name := range modelWorkers {
		e.semaphores[name] = new(Semaphore)
	}
	env.incarnations++
	e.manager = NewManager(id, uint64(env.incarnations)<<32, e)
	return e
}

func (env *testEnv) addEntry() {
	if len(env.entries) >= 4 {
		return
	}
	env.entries = append(env.entries, env.start(fmt.Sprintf("i%d", env.incarnations)))
}

// drawEntry draws an entry and returns it, or nil if it is dead or paused.
func (env *testEnv) drawEntry(name string) *entrySim {
	e := rapid.SampledFrom(env.entries).Draw(env.t, name)
	if !e.alive || e.paused {
		return nil
	}
	return e
}

func (env *testEnv) advance() {
	env.now += time.Duration(rapid.IntRange(1, 20000).Draw(env.t, "ms")) * time.Millisecond
	kept := env.requests[:0]
	for _, r := range env.requests {
		if r.until <= env.now {
			r.entry.semaphores[r.worker].Release()
			continue
		}
		kept = append(kept, r)
	}
	env.requests = kept
	for _, e := range env.entries {
		if e.alive && !e.paused {
			e.manager.ExpireLoans(env.clock(e))
		}
	}
}

// fillSlots fills every slot that an entry may use at some workers, so that a
// partition used by two entries overloads a worker.
func (env *testEnv) fillSlots() {
	e := env.drawEntry("entry")
	if e == nil {
		return
	}
	e.manager.ExpireLoans(env.clock(e))
	workers := modelWorkers[rapid.IntRange(0, len(modelWorkers)-1).Draw(env.t, "workers"):]
	d := time.Duration(rapid.IntRange(1, 30).Draw(env.t, "seconds")) * time.Second
	for _, name := range workers {
		for e.semaphores[name].TryAcquire() {
			env.served++
			env.requests = append(env.requests, &requestSim{e, name, env.now + d})
		}
	}
}

// finishRequests ends all requests of one entry.
func (env *testEnv) finishRequests() {
	if len(env.requests) == 0 {
		return
	}
	e := rapid.SampledFrom(env.requests).Draw(env.t, "request").entry
	kept := env.requests[:0]
	for _, r := range env.requests {
		if r.entry == e {
			r.entry.semaphores[r.worker].Release()
			continue
		}
		kept = append(kept, r)
	}
	env.requests = kept
}

// syncRow lets one entry read and write the row. The table may be unreachable,
// and the write may be refused, lose its response or take effect late.
func (env *testEnv) syncRow() {
	e := env.drawEntry("entry")
	if e == nil || rapid.IntRange(0, 4).Draw(env.t, "table") == 0 {
		return
	}
	if env.version == 0 {
		env.commit(e, NewAssignment(e.id), 0)
		return
	}
	e.manager.ApplyRow(env.clock(e), env.row, env.version)
	var gone []string
	for id := range env.droppedInstances {
		if env.row.IsMember(id) {
			gone = append(gone, id)
		}
	}
	if a, version, change := e.manager.PlanWrite(env.clock(e), gone); change {
		env.commit(e, a, version)
	}
}

func (env *testEnv) commit(e *entrySim, a Assignment, version uint64) {
	apply := func() bool {
		if env.version != version {
			return false
		}
		env.row, env.version = a.clone(), version+1
		return true
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "delayed", "refused"}).Draw(env.t, "write") {
	case "ok":
		if apply() {
			e.manager.RecordWrite(env.clock(e), a, version+1)
		} else {
			e.manager.RecordRefusedWrite(env.clock(e), version)
		}
	case "lost":
		apply()
		e.manager.RecordUncertainWrite(version)
	case "delayed":
		env.delayedWrites = append(env.delayedWrites, func() { apply() })
		e.manager.RecordUncertainWrite(version)
	case "refused":
		e.manager.RecordRefusedWrite(env.clock(e), version)
	}
}

func (env *testEnv) applyDelayedWrite() {
	if len(env.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(env.delayedWrites)-1).Draw(env.t, "delayed")
	env.delayedWrites[i]()
	env.delayedWrites = append(env.delayedWrites[:i], env.delayedWrites[i+1:]...)
}

// send puts a message for to in transit; f runs when it arrives.
func (env *testEnv) send(to *entrySim, f func()) {
	env.messages = append(env.messages, &messageSim{to, f})
}

func (env *testEnv) deliver() {
	if len(env.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(env.messages)-1).Draw(env.t, "message")
	m := env.messages[i]
	if m.to.paused {
		return
	}
	env.messages = append(env.messages[:i], env.messages[i+1:]...)
	if m.to.alive && rapid.IntRange(0, 5).Draw(env.t, "lost") > 0 {
		m.deliver()
	}
}

// byID returns the newest incarnation of an instance.
func (env *testEnv) byID(id string) *entrySim {
	for _, e := range env.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (env *testEnv) borrow() {
	e, lender := env.drawEntry("borrower"), env.drawEntry("lender")
	if e == nil || lender == nil || e == lender {
		return
	}
	e.manager.BeginBorrow()
	asked := env.clock(e)
	want := rapid.IntRange(1, PartitionCount).Draw(env.t, "want")
	responded := false
	env.send(lender, func() {
		l := lender.manager.Lend(env.clock(lender), e.id, want)
		env.send(e, func() {
			responded = true
			e.manager.CompleteBorrow(env.clock(e), asked, lender.id, l)
		})
	})
	// The call may time out; a response that arrives later is discarded.
	env.messages = append(env.messages, &messageSim{e, func() {
		if !responded {
			e.manager.AbortBorrow()
			env.discardMessages(e, &responded)
		}
	}})
}

// discardMessages discards the messages to e after its call has timed out.
func (env *testEnv) discardMessages(e *entrySim, answered *bool) {
	kept := env.messages[:0]
	for _, m := range env.messages {
		if m.to != e {
			kept = append(kept, m)
		}
	}
	env.messages = kept
	*answered = true
}

// borrowWithoutDelay is a loan request whose response arrives immediately.
func (env *testEnv) borrowWithoutDelay() {
	n := len(env.messages)
	env.borrow()
	if len(env.messages) == n {
		return
	}
	ask := env.messages[n]
	env.messages = env.messages[:n]
	ask.deliver()
	reply := env.messages[n]
	env.messages = env.messages[:n]
	reply.deliver()
}

// syncAll lets every running entry read and write the row twice without faults.
func (env *testEnv) syncAll() {
	for range 2 {
		for _, e := range env.entries {
			if e.alive && !e.paused && env.version > 0 {
				e.manager.ApplyRow(env.clock(e), env.row, env.version)
				if a, version, change := e.manager.PlanWrite(env.clock(e), nil); change {
					env.row, env.version = a.clone(), version+1
					e.manager.RecordWrite(env.clock(e), a, version+1)
				}
			}
		}
	}
}

func (env *testEnv) renewLoans() {
	e := env.drawEntry("borrower")
	if e == nil {
		return
	}
	asked := env.clock(e)
	for id, loans := range e.manager.RenewableLoans() {
		if lender := env.byID(id); lender != nil {
			env.send(lender, func() {
				extended := lender.manager.Renew(env.clock(lender), e.id, loans)
				env.send(e, func() { e.manager.HandleRenewal(env.clock(e), asked, id, extended) })
			})
		}
	}
}

func (env *testEnv) recallLoans() {
	e := env.drawEntry("lender")
	if e == nil {
		return
	}
	for id, loans := range e.manager.Recall() {
		if b := env.byID(id); b != nil {
			env.send(b, func() { b.manager.HandleRecall(env.clock(b), e.id, loans) })
		}
	}
}

func (env *testEnv) returnLoans() {
	e := env.drawEntry("borrower")
	if e == nil {
		return
	}
	if rapid.Bool().Draw(env.t, "drop") {
		e.manager.ReleaseIdleBorrowed(env.clock(e), PartitionCount)
	}
	for id, loans := range e.manager.TakeReturnable(env.clock(e)) {
		if l := env.byID(id); l != nil {
			env.send(l, func() { l.manager.HandleReturn(env.clock(l), e.id, loans) })
		}
	}
}

// clear asks every member for its borrowed partitions and ends the wait for
// loans. It does nothing if a member does not respond or has a loan request
// pending.
func (env *testEnv) clear() {
	e := env.drawEntry("entry")
	if e == nil || !e.manager.HasBlocked(env.clock(e)) {
		return
	}
	row, _, _ := e.manager.CurrentAssignment()
	held := map[string]Partitions{}
	for _, id := range row.Members {
		if id == e.id {
			continue
		}
		m := env.byID(id)
		if m == nil || !m.alive || m.paused {
			return
		}
		s, settled := m.manager.BorrowedPartitions()
		if !settled {
			return
		}
		held[id] = s
	}
	e.manager.ClearBlocked(env.clock(e), held)
}

// crash kills a process. Its requests end, because their connections close.
func (env *testEnv) crash() {
	e := rapid.SampledFrom(env.entries).Draw(env.t, "entry")
	if !e.alive || rapid.IntRange(0, 2).Draw(env.t, "crash") > 0 {
		return
	}
	e.alive = false
	kept := env.requests[:0]
	for _, r := range env.requests {
		if r.entry != e {
			kept = append(kept, r)
		}
	}
	env.requests = kept
}

// restartOrRemoveDead restarts a dead process on its instance, or removes the instance
// from the platform's list.
func (env *testEnv) restartOrRemoveDead() {
	for i, e := range env.entries {
		if e.alive {
			continue
		}
		if rapid.Bool().Draw(env.t, "restart") {
			env.entries[i] = env.start(e.id)
			return
		}
		env.droppedInstances[e.id] = true
		env.entries = append(env.entries[:i], env.entries[i+1:]...)
		if len(env.entries) == 0 {
			env.addEntry()
		}
		return
	}
}

func (env *testEnv) togglePause() {
	e := rapid.SampledFrom(env.entries).Draw(env.t, "entry")
	e.paused = e.alive && !e.paused
}

func (env *testEnv) leave() {
	e := env.drawEntry("entry")
	if e == nil || len(env.entries) < 2 || rapid.IntRange(0, 4).Draw(env.t, "leave") > 0 {
		return
	}
	for _, r := range env.requests {
		if r.entry == e {
			return
		}
	}
	if a, version, change := e.manager.PlanLeave(env.clock(e)); change {
		env.commit(e, a, version)
	}
	e.alive = false
}

// check verifies the invariant: no worker runs more requests than it has slots.
func (env *testEnv) check(t *rapid.T) {
	for _, name := range modelWorkers {
		sum := 0
		for _, r := range env.requests {
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
		env := newTestEnv(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         env.check,
			"settle":   func(*rapid.T) { env.syncAll() },
			"settle2":  func(*rapid.T) { env.syncAll() },
			"loan":     func(*rapid.T) { env.borrowWithoutDelay() },
			"loan2":    func(*rapid.T) { env.borrowWithoutDelay() },
			"request3": func(*rapid.T) { env.fillSlots() },
			"advance":  func(*rapid.T) { env.advance() },
			"request":  func(*rapid.T) { env.fillSlots() },
			"request2": func(*rapid.T) { env.fillSlots() },
			"finish":   func(*rapid.T) { env.finishRequests() },
			"sync":     func(*rapid.T) { env.syncRow() },
			"sync2":    func(*rapid.T) { env.syncRow() },
			"delayed":  func(*rapid.T) { env.applyDelayedWrite() },
			"deliver":  func(*rapid.T) { env.deliver() },
			"deliver2": func(*rapid.T) { env.deliver() },
			"deliver3": func(*rapid.T) { env.deliver() },
			"borrow":   func(*rapid.T) { env.borrow() },
			"renew":    func(*rapid.T) { env.renewLoans() },
			"recall":   func(*rapid.T) { env.recallLoans() },
			"return":   func(*rapid.T) { env.returnLoans() },
			"clear":    func(*rapid.T) { env.clear() },
			"crash":    func(*rapid.T) { env.crash() },
			"replace":  func(*rapid.T) { env.restartOrRemoveDead() },
			"pause":    func(*rapid.T) { env.togglePause() },
			"leave":    func(*rapid.T) { env.leave() },
			"join":     func(*rapid.T) { env.addEntry() },
		})
		served += env.served
	})
	if served == 0 {
		t.Error("no request was served in any run")
	}
}
