package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = 6000 // milliseconds, the bound MaxHoldMs
	gangWait  = 3 * time.Second
	stopTime  = 100 * time.Millisecond // within the bound StopMs
	heartbeat = 1500 * time.Millisecond
	startup   = 400 * time.Millisecond // of a task that lasts
)

// amounts are the resources of a worker or a task.
type amounts struct {
	Cpu   int64 `json:"Cpu,omitempty"`
	MemMb int64 `json:"MemMb,omitempty"`
	Gpu   int64 `json:"Gpu,omitempty"`
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.Cpu + b.Cpu, a.MemMb + b.MemMb, a.Gpu + b.Gpu}
}
func (a amounts) fits(room amounts) bool {
	return a.Cpu <= room.Cpu && a.MemMb <= room.MemMb && a.Gpu <= room.Gpu
}

// taskRun is a run on a worker.
type taskRun struct {
	task     string
	number   int
	job      *job
	step     int
	began    time.Time // when it was started
	workFrom time.Time // when its work began; zero while a gang is incomplete
	stopAt   time.Time // when a stop takes effect; zero for none
	failAt   time.Time // when it fails by its own fault; zero for never
	saved    time.Duration
}

// life is one lifetime of a worker.
type life struct {
	fleet     *fleet
	id        string
	kind      string
	rack      string
	zone      string
	address   string
	born      int64
	started   time.Time
	channels  *channels
	server    *http.Server
	mu        sync.Mutex
	token     int64
	leaseEnd  int64 // on its clock in milliseconds, 0 for none
	runs      map[string]*taskRun
	ended     map[string]int // highest run that was stopped or has ended here, by task
	finished  [][]any
	count     int64
	lapsed    map[int64]bool // ends after which the lease has lapsed
	endSignal chan struct{}
	dead      bool
	draining  bool
	stop      chan struct{}
}

// fleet is the set of workers.
type fleet struct {
	store    *store
	judge    *judge
	capacity amounts
	service  string
	mu       sync.Mutex
	lives    map[string]*life // by id
	command  func(l *life, path string) commandFault
	early    time.Duration // from the first answer of a life to its first registration
}

// commandFault is what happens to one command.
type commandFault struct {
	status int           // answered instead, with nothing done; 0 for none
	late   time.Duration // not answered, and carried out so much later; 0 for none
	lose   bool          // carried out and not answered
}

// start begins a lifetime of the worker id at the address, "" for a free one.
func (f *fleet) start(id, kind, rack, zone, address string) *life {
	if address == "" {
		address = loopback + ":0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		giveUp("worker %s: %v", id, err)
	}
	w := &life{
		fleet: f, id: id, kind: kind, rack: rack, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), started: time.Now(),
		channels: newChannels(l), runs: map[string]*taskRun{}, ended: map[string]int{}, lapsed: map[int64]bool{}, endSignal: make(chan struct{}), stop: make(chan struct{}),
	}
	f.mu.Lock()
	f.lives[id] = w
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.with(w.runStart))
	mux.HandleFunc("POST /run-stop", w.with(w.runStop))
	mux.HandleFunc("POST /hold", w.with(w.hold))
	mux.HandleFunc("POST /pace", w.with(w.pace))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.channels) }()
	go w.tick()
	go func() {
		time.Sleep(f.early)
		w.register()
	}()
	return w
}

// get returns the present life of a worker.
func (f *fleet) get(id string) *life {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lives[id]
}

// crash ends a lifetime: nothing runs any more, and its address answers no more.
func (w *life) crash() {
	w.mu.Lock()
	w.dead = true
	runs := w.runs
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	close(w.stop)
	_ = w.server.Close()
	for _, r := range runs {
		w.fleet.judge.ended(w, r, "crash", 0)
	}
	for _, r := range runs {
		w.fleet.breakGang(w, r)
	}
}

// tick registers the worker regularly, and ends the runs that are due.
func (w *life) tick() {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	step := time.NewTicker(10 * time.Millisecond)
	defer step.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-beat.C:
			w.register()
		case <-step.C:
			w.advance()
		}
	}
}

// register writes the worker's entry.
func (w *life) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.fleet.store.put("servers", w.id, map[string]any{
		"Service": w.fleet.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": w.fleet.capacity, "Labels": []string{w.kind, w.rack}, "SeqNo": time.Since(w.started).Milliseconds(), "born": w.born,
	})
}

