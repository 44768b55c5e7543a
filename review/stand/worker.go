package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the workers, as on the sheet of a small deployment.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	checkpointAt = 500 * time.Millisecond
	restoreTime  = 100 * time.Millisecond
	endsAtATime  = 500 // ends in one answer
	maxWait      = 2 * time.Second
	failTime     = 50 * time.Millisecond // until a bad worker has failed a run
)

// workerKind is the only label of the workers beside their racks.
const workerKind = "a"

// Worker is the stand-in for a worker. It guards its capacity.
type Worker struct {
	ID, Addr, Zone, Service, Rack string

	store   *Store
	judge   *Judge
	adviser *Adviser // nil if the starts need no tickets
	rec     *Record
	born    time.Time
	cpu     int64 // thousandths of a core
	memMb   int64

	mu       sync.Mutex
	runs     map[string]*run // by task
	highest  map[string]int  // highest run that was stopped or ended here, by task
	ends     []end           // not acknowledged yet
	endCount int64
	epoch    int64
	lease    time.Time
	seq      int
	gone     bool
	bad      bool // fails all that it starts
	stop     func()
	changed  chan struct{} // closed and replaced at each end
}

type run struct {
	number  int
	step    *Step
	began   time.Time
	saved   time.Duration // work that its checkpoint carries
	work    time.Duration // of the whole task
	restore time.Duration
	timer   *time.Timer
	stopped bool
}

type end struct {
	n          int64
	task       string
	run        int
	how, saved string
}

// NewWorker starts a worker and registers it.
func NewWorker(id, zone, service, rack string, cpu, memMb int64, store *Store, judge *Judge, adviser *Adviser, rec *Record) (*Worker, error) {
	w := &Worker{
		ID: id, Zone: zone, Service: service, Rack: rack, store: store, judge: judge, adviser: adviser, rec: rec, born: time.Now(), cpu: cpu, memMb: memMb,
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.guard(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.guard(w.serveStop))
	mux.HandleFunc("POST /hold", w.guard(w.serveHold))
	mux.HandleFunc("POST /pace", w.guard(func(rw http.ResponseWriter, _ *http.Request, _ *command) { w.answer(rw, http.StatusOK, "") }))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	var err error
	if w.Addr, w.stop, err = listenAndServe(mux); err != nil {
		return nil, err
	}
	judge.mu.Lock()
	judge.workers = append(judge.workers, w)
	judge.mu.Unlock()
	go w.beat()
	go w.watchLease()
	return w, nil
}

// beat registers the worker again and again.
func (w *Worker) beat() {
	for !w.isGone() {
		w.seq++
		w.store.Put("servers", w.ID, map[string]any{
			"Service": w.Service, "Address": w.Addr, "Zone": w.Zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
			"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": w.memMb, "Gpu": 0}, "Labels": []string{workerKind, w.Rack},
			"ClockMs": w.clock(), "SeqNo": w.seq, "born": w.born.UnixMilli(),
		})
		time.Sleep(heartbeat)
	}
}

// entryLifetime is how long the entry of a silent worker stays in the store.
const entryLifetime = 3 * heartbeat

// Crash loses the worker for good, with all its runs.
func (w *Worker) Crash() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone, w.lease = true, time.Time{}
	w.rec.Event(w.ID, "is lost for good with %d runs", len(w.runs))
	for name, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.judge.ended(w.ID, name, r.number, "gone")
		if r.step.Gang {
			w.judge.gangs.ended(name, r.number)
		}
	}
	w.runs = map[string]*run{}
	time.AfterFunc(entryLifetime, func() { w.store.Remove("servers", w.ID) })
}

// SetBad makes the worker fail all that it starts from now on, or ends that.
func (w *Worker) SetBad(bad bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bad = bad
	w.rec.Event(w.ID, "fails all that it starts: %v", bad)
}

func (w *Worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// clock is the worker's clock in milliseconds.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *Worker) usedCPU() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return w.cpu
	}
	cpu, _ := w.used()
	return cpu
}

// used returns what the runs have. The caller holds the lock.
func (w *Worker) used() (cpu, memMb int64) {
	for _, r := range w.runs {
		cpu, memMb = cpu+r.step.CPU, memMb+r.step.MemMb
	}
	return cpu, memMb
}

