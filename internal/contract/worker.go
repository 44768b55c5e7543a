package contract

import (
	"context"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Workers is the control interface of the platform's workers. One exchange
// carries the lease grant and all orders for one worker, and returns the state
// of all its runs.
//
// The grant covers all runs of the worker. It counts from Stamp, a reading of
// the worker's monotonic clock that the worker returned earlier, so a delayed
// message cannot stretch it. A grant that counts from a stamp at least as new as
// that of the grant in force replaces it, also where it ends sooner. When the
// grant lapses the worker stops every run.
type Workers interface {
	// Exchange sends req to the worker at addr. The worker refuses it whole,
	// without effect, with result.WorkerEpoch when req.Epoch is below the
	// highest it has seen, with result.WorkerIncarnation when
	// req.Incarnation is not its own, and with result.WorkerStamp when
	// Stamp + Grant has passed. Orders are idempotent per run: a repeated
	// start of a run that the worker knows or has stopped does nothing.
	Exchange(ctx context.Context, addr string, req ExchangeRequest) (ExchangeReply, error)
}

// ExchangeRequest is one message from a shard's owner to a worker. A request
// without a Stamp grants nothing, may carry no orders and only asks.
type ExchangeRequest struct {
	Worker      string       `json:"worker"`
	Shard       string       `json:"shard"`
	Owner       string       `json:"owner"`
	Epoch       uint64       `json:"epoch"`
	Incarnation string       `json:"incarnation,omitempty"`
	Stamp       int64        `json:"stamp_ns,omitempty"` // worker's monotonic clock
	Grant       job.Duration `json:"grant"`
	Start       []StartOrder `json:"start,omitempty"`
	Stop        []StopOrder  `json:"stop,omitempty"`
	Limit       []LimitOrder `json:"limit,omitempty"`
	Checkpoint  []job.RunID  `json:"checkpoint,omitempty"`
	Forget      []job.RunID  `json:"forget,omitempty"` // ended runs whose end is recorded
}

// StartOrder starts a run.
type StartOrder struct {
	Run     job.RunID       `json:"run"`
	Kind    job.Kind        `json:"kind"`
	Tenant  string          `json:"tenant"`
	Family  string          `json:"family"`
	Service string          `json:"service,omitempty"`
	Image   string          `json:"image,omitempty"`
	RunTime job.Duration    `json:"run_time"` // declared
	Commit  resource.Vector `json:"commit"`   // the guard holds the run to it
	Resume  int64           `json:"resume"`   // progress of the checkpoint to resume from, in work units
}

// StopOrder ends a run. With Checkpoint the worker saves progress first.
type StopOrder struct {
	Run        job.RunID `json:"run"`
	Checkpoint bool      `json:"checkpoint"`
}

// LimitOrder sets a run's commitment; fewer processors throttle the run.
type LimitOrder struct {
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

// Final reports whether a run in state s holds no resources and never runs again.
func (s RunState) Final() bool { return s == Stopped || s == Finished || s == Failed }

// RunReport is a worker's report of one run.
type RunReport struct {
	Run        job.RunID       `json:"run"`
	State      RunState        `json:"state"`
	Reason     string          `json:"reason,omitempty"`
	Commit     resource.Vector `json:"commit"`
	Checkpoint int64           `json:"checkpoint"` // progress saved, in work units
	Service    string          `json:"service,omitempty"`
	BaseURL    string          `json:"base_url,omitempty"` // service: where the upstream listens
	Leaving    bool            `json:"leaving,omitempty"`
	Usage      Usage           `json:"usage"`
}

// Usage is a lagging measurement of a run.
type Usage struct {
	At       int64           `json:"at_ns"` // worker's monotonic clock when measured; 0 for none
	Used     resource.Vector `json:"used"`
	Load     float64         `json:"load"`     // service: offered load as a fraction of the run's commitment
	P99      job.Duration    `json:"p99"`      // service: latency in the window
	Rate     float64         `json:"rate"`     // batch: work units per second in the window
	Progress int64           `json:"progress"` // batch: work units done, saved or not
}

// ExchangeReply is a worker's answer to an exchange that it accepted.
type ExchangeReply struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"` // changes at every restart
	Stamp       int64  `json:"stamp_ns"`    // monotonic clock, taken when the request arrived
	// LeaseEnd is when the grant in force lapses, on the worker's monotonic
	// clock, this exchange's grant included; at most Stamp when none is in
	// force. Zero means that the worker does not tell.
	LeaseEnd int64           `json:"lease_end_ns,omitempty"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
	Runs     []RunReport     `json:"runs"`
}
