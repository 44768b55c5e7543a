package stand

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Route is a queue of the config.
type Route struct {
	Name, Host, Prefix string
	TargetMs           int
	Priority           int
	Attempts           int
}

// Step is a step of a job, as a client sends it.
type Step struct {
	Count         int    `json:"Count"`
	CPU           int64  `json:"Cpu"`
	MemMb         int64  `json:"MemMb"`
	EstimatedMs   int64  `json:"EstimatedMs"`
	After         []int  `json:"After,omitempty"`
	Checkpointing bool   `json:"Checkpointing,omitempty"`
	Requirements  string `json:"Requirements,omitempty"`
	LongRunning   bool   `json:"LongRunning,omitempty"`
	Gang          bool   `json:"Gang,omitempty"`

	// WorkMs is how long the task with that index takes. It is not sent.
	WorkMs func(index int) int64 `json:"-"`
}

// Job is a job that a client hands in.
type Job struct {
	TaskSpec    string `json:"TaskSpec"`
	Steps       []Step `json:"Steps"`
	StartAtMs   int64  `json:"StartAtMs,omitempty"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	IntervalMs  int64  `json:"IntervalMs,omitempty"`

	ID    string `json:"-"`
	Route *Route `json:"-"`

	accepted  bool // a client has got a 2xx
	tasks     map[string]*task
	idleSince time.Time
}

// task is what the workers have seen of a task.
type task struct {
	running    int
	done       bool // a run has ended done
	doneOn     string
	doneAt     time.Time
	doneLapsed bool // the lease of its worker lapsed before that end was taken note of
	noted      bool // that end was taken note of
	late       []string
	failed     []int // the numbers of the runs that ended failed
}

// Judge compares what clients and workers see with the rules.
type Judge struct {
	rec *Record

	mu      sync.Mutex
	jobs    map[string]*Job
	workers []*Worker

	gangs gangs
}

// NewJudge returns a judge without jobs.
func NewJudge(rec *Record) *Judge {
	return &Judge{rec: rec, jobs: map[string]*Job{}, gangs: gangs{runs: map[string]*gangRun{}}}
}

// submitted records a job before it is sent.
func (j *Judge) submitted(job *Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs[job.ID] == nil {
		job.tasks = map[string]*task{}
		j.jobs[job.ID] = job
	}
}

// accepted records a 2xx for a job.
func (j *Judge) accepted(job *Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job.accepted = true
}

// taskOf returns what is known of the task with that name. The caller holds the lock.
func (j *Judge) taskOf(name string) (job *Job, t *task, step, index int, err error) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return nil, nil, 0, 0, fmt.Errorf("task name %q", name)
	}
	job = j.jobs[p[0]]
	k, err0 := strconv.Atoi(p[1])
	step, err1 := strconv.Atoi(p[2])
	index, err2 := strconv.Atoi(p[3])
	if job == nil || err0 != nil || err1 != nil || err2 != nil || k >= max(1, job.RepeatCount) || step >= len(job.Steps) || index >= job.Steps[step].Count {
		return nil, nil, 0, 0, fmt.Errorf("no task %q", name)
	}
	if t = job.tasks[name]; t == nil {
		t = &task{}
		job.tasks[name] = t
	}
	return job, t, step, index, nil
}

// needs returns the step of a task and how long the task takes.
func (j *Judge) needs(worker, name, spec string) (*Step, time.Duration, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, _, step, index, err := j.taskOf(name)
	if err == nil && job.TaskSpec != spec {
		err = fmt.Errorf("another TaskSpec for %q", name)
	}
	if err != nil {
		j.rec.Broken("UNASKED", "%s: %v", worker, err)
		return nil, 0, err
	}
	s := &job.Steps[step]
	return s, time.Duration(s.WorkMs(index)) * time.Millisecond, nil
}

// started records that a worker has begun a run.
func (j *Judge) started(worker, name string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, t, _, _, err := j.taskOf(name)
	if err != nil {
		return
	}
	if t.running > 0 {
		j.rec.Broken("TWICE", "%s starts %s run %d beside another run of it", worker, name, run)
	}
	t.running++
	if !t.done || t.doneLapsed {
		return
	}
	what := fmt.Sprintf("%s starts %s run %d at %.3f, after a run of it had ended done on %s at %.3f", worker, name, run,
		time.Since(j.rec.started).Seconds(), t.doneOn, t.doneAt.Sub(j.rec.started).Seconds())
	if t.noted {
		j.rec.Broken("TWICE", "%s", what)
		return
	}
	t.late = append(t.late, what)
}

// ended records the end of a run.
func (j *Judge) ended(worker, name string, run int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, t, _, _, err := j.taskOf(name)
	if err != nil {
		return
	}
	t.running--
	if how == "failed" {
		t.failed = append(t.failed, run)
	}
	if how == "done" && !t.done {
		t.done, t.doneOn, t.doneAt = true, worker, time.Now()
	}
}

// leaseLapsed records that the lease of a worker lapsed while it listed these ends.
func (j *Judge) leaseLapsed(worker string, names []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, name := range names {
		if _, t, _, _, err := j.taskOf(name); err == nil && t.done && t.doneOn == worker && !t.noted {
			t.doneLapsed = true
		}
	}
}

// noted records that AckCursor has reached the end of a run that ended done. A start after that
// end breaks the rule then, whether it came before the note or comes later.
func (j *Judge) noted(worker, name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, t, _, _, err := j.taskOf(name)
	if err != nil || t.doneOn != worker || t.doneLapsed || t.noted {
		return
	}
	t.noted = true
	for _, what := range t.late {
		j.rec.Broken("TWICE", "%s, an end that is taken note of", what)
	}
}

// turnHasCome reports whether a task that has not ended done may run, and returns its step.
func (job *Job) turnHasCome(now time.Time) *Step {
	for k := range max(1, job.RepeatCount) {
		if job.RepeatCount > 0 && job.StartAtMs+int64(k)*job.IntervalMs > now.UnixMilli() {
			break
		}
		for i := range job.Steps {
			if !job.stepDone(k, i) && job.ready(k, i) {
				return &job.Steps[i]
			}
		}
	}
	return nil
}

func (job *Job) ready(k, step int) bool {
	for _, a := range job.Steps[step].After {
		if !job.stepDone(k, a) {
			return false
		}
	}
	return true
}

func (job *Job) stepDone(k, step int) bool {
	for i := range job.Steps[step].Count {
		if t := job.tasks[fmt.Sprintf("%s.%d.%d.%d", job.ID, k, step, i)]; t == nil || !t.done {
			return false
		}
	}
	return true
}

func (job *Job) running() int {
	n := 0
	for _, t := range job.tasks {
		n += t.running
	}
	return n
}

// idleLimit is how long an accepted job may have nothing running beside free capacity.
const idleLimit = 3 * time.Second

// WatchIdle looks for accepted jobs with nothing running while a task's turn has come, there is
// capacity for it twice over and under half of the capacity is in use, for idleLimit on end.
func (j *Judge) WatchIdle(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used, total, free := j.capacity()
		j.mu.Lock()
		now := time.Now()
		for _, job := range j.jobs {
			var step *Step
			if job.accepted && job.running() == 0 && j.attempts(job) < job.Route.Attempts {
				step = job.turnHasCome(now)
			}
			if step == nil || step.Requirements != "" && step.Requirements != workerKind || 2*used >= total || free < 2*step.CPU {
				job.idleSince = time.Time{}
				continue
			}
			if job.idleSince.IsZero() {
				job.idleSince = now
			}
			if now.Sub(job.idleSince) > idleLimit {
				job.idleSince = now.Add(time.Hour)
				j.rec.Broken("LOST", "job %s has had nothing running for %v; %d of %d thousandths of a core are in use", job.ID, idleLimit, used, total)
			}
		}
		j.mu.Unlock()
	}
}

// capacity returns the used and the whole CPU of all workers, and the most that is free on one
// that may run any step. A lost worker counts as used.
func (j *Judge) capacity() (used, total, free int64) {
	for _, w := range j.workers {
		u := w.usedCPU()
		used, total = used+u, total+w.cpu
		if w.adviser == nil || w.adviser.May(w.ID) {
			free = max(free, w.cpu-u)
		}
	}
	return used, total, free
}

// Accepted returns the jobs that were accepted. The cases cancel none.
func (j *Judge) Accepted() []*Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []*Job
	for _, job := range j.jobs {
		if job.accepted {
			out = append(out, job)
		}
	}
	return out
}

// Done reports whether all tasks of a job have ended done.
func (j *Judge) Done(job *Job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for k := range max(1, job.RepeatCount) {
		for i := range job.Steps {
			if !job.stepDone(k, i) {
				return false
			}
		}
	}
	return true
}

// Attempts returns how often the task of a job, or its gang, that failed most often has failed. The
// members of a gang that fail in one run of it are one failure of the gang.
func (j *Judge) Attempts(job *Job) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts(job)
}

// attempts is Attempts for a caller that holds the lock.
func (j *Judge) attempts(job *Job) int {
	most := 0
	gangs := map[string]map[int]bool{} // the failed runs by step
	for name, t := range job.tasks {
		most = max(most, len(t.failed))
		if _, _, step, _, err := j.taskOf(name); err != nil || !job.Steps[step].Gang {
			continue
		}
		key := name[:strings.LastIndex(name, ".")]
		if gangs[key] == nil {
			gangs[key] = map[int]bool{}
		}
		for _, run := range t.failed {
			gangs[key][run] = true
		}
		most = max(most, len(gangs[key]))
	}
	return most
}
