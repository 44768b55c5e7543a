package fleet

import (
	"context"

	"skylarkport/internal/resource"
)

// Worker is one incarnation of a worker as it is listed in the registry.
type Worker struct {
	ID       string
	Life     int64 // start time in Unix milliseconds
	Address  string
	Zone     string
	Service  string
	Capacity resource.Vector
	Labels   []string // including the worker's kind and its rack
	Rack     string
	Draining bool
}

// Start is the command to start a run of a task.
type Start struct {
	Worker     Worker
	Task       string
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string // from Adviser, if the queue requires one
	Epoch      int64
	LeaseUntil int64 // worker's clock, milliseconds
}

// StartResult is a worker's definite result of a command.
type StartResult uint8

// The results of a command. All but StartAccepted prove that the worker did not carry
// it out.
const (
	StartAccepted  StartResult = iota
	StartFenced                // the worker has seen a higher epoch
	StartOld                   // this run of the task, or a later one, was stopped or has ended there
	StartLate                  // the lease had expired on arrival
	StartNoRoom                // the worker's free capacity is too small
	StartNoTicket              // the ticket is missing or not valid
	StartBusy                  // the worker is overloaded or unhealthy
	StartInvalid               // the worker considers the command malformed
	StartOtherLife             // another incarnation of the worker answered
)

// Order identifies the run on a worker that a command applies to.
type Order struct {
	Worker Worker
	Task   string
	Run    int
	Epoch  int64
}

// Hold renews the lease of all runs on a worker and asks for its running and ended runs.
type Hold struct {
	Worker     Worker
	Epoch      int64
	Acked      int64 // the worker may delete its reports of ends up to this number
	LeaseUntil int64 // worker's clock, milliseconds; 0 does not renew the lease
	WaitMillis int64 // how long the worker may delay the reply until a run ends
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed" // the lease expired
	EndBroken  EndKind = "broken" // another member of the gang ended
	EndAlone   EndKind = "alone"  // the other members of the gang did not start in time
)

// RunReport is a worker's report about a running run.
type RunReport struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds for a long-running task, and the CPU
	// in use in thousandths of a core for any other.
	Gauge float64
}

// EndReport is a worker's report of the end of a run. Number counts up from 1 in each
// incarnation of the worker.
type EndReport struct {
	Number     int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// HoldReport is the reply to a Hold.
type HoldReport struct {
	Life    int64
	Clock   int64 // worker's clock, milliseconds
	Running []RunReport
	Ended   []EndReport
	// Refused is set if the worker refused the Hold; Running and Ended are then empty.
	Refused StartResult
}

// Workers sends commands to workers. An error with the outcome Refused proves that the
// command was not carried out and never will be.
type Workers interface {
	Start(ctx context.Context, s Start) (StartResult, error)
	Stop(ctx context.Context, o Order) (StartResult, error)
	// Pace limits a run to percent of its full speed.
	Pace(ctx context.Context, o Order, percent int) (StartResult, error)
	// Hold renews the lease on a worker and returns its report.
	Hold(ctx context.Context, h Hold) (HoldReport, error)
}

// Registry decodes the entries that workers write about themselves in the store.
type Registry interface {
	// Table returns the table of the entries. Their part is empty.
	Table() string
	// Worker decodes an entry. It returns false if the entry names no usable worker.
	Worker(r Row) (Worker, bool)
}
