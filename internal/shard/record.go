// Package shard runs one shard of an availability zone's workers: its state as
// a deterministic function of journal records, its owner's loop, and the choice
// of the owner among the zone's live schedulers.
package shard

import (
	"encoding/json"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Record is one decision or fact in a shard's journal. Exactly one field is set.
type Record struct {
	Promise  *PromiseRecord  `json:"promise,omitempty"`
	Admit    *AdmitRecord    `json:"admit,omitempty"`
	Cancel   *CancelRecord   `json:"cancel,omitempty"`
	Place    *PlaceRecord    `json:"place,omitempty"`
	Stop     *StopRecord     `json:"stop,omitempty"`
	Resize   *ResizeRecord   `json:"resize,omitempty"`
	Resized  *ResizedRecord  `json:"resized,omitempty"`
	Progress *ProgressRecord `json:"progress,omitempty"`
	End      *EndRecord      `json:"end,omitempty"`
	Moved    *MovedRecord    `json:"moved,omitempty"`
	Escrow   *EscrowRecord   `json:"escrow,omitempty"`
}

// PromiseRecord says that no grant ends later than Length after it was written.
type PromiseRecord struct {
	Length job.Duration `json:"length"`
}

// AdmitRecord takes tasks of a job into the shard.
type AdmitRecord struct {
	Spec      *job.Spec     `json:"spec"`
	Submitted int64         `json:"submitted_ms"` // wall clock; only for ages
	From      int           `json:"from"`         // first index
	To        int           `json:"to"`           // after the last index
	Carry     *CarriedState `json:"carry,omitempty"`
}

// CarriedState is what a task keeps when it moves from shard to shard.
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

// PlaceRecord decides a new run of a task.
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
	StopPreempted StopCause = "preempted" // for more important work
	StopLeaving   StopCause = "leaving"   // the worker leaves
)

// StopRecord decides the end of a run. The task runs again only after EndRecord.
type StopRecord struct {
	Run        job.RunID `json:"run"`
	Cause      StopCause `json:"cause"`
	Checkpoint bool      `json:"checkpoint"`
}

// ResizeRecord decides a run's commitment. Until ResizedRecord the run counts
// with the larger of both in each dimension.
type ResizeRecord struct {
	Run       job.RunID       `json:"run"`
	Commit    resource.Vector `json:"commit"`
	Throttled bool            `json:"throttled"`
}

// ResizedRecord says that the worker holds the run to its commitment.
type ResizedRecord struct {
	Run    job.RunID       `json:"run"`
	Commit resource.Vector `json:"commit"`
}

// ProgressRecord says that a checkpoint was saved.
type ProgressRecord struct {
	Run        job.RunID `json:"run"`
	Checkpoint int64     `json:"checkpoint"`
}

// Proof says how the end of a run is known.
type Proof string

// The proofs of an end.
const (
	ProofReport     Proof = "report"      // the worker's final report
	ProofRestart    Proof = "restart"     // the worker has a new incarnation
	ProofLapse      Proof = "lapse"       // no grant can be in force
	ProofNotStarted Proof = "not-started" // no start can reach the worker
)

// EndRecord says that a run has ended.
type EndRecord struct {
	Run        job.RunID         `json:"run"`
	State      contract.RunState `json:"state"`
	Proof      Proof             `json:"proof"`
	Reason     string            `json:"reason,omitempty"`
	Checkpoint int64             `json:"checkpoint"`
}

// MovedRecord releases a waiting task to another shard.
type MovedRecord struct {
	Task job.TaskID `json:"task"`
	To   string     `json:"to"`
}

// EscrowRecord says how much the shard may commit for the tenant.
type EscrowRecord struct {
	Tenant string          `json:"tenant"`
	Amount resource.Vector `json:"amount"`
}

func (r *Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

func decodeRecord(b []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, result.Wrap(result.JournalBroken, err, "record")
	}
	return r, nil
}
