package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings of the small deployments.
const (
	maxHold  = 6000 * time.Millisecond
	stopTime = 100 * time.Millisecond // within StopMs
	gangWait = 3000 * time.Millisecond
	saveWork = 500 * time.Millisecond
	beat     = 1500 * time.Millisecond
	tickTime = 10 * time.Millisecond
)

// Step is what the stand-in knows of a step of a job beside what clients send.
type Step struct {
	Count          int           `json:"Count"`
	CPU            int64         `json:"Cpu"`
	MemMB          int64         `json:"MemMb"`
	EstimatedMs    int64         `json:"EstimatedMs"`
	After          []int         `json:"After,omitempty"`
	Checkpointing  bool          `json:"Checkpointing,omitempty"`
	Gang           bool          `json:"Gang,omitempty"`
	Requirements   string        `json:"Requirements,omitempty"`
	AntiAffinity   int           `json:"AntiAffinity,omitempty"`
	LongRunning    bool          `json:"LongRunning,omitempty"`
	Work           time.Duration `json:"-"` // of a task
	FailedRunsOf   int           `json:"-"` // so many first runs of each task end failed, at half of their work
	FailAllMembers bool          `json:"-"` // of a gang: all, not only the first
	CrashAfter     time.Duration `json:"-"` // a run crashes its worker so much after its start; 0 for never
	BackAfter      time.Duration `json:"-"` // a worker that a run has crashed starts again so much later
}

// Fleet is the set of workers, with what they share.
type Fleet struct {
	Record  *Record
	Store   *Store
	Service string
	// Steps returns the step of a task. The stand-ins learn of jobs from the clients of the rig.
	Steps func(id string, step int) *Step

	mu      sync.Mutex
	gangs   map[string]*gangRun
	workers []*Worker
}

// gangRun is one run of a gang over all workers.
type gangRun struct {
	present map[string]bool
	opened  time.Time // when all members were present
	broken  bool
}

// NewFleet returns a fleet without workers.
func NewFleet(rec *Record, store *Store, service string, steps func(string, int) *Step) *Fleet {
	f := &Fleet{Record: rec, Store: store, Service: service, Steps: steps, gangs: map[string]*gangRun{}}
	go f.tick()
	return f
}

// Worker is a stand-in for one worker.
type Worker struct {
	fleet        *Fleet
	ID, Zone     string
	Labels       []string
	CPU, MemMB   int64
	Guard        bool // rejects what does not fit
	Draining     bool
	addr         string
	server       *http.Server
	mu           sync.Mutex
	up           bool
	born         int64
	began        time.Time
	token        int64
	leaseUntil   int64
	runs         map[string]*taskRun
	ends         []taskEnd
	lastEnd      int64
	highest      map[string]int // highest run stopped or ended
	changed      chan struct{}
	seq          int64
	RejectStarts func(task string, run int) int // status with which a start is rejected, or 0
	MostCPU      int64                          // most that ran here at a time
	// Trouble returns what happens to a call, one of the constants below. It may be nil.
	Trouble   func(path string) CallTrouble
	stopBeats chan struct{}
}

// CallTrouble is what happens to a call to a worker.
type CallTrouble struct {
	Drop bool          // it does not arrive, and gets no answer
	Lose bool          // it gets no answer
	Late time.Duration // it is carried out so much later, and gets no answer
}

type taskRun struct {
	task, id    string
	run, stepNo int
	step        *Step
	begunAt     time.Time
	workedFrom  time.Time // zero while a gang waits
	doneBefore  time.Duration
	checkpoint  string
	stopAt      time.Time
}

type taskEnd struct {
	n          int64
	task       string
	run        int
	how, saved string
}

// AddWorker starts a worker.
func (f *Fleet) AddWorker(id, zone string, labels []string, cpu, mem int64, guard bool) (*Worker, error) {
	w := &Worker{fleet: f, ID: id, Zone: zone, Labels: labels, CPU: cpu, MemMB: mem, Guard: guard}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	w.start(l)
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return w, nil
}

