package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, as its sheet gives them.
const (
	contact   = 3 * time.Second        // ContactMs
	cancelMax = 3 * time.Second        // cancel_ms
	stopMax   = 200 * time.Millisecond // StopMs
	lostAfter = 6 * time.Second        // from the last run of a task that lasts
	lostFor   = 3 * time.Second        // without a run
	calmFor   = 4 * time.Second        // before them
	finish    = 14 * time.Second
)

// step is a step of a job as a client sends it.
type step struct {
	Count         int    `json:"Count"`
	Cpu           int64  `json:"Cpu,omitempty"`
	MemMb         int64  `json:"MemMb,omitempty"`
	EstimatedMs   int    `json:"EstimatedMs,omitempty"`
	After         []int  `json:"After,omitempty"`
	Checkpointing bool   `json:"Checkpointing,omitempty"`
	Gang          bool   `json:"Gang,omitempty"`
	RackLocal     bool   `json:"RackLocal,omitempty"`
	Requirements  string `json:"Requirements,omitempty"`
	Affinity      string `json:"Affinity,omitempty"`
	AntiAffinity  int    `json:"AntiAffinity,omitempty"`
	LongRunning   bool   `json:"LongRunning,omitempty"`
	Image         string `json:"Image,omitempty"`
	TargetMs      int    `json:"TargetMs,omitempty"`
	FillCount     bool   `json:"FillCount,omitempty"`
	MissAllowed   int    `json:"MissAllowed,omitempty"`
}

func (s *step) committed() amounts {
	if s.FillCount {
		return amounts{MemMb: s.MemMb}
	}
	return amounts{Cpu: s.Cpu, MemMb: s.MemMb}
}

