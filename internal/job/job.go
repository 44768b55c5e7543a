// Package job holds the typed description of operators' work: services, batch
// jobs and watches, the tasks they consist of, and the runs of a task.
package job

import (
	"fmt"
	"time"

	"skylarkport/internal/resource"
)

// Kind is the kind of work.
type Kind string

// The kinds of work.
const (
	Service Kind = "service" // replicas that answer callers' requests
	Batch   Kind = "batch"   // tasks that end
	Watch   Kind = "watch"   // long-running tasks that hold a feed or timer open
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

// Spec is what an operator submits. ID is chosen by the client and makes the
// submission idempotent.
type Spec struct {
	ID       string          `json:"id"`
	Tenant   string          `json:"tenant"`
	Kind     Kind            `json:"kind"`
	Family   string          `json:"family"`          // jobs that behave alike; defaults to ID
	Priority int             `json:"priority"`        // 0 to 100, higher first
	Urgent   bool            `json:"urgent"`          // may preempt batch tasks of lower priority
	Tasks    int             `json:"tasks"`           // replicas of a service or watch, tasks of a batch
	Needs    resource.Vector `json:"needs"`           // declared per task
	RunTime  Duration        `json:"run_time"`        // declared per batch task; zero when unknown
	Deadline Duration        `json:"deadline"`        // batch: from submission; zero for none
	Target   Duration        `json:"target"`          // service: latency target of a request
	Zones    []string        `json:"zones"`           // availability zones; empty for all
	Retries  int             `json:"retries"`         // failed runs allowed per task before it is set aside
	Image    string          `json:"image,omitempty"` // what the worker runs; opaque to the scheduler
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

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// TaskID names one task of a job.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// RunID names one attempt to run a task. Attempts of a task count up from 1;
// at most one of them may be running anywhere.
type RunID struct {
	Task    TaskID `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// String returns "job/index#attempt".
func (r RunID) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Attempt) }