// drain reports that the worker leaves.
func (w *life) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.register()
}

func (w *life) clock() int64 { return time.Since(w.started).Milliseconds() + 1000 }

// with applies the fault in force, and rejects calls for another lifetime.
func (w *life) with(next func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body := make([]byte, 0, 512)
		buf := make([]byte, 4096)
		for {
			n, err := r.Body.Read(buf)
			body = append(body, buf[:n]...)
			if err != nil {
				break
			}
		}
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
			reply(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var f commandFault
		w.fleet.mu.Lock()
		command := w.fleet.command
		w.fleet.mu.Unlock()
		if command != nil {
			f = command(w, r.URL.Path)
		}
		switch {
		case f.status != 0:
			rw.WriteHeader(f.status)
		case f.late > 0:
			go func() {
				time.Sleep(f.late)
				next(&discardWriter{}, r.WithContext(context.Background()), body)
			}()
			hang(rw, r)
		case f.lose:
			next(&discardWriter{}, r, body)
			hang(rw, r)
		default:
			next(rw, r, body)
		}
	}
}

// accept takes over a token and a lease. The caller holds the lock.
func (w *life) accept(token int64) bool {
	if w.dead || token < w.token {
		return false
	}
	w.token = token
	return true
}

// extend extends the lease. The caller holds the lock.
func (w *life) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold))
}

