package node

import (
	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Methods between instances.
const (
	methodPing    = "ping"
	methodConfig  = "config"
	methodSubmit  = "submit"
	methodState   = "state"
	methodCancel  = "cancel"
	methodPending = "pending"
	methodClaim   = "claim"
	methodLessons = "lessons"
)

// Instance is a life of an instance, as it tells of itself.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Control string `json:"control"`
	Life    int64  `json:"life"`             // Unix milliseconds of its start
	Offset  int64  `json:"offset,omitempty"` // time of day less the store's clock, milliseconds
	// Cores and LinkMbps are what the instance's machine offers, 0 for unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"mbps,omitempty"`
}

// Owned is a shard and its owner.
type Owned struct {
	Shard   string        `json:"shard"`
	Epoch   int64         `json:"epoch"`
	Control string        `json:"control"`
	Owner   string        `json:"owner"`
	Life    int64         `json:"life"`
	Ailing  bool          `json:"ailing,omitempty"` // commits fail
	Load    dispatch.Load `json:"load,omitzero"`
}

// Ping is what instances tell each other, in both directions.
type Ping struct {
	From          Instance `json:"from"`
	StoreOK       bool     `json:"store_ok"`
	Leaving       bool     `json:"leaving,omitempty"`
	ConfigVersion int64    `json:"config"`
	Owned         []Owned  `json:"owned,omitempty"`
	Layout        *Layout  `json:"layout,omitempty"`
}

// Outcome is the numbered result of a request between instances.
type Outcome struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail,omitempty"`
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{Code: result.OK}
	}
	return Outcome{Code: result.Of(err), Detail: err.Error()}
}

func (o Outcome) err() error {
	if o.Code == result.OK {
		return nil
	}
	return &result.Error{Code: o.Code, Detail: o.Detail}
}

// SubmitRequest hands a job to the owner of a shard.
type SubmitRequest struct {
	Shard string            `json:"shard"`
	Job   workload.Accepted `json:"job"`
}

// JobRequest names a job of a shard.
type JobRequest struct {
	Shard string `json:"shard"`
	ID    string `json:"id"`
}

// JobReply is the answer about a job.
type JobReply struct {
	Outcome
	State workload.State  `json:"state,omitempty"`
	Moved *workload.Moved `json:"moved,omitempty"`
}

// ConfigReply is a configuration as the operator wrote it.
type ConfigReply struct {
	Raw []byte `json:"raw,omitempty"`
}

// PendingReply counts the jobs that have not begun, per shard and queue.
type PendingReply struct {
	Shards map[string]map[string]int `json:"shards,omitempty"`
}

// LessonsRequest asks the owner of a shard what it has learned.
type LessonsRequest struct {
	Shard string `json:"shard"`
}

// LessonsReply is what a shard has learned.
type LessonsReply struct {
	Outcome
	Lessons dispatch.Lessons `json:"lessons,omitzero"`
}

// ClaimRequest asks an instance to take over a shard from its drained owner.
type ClaimRequest struct {
	Shard   string `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Version int64  `json:"version"` // of the owner's row
}
