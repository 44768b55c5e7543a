package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelSlots are the slots of each worker of the model.
const modelSlots = 8

var modelWorkers = []string{"w0", "w1", "w2"}

// entrySim is one incarnation of an entry.
type entrySim struct {
	id     string
	holder *Holder
	gauges map[string]*Gauge
	rate   float64 // of its clock
	alive  bool
	paused bool
}

// Limit implements Pool.
func (e *entrySim) Limit(s Seats) bool {
	within := true
	for w, g := range e.gauges {
		if !g.SetLimit(s.Part(w, modelSlots)) {
			within = false
		}
	}
	return within
}

// requestSim is a request at a worker.
type requestSim struct {
	entry  *entrySim
	worker string
	until  time.Duration
}

// messageSim is a message on its way, which may arrive at any time or never.
type messageSim struct {
	to      *entrySim
	deliver func()
}

// world is several entries, the platform's table and list, and the network.
type world struct {
	t        *rapid.T
	now      time.Duration
	entries  []*entrySim // newest incarnation of each instance
	dropped  map[string]bool
	requests []*requestSim
	messages []*messageSim
	row      Division
	version  uint64
	delayed  []func() // writes that may still take effect
	born     int
	served   int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, dropped: map[string]bool{}}
	w.join()
	w.join()
	return w
}

func (w *world) clock(e *entrySim) time.Duration { return time.Duration(float64(w.now) * e.rate) }

func (w *world) start(id string) *entrySim {
	e := &entrySim{id: id, gauges: map[string]*Gauge{}, alive: true}
	e.rate = rapid.SampledFrom([]float64{1, 1.003, 0.997}).Draw(w.t, "rate")
	for _, name := range modelWorkers {
		e.gauges[name] = new(Gauge)
	}
	w.born++
	e.holder = NewHolder(id, uint64(w.born)<<32, e)
	return e
}

func (w *world) join() {
	if len(w.entries) >= 4 {
		return
	}
	w.entries = append(w.entries, w.start(fmt.Sprintf("i%d", w.born)))
}

// pick draws an entry that runs, or nil.
func (w *world) pick(name string) *entrySim {
	e := rapid.SampledFrom(w.entries).Draw(w.t, name)
	if !e.alive || e.paused {
		return nil
	}
	return e
}

func (w *world) advance() {
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
			e.holder.Tick(w.clock(e))
		}
	}
}

// request fills every slot that an entry may use at some workers, so that a
// seat that two entries use shows.
func (w *world) request() {
	e := w.pick("entry")
	if e == nil {
		return
	}
	e.holder.Tick(w.clock(e))
	workers := modelWorkers[rapid.IntRange(0, len(modelWorkers)-1).Draw(w.t, "workers"):]
	d := time.Duration(rapid.IntRange(1, 30).Draw(w.t, "seconds")) * time.Second
	for _, name := range workers {
		for e.gauges[name].TryAcquire() {
			w.served++
			w.requests = append(w.requests, &requestSim{e, name, w.now + d})
		}
	}
}

func (w *world) finish() {
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

// sync is one reading and writing of the row, with every fault of the table.
func (w *world) sync() {
	e := w.pick("entry")
	if e == nil || rapid.IntRange(0, 4).Draw(w.t, "table") == 0 {
		return
	}
	if w.version == 0 {
		w.commit(e, NewDivision(e.id), 0)
		return
	}
	e.holder.Read(w.clock(e), w.row, w.version)
	var gone []string
	for id := range w.dropped {
		if w.row.Member(id) {
			gone = append(gone, id)
		}
	}
	if d, version, change := e.holder.Plan(w.clock(e), gone); change {
		w.commit(e, d, version)
	}
}

func (w *world) commit(e *entrySim, d Division, version uint64) {
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
			e.holder.Wrote(w.clock(e), d, version+1)
		} else {
			e.holder.Refused(w.clock(e), version)
		}
	case "lost":
		apply()
		e.holder.Unknown(version)
	case "delayed":
		w.delayed = append(w.delayed, func() { apply() })
		e.holder.Unknown(version)
	case "refused":
		e.holder.Refused(w.clock(e), version)
	}
}

func (w *world) landDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "delayed")
	w.delayed[i]()
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

// post puts a message on its way.
func (w *world) post(to *entrySim, f func()) { w.messages = append(w.messages, &messageSim{to, f}) }

