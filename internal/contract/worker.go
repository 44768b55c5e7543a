package contract

import (
	"context"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Workers is the control interface of the platform's workers. One exchange
// carries the lease grant and all commands for one worker, and returns the state
// of all its runs.
//
// The lease grant covers all runs of the worker. Its duration counts from Stamp, a
// reading of the worker's monotonic clock that the worker returned earlier, so that a
// delayed message cannot extend the lease. A grant replaces the one in force if its
// stamp is not older, even if it ends sooner. When the lease expires, the worker stops
// every run.
type Workers interface {
	// Exchange sends req to the worker at addr. The worker rejects the whole request,
	// without any effect, with result.WorkerEpoch if req.Epoch is below the highest
	// epoch that it has seen, with result.WorkerIncarnation if req.Incarnation is not
	// its own, and with result.WorkerGrantExpired if Stamp + Grant has passed. Commands
	// are idempotent per run: starting a run that the worker knows or has stopped does
	// nothing.
	Exchange(ctx context.Context, addr string, req ExchangeRequest) (ExchangeReply, error)
}

// ExchangeRequest is a message from a shard's owner to a worker. A request without a
// Stamp must not carry a grant or commands; it only asks for the worker's state.
type ExchangeRequest struct {
	Worker      string         `json:"worker"`
	Shard       string         `json:"shard"`
	Owner       string         `json:"owner"`
	Epoch       uint64         `json:"epoch"`
	Incarnation string         `json:"incarnation,omitempty"`
	Stamp       int64          `json:"stamp_ns,omitempty"` // worker's monotonic clock
	Grant       job.Duration   `json:"grant"`
	Start       []StartCommand `json:"start,omitempty"`
	Stop        []StopCommand  `json:"stop,omitempty"`
	Limit       []LimitCommand `json:"limit,omitempty"`
	Checkpoint  []job.RunID    `json:"checkpoint,omitempty"`
	Forget      []job.RunID    `json:"forget,omitempty"` // runs whose end the owner has stored
}

// StartCommand starts a run.
type StartCommand struct {
	Run          job.RunID       `json:"run"`
	Kind         job.Kind        `json:"kind"`
	Organisation string          `json:"tenant"`
	Family       string          `json:"family"`
	Service      string          `json:"service,omitempty"`
	Image        string          `json:"image,omitempty"`
	RunTime      job.Duration    `json:"run_time"` // declared
	Commit       resource.Vector `json:"commit"`   // resources committed to the run; the worker enforces them
	Resume       int64           `json:"resume"`   // progress at the checkpoint to resume from, in work units
}

// StopCommand stops a run. If Checkpoint is set, the worker saves the progress first.
type StopCommand struct {
	Run        job.RunID `json:"run"`
	Checkpoint bool      `json:"checkpoint"`
}

// LimitCommand changes the resources committed to a run. Less CPU throttles the run.
type LimitCommand struct {
	Run    job.RunID       `json:"run"`
	Commit resource.Vector `json:"commit"`
}

// RunState is the state of a run at its worker.
type RunState string

// The states of a run. Stopped, Finished and Failed are final.
const (
	Running  RunState = "running"
	Stopped  RunState = "stopped"
	Finished RunState = "finished"
	Failed   RunState = "failed"
)

// Final reports whether a run in state s has ended: it uses no resources and does not
// run again.
func (s RunState) Final() bool { return s == Stopped || s == Finished || s == Failed }

// RunReport is a worker's report about one run.
type RunReport struct {
	Run        job.RunID       `json:"run"`
	State      RunState        `json:"state"`
	Reason     string          `json:"reason,omitempty"`
	Commit     resource.Vector `json:"commit"`
	Checkpoint int64           `json:"checkpoint"` // saved progress, in work units
	Service    string          `json:"service,omitempty"`
	BaseURL    string          `json:"base_url,omitempty"` // service: where the upstream listens
	Leaving    bool            `json:"leaving,omitempty"`
	Usage      Usage           `json:"usage"`
}

// Usage is the latest measurement of a run, which may be some time old.
type Usage struct {
	MeasuredAt int64           `json:"at_ns"` // worker's monotonic clock at the measurement; 0 if there is none
	Used       resource.Vector `json:"used"`
	Load       float64         `json:"load"`     // service: offered load as a fraction of the run's commitment
	P99        job.Duration    `json:"p99"`      // service: 99th percentile of the latency in the measuring window
	Rate       float64         `json:"rate"`     // batch: work units per second in the measuring window
	Progress   int64           `json:"progress"` // batch: work units done, saved or not
}

// ExchangeReply is a worker's reply to an exchange that it accepted.
type ExchangeReply struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"` // changes at every restart
	Stamp       int64  `json:"stamp_ns"`    // monotonic clock, taken when the request arrived
	// LeaseEnd is when the lease ends on the worker's monotonic clock, with this
	// exchange's grant taken into account. It is at most Stamp if no lease is in
	// force, and zero if the worker does not report it.
	LeaseEnd int64           `json:"lease_end_ns,omitempty"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
	Runs     []RunReport     `json:"runs"`
}
