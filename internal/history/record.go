// Package history defines the record of what happened to runs and requests on the
// stand-in platform, and checks it against the system's invariants.
package history

import (
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// RunEventKind is the kind of an event between the start and the end of a run.
type RunEventKind string

// The kinds of run events. All but RunStarted and RunRefused end the run.
const (
	RunStarted      RunEventKind = "started"
	RunRefused      RunEventKind = "refused" // no free capacity on the worker; the run never started
	RunStopped      RunEventKind = "stopped"
	RunFinished     RunEventKind = "finished"
	RunFailed       RunEventKind = "failed"
	RunLeaseExpired RunEventKind = "lapsed" // the lease expired
	RunLost         RunEventKind = "lost"   // the worker died
)

// RunEvent is one event of a run on a worker.
type RunEvent struct {
	At          time.Duration   `json:"at_ns"` // since the stand-in started
	Kind        RunEventKind    `json:"kind"`
	Worker      string          `json:"worker"`
	Incarnation string          `json:"incarnation"`
	Epoch       uint64          `json:"epoch"` // highest epoch that the worker has seen
	Run         job.RunID       `json:"run"`
	Work        job.Kind        `json:"work"`
	Commit      resource.Vector `json:"commit"`
	Resume      int64           `json:"resume"`     // on RunStarted: the progress that it resumes from
	Checkpoint  int64           `json:"checkpoint"` // on the end of the run: the saved progress
}

// EndReport is the first answered exchange between a worker and its shard's owner
// that reported the end of a run.
type EndReport struct {
	At          time.Duration `json:"at_ns"`
	Incarnation string        `json:"incarnation"`
	Run         job.RunID     `json:"run"`
}

// ExecutionOutcome says how a request ended at an upstream.
type ExecutionOutcome string

// The ends of a request.
const (
	Completed   ExecutionOutcome = "completed" // the whole response was written
	Broken      ExecutionOutcome = "broken"    // an injected fault interrupted it
	Interrupted ExecutionOutcome = "cut"       // the run or the worker ended before the response
	NotRun      ExecutionOutcome = "not-run"   // refused with the statement that it was not run
	CallerGone  ExecutionOutcome = "caller"    // the caller closed the connection
)

// Execution is one request that reached an upstream, and how it ended there.
type Execution struct {
	RequestID   string           `json:"request_id"`
	Key         string           `json:"key,omitempty"` // idempotency key
	Service     string           `json:"service"`
	Method      string           `json:"method"`
	Path        string           `json:"path"`
	Run         job.RunID        `json:"run"`
	Worker      string           `json:"worker"`
	Start       time.Duration    `json:"start_ns"`
	End         time.Duration    `json:"end_ns"`
	Outcome     ExecutionOutcome `json:"how"`
	DrainingFor time.Duration    `json:"leaving_for_ns,omitempty"` // time since the upstream first reported that it is draining
}

// WorkerPeaks holds the highest values that were seen on a worker.
type WorkerPeaks struct {
	Worker          string          `json:"worker"`
	Slots           int             `json:"slots"` // maximum of concurrent requests
	Conns           int             `json:"conns"` // maximum of concurrent connections
	SlotsRefused    int64           `json:"slots_refused"`
	ConnsRefused    int64           `json:"conns_refused"`
	Committed       resource.Vector `json:"committed"` // maximum of each resource
	Capacity        resource.Vector `json:"capacity"`
	OvercommitCount int64           `json:"over"` // times that a commitment exceeded the capacity
}

// Totals holds the counters of the stand-in platform.
type Totals struct {
	Commits          int64 `json:"commits"`
	RowsWritten      int64 `json:"rows_written"`
	RowsRead         int64 `json:"rows_read"`
	Conflicts        int64 `json:"conflicts"`
	WritesLimited    int64 `json:"writes_limited"`
	ReadsLimited     int64 `json:"reads_limited"`
	Exchanges        int64 `json:"exchanges"`
	ExchangesRefused int64 `json:"exchanges_refused"`
	RunsStarted      int64 `json:"runs_started"`
	RunsRefused      int64 `json:"runs_refused"`
	RunsEnded        int64 `json:"runs_ended"`
	Executions       int64 `json:"executions"`
	RecordsDropped   int64 `json:"records_dropped"`
}

// Record is everything that the stand-in platform recorded, up to Now.
type Record struct {
	Now        time.Duration `json:"now_ns"` // since the stand-in started
	Runs       []RunEvent    `json:"runs"`
	Reports    []EndReport   `json:"reports"`
	Executions []Execution   `json:"executions"`
	Workers    []WorkerPeaks `json:"workers"`
	Totals     Totals        `json:"totals"`
}

// RecordCommitment raises the peaks to v, the resources now committed on the worker, and
// counts an overcommitment if v exceeds capacity.
func (p *WorkerPeaks) RecordCommitment(v, capacity resource.Vector) {
	p.Capacity = capacity
	p.Committed.MilliCPU = max(p.Committed.MilliCPU, v.MilliCPU)
	p.Committed.MemoryMB = max(p.Committed.MemoryMB, v.MemoryMB)
	p.Committed.Accelerators = max(p.Committed.Accelerators, v.Accelerators)
	if !v.Fits(capacity) {
		p.OvercommitCount++
	}
}
