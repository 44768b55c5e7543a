package workload

import (
	"encoding/json"

	"skylarkport/internal/result"
)

// State is the state of a job that callers are shown.
type State string

// The states of a job. All but the first two are final: no run follows.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Withdrawn is the state of a job that was cancelled before it was known. Callers are told that
	// there is no such job. If its submission arrives, it becomes Cancelled.
	Withdrawn State = "withdrawn"
)

// Final reports whether no run of a job in state s follows.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled || s == Withdrawn
}

// Valid reports whether s is one of the states.
func (s State) Valid() bool { return s == Queued || s == Running || s.Final() }

// Accepted is the stored row of an accepted job. It is written once.
type Accepted struct {
	Spec     Spec  `json:"spec"`
	AtMillis int64 `json:"at"`              // store's clock at the acceptance or shortly before it
	Moved    bool  `json:"moved,omitempty"` // whether the job came from another shard
	Loan     *Loan `json:"loan,omitempty"`  // set if the job is a task that another shard has lent
}

// Validate returns an error with the code JobBad or LoanBad if the row is not a job or a loan.
func (a *Accepted) Validate() error {
	if a.Loan != nil {
		return a.Loan.Validate(&a.Spec)
	}
	return a.Spec.Validate()
}

// Moved names the shard to which a job was moved before any of its tasks started, or the
// lender to which a loan was returned.
type Moved struct {
	Shard string `json:"shard"`
	// Confirmed is true once that shard has stored the job.
	Confirmed bool `json:"ok,omitempty"`
}

// Record is the stored row of a job's progress; see EncodeRecord. Its size depends on the tasks that have begun and not
// ended: neither ended occurrences nor tasks that wait for their first run take space in it.
type Record struct {
	State State `json:"s"`
	// Tasks holds the tasks of all steps, in order, of each occurrence that has begun and not ended.
	Tasks     map[int][]Progress `json:"t,omitempty"`
	EndMillis int64              `json:"e,omitempty"` // store's clock when the state became final
	Moved     *Moved             `json:"m,omitempty"`
	// Begun is the number of occurrences that have begun, the first ones of the schedule.
	Begun int `json:"-"`
}

// Occurrences returns the number of occurrences that have begun.
func (r *Record) Occurrences() int { return max(r.Begun, len(r.Tasks)) }

// Validate returns an error with the code JournalCorrupt if the record is none of a job with spec.
func (r *Record) Validate(spec *Spec) error {
	if !r.State.Valid() {
		return result.Errorf(result.JournalCorrupt, "state %q", r.State)
	}
	if r.Begun < 0 || r.Begun > spec.Occurrences() {
		return result.Errorf(result.JournalCorrupt, "%d occurrences have begun, of %d", r.Begun, spec.Occurrences())
	}
	want := spec.TasksPerOccurrence()
	for k, tasks := range r.Tasks {
		if k < 0 || k >= r.Begun || len(tasks) != want {
			return result.Errorf(result.JournalCorrupt, "%d tasks in occurrence %d, want %d in each of %d", len(tasks), k, want, r.Begun)
		}
		for i := range tasks {
			if tasks[i].Phase > Lent || tasks[i].Run < 0 {
				return result.Errorf(result.JournalCorrupt, "task %d in phase %d with run %d", i, tasks[i].Phase, tasks[i].Run)
			}
		}
	}
	return nil
}

// Encode returns v as the value of a row.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return b
}

// Decode decodes the value of a row into v.
func Decode(b []byte, v any) error {
	return result.Wrap(result.JournalCorrupt, json.Unmarshal(b, v), "decode row")
}
