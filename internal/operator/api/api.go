// Package api defines the paths and messages of the operator API, which the
// scheduler serves and skylarkctl calls.
package api

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Paths of the operator API.
const (
	PathJobs       = "/v1/jobs"
	PathCancel     = "/v1/jobs/cancel"
	PathWorkers    = "/v1/workers"
	PathStatus     = "/v1/status"
	PathExplain    = "/v1/explain"
	PathBundles    = "/v1/bundles"
	PathBundleDiff = "/v1/bundle-diff"
	PathProposals  = "/v1/proposals"
)

// TaskState is the state of a task as the operator API reports it.
type TaskState string

// The states of a task.
const (
	TaskWaiting   TaskState = "waiting"
	TaskSetAside  TaskState = "set-aside" // fits on no worker, or has failed too often
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown" // the shard's owner does not answer, or the task has moved to another shard
)

// Task is the state of one task.
type Task struct {
	Task      job.TaskID      `json:"task"`
	State     TaskState       `json:"state"`
	Shard     string          `json:"shard"`
	Worker    string          `json:"worker,omitempty"`
	Attempt   uint32          `json:"attempt"`
	Commit    resource.Vector `json:"commit"`
	Progress  int64           `json:"progress"` // work units saved by the last checkpoint
	Evictions int             `json:"evictions"`
	Failures  int             `json:"failures"`
	Reason    string          `json:"reason,omitempty"` // of the latest decision about the task
}

// Job is a job and the state of its tasks.
type Job struct {
	Spec      job.Spec `json:"spec"`
	Cancelled bool     `json:"cancelled"`
	Tasks     []Task   `json:"tasks"`
	// Incomplete is true when a shard owner did not answer, so that Tasks lacks
	// the state of the tasks in its shards.
	Incomplete bool `json:"incomplete"`
}

// Count returns how many tasks are in state s.
func (j *Job) Count(s TaskState) int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == s {
			n++
		}
	}
	return n
}

// JobList is the response to a list of jobs.
type JobList struct {
	Jobs       []Job `json:"jobs"`
	Incomplete bool  `json:"incomplete"`
}

// CancelRequest lists the ids of the jobs to cancel.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// CancelReply holds one result for each id, in the order of the request.
type CancelReply struct {
	Results []CancelResult `json:"results"`
}

// CancelResult is the result code of one job's cancellation.
type CancelResult struct {
	ID     string `json:"id"`
	Code   int    `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// Worker is the state of a worker as the owner of its shard reports it.
type Worker struct {
	ID          string          `json:"id"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack"`
	Shard       string          `json:"shard"`
	Owner       string          `json:"owner"`
	Health      string          `json:"health"`
	Capacity    resource.Vector `json:"capacity"`
	Committed   resource.Vector `json:"committed"`
	Runs        int             `json:"runs"`
	Quarantined bool            `json:"quarantined"`
}

// WorkerList is the response to a list of workers.
type WorkerList struct {
	Workers    []Worker `json:"workers"`
	Incomplete bool     `json:"incomplete"`
}

// Shard is the state of a shard and the instance that owns it.
type Shard struct {
	Shard   string `json:"shard"`
	Owner   string `json:"owner"`
	Epoch   uint64 `json:"epoch"`
	Workers int    `json:"workers"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Platform is "ok", or the reason why decisions cannot be recorded.
	Platform string `json:"platform"`
}

// Peer is another process of the deployment and its state as the answering
// instance sees it.
type Peer struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// Status is the state of the deployment as one instance sees it.
type Status struct {
	Instance      string  `json:"instance"`
	Zone          string  `json:"zone"`
	BundleVersion uint64  `json:"bundle_version"`
	Shards        []Shard `json:"shards"`
	Peers         []Peer  `json:"peers"`
	Incomplete    bool    `json:"incomplete"`
}

// Event is one recorded decision with its reason.
type Event struct {
	Age    job.Duration `json:"age"` // how long ago, by the answering owner's clock
	Task   string       `json:"task,omitempty"`
	Run    string       `json:"run,omitempty"`
	Worker string       `json:"worker,omitempty"`
	Step   string       `json:"step"`
	Stage  string       `json:"stage,omitempty"`
	Detail string       `json:"detail"`
}

// Explanation holds the state of a task, job or request and the events that led
// to it, oldest first.
type Explanation struct {
	Subject    string  `json:"subject"`
	State      string  `json:"state"`
	Events     []Event `json:"events"`
	Incomplete bool    `json:"incomplete"`
}

// Problem is the body of an error response, as application/problem+json. NotRun
// is true if the call certainly had no effect.
type Problem struct {
	Code   int    `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not_run"`
}

// MethodExplainRequest is the JSON-RPC 2.0 method by which a scheduler asks an
// entry for the events that it keeps of a refused request.
const MethodExplainRequest = "request.explain"

// ExplainRequest holds the id of the request to explain.
type ExplainRequest struct {
	RequestID string `json:"request_id"`
}

// RequestEvents holds the events that an entry keeps of a request, oldest first.
type RequestEvents struct {
	Events []Event `json:"events"`
}