func (w *Worker) start(l net.Listener) {
	now := time.Now()
	w.mu.Lock()
	w.up, w.born, w.began, w.token, w.leaseUntil = true, now.UnixMilli(), now, 0, 0
	w.runs, w.ends, w.lastEnd, w.highest, w.changed = map[string]*taskRun{}, nil, 0, map[string]int{}, make(chan struct{})
	w.seq = 0
	w.stopBeats = make(chan struct{})
	stop := w.stopBeats
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.guarded(w.handleStart))
	mux.HandleFunc("POST /run-stop", w.guarded(w.handleStop))
	mux.HandleFunc("POST /hold", w.guarded(w.handleHold))
	mux.HandleFunc("POST /pace", w.guarded(func(r *http.Request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	go w.register(stop)
}

// Crash ends the worker at once. Its entry goes after three heartbeats.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.up = false
	close(w.stopBeats)
	for name, r := range w.runs {
		w.fleet.Record.Add("end", "worker", w.ID, "task", name, "run", r.run, "how", "crash")
		w.fleet.leave(r)
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	w.fleet.Record.Add("worker-crash", "worker", w.ID)
}

// Restart starts a crashed worker again under its id.
func (w *Worker) Restart() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.start(l)
	w.fleet.Record.Add("worker-restart", "worker", w.ID)
	return nil
}

// register writes the worker's entry until stop is closed.
func (w *Worker) register(stop chan struct{}) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		w.Beat()
		select {
		case <-stop:
			time.Sleep(3 * beat)
			w.mu.Lock()
			gone := !w.up
			w.mu.Unlock()
			if gone {
				w.fleet.Store.Drop("servers", w.ID)
			}
			return
		case <-t.C:
		}
	}
}

// Beat writes the worker's entry now.
func (w *Worker) Beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.seq++
	state := "ready"
	entry := map[string]any{
		"Service": w.fleet.Service, "Address": w.addr, "Zone": w.Zone, "Version": "v1", "Slots": 8, "ColdRemainingMs": 0,
		"Capacity": map[string]any{"Cpu": w.CPU, "MemMb": w.MemMB, "Gpu": 0}, "Labels": w.Labels,
		"ClockMs": time.Since(w.began).Milliseconds(), "SeqNo": w.seq, "born": w.born,
	}
	if w.Draining {
		state, entry["RemainingMs"] = "draining", 4500
	}
	entry["State"] = state
	w.fleet.Store.Put("servers", w.ID, entry)
}

type command struct {
	Task, TaskSpec, Checkpoint string
	Run                        int
	DeadlineMs, FencingToken   int64
	AckCursor, WaitMs          int64
	Percent                    int
}

func (w *Worker) guarded(f func(*http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expected-Instance") != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var trouble CallTrouble
		if w.Trouble != nil {
			trouble = w.Trouble(r.URL.Path)
		}
		if trouble.Late > 0 {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			late := r.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			server := w.server
			time.AfterFunc(trouble.Late, func() {
				if w.server == server || w.isUp() {
					f(late)
				}
			})
		}
		status, body := 0, map[string]any(nil)
		if !trouble.Drop && trouble.Late == 0 {
			status, body = f(r)
		}
		if trouble != (CallTrouble{}) {
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is seen only behind the body
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		if body == nil {
			return
		}
		w.mu.Lock()
		body["ClockMs"], body["born"] = time.Since(w.began).Milliseconds(), w.born
		w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func (w *Worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// fencedLocked takes note of the token of a command and reports whether it is below an earlier one.
func (w *Worker) fencedLocked(c *command) bool {
	if c.FencingToken < w.token {
		return true
	}
	w.token = c.FencingToken
	return false
}

func (w *Worker) extendLocked(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clock()+maxHold.Milliseconds()))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"Reason": reason}
}

func decodeCommand(r *http.Request) (*command, error) {
	c := new(command)
	return c, json.NewDecoder(r.Body).Decode(c)
}

// parseTask returns the parts of a task's name.
func parseTask(name string) (id string, occurrence, step, index int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("task %q", name)
	}
	n := make([]int, 3)
	for i := range n {
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return "", 0, 0, 0, err
		}
	}
	return parts[0], n[0], n[1], n[2], nil
}

