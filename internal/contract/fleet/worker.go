package fleet

import (
	"context"

	"skylarkport/internal/resource"
)

// Worker is one life of a worker, as the registry lists it.
type Worker struct {
	ID       string
	Life     int64 // Unix milliseconds of its start
	Address  string
	Zone     string
	Service  string
	Capacity resource.Vector
	Labels   []string // its kind and its rack among them
	Rack     string
	Draining bool
}

// Start orders a run of a task.
type Start struct {
	Worker     Worker
	Task       string
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string // from Adviser, where the queue asks for one
	Epoch      int64
	LeaseUntil int64 // worker's clock, milliseconds
}

// StartResult is a worker's definite answer to a Start.
type StartResult uint8

// The answers. All but StartAccepted prove that the run was not begun.
const (
	StartAccepted StartResult = iota
	StartFenced               // a higher epoch was seen
	StartOld                  // a run at least as high was stopped or ended there
	StartLate                 // the lease was over on arrival
	StartNoRoom
	StartNoTicket
	StartBusy // the worker is unhealthy
	StartInvalid
	StartOtherLife // another life of the worker answered
)

// Order addresses a run on a worker.
type Order struct {
	Worker Worker
	Task   string
	Run    int
	Epoch  int64
}

// Hold renews the lease of all that runs on a worker and asks for its lists.
type Hold struct {
	Worker     Worker
	Epoch      int64
	Acked      int64 // ends up to this number are forgotten by the worker
	LeaseUntil int64 // worker's clock, milliseconds; 0 renews nothing
	WaitMillis int64 // how long the answer may wait for an end
}

// EndKind is how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken" // another member of the gang ended
	EndAlone   EndKind = "alone"  // the other members did not come
)

// RunReport is a run on a worker.
type RunReport struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds of a lasting task, and the
	// processor in use, in thousandths of a core, of any other.
	Gauge float64
}

// EndReport is the end of a run. Numbers rise from 1 in each life.
type EndReport struct {
	Number     int64
	Task       string
	Run        int
	Kind       EndKind
	Checkpoint string
}

// HoldReport is the answer to a Hold.
type HoldReport struct {
	Life    int64
	Clock   int64 // worker's clock, milliseconds
	Running []RunReport
	Ended   []EndReport
	// Refused is set instead of the lists where the order was not carried out.
	Refused StartResult
}

// Workers carries orders to workers. An error with the outcome Refused proves
// that the order was not carried out and never will be.
type Workers interface {
	Start(ctx context.Context, s Start) (StartResult, error)
	Stop(ctx context.Context, o Order) (StartResult, error)
	Pace(ctx context.Context, o Order, percent int) (StartResult, error)
	Hold(ctx context.Context, h Hold) (HoldReport, error)
}

// Registry decodes the workers' own entries in the store.
type Registry interface {
	// Table is the table of the entries, in the empty part.
	Table() string
	// Worker decodes an entry; false means that it names no worker to use.
	Worker(r Row) (Worker, bool)
}