func (w *life) conflict(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

func (w *life) runStart(rw http.ResponseWriter, _ *http.Request, body []byte) {
	var c struct {
		Task         string
		Run          int
		TaskSpec     string
		DeadlineMs   int64
		FencingToken int64
		Checkpoint   string
	}
	if json.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.advance()
	w.mu.Lock()
	defer w.mu.Unlock()
	j, step, err := w.fleet.judge.jobOf(c.Task)
	if !w.accept(c.FencingToken) {
		w.conflict(rw, "fence")
		return
	}
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
		return
	}
	if c.Run <= w.ended[c.Task] {
		w.extend(c.DeadlineMs)
		w.conflict(rw, "old")
		return
	}
	if c.DeadlineMs <= w.clock() {
		w.conflict(rw, "late")
		return
	}
	if err != nil {
		w.fleet.judge.violation("UNASKED", "start of %s on %s, which no client sent", c.Task, w.id)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	used := amounts{}
	for _, r := range w.runs {
		used = used.plus(r.job.Steps[r.step].committed())
	}
	if !used.plus(j.Steps[step].committed()).fits(w.fleet.capacity) {
		w.extend(c.DeadlineMs)
		w.conflict(rw, "room")
		return
	}
	w.extend(c.DeadlineMs)
	r := &taskRun{task: c.Task, number: c.Run, job: j, step: step, began: time.Now()}
	if ms, err := strconv.Atoi(c.Checkpoint); err == nil {
		r.saved = time.Duration(ms) * time.Millisecond
	}
	w.runs[c.Task] = r
	w.fleet.judge.started(w, r, c.TaskSpec)
	if !j.Steps[step].Gang {
		r.workFrom = r.began
	} else {
		w.fleet.joinGang(r)
	}
	if d := j.failsAfter(c.Task, c.Run); d > 0 {
		r.failAt = r.began.Add(d)
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *life) runStop(rw http.ResponseWriter, _ *http.Request, body []byte) {
	var c struct {
		Task         string
		Run          int
		FencingToken int64
	}
	if json.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(c.FencingToken) {
		w.conflict(rw, "fence")
		return
	}
	if r := w.runs[c.Task]; r != nil && r.number == c.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	} else {
		w.ended[c.Task] = max(w.ended[c.Task], c.Run)
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *life) pace(rw http.ResponseWriter, _ *http.Request, _ []byte) {
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *life) hold(rw http.ResponseWriter, r *http.Request, body []byte) {
	var c struct {
		DeadlineMs   int64
		FencingToken int64
		AckCursor    int64
		WaitMs       int64
	}
	if json.Unmarshal(body, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.advance()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(c.FencingToken) {
		w.conflict(rw, "fence")
		return
	}
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= c.AckCursor {
		e := w.finished[0]
		w.fleet.judge.acked(w, e[1].(string), e[2].(int), e[3].(string), w.lapsed[e[0].(int64)])
		w.finished = w.finished[1:]
	}
	if c.WaitMs > 0 && len(w.finished) == 0 {
		signal := w.endSignal
		w.mu.Unlock()
		select {
		case <-signal:
		case <-time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, r.checkpoint(), r.percent(), 0})
	}
	finished := w.finished[:min(len(w.finished), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Finished": finished})
}

func (r *taskRun) worked() time.Duration {
	if r.workFrom.IsZero() {
		return r.saved
	}
	return r.saved + time.Since(r.workFrom)
}

func (r *taskRun) percent() int {
	if r.job.Steps[r.step].LongRunning {
		if !r.workFrom.IsZero() && time.Since(r.workFrom) >= startup {
			return 100
		}
		return 0
	}
	return int(min(99, 100*r.worked()/r.job.duration()))
}

func (r *taskRun) checkpoint() string {
	if !r.job.Steps[r.step].Checkpointing || r.workFrom.IsZero() {
		return ""
	}
	return strconv.FormatInt((r.worked() / (500 * time.Millisecond) * 500 * time.Millisecond).Milliseconds(), 10)
}

// advance ends the runs that are due to end.
func (w *life) advance() {
	w.mu.Lock()
	now := time.Now()
	type end struct {
		r   *taskRun
		how string
	}
	var ends []end
	if w.dead {
		w.mu.Unlock()
		return
	}
	if w.leaseEnd > 0 && w.clock() > w.leaseEnd && len(w.runs) > 0 {
		for _, e := range w.finished {
			w.lapsed[e[0].(int64)] = true
		}
		for _, r := range w.runs {
			ends = append(ends, end{r, "lapsed"})
		}
	} else {
		for _, r := range w.runs {
			switch {
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				ends = append(ends, end{r, "stopped"})
			case !r.failAt.IsZero() && !now.Before(r.failAt):
				ends = append(ends, end{r, "failed"})
			case r.job.Steps[r.step].Gang && r.workFrom.IsZero() && now.Sub(r.began) > gangWait:
				ends = append(ends, end{r, "alone"})
			case !r.job.Steps[r.step].LongRunning && !r.workFrom.IsZero() && r.worked() >= r.job.duration():
				ends = append(ends, end{r, "done"})
			}
		}
	}
	for _, e := range ends {
		w.endRun(e.r, e.how)
	}
	w.mu.Unlock()
	for _, e := range ends {
		if e.how != "done" {
			w.fleet.breakGang(w, e.r)
		}
	}
}

// endRun lists the end of a run. The caller holds the lock.
func (w *life) endRun(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.number)
	w.count++
	saved := ""
	if how == "stopped" || how == "lapsed" || how == "broken" {
		saved = r.checkpoint()
	}
	w.finished = append(w.finished, []any{w.count, r.task, r.number, how, saved})
	close(w.endSignal)
	w.endSignal = make(chan struct{})
	w.fleet.judge.ended(w, r, how, w.count)
}

// joinGang lets a gang work once all members of one run are present. Locks of other lives are
// taken in the background, as the caller holds that of its own.
func (f *fleet) joinGang(r *taskRun) {
	go func() {
		members := f.gang(r)
		if len(members) < r.job.Steps[r.step].Count {
			return
		}
		now := time.Now()
		for _, m := range members {
			m.w.mu.Lock()
			if m.w.runs[m.r.task] == m.r {
				m.r.workFrom = now
			}
			m.w.mu.Unlock()
		}
	}()
}

type member struct {
	w *life
	r *taskRun
}

// gang returns the present members of the gang run of r.
func (f *fleet) gang(r *taskRun) []member {
	f.mu.Lock()
	lives := make([]*life, 0, len(f.lives))
	for _, w := range f.lives {
		lives = append(lives, w)
	}
	f.mu.Unlock()
	prefix := r.task[:strings.LastIndexByte(r.task, '.')+1]
	var out []member
	for _, w := range lives {
		w.mu.Lock()
		for _, o := range w.runs {
			if o.number == r.number && strings.HasPrefix(o.task, prefix) {
				out = append(out, member{w, o})
			}
		}
		w.mu.Unlock()
	}
	return out
}

// breakGang ends the other members after one has ended without success.
func (f *fleet) breakGang(_ *life, r *taskRun) {
	if !r.job.Steps[r.step].Gang {
		return
	}
	for _, m := range f.gang(r) {
		m.w.mu.Lock()
		m.w.endRun(m.r, "broken")
		m.w.mu.Unlock()
	}
}

func (w *life) String() string { return fmt.Sprintf("%s(%s at %s)", w.id, w.kind, w.address) }
