package dispatch

import (
	"context"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// mergedEndedRows is the number of ended jobs between two others from which on their rows are left
// out by another read, on a thin link. A call costs about as much as the rows of that many jobs.
const mergedEndedRows = 8

// span is a range of keys, without to.
type span struct{ from, to string }

// acceptedSpans returns the ranges of keys that hold the accepted rows of the jobs whose
// specifications are needed, in one range or, if thin is set, without the longer rows of ended jobs
// between them. needed tells for each key, in ascending order, whether the row is.
func acceptedSpans(keys []string, needed func(key string) bool, thin bool) []span {
	var out []span
	skipped := 0
	for _, key := range keys {
		if !needed(key) {
			skipped++
			continue
		}
		if n := len(out); n > 0 && (!thin || skipped < mergedEndedRows) {
			out[n-1].to = key + "\x00"
		} else {
			out = append(out, span{key, key + "\x00"})
		}
		skipped = 0
	}
	return out
}

// needsSpec reports whether a job with this progress may still be run, stopped, delivered or
// returned. Of any other job only the state is asked for.
func needsSpec(r *workload.Record) bool {
	if r.Moved != nil && !r.Moved.Confirmed {
		return true
	}
	if !r.State.Final() && r.Moved == nil {
		return true
	}
	for _, tasks := range r.Tasks {
		for i := range tasks {
			if tasks[i].Phase == workload.Placed || tasks[i].Phase == workload.Lent {
				return true
			}
		}
	}
	return false
}

// hasLongRow reports whether the accepted row of j is to be replaced by its short form: nothing of it is
// needed any more, but the row shows that the job is known. Loans keep their rows.
func (j *job) hasLongRow() bool { return !j.shortRow && j.loan == nil && !needsSpec(&j.record) }

// shortAccepted returns the short form of the accepted row. An earlier version reads it as a job of one
// task, of which it knows by the progress that it has ended or moved.
func (j *job) shortAccepted() workload.Accepted {
	return workload.Accepted{
		Spec:     workload.Spec{ID: j.spec.ID, Queue: j.spec.Queue, Steps: []workload.Step{{Tasks: 1}}},
		AtMillis: int64(j.acceptedAt), Moved: j.movedHere,
	}
}

// storedRecord returns the progress to store: without tasks if the accepted row is or becomes short.
func (j *job) storedRecord() workload.Record {
	r := j.record
	if j.loan == nil && !needsSpec(&r) {
		r.Tasks = nil
	}
	return r
}

// storedJobs holds the rows of a shard's jobs.
type storedJobs struct {
	records  map[string]workload.Record // by job id, of jobs that need their specification
	progress []fleet.Row                // in ascending order of their keys
	accepted []fleet.Row
}

// readJobs reads the progress of all jobs and, as their rows are larger, the specifications of
// those jobs alone that have not ended.
func (s *Shard) readJobs(ctx context.Context, heartbeats []fleet.Row) (*storedJobs, error) {
	var last heartbeatRow
	if len(heartbeats) > 0 && workload.Decode(heartbeats[0].Value, &last) != nil {
		last = heartbeatRow{}
	}
	progress, known, err := s.readProgress(ctx, last)
	if err != nil {
		return nil, err
	}
	stored := &storedJobs{progress: progress, records: map[string]workload.Record{}}
	for _, r := range progress {
		s.mu.Lock()
		if record, ok := s.restoreEnded(r); ok {
			stored.records[r.Key] = record
		}
		s.mu.Unlock()
	}
	stored.accepted, err = s.readAccepted(ctx, progress, func(key string) bool {
		_, needed := stored.records[key]
		_, isKnown := known[key]
		return needed && !isKnown
	})
	if err != nil {
		return nil, err
	}
	for key, r := range known {
		if _, needed := stored.records[key]; needed {
			stored.accepted = append(stored.accepted, r)
		}
	}
	return stored, nil
}

// readAccepted reads the accepted rows of the jobs in progress that are needed.
func (s *Shard) readAccepted(ctx context.Context, progress []fleet.Row, needed func(key string) bool) ([]fleet.Row, error) {
	keys := make([]string, len(progress))
	for i, r := range progress {
		keys[i] = r.Key
	}
	var out []fleet.Row
	for _, sp := range acceptedSpans(keys, needed, s.cfg.StoreLink.thin()) {
		rows, _, err := s.readRange(ctx, TableAccepted, s.cfg.Name, sp)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			if needed(r.Key) {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// restoreEnded decodes a progress row. It adds the job if its specification is not needed;
// otherwise it returns the progress and true. The caller holds the lock.
func (s *Shard) restoreEnded(r fleet.Row) (workload.Record, bool) {
	record, err := workload.DecodeRecord(r.Value)
	if err != nil {
		s.setAside(r, err)
		return record, false
	}
	if needsSpec(&record) {
		return record, true
	}
	if !record.State.Valid() {
		s.setAside(r, result.Errorf(result.JournalCorrupt, "state %q", record.State))
		return record, false
	}
	record.Tasks = nil
	j := newJob(&workload.Accepted{Spec: workload.Spec{ID: r.Key}})
	j.record, j.durableState, j.stored = record, record.State, true
	s.jobs[r.Key] = j
	return record, false
}