func (w *Worker) handleStart(r *http.Request) (int, map[string]any) {
	c, err := decodeCommand(r)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	id, _, stepNo, _, err := parseTask(c.Task)
	step := w.fleet.Steps(id, stepNo)
	if err != nil || step == nil {
		w.fleet.Record.Add("unasked-start", "worker", w.ID, "task", c.Task)
		return http.StatusBadRequest, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.RejectStarts != nil {
		if status := w.RejectStarts(c.Task, c.Run); status != 0 {
			w.fleet.Record.Add("start-rejected", "worker", w.ID, "task", c.Task, "run", c.Run, "status", status)
			return status, nil
		}
	}
	if w.fencedLocked(c) {
		return conflict("fence")
	}
	if have := w.runs[c.Task]; have != nil {
		if have.run == c.Run {
			w.extendLocked(c.DeadlineMs)
			return http.StatusOK, map[string]any{}
		}
		if have.run > c.Run {
			return conflict("old")
		}
	}
	if c.Run <= w.highest[c.Task] {
		w.extendLocked(c.DeadlineMs)
		return conflict("old")
	}
	if c.DeadlineMs <= w.clock() && w.leaseUntil <= w.clock() {
		return conflict("late")
	}
	cpu, mem := step.CPU, step.MemMB
	for _, o := range w.runs {
		cpu, mem = cpu+o.step.CPU, mem+o.step.MemMB
	}
	over := cpu > w.CPU || mem > w.MemMB
	if over && w.Guard {
		w.extendLocked(c.DeadlineMs)
		return conflict("room")
	}
	w.MostCPU = max(w.MostCPU, cpu)
	w.extendLocked(c.DeadlineMs)
	run := &taskRun{task: c.Task, id: id, run: c.Run, stepNo: stepNo, step: step, begunAt: time.Now(), checkpoint: c.Checkpoint}
	run.doneBefore = workOf(c.Checkpoint)
	w.runs[c.Task] = run
	w.fleet.Record.Add("start", "worker", w.ID, "task", c.Task, "run", c.Run, "token", c.FencingToken, "checkpoint", c.Checkpoint, "cpu", cpu, "over", over)
	if step.Gang {
		w.fleet.join(run)
	} else {
		run.workedFrom = time.Now()
	}
	return http.StatusOK, map[string]any{}
}

// workOf returns the work that a checkpoint stands for.
func workOf(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(strings.TrimPrefix(checkpoint, "ck"), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func gangName(r *taskRun) string {
	return r.task[:strings.LastIndex(r.task, ".")] + "/" + strconv.Itoa(r.run)
}

// join notes that a member of a gang is present.
func (f *Fleet) join(r *taskRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[gangName(r)]
	if g == nil {
		g = &gangRun{present: map[string]bool{}}
		f.gangs[gangName(r)] = g
	}
	g.present[r.task] = true
	if len(g.present) == r.step.Count && g.opened.IsZero() && !g.broken {
		g.opened = time.Now()
	}
}

// leave notes that a member of a gang has ended before the gang was done.
func (f *Fleet) leave(r *taskRun) {
	if !r.step.Gang {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gangs[gangName(r)]; g != nil {
		delete(g.present, r.task)
		if !g.opened.IsZero() {
			g.broken = true
		}
	}
}

func (f *Fleet) gangState(r *taskRun) (opened time.Time, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g := f.gangs[gangName(r)]; g != nil {
		return g.opened, g.broken
	}
	return time.Time{}, false
}

func (w *Worker) handleStop(r *http.Request) (int, map[string]any) {
	c, err := decodeCommand(r)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(c) {
		return conflict("fence")
	}
	if run := w.runs[c.Task]; run != nil && run.run == c.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stopTime)
		w.fleet.Record.Add("stop", "worker", w.ID, "task", c.Task, "run", c.Run)
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

func (w *Worker) handleHold(r *http.Request) (int, map[string]any) {
	c, err := decodeCommand(r)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	w.mu.Lock()
	if w.fencedLocked(c) {
		w.mu.Unlock()
		return conflict("fence")
	}
	if c.DeadlineMs > 0 {
		w.extendLocked(c.DeadlineMs)
	}
	acked := 0
	for acked < len(w.ends) && w.ends[acked].n <= c.AckCursor {
		w.fleet.Record.Add("acked", "worker", w.ID, "task", w.ends[acked].task, "run", w.ends[acked].run, "how", w.ends[acked].how)
		acked++
	}
	w.ends = w.ends[acked:]
	waited, changed := len(w.ends) == 0 && c.WaitMs > 0, w.changed
	w.mu.Unlock()
	if waited {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, run.saved(), run.percent(), run.step.CPU})
	}
	for _, e := range w.ends {
		if len(finished) < 500 {
			finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
		}
	}
	return http.StatusOK, map[string]any{"Running": running, "Finished": finished}
}

// worked returns the work that is done.
func (r *taskRun) worked() time.Duration {
	if r.workedFrom.IsZero() {
		return r.doneBefore
	}
	return r.doneBefore + time.Since(r.workedFrom)
}

func (r *taskRun) saved() string {
	if !r.step.Checkpointing {
		return ""
	}
	ms := r.worked().Truncate(saveWork).Milliseconds()
	if ms == 0 {
		return r.checkpoint
	}
	return "ck" + strconv.FormatInt(ms, 10)
}

func (r *taskRun) percent() int {
	if r.step.LongRunning {
		return 100
	}
	return int(math.Min(99, 100*float64(r.worked())/float64(r.step.Work)))
}

// tick ends what is over, on all workers at a time: the members of a gang end together.
func (f *Fleet) tick() {
	for range time.Tick(tickTime) {
		f.mu.Lock()
		workers := f.workers
		f.mu.Unlock()
		for _, w := range workers {
			if r := w.crashing(); r != nil {
				w.fleet.Record.Add("crashed-by", "worker", w.ID, "task", r.task, "run", r.run)
				w.Crash()
				time.AfterFunc(r.step.BackAfter, func() { _ = w.Restart() })
				continue
			}
			w.endRuns()
		}
	}
}

// crashing returns a run that crashes the worker now, or nil.
func (w *Worker) crashing() *taskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if after := r.step.CrashAfter; after > 0 && time.Since(r.begunAt) >= after {
			return r
		}
	}
	return nil
}