// job is a job of a client, and what its tasks do.
type job struct {
	ID          string `json:"-"`
	TaskSpec    string `json:"TaskSpec"`
	Steps       []step `json:"Steps"`
	StartAtMs   int64  `json:"StartAtMs,omitempty"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	IntervalMs  int64  `json:"IntervalMs,omitempty"`

	millis int                                      // work of a task
	fails  func(task string, run int) time.Duration // after which time a run fails by its own fault; 0 for never
	mu     sync.Mutex                               // guards what follows
	accept time.Time                                // when a 2xx came
	cancel time.Time                                // when its cancelling was sent
	noted  time.Time                                // when that was acknowledged
	unsure bool                                     // an attempt had no clear answer
}

func (j *job) duration() time.Duration { return time.Duration(j.millis) * time.Millisecond }
func (j *job) failsAfter(task string, run int) time.Duration {
	if j.fails == nil {
		return 0
	}
	return j.fails(task, run)
}

func (j *job) lasts() bool { return j.Steps[0].LongRunning }

// accepted reports when the job was accepted, and whether it was and nobody has cancelled it.
func (j *job) accepted() (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accept, !j.accept.IsZero() && j.cancel.IsZero()
}

// taskState is what the judge knows of a task.
type taskState struct {
	running  map[int]*life // by run
	lastEnd  time.Time
	done     bool // a run has ended done
	doneRun  int
	notedAt  time.Time // when that end was taken note of; zero for not yet
	restarts []int     // runs started after it
	waiting  time.Time // since when it has been without a run while there was capacity for it twice over
	crashes  int
}

// judge records what clients, workers and the platform see, and checks the rules.
type judge struct {
	mu         sync.Mutex
	record     *os.File
	began      time.Time
	jobs       map[string]*job
	tasks      map[string]*taskState
	violations []string
	counts     map[string]int
	ends       map[string]int
	late       map[string]bool // tasks of cancelled jobs that ran on
	disturbed  time.Time       // until when something was disturbed
	fleet      *fleet
}

func newJudge(path string) *judge {
	f, err := os.Create(path)
	if err != nil {
		giveUp("%v", err)
	}
	return &judge{record: f, began: time.Now(), jobs: map[string]*job{}, tasks: map[string]*taskState{}, counts: map[string]int{}, ends: map[string]int{}, late: map[string]bool{}}
}

func (g *judge) log(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logLocked(format, args...)
}

func (g *judge) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (g *judge) violation(rule, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violationLocked(rule, format, args...)
}

func (g *judge) violationLocked(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	g.counts[rule]++
	if g.counts[rule] <= 20 {
		g.violations = append(g.violations, line)
		g.logLocked("BROKEN %s", line)
	}
}

// disturb records a disturbance that lasts until the given time.
func (g *judge) disturb(until time.Time, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.disturbed) {
		g.disturbed = until
	}
	g.logLocked("TROUBLE "+format, args...)
}

// jobOf returns the job and the step of a task by its name.
func (g *judge) jobOf(task string) (*job, int, error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0, fmt.Errorf("name %q", task)
	}
	g.mu.Lock()
	j := g.jobs[parts[0]]
	g.mu.Unlock()
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.Steps) {
		return nil, 0, fmt.Errorf("no job of task %q", task)
	}
	return j, n, nil
}

func (g *judge) task(name string) *taskState {
	t := g.tasks[name]
	if t == nil {
		t = &taskState{running: map[int]*life{}}
		g.tasks[name] = t
	}
	return t
}

func (g *judge) started(w *life, r *taskRun, spec string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.logLocked("start %s run %d on %s saved %v", r.task, r.number, w, r.saved)
	if spec != r.job.TaskSpec {
		g.violationLocked("UNASKED", "%s started with another TaskSpec", r.task)
	}
	t := g.task(r.task)
	for n, o := range t.running {
		g.violationLocked("TWICE", "run %d of %s started on %s while run %d is on %s", r.number, r.task, w, n, o)
	}
	if t.done {
		t.restarts = append(t.restarts, r.number)
		if !t.notedAt.IsZero() {
			g.violationLocked("TWICE", "run %d of %s started after run %d ended done and was taken note of", r.number, r.task, t.doneRun)
		}
	}
	t.running[r.number] = w
	t.waiting = time.Time{}
	s := r.job.Steps[r.step]
	if s.Requirements != "" && s.Requirements != w.kind && s.Requirements != w.rack {
		g.violationLocked("ROUTE", "%s needs label %s and was started on %s in %s", r.task, s.Requirements, w, w.rack)
	}
	if n := g.beside(w, r); s.AntiAffinity > 0 && n > s.AntiAffinity {
		g.violationLocked("ROUTE", "%d tasks of the step of %s on %s, at most %d", n, r.task, w, s.AntiAffinity)
	}
	for _, dep := range s.After {
		g.checkDependency(r, dep)
	}
	r.job.mu.Lock()
	noted := r.job.noted
	r.job.mu.Unlock()
	if !noted.IsZero() && now.Sub(noted) > cancelMax {
		g.violationLocked("UNASKED", "%s started %v after the cancelling of its job was acknowledged", r.task, now.Sub(noted))
	}
	if r.job.RepeatCount > 0 {
		k, _ := strconv.ParseInt(strings.Split(r.task, ".")[1], 10, 64)
		if early := r.job.StartAtMs + k*r.job.IntervalMs - now.UnixMilli(); early > 250 {
			g.violationLocked("ORDER", "%s started %d ms before its time", r.task, early)
		}
	}
}

// beside counts the runs of the step of r on w, with r.
func (g *judge) beside(w *life, r *taskRun) int {
	prefix := r.task[:strings.LastIndexByte(r.task, '.')+1]
	n := 0
	for name, t := range g.tasks {
		for _, o := range t.running {
			if o == w && strings.HasPrefix(name, prefix) {
				n++
			}
		}
	}
	return n
}

func (g *judge) checkDependency(r *taskRun, dep int) {
	parts := strings.Split(r.task, ".")
	for i := range r.job.Steps[dep].Count {
		name := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], dep, i)
		if !g.task(name).done {
			g.violationLocked("ORDER", "%s started before %s has ended done", r.task, name)
		}
	}
}

func (g *judge) ended(w *life, r *taskRun, how string, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logLocked("end   %s run %d on %s %s (%d)", r.task, r.number, w, how, n)
	g.ends[how]++
	t := g.task(r.task)
	delete(t.running, r.number)
	t.lastEnd = time.Now()
	switch how {
	case "done":
		if t.done {
			g.logLocked("NOTE  %s has ended done before, in run %d", r.task, t.doneRun)
		}
		t.done, t.doneRun = true, r.number
	case "alone":
		r.job.mu.Lock()
		cancelled := !r.job.cancel.IsZero()
		r.job.mu.Unlock()
		if !cancelled && time.Since(g.disturbed) > calmFor+lostFor {
			g.violationLocked("GANG", "run %d of %s ended alone", r.number, r.task)
		}
	case "crash":
		t.crashes++
	}
}

// acked records that a worker's end was acknowledged.
func (g *judge) acked(w *life, task string, run int, how string, lapsed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logLocked("note  %s run %d on %s %s", task, run, w, how)
	t := g.task(task)
	if how != "done" || lapsed || t.doneRun != run {
		return
	}
	t.notedAt = time.Now()
	for _, n := range t.restarts {
		g.violationLocked("TWICE", "run %d of %s started after run %d ended done, which was taken note of", n, task, run)
	}
}

// watch checks the tasks that last until the channel is closed.
func (g *judge) watch(stop <-chan struct{}) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			g.checkLasting()
		}
	}
}

func (g *judge) checkLasting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for id, j := range g.jobs {
		g.checkCancelled(id, j, now)
		since, ok := j.accepted()
		if !ok || !j.lasts() {
			continue
		}
		for i := range j.Steps[0].Count {
			name := fmt.Sprintf("%s.0.0.%d", id, i)
			t := g.task(name)
			last := t.lastEnd
			if last.IsZero() {
				last = since
			}
			if len(t.running) > 0 || now.Sub(last) < lostAfter || now.Sub(g.disturbed) < calmFor || !g.roomTwice(name, &j.Steps[0]) {
				t.waiting = time.Time{}
				continue
			}
			if t.waiting.IsZero() {
				t.waiting = now
			}
			if now.Sub(t.waiting) >= lostFor {
				g.violationLocked("LOST", "%s, which lasts, has had no run for %.1f s, and for %.1f s of calm there was capacity for it twice over", name, now.Sub(last).Seconds(), now.Sub(t.waiting).Seconds())
				t.waiting = now.Add(time.Hour)
			}
		}
	}
}

// checkCancelled checks that the tasks of a cancelled job do not run on.
func (g *judge) checkCancelled(id string, j *job, now time.Time) {
	j.mu.Lock()
	noted := j.noted
	j.mu.Unlock()
	if noted.IsZero() || now.Sub(noted) < cancelMax+stopMax || now.Sub(g.disturbed) < cancelMax+stopMax+contact {
		return
	}
	for name, t := range g.tasks {
		if strings.HasPrefix(name, id+".") && len(t.running) > 0 && !g.late[name] {
			g.late[name] = true
			g.violationLocked("UNASKED", "%s runs on %.1f s after the cancelling of its job was acknowledged", name, now.Sub(noted).Seconds())
		}
	}
}

// roomTwice reports whether one worker that the task, of the step s, may run on has twice its needs free.
func (g *judge) roomTwice(task string, s *step) bool {
	used, siblings := map[*life]amounts{}, map[*life]int{}
	prefix := task[:strings.LastIndexByte(task, '.')+1]
	for name, t := range g.tasks {
		parts := strings.Split(name, ".")
		for _, w := range t.running {
			if strings.HasPrefix(name, prefix) {
				siblings[w]++
			}
			if j := g.jobs[parts[0]]; j != nil {
				n, _ := strconv.Atoi(parts[2])
				used[w] = used[w].plus(j.Steps[n].committed())
			}
		}
	}
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	for _, w := range g.fleet.lives {
		// The fields read here change only by a crash or the start of draining, which are disturbances.
		if w.dead || w.draining || s.Requirements != "" && s.Requirements != w.kind && s.Requirements != w.rack {
			continue
		}
		if s.AntiAffinity > 0 && siblings[w] >= s.AntiAffinity {
			continue
		}
		if s.committed().plus(s.committed()).plus(used[w]).fits(g.fleet.capacity) {
			return true
		}
	}
	return false
}

// stands reports whether no task of a job has run in the last lostFor.
func (g *judge) stands(j *job) bool {
	for name, t := range g.tasks {
		if strings.HasPrefix(name, j.ID+".") && (len(t.running) > 0 || time.Since(t.lastEnd) < lostFor) {
			return false
		}
	}
	return true
}

// halfIdle reports whether under half of the capacity of the workers is in use.
func (g *judge) halfIdle() bool {
	var used, total int64
	for name, t := range g.tasks {
		parts := strings.Split(name, ".")
		if j := g.jobs[parts[0]]; j != nil {
			n, _ := strconv.Atoi(parts[2])
			used += int64(len(t.running)) * j.Steps[n].Cpu
		}
	}
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	for _, w := range g.fleet.lives {
		if !w.dead {
			total += g.fleet.capacity.Cpu
		}
	}
	return 2*used < total
}
