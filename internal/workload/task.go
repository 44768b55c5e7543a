package workload

import (
	"fmt"
	"strconv"
	"strings"

	"skylarkport/internal/result"
)

// TaskID identifies a task by its job, the occurrence of a timed job, the step and the
// index in the step. The numbers count from zero.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in commands to workers.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses a name that TaskID.String returned.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, result.Errorf(result.JobBad, "invalid task name %q", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, result.Errorf(result.JobBad, "invalid task name %q", name)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Phase is the stored phase of a task.
type Phase uint8

// The phases of a task.
const (
	Pending Phase = iota // no run of the task exists
	Placed               // a run may exist on Progress.Worker
	Done                 // a run has ended successfully
	Lent                 // only the shard named in Progress.Worker may run the task
)

// Crashes counts the workers that were lost one after the other with a run of a task.
type Crashes struct {
	Total   int `json:"cr,omitempty"` // since a run of the task last worked for long, but for losses that something else explains
	AtStart int `json:"cs,omitempty"` // since a run last outlived its start; those lost soon after they had begun the run
}

// Progress is the stored state of one task.
type Progress struct {
	Phase       Phase  `json:"p,omitempty"`
	Run         int    `json:"r,omitempty"` // number of the latest run, counted from 1, or of the loan while Lent
	Failures    int    `json:"f,omitempty"` // number of runs that failed
	Worker      string `json:"w,omitempty"` // id of the worker while Placed, the borrower's shard while Lent
	Incarnation int64  `json:"l,omitempty"` // start time of the worker's process in Unix milliseconds
	Checkpoint  string `json:"c,omitempty"` // latest checkpoint
	Crashes
}