func (w *Worker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if how := w.endOfLocked(w.runs[name]); how != "" {
			w.endLocked(w.runs[name], how)
		}
	}
}

// endOfLocked returns how a run ends now, or "".
func (w *Worker) endOfLocked(r *taskRun) string {
	now := time.Now()
	if w.clock() > w.leaseUntil {
		return "lapsed"
	}
	if !r.stopAt.IsZero() && now.After(r.stopAt) {
		return "stopped"
	}
	if r.step.Gang {
		opened, broken := w.fleet.gangState(r)
		switch {
		case broken:
			return "broken"
		case opened.IsZero() && now.Sub(r.begunAt) > gangWait:
			return "alone"
		case !opened.IsZero():
			r.workedFrom = opened
		}
	}
	if r.workedFrom.IsZero() || r.step.LongRunning {
		return ""
	}
	_, _, _, index, _ := parseTask(r.task)
	if r.run <= r.step.FailedRunsOf && r.worked() > r.step.Work/2 && (!r.step.Gang || index == 0 || r.step.FailAllMembers) {
		return "failed"
	}
	if r.worked() >= r.step.Work {
		return "done"
	}
	return ""
}

func (w *Worker) endLocked(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	if how != "done" {
		w.fleet.leave(r)
	}
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{w.lastEnd, r.task, r.run, how, saved})
	w.fleet.Record.Add("end", "worker", w.ID, "task", r.task, "run", r.run, "how", how)
	close(w.changed)
	w.changed = make(chan struct{})
}
