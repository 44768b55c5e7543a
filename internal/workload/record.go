package workload

import (
	"encoding/json"

	"skylarkport/internal/result"
)

// State is a job's state as callers see it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Accepted is the row of an accepted job; it never changes.
type Accepted struct {
	Spec     Spec  `json:"spec"`
	AtMillis int64 `json:"at"`              // store's steady clock at the acceptance, or a little earlier
	Moved    bool  `json:"moved,omitempty"` // it came from another shard
}

// Moved names the shard that took over a job before any of its tasks started.
type Moved struct {
	Shard string `json:"shard"`
	// Confirmed is true once the other shard has stored the job.
	Confirmed bool `json:"ok,omitempty"`
}

// Record is the row of a job's progress.
type Record struct {
	State State `json:"s"`
	// Tasks holds, per occurrence that has begun, the tasks of all steps in
	// order. An empty list is an occurrence whose tasks are all done.
	Tasks     map[int][]Progress `json:"t,omitempty"`
	EndMillis int64              `json:"e,omitempty"` // store's steady clock when the state became final
	Moved     *Moved             `json:"m,omitempty"`
}

// Encode returns the row's value.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return b
}

// Decode reads a row's value into v.
func Decode(b []byte, v any) error {
	return result.Wrap(result.JournalBroken, json.Unmarshal(b, v), "row")
}
