// Package job defines the jobs that operators submit (services, batch jobs and
// watches), their tasks, and the runs of a task.
package job

import (
	"fmt"
	"time"

	"skylarkport/internal/resource"
)

// Kind is the kind of a job.
type Kind string

// The kinds of jobs.
const (
	Service Kind = "service" // replicas that answer callers' requests
	Batch   Kind = "batch"   // tasks that run to completion
	Watch   Kind = "watch"   // long-running tasks that keep a feed or a timer open
)

// Class is the service class of a request or task.
type Class string

// The service classes.
const (
	LatencyCritical Class = "latency"
	BestEffort      Class = "batch"
)

// ClassOf returns the service class of the tasks of kind k.
func ClassOf(k Kind) Class {
	if k == Batch {
		return BestEffort
	}
	return LatencyCritical
}

// Spec is a job as an operator submits it. The client chooses the ID, which makes the
// submission idempotent.
type Spec struct {
	ID           string          `json:"id"`
	Organisation string          `json:"tenant"`
	Kind         Kind            `json:"kind"`
	Family       string          `json:"family"`          // groups jobs with similar behaviour; defaults to ID
	Priority     int             `json:"priority"`        // 0 to 100; higher values first
	Urgent       bool            `json:"urgent"`          // may preempt batch tasks of lower priority
	Tasks        int             `json:"tasks"`           // replicas of a service or watch, tasks of a batch
	Needs        resource.Vector `json:"needs"`           // declared per task
	RunTime      Duration        `json:"run_time"`        // batch: declared per task; zero if unknown
	Deadline     Duration        `json:"deadline"`        // batch: counted from the submission; zero for none
	Target       Duration        `json:"target"`          // service: latency target of a request
	Zones        []string        `json:"zones"`           // availability zones; empty for all
	Retries      int             `json:"retries"`         // failed runs allowed per task before it is set aside
	Image        string          `json:"image,omitempty"` // what the worker runs; opaque to the scheduler
}

// Duration is a time.Duration written as a Go duration string in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// D converts d to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// RunID identifies one attempt to run a task. The attempts of a task count up from 1,
// and at most one of them may be running at any time.
type RunID struct {
	Task    TaskID `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// String returns "job/index#attempt".
func (r RunID) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Attempt) }
