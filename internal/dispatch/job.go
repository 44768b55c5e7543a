package dispatch

import (
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// stage is how far a placed run is, as this owner knows it.
type stage uint8

const (
	stageNone    stage = iota
	stagePlanned       // decided, the commit is not durable yet
	stageSent          // the start was sent and not answered yet
	stageDoubt         // the start stayed unanswered
	stageRunning       // the worker confirmed the run
	stageAdopted       // taken over from an earlier owner, not seen yet
)

// job is a job of the shard.
type job struct {
	spec       workload.Spec
	rec        workload.Record
	at         fleet.Clock     // when it was accepted
	seen       []int64         // per step, duration of a task that ran whole, milliseconds; 0 for none
	tasks      map[int][]*task // runtime state beside rec.Tasks
	shown      workload.State  // the newest durable state
	stored     bool            // the accepted row is durable
	sent       bool            // a commit with the accepted row was sent
	kept       bool            // the job lies in the inbox: it is accepted and must not be forgotten
	arrived    bool            // it came from another shard and stays here
	delivering bool            // it is on its way to another shard
	cancelKey  string          // inbox row of a cancellation to pass on after the job
	passing    bool            // the cancellation is being passed on
	asking     bool            // the other shard is asked whether it knows the job
	dirty      bool            // the progress differs from the stored row
	begun      bool            // a run has been seen at some time
	waiters    []chan<- error  // callers that wait for the next commit
}

// task is a task of a job.
type task struct {
	id   workload.TaskID
	name string
	job  *job
	step *workload.Step
	*workload.Progress

	stage      stage
	since      time.Duration // when the stage began
	readyAt    time.Duration // when it last became pending
	stopWanted bool
	stopSent   time.Duration
	stopAnswer time.Duration // when a stop of this run was answered, 0 for never
	percent    int
	progressed time.Duration // when percent last changed
	gauge      float64
	ticket     string
	whole      bool          // the run started without a checkpoint and was not slowed
	overTarget time.Duration // since when the tail is over its target, 0 for not
	load       float64       // utilisation without filling neighbours, at loadAt
	loadAt     time.Duration
	pacedAt    time.Duration
	startPace  int    // share of full speed to order at the start, in percent; 0 for all
	avoid      string // worker on which the last run failed
	notBefore  time.Duration
	pace       int // share of full speed that was ordered, 1 to 100; 0 for never
}

// newJob returns a job without occurrences.
func newJob(spec workload.Spec, at fleet.Clock) *job {
	return &job{
		spec: spec, at: at, seen: make([]int64, len(spec.Steps)), tasks: map[int][]*task{},
		rec: workload.Record{State: workload.Queued}, shown: workload.Queued,
	}
}

// begin makes the tasks of occurrence k.
func (j *job) begin(k int, now time.Duration) {
	if j.rec.Tasks == nil {
		j.rec.Tasks = map[int][]workload.Progress{}
	}
	n := 0
	for i := range j.spec.Steps {
		n += j.spec.Steps[i].Tasks
	}
	j.rec.Tasks[k] = make([]workload.Progress, n)
	j.attach(k, now)
	j.dirty = true
}

// attach makes the runtime tasks of occurrence k from its progress.
func (j *job) attach(k int, now time.Duration) {
	progress := j.rec.Tasks[k]
	tasks := make([]*task, 0, len(progress))
	for si := range j.spec.Steps {
		for i := range j.spec.Steps[si].Tasks {
			if len(tasks) == len(progress) {
				break
			}
			id := workload.TaskID{Job: j.spec.ID, Occurrence: k, Step: si, Index: i}
			t := &task{id: id, name: id.String(), job: j, step: &j.spec.Steps[si], Progress: &progress[len(tasks)], readyAt: now}
			if t.Phase == workload.Placed {
				t.stage, t.since = stageAdopted, now
			}
			if t.Phase == workload.Done || t.Run > 1 || t.Checkpoint != "" {
				j.begun = true
			}
			tasks = append(tasks, t)
		}
	}
	j.tasks[k] = tasks
}

// find returns the task of that id, or nil.
func (j *job) find(id workload.TaskID) *task {
	tasks := j.tasks[id.Occurrence]
	if id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Tasks {
		return nil
	}
	n := id.Index
	for i := range id.Step {
		n += j.spec.Steps[i].Tasks
	}
	if n >= len(tasks) {
		return nil
	}
	return tasks[n]
}

// stepTasks returns the tasks of a step of occurrence k.
func (j *job) stepTasks(k, step int) []*task {
	first := j.find(workload.TaskID{Occurrence: k, Step: step})
	if first == nil {
		return nil
	}
	n := 0
	for i := range step {
		n += j.spec.Steps[i].Tasks
	}
	return j.tasks[k][n : n+j.spec.Steps[step].Tasks]
}

// stepDone reports whether all tasks of a step of occurrence k are done.
func (j *job) stepDone(k, step int) bool {
	for _, t := range j.stepTasks(k, step) {
		if t.Phase != workload.Done {
			return false
		}
	}
	return true
}

// open reports whether the steps before step of occurrence k are done.
func (j *job) open(k, step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if !j.stepDone(k, a) {
			return false
		}
	}
	return true
}

// active reports whether tasks of the job may still be placed.
func (j *job) active() bool { return !j.rec.State.Final() && j.rec.Moved == nil }

// placed counts the runs that may exist.
func (j *job) placed() int {
	n := 0
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Placed {
				n++
			}
		}
	}
	return n
}

// closeOccurrence drops the tasks of occurrence k if all are done.
func (j *job) closeOccurrence(k int) {
	for _, t := range j.tasks[k] {
		if t.Phase != workload.Done {
			return
		}
	}
	j.rec.Tasks[k] = nil
	j.tasks[k] = nil
}

// complete reports whether every occurrence has ended.
func (j *job) complete() bool {
	if len(j.rec.Tasks) < j.spec.Occurrences() {
		return false
	}
	for _, tasks := range j.rec.Tasks {
		if len(tasks) > 0 {
			return false
		}
	}
	return true
}
