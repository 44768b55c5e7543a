// Package placement decides which worker runs which task. A decision is a pure
// function of an immutable Snapshot and a frozen View of what was observed; its
// result is a Plan, which the shard's owner checks again before it is recorded.
package placement

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Health is what the owner knows of a worker.
type Health uint8

// The states of a worker's health.
const (
	Healthy     Health = iota // reachable under a live grant
	Unreachable               // takes no new run
	Leaving                   // takes no new run; its runs move away
)

// Worker is a worker and what runs on it.
type Worker struct {
	ID       string
	Rack     string
	Capacity resource.Vector
	Health   Health
	Runs     []*Run // holding resources, including those still stopping
	// Changed is when the set of runs or a commitment last changed. Reports
	// measured before it say nothing about the present neighbours.
	Changed time.Duration
}

// Run is a run that holds resources on a worker.
type Run struct {
	ID         job.RunID
	Spec       *job.Spec
	Commit     resource.Vector // held at the worker
	Stopping   bool            // an end was decided and is not yet proved
	Throttled  bool
	Started    time.Duration
	Submitted  time.Duration
	Resume     int64 // progress at the start of the run, in work units
	Checkpoint int64 // saved progress, in work units
	Evictions  int   // of the task so far
}

// Pending is a task that waits for a worker.
type Pending struct {
	Task      job.TaskID
	Spec      *job.Spec
	Submitted time.Duration
	NotBefore time.Duration // back-off after a failure
	Resume    int64
	Evictions int
	Failures  int
	FailedOn  []string // workers of the latest failures, newest last
}

// Snapshot is an immutable view of one shard. All times are readings of the
// owner's monotonic clock.
type Snapshot struct {
	Now     time.Duration
	Workers []*Worker // ascending by ID
	Pending []*Pending
	// Headroom is what each tenant may still commit in this shard. A tenant
	// that is missing has no limit.
	Headroom map[string]resource.Vector
}

// Step is the kind of a decision, mildest first.
type Step string

// The steps.
const (
	Place      Step = "place"
	Throttle   Step = "throttle"
	Unthrottle Step = "unthrottle"
	Resize     Step = "resize"
	Checkpoint Step = "checkpoint"
	Move       Step = "move"    // stop with a checkpoint; the task is pending again
	Preempt    Step = "preempt" // Move, to make room for more important work
	Evict      Step = "evict"   // stop without a new checkpoint; the task is pending again
	Wait       Step = "wait"    // the task stays pending
	SetAside   Step = "set-aside"
)

// Decision is one step of a plan.
type Decision struct {
	Step   Step
	Task   job.TaskID
	Run    job.RunID       // all steps but Place, Wait and SetAside
	Worker string          // where
	Commit resource.Vector // Place, Throttle, Unthrottle, Resize; wanted size of a Move by Grow
	Resume int64           // Place
	Reason Reason
}

// Reason explains a decision in terms that explain prints.
type Reason struct {
	Stage  string  `json:"stage"` // plugin that decided
	Detail string  `json:"detail"`
	Score  float64 `json:"score,omitempty"`
}

// Waiting says why the tasks of a job that a plan does not name stay pending.
// Some of them get a Wait of their own besides, others in each cycle.
type Waiting struct {
	Job    string
	Reason Reason
}

// Plan is the result of one scheduling cycle, in the order of application.
// Pending tasks that neither part names were not looked at.
type Plan struct {
	Decisions []Decision
	Waiting   []Waiting
}
