// Package api holds the messages of the operator API, shared by the scheduler
// that answers them and by skylarkctl.
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

// TaskState is the state of a task as operators see it.
type TaskState string

// The states of a task.
const (
	TaskWaiting   TaskState = "waiting"
	TaskSetAside  TaskState = "set-aside" // can never run as things are
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown" // the shard's owner does not answer
)

// Task is the state of one task.
type Task struct {
	Task      job.TaskID      `json:"task"`
	State     TaskState       `json:"state"`
	Shard     string          `json:"shard"`
	Worker    string          `json:"worker,omitempty"`
	Attempt   uint32          `json:"attempt"`
	Commit    resource.Vector `json:"commit"`
	Progress  int64           `json:"progress"` // saved, in work units
	Evictions int             `json:"evictions"`
	Failures  int             `json:"failures"`
	Reason    string          `json:"reason,omitempty"` // the newest decision's
}

// Job is a job and the state of its tasks.
type Job struct {
	Spec      job.Spec `json:"spec"`
	Cancelled bool     `json:"cancelled"`
	Tasks     []Task   `json:"tasks"`
	// Incomplete is true when an owner did not answer, so that Tasks lacks
	// the state of its tasks.
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

// JobList is the answer to a list.
type JobList struct {
	Jobs       []Job `json:"jobs"`
	Incomplete bool  `json:"incomplete"`
}

// CancelRequest names jobs to cancel.
type CancelRequest struct {
	IDs []string `json:"ids"`
}

// CancelReply says what became of each id, in the order of the request.
type CancelReply struct {
	Results []CancelResult `json:"results"`
}

// CancelResult is the result for one job.
type CancelResult struct {
	ID     string `json:"id"`
	Code   int    `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// Worker is a worker as its shard's owner sees it.
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

// WorkerList is the answer to a list of workers.
type WorkerList struct {
	Workers    []Worker `json:"workers"`
	Incomplete bool     `json:"incomplete"`
}

// Shard is a shard and its owner.
type Shard struct {
	Shard   string `json:"shard"`
	Owner   string `json:"owner"`
	Epoch   uint64 `json:"epoch"`
	Workers int    `json:"workers"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Platform is "ok", or why decisions cannot be recorded.
	Platform string `json:"platform"`
}

// Peer is a process of the system as the answering one sees it.
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

// Explanation says why a task, job or request is as it is, oldest event first.
type Explanation struct {
	Subject    string  `json:"subject"`
	State      string  `json:"state"`
	Events     []Event `json:"events"`
	Incomplete bool    `json:"incomplete"`
}

// Problem is a refusal, as application/problem+json.
type Problem struct {
	Code   int    `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	NotRun bool   `json:"not_run"`
}

// MethodExplainRequest is the jsonrpc2 method by which an entry explains the
// refusals that it keeps of a request.
const MethodExplainRequest = "request.explain"

// ExplainRequest names a request.
type ExplainRequest struct {
	RequestID string `json:"request_id"`
}

// RequestEvents is what an entry keeps of a request, oldest first.
type RequestEvents struct {
	Events []Event `json:"events"`
}