func (w *world) deliver() {
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
func (w *world) byID(id string) *entrySim {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) borrow() {
	e, lender := w.pick("borrower"), w.pick("lender")
	if e == nil || lender == nil || e == lender {
		return
	}
	e.holder.Asking()
	asked := w.clock(e)
	want := rapid.IntRange(1, SeatCount).Draw(w.t, "want")
	answered := false
	w.post(lender, func() {
		l := lender.holder.Lend(w.clock(lender), e.id, want)
		w.post(e, func() {
			answered = true
			e.holder.Borrowed(w.clock(e), asked, lender.id, l)
		})
	})
	// The call may time out; an answer that arrives later is not read.
	w.messages = append(w.messages, &messageSim{e, func() {
		if !answered {
			e.holder.NotBorrowed()
			w.forget(e, &answered)
		}
	}})
}

// forget makes the answer of a call that timed out arrive at nobody.
func (w *world) forget(e *entrySim, answered *bool) {
	kept := w.messages[:0]
	for _, m := range w.messages {
		if m.to != e {
			kept = append(kept, m)
		}
	}
	w.messages = kept
	*answered = true
}

// loan is a question for a loan that is answered at once.
func (w *world) loan() {
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

// settle lets every entry that runs read and write the row.
func (w *world) settle() {
	for range 2 {
		for _, e := range w.entries {
			if e.alive && !e.paused && w.version > 0 {
				e.holder.Read(w.clock(e), w.row, w.version)
				if d, version, change := e.holder.Plan(w.clock(e), nil); change {
					w.row, w.version = d.clone(), version+1
					e.holder.Wrote(w.clock(e), d, version+1)
				}
			}
		}
	}
}

func (w *world) renew() {
	e := w.pick("borrower")
	if e == nil {
		return
	}
	asked := w.clock(e)
	for id, loans := range e.holder.Renewable() {
		if lender := w.byID(id); lender != nil {
			w.post(lender, func() {
				stand := lender.holder.Renew(w.clock(lender), e.id, loans)
				w.post(e, func() { e.holder.Renewed(w.clock(e), asked, id, stand) })
			})
		}
	}
}

func (w *world) recall() {
	e := w.pick("lender")
	if e == nil {
		return
	}
	for id, loans := range e.holder.Recall() {
		if b := w.byID(id); b != nil {
			w.post(b, func() { b.holder.Recalled(w.clock(b), e.id, loans) })
		}
	}
}

func (w *world) giveBack() {
	e := w.pick("borrower")
	if e == nil {
		return
	}
	if rapid.Bool().Draw(w.t, "drop") {
		e.holder.Drop(w.clock(e), SeatCount)
	}
	for id, loans := range e.holder.Returnable(w.clock(e)) {
		if l := w.byID(id); l != nil {
			w.post(l, func() { l.holder.Returned(w.clock(l), e.id, loans) })
		}
	}
}

// clear asks every member; one that is away stops it.
func (w *world) clear() {
	e := w.pick("entry")
	if e == nil || !e.holder.Blocked(w.clock(e)) {
		return
	}
	row, _, _ := e.holder.Row()
	held := map[string]Seats{}
	for _, id := range row.Members {
		if id == e.id {
			continue
		}
		m := w.byID(id)
		if m == nil || !m.alive || m.paused {
			return
		}
		s, settled := m.holder.Held()
		if !settled {
			return
		}
		held[id] = s
	}
	e.holder.Cleared(w.clock(e), held)
}

// crash ends a process; its connections close.
func (w *world) crash() {
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

// replace restarts a dead process on its instance, or lets the platform drop
// the instance.
func (w *world) replace() {
	for i, e := range w.entries {
		if e.alive {
			continue
		}
		if rapid.Bool().Draw(w.t, "restart") {
			w.entries[i] = w.start(e.id)
			return
		}
		w.dropped[e.id] = true
		w.entries = append(w.entries[:i], w.entries[i+1:]...)
		if len(w.entries) == 0 {
			w.join()
		}
		return
	}
}

func (w *world) pause() {
	e := rapid.SampledFrom(w.entries).Draw(w.t, "entry")
	e.paused = e.alive && !e.paused
}

func (w *world) leave() {
	e := w.pick("entry")
	if e == nil || len(w.entries) < 2 || rapid.IntRange(0, 4).Draw(w.t, "leave") > 0 {
		return
	}
	for _, r := range w.requests {
		if r.entry == e {
			return
		}
	}
	if d, version, change := e.holder.PlanLeave(w.clock(e)); change {
		w.commit(e, d, version)
	}
	e.alive = false
}

// check is the invariant: no worker holds more requests than it has slots.
func (w *world) check(t *rapid.T) {
	for _, name := range modelWorkers {
		sum := 0
		for _, r := range w.requests {
			if r.worker == name {
				sum++
			}
		}
		if sum > modelSlots {
			t.Fatalf("worker %s holds %d requests of %d slots", name, sum, modelSlots)
		}
	}
}

// TestSlotSum drives entries through joins, deaths, restarts, pauses, lost and
// late messages and every fault of the table.
func TestSlotSum(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"settle":   func(*rapid.T) { w.settle() },
			"settle2":  func(*rapid.T) { w.settle() },
			"loan":     func(*rapid.T) { w.loan() },
			"loan2":    func(*rapid.T) { w.loan() },
			"request3": func(*rapid.T) { w.request() },
			"advance":  func(*rapid.T) { w.advance() },
			"request":  func(*rapid.T) { w.request() },
			"request2": func(*rapid.T) { w.request() },
			"finish":   func(*rapid.T) { w.finish() },
			"sync":     func(*rapid.T) { w.sync() },
			"sync2":    func(*rapid.T) { w.sync() },
			"delayed":  func(*rapid.T) { w.landDelayed() },
			"deliver":  func(*rapid.T) { w.deliver() },
			"deliver2": func(*rapid.T) { w.deliver() },
			"deliver3": func(*rapid.T) { w.deliver() },
			"borrow":   func(*rapid.T) { w.borrow() },
			"renew":    func(*rapid.T) { w.renew() },
			"recall":   func(*rapid.T) { w.recall() },
			"return":   func(*rapid.T) { w.giveBack() },
			"clear":    func(*rapid.T) { w.clear() },
			"crash":    func(*rapid.T) { w.crash() },
			"replace":  func(*rapid.T) { w.replace() },
			"pause":    func(*rapid.T) { w.pause() },
			"leave":    func(*rapid.T) { w.leave() },
			"join":     func(*rapid.T) { w.join() },
		})
		served += w.served
	})
	if served == 0 {
		t.Error("no request was served in any run")
	}
}
