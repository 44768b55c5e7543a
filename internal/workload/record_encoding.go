package workload

import (
	"encoding/json"
	"slices"

	"skylarkport/internal/result"
)

// compactRecord is the stored form of a Record once a second occurrence has begun. Its tasks are a pair of the
// number of occurrences that have begun and those that are open, in runs of equal progress. An earlier
// version cannot decode the pair: it would take the occurrences that are left out for ones that have not
// begun, and run them again.
type compactRecord struct {
	State     State  `json:"s"`
	Tasks     []any  `json:"t"`
	EndMillis int64  `json:"e,omitempty"`
	Moved     *Moved `json:"m,omitempty"`
}

// maxStoredTasks bounds the tasks of a decoded record. A row of 64 KiB could list far more of them in runs.
const maxStoredTasks = 1 << 16

// progressRun is a run of tasks with the same progress.
type progressRun struct {
	Progress
	More int `json:"x,omitempty"` // how many tasks follow the first
}

// EncodeRecord returns r as the value of a row. While at most one occurrence has begun, that is an object with
// its tasks, none of which are listed once it has ended; earlier versions read it.
func EncodeRecord(r *Record) []byte {
	switch begun := r.Occurrences(); {
	case begun > 1:
		open := make(map[int][]progressRun, len(r.Tasks))
		for k, tasks := range r.Tasks {
			open[k] = runsOf(tasks)
		}
		return Encode(compactRecord{State: r.State, Tasks: []any{begun, open}, EndMillis: r.EndMillis, Moved: r.Moved})
	case begun == 1 && len(r.Tasks) == 0:
		ended := *r
		ended.Tasks = map[int][]Progress{0: nil}
		return Encode(&ended)
	default:
		return Encode(r)
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

// DecodeRecord decodes a row that EncodeRecord or an earlier version has encoded.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		if compact, compactErr := decodeCompact(b); compactErr == nil {
			return compact, nil
		}
		return Record{}, result.Wrap(result.JournalCorrupt, err, "decode row")
	}
	// All occurrences that have begun are listed, those that have ended without tasks.
	r.Begun = len(r.Tasks)
	for k, progress := range r.Tasks {
		if len(progress) == 0 && k >= 0 && k < r.Begun {
			delete(r.Tasks, k)
		}
	}
	return r, nil
}

// decodeCompact decodes a compactRecord.
func decodeCompact(b []byte) (Record, error) {
	var open map[int][]progressRun
	r := Record{Tasks: map[int][]Progress{}}
	stored := compactRecord{Tasks: []any{&r.Begun, &open}}
	if err := json.Unmarshal(b, &stored); err != nil {
		return r, err
	}
	if len(stored.Tasks) != 2 {
		return r, result.Errorf(result.JournalCorrupt, "tasks in a list of %d entries", len(stored.Tasks))
	}
	r.State, r.EndMillis, r.Moved = stored.State, stored.EndMillis, stored.Moved
	left := maxStoredTasks
	for k, runs := range open {
		for i := range runs {
			n := runs[i].More + 1
			if n < 1 || n > left {
				return r, result.Errorf(result.JournalCorrupt, "more than %d tasks", maxStoredTasks)
			}
			left -= n
			r.Tasks[k] = append(r.Tasks[k], slices.Repeat([]Progress{runs[i].Progress}, n)...)
		}
	}
	return r, nil
}
