// Package shard runs one shard, a part of an availability zone's workers. It holds
// the shard's state, which is a deterministic function of the records in its
// journal, the loops of the owner, and the choice of the owner among the zone's
// live schedulers.
package shard

import (
	"encoding/json"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Record is one entry of a shard's journal: a decision or an observed change. Exactly
// one field is set.
type Record struct {
	LeaseBound *LeaseBoundRecord `json:"promise,omitempty"`
	Admit      *AdmitRecord      `json:"admit,omitempty"`
	Cancel     *CancelRecord     `json:"cancel,omitempty"`
	Place      *PlaceRecord      `json:"place,omitempty"`
	Stop       *StopRecord       `json:"stop,omitempty"`
	Resize     *ResizeRecord     `json:"resize,omitempty"`
	Resized    *ResizedRecord    `json:"resized,omitempty"`
	Progress   *ProgressRecord   `json:"progress,omitempty"`
	End        *EndRecord        `json:"end,omitempty"`
	Moved      *MovedRecord      `json:"moved,omitempty"`
	Escrow     *EscrowRecord     `json:"escrow,omitempty"`
}

// LeaseBoundRecord says that no lease ends later than Length after the record was
// written.
type LeaseBoundRecord struct {
	Length job.Duration `json:"length"`
}

// AdmitRecord adds tasks of a job to the shard.
type AdmitRecord struct {
	Spec      *job.Spec     `json:"spec"`
	Submitted int64         `json:"submitted_ms"` // wall clock; used for ages only
	From      int           `json:"from"`         // first index
	To        int           `json:"to"`           // after the last index
	Carried   *CarriedState `json:"carry,omitempty"`
}

// CarriedState is the part of a task's state that moves with it to another shard.
type CarriedState struct {
	Attempt   uint32 `json:"attempt"`
	Resume    int64  `json:"resume"`
	Evictions int    `json:"evictions"`
	Failures  int    `json:"failures"`
	Moves     int    `json:"moves"`
}

// CancelRecord cancels a job's tasks in the shard.
type CancelRecord struct {
	Job string `json:"job"`
}

// PlaceRecord places a new run of a task on a worker.
type PlaceRecord struct {
	Run         job.RunID       `json:"run"`
	Worker      string          `json:"worker"`
	Incarnation string          `json:"incarnation"`
	Commit      resource.Vector `json:"commit"`
	Resume      int64           `json:"resume"`
}

// StopCause says why a run is stopped.
type StopCause string

// The causes of a stop.
const (
	StopCancelled StopCause = "cancelled"
	StopMoved     StopCause = "moved"     // by the placement policy
	StopPreempted StopCause = "preempted" // for work of higher priority
	StopLeaving   StopCause = "leaving"   // the worker is leaving the platform
)

// StopRecord decides to stop a run. Its task runs again only after the EndRecord.
type StopRecord struct {
	Run        job.RunID `json:"run"`
	Cause      StopCause `json:"cause"`
	Checkpoint bool      `json:"checkpoint"`
}

// ResizeRecord changes a run's commitment. Until the ResizedRecord, the run holds the
// larger of the old and the new amount in each dimension.
type ResizeRecord struct {
	Run       job.RunID       `json:"run"`
	Commit    resource.Vector `json:"commit"`
	Throttled bool            `json:"throttled"`
}

// ResizedRecord says that the worker enforces the run's new commitment.
type ResizedRecord struct {
	Run    job.RunID       `json:"run"`
	Commit resource.Vector `json:"commit"`
}

// ProgressRecord says that a checkpoint was saved.
type ProgressRecord struct {
	Run        job.RunID `json:"run"`
	Checkpoint int64     `json:"checkpoint"`
}

// Proof says how the owner knows that a run has ended.
type Proof string

// The proofs of an end.
const (
	ProofReport       Proof = "report"      // the worker's final report
	ProofRestart      Proof = "restart"     // the worker has a new incarnation
	ProofLeaseExpired Proof = "lapse"       // no lease can be in force at the worker
	ProofNotStarted   Proof = "not-started" // no start command can reach the worker any more
)

// EndRecord says that a run has ended.
type EndRecord struct {
	Run        job.RunID         `json:"run"`
	State      contract.RunState `json:"state"`
	Proof      Proof             `json:"proof"`
	Reason     string            `json:"reason,omitempty"`
	Checkpoint int64             `json:"checkpoint"`
}

// MovedRecord moves a waiting task to another shard.
type MovedRecord struct {
	Task job.TaskID `json:"task"`
	To   string     `json:"to"`
}

// EscrowRecord sets how much of the organisation's quota the shard may commit.
type EscrowRecord struct {
	Organisation string          `json:"tenant"`
	Amount       resource.Vector `json:"amount"`
}

func (r *Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: only plain structs are encoded
	}
	return b
}

func decodeRecord(b []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, result.Wrap(result.JournalCorrupt, err, "decoding a journal record")
	}
	return r, nil
}
