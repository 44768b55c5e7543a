package dispatch

import (
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// Every row stays within the size limit of the store: optional data is left out of a row that would
// exceed it, and a decision that would make a row exceed it is not made. A commit with a larger row fails
// each time, at each owner.
const (
	// defaultRowBytes is the largest value of a row where the platform states none, in bytes.
	defaultRowBytes = 64 << 10
	// rowReserve is the part of a progress row that is kept free for the end of the job or its move.
	rowReserve = 256
	// placementBytes bounds what the first placement of a task adds to the progress row of its job, but
	// for the name of its worker.
	placementBytes = 96
	// maxNameBytes is the longest name of a worker or a shard, which are keys of rows.
	maxNameBytes = 200
	// occurrenceBytes and waitingTaskBytes bound what a new occurrence adds to the row.
	occurrenceBytes, waitingTaskBytes = 24, 4
	// checkpointFieldBytes is what a checkpoint takes beside its content.
	checkpointFieldBytes = len(`"c":"",`)
)

// RowLimit returns the largest size of the value of a row in bytes.
func (b *Bounds) RowLimit() int {
	if b.RowBytes > 0 {
		return b.RowBytes
	}
	return defaultRowBytes
}

// CheckSize returns an error with the code JobTooLarge, or LoanBad for a loan, if the store does not
// accept the row of a new job or loan.
func (b *Bounds) CheckSize(a *workload.Accepted) error {
	limit, code := b.RowLimit()-rowReserve, result.JobTooLarge
	if a.Loan != nil {
		limit, code = b.RowLimit(), result.LoanBad
	}
	if n := len(workload.Encode(a)); n > limit {
		return result.Errorf(code, "the job takes %d bytes, at most %d", n, limit)
	}
	return nil
}

// rowHasRoom reports whether the progress row of j may grow by n bytes.
func (s *Shard) rowHasRoom(j *job, n int) bool {
	return j.rowBytes+n <= s.cfg.Bounds.RowLimit()-rowReserve
}

// mayPlaceMore reports whether the progress row of j has room for the placement of a task on any worker.
func (s *Shard) mayPlaceMore(j *job) bool { return s.rowHasRoom(j, placementBytes+maxNameBytes) }

// mayBegin reports whether another occurrence of j may begin.
func (s *Shard) mayBegin(j *job) bool {
	n := j.spec.TasksPerOccurrence()
	return len(j.tasks) == 0 || (len(j.tasks)+1)*n <= workload.MaxOpenTasks && s.rowHasRoom(j, occurrenceBytes+n*waitingTaskBytes)
}

// progressRow encodes the progress row of j, with at most limit bytes. Checkpoints are left out of a
// row that would be too large with them: after a takeover their tasks start from the beginning.
func (j *job) progressRow(limit int) []byte {
	record := j.storedRecord()
	value := workload.EncodeRecord(&record)
	saved := checkpointBytes(&record)
	if len(value) > limit && saved > 0 {
		stripped := withoutCheckpoints(record)
		value = workload.EncodeRecord(&stripped)
		saved = 0
	}
	j.rowBytes = len(value) - saved
	return value
}

// checkpointBytes returns the least size of the checkpoints in the row of r.
func checkpointBytes(r *workload.Record) int {
	n := 0
	for _, tasks := range r.Tasks {
		for i := range tasks {
			if c := tasks[i].Checkpoint; c != "" && tasks[i].Phase != workload.Done {
				n += checkpointFieldBytes + len(c)
			}
		}
	}
	return n
}

// withoutCheckpoints returns a copy of r without checkpoints.
func withoutCheckpoints(r workload.Record) workload.Record {
	stripped := make(map[int][]workload.Progress, len(r.Tasks))
	for k, tasks := range r.Tasks {
		stripped[k] = append([]workload.Progress(nil), tasks...)
		for i := range stripped[k] {
			stripped[k][i].Checkpoint = ""
		}
	}
	r.Tasks = stripped
	return r
}