// watchLease ends all runs when the lease has lapsed.
func (w *Worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if !w.lease.IsZero() && time.Now().After(w.lease) {
			w.lease = time.Time{}
			names := make([]string, 0, len(w.ends))
			for _, e := range w.ends {
				names = append(names, e.task)
			}
			w.judge.leaseLapsed(w.ID, names)
			if len(w.runs) > 0 {
				w.rec.Event(w.ID, "lease lapsed with %d runs", len(w.runs))
			}
			for name := range w.runs {
				w.endRun(name, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

type command struct {
	Task         string `json:"Task"`
	Run          int    `json:"Run"`
	TaskSpec     string `json:"TaskSpec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken int64  `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	Ticket       string `json:"Ticket"`
	AckCursor    int64  `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
}

// guard rejects calls to another lifetime and of a lower epoch.
func (w *Worker) guard(serve func(http.ResponseWriter, *http.Request, *command)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		stale := c.FencingToken < w.epoch
		w.epoch = max(w.epoch, c.FencingToken)
		w.mu.Unlock()
		if stale {
			w.answer(rw, http.StatusConflict, "fence")
			return
		}
		serve(rw, r, &c)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	writeJSON(rw, status, body)
}

// extend takes a lease. It never shortens. The caller holds the lock.
func (w *Worker) extend(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	d := min(time.Duration(deadlineMs-w.clock())*time.Millisecond, maxHold)
	if until := time.Now().Add(d); d > 0 && until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) serveStart(rw http.ResponseWriter, _ *http.Request, c *command) {
	step, work, err := w.judge.needs(w.ID, c.Task, c.TaskSpec)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason := w.start(c, step, work); reason != "" {
		w.rec.Limited("start rejected: "+reason, w.ID, "start of %s run %d rejected: %s", c.Task, c.Run, reason)
		w.answer(rw, http.StatusConflict, reason)
		return
	}
	w.answer(rw, http.StatusOK, "")
}

// start begins a run and returns "", or the reason why it was rejected.
func (w *Worker) start(c *command, step *Step, work time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		w.extend(c.DeadlineMs)
		return ""
	}
	if w.runs[c.Task] != nil || c.Run <= w.highest[c.Task] {
		w.extend(c.DeadlineMs)
		return "old"
	}
	if c.DeadlineMs <= w.clock() {
		return "late"
	}
	if w.adviser != nil && !w.adviser.valid(c.Ticket, c.Task, w.ID) {
		return "ticket"
	}
	w.extend(c.DeadlineMs)
	if cpu, mem := w.used(); cpu+step.CPU > w.cpu || mem+step.MemMb > w.memMb {
		return "room"
	}
	r := &run{number: c.Run, step: step, began: time.Now(), work: work}
	if c.Checkpoint != "" {
		var ms int64
		if _, err := fmt.Sscanf(c.Checkpoint, "%08x", &ms); err == nil {
			r.saved, r.restore = time.Duration(ms)*time.Millisecond, restoreTime
		}
	}
	w.runs[c.Task] = r
	w.judge.started(w.ID, c.Task, c.Run)
	w.rec.Limited("start", w.ID, "starts %s run %d", c.Task, c.Run)
	switch {
	case w.bad:
		r.timer = time.AfterFunc(failTime, func() { w.endMember(c.Task, r.number, "failed") })
	case !step.LongRunning && !step.Gang:
		r.timer = time.AfterFunc(max(0, r.restore+work-r.saved), func() { w.endMember(c.Task, r.number, "done") })
	}
	if step.Gang {
		w.judge.gangs.join(w, c.Task, r)
	}
	return ""
}

// checkpoint is the value that carries the work of r so far, "" for none.
func (r *run) checkpoint(task string) string {
	if !r.step.Checkpointing {
		return ""
	}
	worked := min(r.work, r.saved+max(0, time.Since(r.began)-r.restore))
	if worked < checkpointAt {
		return ""
	}
	return fmt.Sprintf("%08x%.8s", worked.Truncate(checkpointAt).Milliseconds(), task)
}

func (r *run) percent() int {
	if r.step.LongRunning {
		return 100
	}
	return min(99, int(100*(r.saved+max(0, time.Since(r.began)-r.restore))/max(1, r.work)))
}

// endRun lists the end of a run. The caller holds the lock.
func (w *Worker) endRun(name, how string) {
	r := w.runs[name]
	delete(w.runs, name)
	if r.timer != nil {
		r.timer.Stop()
	}
	saved := ""
	if how != "done" {
		saved = r.checkpoint(name)
	}
	w.highest[name] = max(w.highest[name], r.number)
	w.endCount++
	w.ends = append(w.ends, end{w.endCount, name, r.number, how, saved})
	w.judge.ended(w.ID, name, r.number, how)
	if r.step.Gang && how != "done" {
		w.judge.gangs.ended(name, r.number)
	}
	w.rec.Limited("end "+how, w.ID, "%s run %d ends %s", name, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) serveStop(rw http.ResponseWriter, _ *http.Request, c *command) {
	w.mu.Lock()
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run && !r.stopped {
		r.stopped = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[c.Task] == r {
				w.endRun(c.Task, "stopped")
			}
		})
	}
	w.mu.Unlock()
	w.rec.Limited("stop", w.ID, "stop of %s run %d", c.Task, c.Run)
	w.answer(rw, http.StatusOK, "")
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request, c *command) {
	w.mu.Lock()
	w.extend(c.DeadlineMs)
	w.acknowledge(c.AckCursor)
	w.mu.Unlock()
	until := time.NewTimer(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	defer until.Stop()
	for waiting := c.WaitMs > 0; waiting; {
		w.mu.Lock()
		changed := w.changed
		ready := len(w.ends) > 0
		w.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-until.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for name, r := range w.runs {
		running = append(running, []any{name, r.number, r.checkpoint(name), r.percent(), r.step.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), endsAtATime)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	if len(w.ends) > endsAtATime {
		w.rec.Limited("answers without all ends", w.ID, "lists %d of %d ends", endsAtATime, len(w.ends))
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Finished": finished})
}

// acknowledge forgets the ends up to cursor. The caller holds the lock.
func (w *Worker) acknowledge(cursor int64) {
	i := 0
	for i < len(w.ends) && w.ends[i].n <= cursor {
		if w.ends[i].how == "done" {
			w.judge.noted(w.ID, w.ends[i].task)
		}
		i++
	}
	w.ends = slices.Delete(w.ends, 0, i)
}
