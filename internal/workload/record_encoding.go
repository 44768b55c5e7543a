package workload

import (
	"bytes"
	"encoding/json"
	"slices"

	"skylarkport/internal/result"
)

// storedRecord is the form of a Record in the store. Tasks is an object with the tasks of each occurrence,
// or, once a second occurrence has begun, a pair of the number of occurrences that have begun and an
// object with the tasks of the open ones, in runs of equal progress. An earlier version cannot decode the
// pair: it would take the occurrences that are left out for ones that have not begun, and run them again.
type storedRecord struct {
	State     State           `json:"s"`
	Tasks     json.RawMessage `json:"t,omitempty"`
	EndMillis int64           `json:"e,omitempty"`
	Moved     *Moved          `json:"m,omitempty"`
}

// maxStoredTasks bounds the tasks of a decoded record. A row of 64 KiB could list far more of them in runs.
const maxStoredTasks = 1 << 16

// progressRun is a run of tasks with the same progress.
type progressRun struct {
	Progress
	More int `json:"x,omitempty"` // how many tasks follow the first
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	tasks, err := r.encodeTasks()
	if err != nil {
		return nil, err
	}
	return json.Marshal(storedRecord{State: r.State, Tasks: tasks, EndMillis: r.EndMillis, Moved: r.Moved})
}

func (r *Record) encodeTasks() (json.RawMessage, error) {
	switch begun := r.Occurrences(); {
	case begun == 0:
		return nil, nil
	case begun == 1 && len(r.Tasks) == 0:
		return json.RawMessage(`{"0":null}`), nil
	case begun == 1:
		return json.Marshal(r.Tasks)
	default:
		open := make(map[int][]progressRun, len(r.Tasks))
		for k, tasks := range r.Tasks {
			open[k] = runsOf(tasks)
		}
		return json.Marshal([]any{begun, open})
	}
}

// runsOf returns the progress of tasks in runs. A task that is done needs nothing but its phase.
func runsOf(tasks []Progress) []progressRun {
	var out []progressRun
	for _, p := range tasks {
		if p.Phase == Done {
			p = Progress{Phase: Done}
		}
		if n := len(out); n > 0 && out[n-1].Progress.equal(&p) {
			out[n-1].More++
			continue
		}
		out = append(out, progressRun{Progress: p})
	}
	return out
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(b []byte) error {
	var stored storedRecord
	if err := json.Unmarshal(b, &stored); err != nil {
		return err
	}
	*r = Record{State: stored.State, EndMillis: stored.EndMillis, Moved: stored.Moved}
	tasks := bytes.TrimSpace(stored.Tasks)
	if len(tasks) == 0 || bytes.Equal(tasks, []byte("null")) {
		return nil
	}
	if tasks[0] == '[' {
		return r.decodeOpen(tasks)
	}
	if err := json.Unmarshal(tasks, &r.Tasks); err != nil {
		return err
	}
	// An occurrence without tasks has ended. All that have begun are listed.
	r.Begun = len(r.Tasks)
	for k, progress := range r.Tasks {
		if len(progress) == 0 && k >= 0 && k < r.Begun {
			delete(r.Tasks, k)
		}
	}
	return nil
}

// decodeOpen decodes the pair of the number of occurrences that have begun and the open ones.
func (r *Record) decodeOpen(b []byte) error {
	var open map[int][]progressRun
	pair := []any{&r.Begun, &open}
	if err := json.Unmarshal(b, &pair); err != nil {
		return err
	}
	if len(pair) != 2 {
		return result.Errorf(result.JournalCorrupt, "tasks in a list of %d entries", len(pair))
	}
	r.Tasks = make(map[int][]Progress, len(open))
	left := maxStoredTasks
	for k, runs := range open {
		for i := range runs {
			n := runs[i].More + 1
			if n < 1 || n > left {
				return result.Errorf(result.JournalCorrupt, "more than %d tasks", maxStoredTasks)
			}
			left -= n
			r.Tasks[k] = append(r.Tasks[k], slices.Repeat([]Progress{runs[i].Progress}, n)...)
		}
	}
	return nil
}
