package node

import (
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Methods that instances call on each other.
const (
	methodPing      = "ping"
	methodConfig    = "config"
	methodSubmit    = "submit"
	methodState     = "state"
	methodCancel    = "cancel"
	methodPending   = "pending"
	methodPrepare   = "prepare"
	methodClaim     = "claim"
	methodEstimates = "lessons"
	methodReturn    = "return"
)

// Instance describes an instance from its start to its end, as the instance reports it.
type Instance struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Control     string `json:"control"`
	Incarnation int64  `json:"life"`             // start time in Unix milliseconds
	Offset      int64  `json:"offset,omitempty"` // wall clock minus the store's clock, in milliseconds
	// Cores and LinkMbps are the size of the instance's machine; 0 if unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"mbps,omitempty"`
	// Loans is true if the instance knows lent tasks. One of an earlier version would run a
	// stored loan as a job of its own.
	Loans bool `json:"loans,omitempty"`
	// AnyLoans is true if the instance knows lent tasks that end by themselves.
	AnyLoans bool `json:"any_loans,omitempty"`
	// GangLoans is true if the instance knows lent gangs.
	GangLoans bool `json:"gang_loans,omitempty"`
}

// OwnedShard reports a shard, its owner and its load.
type OwnedShard struct {
	Shard       string `json:"shard"`
	Epoch       int64  `json:"epoch"`
	Control     string `json:"control"`
	Owner       string `json:"owner"`
	Incarnation int64  `json:"life"`
	Unhealthy   bool   `json:"ailing,omitempty"`  // commits fail
	Loading     bool   `json:"loading,omitempty"` // the rows are being read
	// Full is true if accepted jobs fill the owner's memory. Nobody may store more in its inbox then.
	Full bool `json:"full,omitempty"`
	// CommitMillis is the recent duration of the shard's commits if the store is slow.
	CommitMillis int64         `json:"commit_ms,omitempty"`
	Load         dispatch.Load `json:"load,omitzero"` // sent to owners of shards only
}

// Ping is the state that two instances exchange, as the request and as its reply.
type Ping struct {
	From          Instance     `json:"from"`
	StoreOK       bool         `json:"store_ok"`
	Leaving       bool         `json:"leaving,omitempty"`
	ConfigVersion int64        `json:"config"`
	OwnedShards   []OwnedShard `json:"owned,omitempty"`
	NeedsLayout   bool         `json:"needs_layout,omitempty"` // the sender has no layout yet
	Layout        *Layout      `json:"layout,omitempty"`       // sent in replies to peers that need it
}

// Outcome is the result code of a request between instances.
type Outcome struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail,omitempty"`
	// RetryAfterMillis is when the caller should try again, in milliseconds; 0 if unknown.
	RetryAfterMillis int64 `json:"retry_after,omitempty"`
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{Code: result.OK}
	}
	return Outcome{Code: result.Of(err), Detail: err.Error(), RetryAfterMillis: result.RetryAfter(err).Milliseconds()}
}

func (o Outcome) err() error {
	if o.Code == result.OK {
		return nil
	}
	return &result.Error{Code: o.Code, Detail: o.Detail, RetryAfter: time.Duration(o.RetryAfterMillis) * time.Millisecond}
}

// SubmitRequest submits a job to the owner of a shard.
type SubmitRequest struct {
	Shard string            `json:"shard"`
	Job   workload.Accepted `json:"job"`
}

// ReturnRequest gives a loan back to the owner of the lender's shard.
type ReturnRequest struct {
	Shard    string                `json:"shard"`
	Returned workload.ReturnedLoan `json:"returned"`
}

// JobRequest asks for the state or the cancellation of a job in a shard.
type JobRequest struct {
	Shard string `json:"shard"`
	ID    string `json:"id"`
}

// JobReply is the response to a JobRequest. Moved names the shard to ask instead, if there
// is one.
type JobReply struct {
	Outcome
	State workload.State  `json:"state,omitempty"`
	Moved *workload.Moved `json:"moved,omitempty"`
}

// ConfigRequest asks for the configuration in force.
type ConfigRequest struct {
	Gzip bool `json:"gzip,omitempty"` // whether the caller reads ConfigReply.Gzip
}

// ConfigReply carries a configuration in the form in which it is stored, or that form
// compressed; it is empty while none is in force.
type ConfigReply struct {
	Raw  []byte `json:"raw,omitempty"`
	Gzip []byte `json:"gzip,omitempty"`
}

// PendingReply counts the jobs that have not started, per shard and queue.
type PendingReply struct {
	Shards map[string]map[string]int `json:"shards,omitempty"`
}

// EstimatesRequest asks the owner of a shard for its interference estimates.
type EstimatesRequest struct {
	Shard string `json:"shard"`
}

// EstimatesReply carries a shard's interference estimates.
type EstimatesReply struct {
	Outcome
	colocation.Estimates `json:"lessons,omitzero"`
}

// ClaimRequest asks an instance to take over a shard from its drained owner.
type ClaimRequest struct {
	Shard   string `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Version int64  `json:"version"` // of the owner's row
	// Handoff is what the owner has stored since the instance prepared the claim; see
	// dispatch.Handoff. It is empty if the instance has not prepared it.
	Handoff []byte `json:"handoff,omitempty"`
}

// PrepareRequest asks an instance to read the rows of a shard that it is going to be asked to
// claim.
type PrepareRequest struct {
	Shard string `json:"shard"`
}

// PrepareReply answers a PrepareRequest. The rows that were read are complete up to Version.
type PrepareReply struct {
	Outcome
	Version int64 `json:"version,omitempty"`
}
