package dispatch

import (
	"maps"
	"slices"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// stage is the state of a placed run as this owner knows it.
type stage uint8

const (
	stageNone        stage = iota
	stagePlanned           // decided; the commit is not durable yet
	stageSent              // the start was sent and has no response yet
	stageUnconfirmed       // the start got no response: the run may exist
	stageRunning           // the worker has confirmed the run
	stageInherited         // inherited from an earlier owner; not yet reported by the worker
)

// job is a job of the shard.
type job struct {
	spec             workload.Spec
	record           workload.Record
	acceptedAt       fleet.Clock     // on the store's clock
	acceptedQueue    *fleet.Queue    // by the terms of the acceptance; nil until it is needed
	storedTerms      *workload.Terms // those in the accepted row, which the job may have got later
	observedMillis   []int64         // per step, the milliseconds that an uninterrupted run of a task took; 0 if unknown
	expectedEnd      time.Duration   // when admission expected it to end, 0 if it did not decide about it
	due              time.Duration   // by when it had to end to be in time, if expectedEnd is set
	longestMillis    []int64         // per step, the milliseconds of its longest uninterrupted run; nil if unknown
	tasks            map[int][]*task // by occurrence; each task embeds its entry of record.Tasks
	durableState     workload.State  // the last durable state
	stored           bool            // the accepted row is durable
	sentToStore      bool            // a commit with the accepted row was sent
	submitInInbox    bool            // an inbox row holds the job: it is accepted and must not be dropped
	cancelInInbox    bool            // an inbox row holds its cancellation
	commits          int             // how often its rows were added to a commit
	durableCommit    int             // the number of the last such commit that is durable
	movedHere        bool            // it came from another shard and must not be moved again
	delivering       bool            // it is being delivered to another shard
	cancelKey        string          // inbox key of a cancellation to forward after the job
	forwardingCancel bool            // the cancellation is being forwarded
	lookupInFlight   bool            // the other shard is being asked whether it still has the job
	dirty            bool            // the progress differs from the stored row
	storedVersion    int64           // of the progress row that this owner stored last, 0 for none
	acceptedVersion  int64           // of the accepted row if this owner stored it, or 0
	shortRow         bool            // the accepted row is stored in its short form, or a commit with that is under way
	hasRun           bool            // a run has been seen at some time
	outcomeSeen      bool            // whether it was in time has been counted
	begunAt          time.Duration   // when its first task was placed here, 0 for never
	waiters          []waiter        // callers that wait until what they have asked for is stored
	waitLoggedAt     time.Duration   // when the wait of its tasks was last logged
	advice           map[stepKey]*advice
	loan             *workload.Loan           // set if the job is a task that another shard has lent to this one
	rowBytes         int                      // size of the progress row as last encoded, plus an upper bound of its growth since, without checkpoints
	heldUntil        time.Duration            // not stored before then, as the store has rejected its rows
	holds            int                      // how often in a row that was so
	unstoredEnds     map[*host]incarnationEnd // the first end of a run on each worker since it was last added to a commit
}

// task is a task of a job; its stored part is the embedded Progress.
type task struct {
	id   workload.TaskID
	name string // the task's name in commands to workers
	job  *job
	step *workload.Step
	*workload.Progress
	origin workload.TaskID // the task's place in its job; differs from id for a borrowed task

	stage           stage
	stageSince      time.Duration // when the stage began
	pendingSince    time.Duration // when it last became pending
	startableSince  time.Duration // when a plan first found that it may start, 0 while it has not
	startToken      int64         // token of the last start of the run
	boundTo         string        // worker that may still carry out an earlier start of the task, "" for none
	boundUntil      time.Duration // until then, it may carry out the start
	startRepeated   bool          // the start was sent again after it had got no response
	startTimedOut   bool          // the worker did not respond to the start within the time-out: it may have been dead before
	settled         bool          // the worker answered settleAfter after it had begun the run
	stopWanted      bool          // the run is to be stopped
	stopSentAt      time.Duration // when a stop of this run was last sent, 0 for never
	stopAckedAt     time.Duration // when a stop of this run was first acknowledged, 0 for never
	percent         int           // progress as last reported
	progressedAt    time.Duration // when percent last changed
	gauge           float64       // tail latency in milliseconds of a long-running task, else CPU use in thousandths of a core
	ticket          string        // the adviser's approval of the worker
	uninterrupted   bool          // the run started without a checkpoint and was not throttled
	overTargetSince time.Duration // since when the tail latency exceeds its target, 0 if it does not
	baseLoad        float64       // expected utilisation of a service without backfill runs
	observed        float64       // the tail latency that the colocation model observed last, at observedAt
	observedAt      time.Duration
	loadError       float64       // by how much its utilisation was last above the expected one
	throttledAt     time.Duration // when the CPU limit was last changed
	startCPULimit   int           // CPU limit to apply after the start, in percent; 0 for none
	failedOn        []string      // workers on which runs of the task or its gang failed lately
	certainCrashes  int           // workers that were lost right after this owner had seen them start it, apart from others
	lostAt          string        // address of the worker with which the last run was lost
	lostInRack      string        // rack in which the last run was lost with its worker
	notBefore       time.Duration // not placed before then
	cpuLimit        int           // CPU limit in percent of full speed, 1 to 100; 0 if never limited
	loan            loanState     // used while the task is lent
	lendAt          time.Duration // not lent before then
	lendTo          string        // shard that is lent the task once its run has been stopped, "" for none
	drainKept       bool          // its worker drains, and the last plan found no worker here to continue on
	refusedBy       []string      // shards that returned the task without running it
	waitReason      waitReason    // why the last plan did not place it
}

// newJob returns a queued job without tasks.
func newJob(a *workload.Accepted) *job {
	return &job{
		spec: a.Spec, acceptedAt: fleet.Clock(a.AtMillis), movedHere: a.Moved, loan: a.Loan,
		observedMillis: make([]int64, len(a.Spec.Steps)), tasks: map[int][]*task{},
		record: workload.Record{State: workload.Queued}, durableState: workload.Queued,
	}
}

// createTasks creates the tasks of occurrence k.
func (j *job) createTasks(k int, now time.Duration) {
	if j.record.Tasks == nil {
		j.record.Tasks = map[int][]workload.Progress{}
	}
	n := j.spec.TasksPerOccurrence()
	j.record.Tasks[k] = make([]workload.Progress, n)
	j.record.Begun = max(j.record.Begun, k+1)
	j.rowBytes += occurrenceBytes + n*waitingTaskBytes
	if j.loan != nil {
		tasks := j.record.Tasks[k]
		for i := range tasks {
			tasks[i] = workload.Progress{Run: j.loan.Run, Checkpoint: j.loan.Checkpoint, Crashes: j.loan.Crashes}
		}
		tasks[0].Failures, tasks[0].FailedRuns = j.loan.Failures, slices.Clone(j.loan.FailedRuns) // a gang counts them on its first member
	}
	j.restoreTasks(k, now)
	j.dirty = true
}

// restoreTasks creates the runtime tasks of occurrence k from its stored progress.
func (j *job) restoreTasks(k int, now time.Duration) {
	progress := j.record.Tasks[k]
	tasks := make([]*task, 0, len(progress))
	for si := range j.spec.Steps {
		for i := range j.spec.Steps[si].Tasks {
			if len(tasks) == len(progress) {
				break
			}
			id := workload.TaskID{Job: j.spec.ID, Occurrence: k, Step: si, Index: i}
			t := &task{id: id, origin: id, name: id.String(), job: j, step: &j.spec.Steps[si], Progress: &progress[len(tasks)], pendingSince: now}
			if j.loan != nil {
				t.bindLoan(j.loan)
			}
			if t.Phase == workload.Placed {
				t.stage, t.stageSince = stageInherited, now
			}
			if t.Phase == workload.Done || t.Phase == workload.Lent || t.Run > 1 || t.Checkpoint != "" {
				j.hasRun = true
			}
			tasks = append(tasks, t)
		}
	}
	j.tasks[k] = tasks
	for _, t := range tasks {
		if worker := t.attempts().FailedOn; worker != "" {
			t.avoid(worker)
		}
	}
}

// findTask returns the task with that id, or nil.
func (j *job) findTask(id workload.TaskID) *task {
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
	first := j.findTask(workload.TaskID{Occurrence: k, Step: step})
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

// dependenciesDone reports whether the steps that a step of occurrence k depends on are
// done.
func (j *job) dependenciesDone(k, step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if !j.stepDone(k, a) {
			return false
		}
	}
	return true
}

// active reports whether tasks of the job may still be placed.
func (j *job) active() bool { return !j.record.State.Final() && j.record.Moved == nil }

// setRunning records that a task of j has been given to a worker or lent.
func (j *job) setRunning() {
	j.dirty = true
	if j.record.State == workload.Queued {
		j.record.State = workload.Running
	}
}

// started reports whether a task of j may have had a run, so that j cannot move as a whole.
func (j *job) started() bool {
	if j.hasRun {
		return true
	}
	for _, tasks := range j.tasks {
		if slices.ContainsFunc(tasks, func(t *task) bool { return t.Run > 0 }) {
			return true
		}
	}
	return false
}

// placed counts the runs of j that may exist, here or at borrowers.
func (j *job) placed() int {
	n := 0
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.Phase == workload.Placed || t.Phase == workload.Lent {
				n++
			}
		}
	}
	return n
}

// closeOccurrence discards the tasks of occurrence k if all are done.
func (j *job) closeOccurrence(k int) {
	for _, t := range j.tasks[k] {
		if t.Phase != workload.Done {
			return
		}
	}
	delete(j.record.Tasks, k)
	delete(j.tasks, k)
	maps.DeleteFunc(j.advice, func(key stepKey, _ *advice) bool { return key.occurrence == k })
}

// complete reports whether all tasks of every occurrence are done.
func (j *job) complete() bool {
	return j.record.Begun == j.spec.Occurrences() && len(j.record.Tasks) == 0
}
