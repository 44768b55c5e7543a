package shard

import (
	"encoding/json"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// maxEndedJobs is how many ended jobs a shard keeps for the show and explain requests.
const maxEndedJobs = 2000

// Phase is the state of a task in its shard.
type Phase string

// The phases of a task. The last three are final.
const (
	Waiting   Phase = "waiting"
	Placed    Phase = "placed" // it has a run that holds resources
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
	Moved     Phase = "moved" // to another shard
)

// Final reports whether a task in phase p never runs again in this shard.
func (p Phase) Final() bool { return p != Waiting && p != Placed }

// Run is an attempt of a task that holds resources on a worker.
type Run struct {
	ID               job.RunID       `json:"id"`
	Worker           string          `json:"worker"`
	Incarnation      string          `json:"incarnation"`
	Commit           resource.Vector `json:"commit"` // as decided
	Held             resource.Vector `json:"held"`   // counted against worker and quota
	Throttled        bool            `json:"throttled,omitempty"`
	Stop             StopCause       `json:"stop,omitempty"`
	CheckpointOnStop bool            `json:"save,omitempty"` // save a checkpoint before stopping
	Resume           int64           `json:"resume"`
	Checkpoint       int64           `json:"checkpoint"`

	task *Task
}

// Task is one task of a job.
type Task struct {
	ID        job.TaskID `json:"id"`
	Phase     Phase      `json:"phase"`
	Attempt   uint32     `json:"attempt"` // number of the newest run
	Run       *Run       `json:"run,omitempty"`
	Resume    int64      `json:"resume"`
	Evictions int        `json:"evictions"`
	Failures  int        `json:"failures"`
	FailedOn  []string   `json:"failed_on,omitempty"` // workers of the newest failures, newest last
	Moves     int        `json:"moves,omitempty"`     // between shards
	MovedTo   string     `json:"moved_to,omitempty"`
	Reason    string     `json:"reason,omitempty"` // of the newest run's end

	job *Job
}

// Job is a job and its tasks in the shard.
type Job struct {
	Spec      *job.Spec     `json:"spec,omitempty"` // nil if only the cancellation is known
	Submitted int64         `json:"submitted_ms"`
	Cancelled bool          `json:"cancelled,omitempty"`
	Tasks     map[int]*Task `json:"tasks"`

	open int // number of tasks whose phase is not final
}

// Totals counts the tasks of the shard by their end, over its whole lifetime.
type Totals struct {
	Admitted  int64 `json:"admitted"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Moved     int64 `json:"moved"`
}

// State is a shard's state. It depends only on the records that were applied to it.
type State struct {
	LeaseBound job.Duration               `json:"promise"` // the longest that was ever recorded
	Jobs       map[string]*Job            `json:"jobs"`
	Ended      []string                   `json:"ended"` // jobs without open tasks, oldest first
	Totals     Totals                     `json:"totals"`
	Escrow     map[string]resource.Vector `json:"escrow"`

	workers map[string]map[job.RunID]*Run
	waiting map[job.TaskID]*Task
}

// NewState returns the state of a shard without records.
func NewState() *State {
	return &State{
		Jobs:    map[string]*Job{},
		Escrow:  map[string]resource.Vector{},
		workers: map[string]map[job.RunID]*Run{},
		waiting: map[job.TaskID]*Task{},
	}
}

// Encode returns the state as a snapshot.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // unreachable: only plain structs are encoded
	}
	return b
}

// DecodeState decodes a snapshot. A nil body gives the state without records.
func DecodeState(body []byte) (*State, error) {
	s := NewState()
	if body == nil {
		return s, nil
	}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, result.Wrap(result.JournalCorrupt, err, "decoding a snapshot")
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			s.link(j, t)
		}
	}
	return s, nil
}

// link restores the references and indexes that a snapshot does not store.
func (s *State) link(j *Job, t *Task) {
	t.job = j
	if !t.Phase.Final() {
		j.open++
	}
	if t.Phase == Waiting {
		s.waiting[t.ID] = t
	}
	if t.Run != nil {
		s.attach(t, t.Run)
	}
}

func (s *State) attach(t *Task, r *Run) {
	t.Run, r.task = r, t
	m := s.workers[r.Worker]
	if m == nil {
		m = map[job.RunID]*Run{}
		s.workers[r.Worker] = m
	}
	m[r.ID] = r
}

func (s *State) detach(r *Run) {
	r.task.Run = nil
	delete(s.workers[r.Worker], r.ID)
	if len(s.workers[r.Worker]) == 0 {
		delete(s.workers, r.Worker)
	}
}

// Task returns the task, or nil if the shard does not have it.
func (s *State) Task(id job.TaskID) *Task {
	j := s.Jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.Tasks[id.Index]
}

// Run returns the run if it still holds resources, or nil.
func (s *State) Run(id job.RunID) *Run {
	t := s.Task(id.Task)
	if t == nil || t.Run == nil || t.Run.ID != id {
		return nil
	}
	return t.Run
}

// Held returns the sum of the resources that the worker's runs hold.
func (s *State) Held(worker string) resource.Vector {
	var v resource.Vector
	for _, r := range s.workers[worker] {
		v = v.Add(r.Held)
	}
	return v
}

// OrganisationHeld returns the sum of the resources that the organisation's runs hold
// in the shard.
func (s *State) OrganisationHeld(org string) resource.Vector {
	var v resource.Vector
	for _, runs := range s.workers {
		for _, r := range runs {
			if r.task.job.Spec.Organisation == org {
				v = v.Add(r.Held)
			}
		}
	}
	return v
}

// Spec returns the specification of the task's job.
func (t *Task) Spec() *job.Spec { return t.job.Spec }

func maxVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
