// Package placement decides which worker runs which task. Decide is a pure function
// of a Snapshot of the shard and a View of earlier observations. It returns a Plan,
// whose decisions the shard's owner checks again before it records them.
package placement

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Health is the state of a worker as the shard's owner sees it.
type Health uint8

// The states of a worker's health.
const (
	Healthy     Health = iota // reachable, with a valid lease
	Unreachable               // does not answer or has no valid lease; takes no new run
	Draining                  // draining: takes no new run, and its runs are moved away
)

// Worker is a worker with its runs.
type Worker struct {
	ID       string
	Rack     string
	Capacity resource.Vector
	Health   Health
	Runs     []*Run // runs that hold resources, including stopping ones
	// LastChange is when the set of runs or a commitment last changed. Measurements
	// from before do not reflect the present neighbours.
	LastChange time.Duration
}

// Run is a run that holds resources on a worker.
type Run struct {
	ID         job.RunID
	Spec       *job.Spec
	Commit     resource.Vector // resources that it holds on the worker
	Stopping   bool            // its stop was decided, and its end is not yet proved
	Throttled  bool
	Started    time.Duration
	Submitted  time.Duration
	Resume     int64 // progress at the start of the run, in work units
	Checkpoint int64 // saved progress, in work units
	Evictions  int   // of the task so far, over all attempts
}

// Pending is a task that is waiting for a worker.
type Pending struct {
	Task      job.TaskID
	Spec      *job.Spec
	Submitted time.Duration
	NotBefore time.Duration // end of the back-off after a failure
	Resume    int64
	Evictions int
	Failures  int
	FailedOn  []string // workers of the latest failures, newest last
}

// Snapshot is the immutable state of one shard at Now. All times are readings of
// the shard owner's monotonic clock.
type Snapshot struct {
	Now     time.Duration
	Workers []*Worker // ascending by ID
	Pending []*Pending
	// Headroom holds what each organisation may still commit in this shard. An
	// organisation without an entry has no limit.
	Headroom map[string]resource.Vector
}

// Step is the kind of a decision.
type Step string

// Kinds of decisions. Place, Wait and SetAside concern pending tasks, the others runs.
const (
	Place      Step = "place"
	Throttle   Step = "throttle"
	Unthrottle Step = "unthrottle"
	Resize     Step = "resize"
	Checkpoint Step = "checkpoint"
	Move       Step = "move"      // stop with a checkpoint; the task is pending again
	Preempt    Step = "preempt"   // Move, to free capacity for more important work
	Evict      Step = "evict"     // stop without a new checkpoint; the task is pending again
	Wait       Step = "wait"      // the task stays pending
	SetAside   Step = "set-aside" // the task stays pending, but fits on no worker or has failed too often
)

// Decision is one step of a plan.
type Decision struct {
	Step   Step
	Task   job.TaskID
	Run    job.RunID       // for all steps but Place, Wait and SetAside
	Worker string          // of the run, or where a Place or Wait reserves capacity
	Commit resource.Vector // for Place, Throttle, Unthrottle and Resize; wanted size for a Move by Grow
	Resume int64           // for Place: saved progress, in work units
	Reason Reason
}

// Reason explains a decision to an operator.
type Reason struct {
	Stage  string  `json:"stage"` // stage or filter that decided
	Detail string  `json:"detail"`
	Score  float64 `json:"score,omitempty"`
}

// Waiting is the reason why a job's tasks without a decision of their own stay
// pending. In each cycle some of them get a Wait decision as well.
type Waiting struct {
	Job    string
	Reason Reason
}

// Plan is the result of one scheduling cycle. Decisions are applied in order.
// Pending tasks that appear in neither list were not considered.
type Plan struct {
	Decisions []Decision
	Waiting   []Waiting
}
