package workload

import (
	"fmt"
	"strconv"
	"strings"

	"skylarkport/internal/result"
)

// TaskID names a task: job, occurrence, step and index, all counted from zero.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that workers know the task by.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads a name made by TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, result.Errorf(result.JobBad, "task name %q", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, result.Errorf(result.JobBad, "task name %q", name)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Phase is how far a task is, as the store knows it.
type Phase uint8

// The phases of a task.
const (
	Pending Phase = iota // nothing of it may run
	Placed               // a run of it may exist on Worker
	Done                 // ended with success
)

// Progress is the stored state of one task.
type Progress struct {
	Phase      Phase  `json:"p,omitempty"`
	Run        int    `json:"r,omitempty"` // number of the last run, counted from 1
	Failures   int    `json:"f,omitempty"` // runs that ended by a failure
	Worker     string `json:"w,omitempty"` // id of the worker, while Placed
	Life       int64  `json:"l,omitempty"` // the worker's start, Unix milliseconds
	Checkpoint string `json:"c,omitempty"` // newest saved progress
}
