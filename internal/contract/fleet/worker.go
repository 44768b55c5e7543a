package fleet

import (
	"context"
	"time"

	"skylarkport/internal/resource"
)

// Worker is one incarnation of a worker as it is listed in the registry.
type Worker struct {
	ID          string
	Incarnation int64 // start time in Unix milliseconds
	Address     string
	Zone        string
	Service     string
	Capacity    resource.Vector
	Labels      []string // including the worker's kind and its rack
	Rack        string
	Draining    bool
	Cold        time.Duration // how much longer it stays slow after its start, as of the entry
}

// Start is the command to start a run of a task.
type Start struct {
	Worker     Worker
	Task       string
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string // from Adviser, if the queue requires one
	Token      int64  // fencing token
	LeaseUntil int64  // worker's clock, milliseconds
}

// CommandResult is a worker's definite result of a command.
type CommandResult uint8

// The results of a command. All but CommandAccepted prove that the worker did not carry
// it out.
const (
	CommandAccepted         CommandResult = iota
	CommandFenced                         // the worker has seen a higher token
	CommandStale                          // this run of the task, or a later one, was stopped or has ended there
	CommandLeaseExpired                   // the lease had expired on arrival
	CommandNoCapacity                     // the worker's free capacity is too small
	CommandNoTicket                       // the ticket is missing or not valid
	CommandUnavailable                    // the worker is overloaded or unhealthy
	CommandInvalid                        // the worker considers the command malformed
	CommandOtherIncarnation               // another worker, or a later incarnation, is at the address
)

// RunRef identifies the run on a worker that a command applies to.
type RunRef struct {
	Worker Worker
	Task   string
	Run    int
	Token  int64 // fencing token
}

// RenewLease renews the lease of all runs on a worker and asks for its running and ended
// runs.
type RenewLease struct {
	Worker     Worker
	Token      int64 // fencing token
	Acked      int64 // the worker may delete its reports of ends up to this number
	LeaseUntil int64 // worker's clock, milliseconds; 0 does not renew the lease
	WaitMillis int64 // how long the worker may delay the reply until a run ends
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the lease expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of the gang did not start in time
)

// RunReport is a worker's report about a running run.
type RunReport struct {
	Task            string
	Run             int
	Checkpoint      string
	ProgressPercent int
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

// LeaseReport is a worker's reply to a lease renewal.
type LeaseReport struct {
	Incarnation int64
	Clock       int64 // worker's clock, milliseconds
	Running     []RunReport
	Ended       []EndReport
	// MoreEnds says that Ended may be cut off: a run that neither Running nor Ended lists may have ended.
	MoreEnds bool
	// Refused is set if the worker refused the renewal; Running and Ended are then empty.
	Refused CommandResult
}

// Workers sends commands to workers. An error with the outcome Refused proves that the
// command was not carried out and never will be.
//
// A command has a result only from the incarnation that it names. One without a result may have been carried out by a
// later incarnation, or may be held up on its way for some seconds and then be carried out by whichever
// incarnation of the worker runs, unless contract.MayBeLate excludes it. A lease that was meant for an earlier
// incarnation lasts as long as the worker allows, as the clock of each incarnation begins anew. A token that an
// incarnation has accepted keeps out all commands with lower ones.
type Workers interface {
	Start(ctx context.Context, s Start) (CommandResult, error)
	Stop(ctx context.Context, o RunRef) (CommandResult, error)
	// LimitCPU limits a run to percent of its full speed.
	LimitCPU(ctx context.Context, o RunRef, percent int) (CommandResult, error)
	// RenewLease renews the lease on a worker and returns its report. A later incarnation does not carry out
	// the renewal but for its token, and returns its own report.
	RenewLease(ctx context.Context, h RenewLease) (LeaseReport, error)
}

// Registry decodes the entries that workers write about themselves in the store.
type Registry interface {
	// Table returns the table of the entries, whose rows have an empty Row.Part.
	Table() string
	// Worker decodes an entry. It returns false if the entry names no usable worker.
	Worker(r Row) (Worker, bool)
}
