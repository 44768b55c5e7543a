package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"skylarkport/internal/result"
)

// TaskID identifies a task by its job, the occurrence of a timed job, the step and the
// index in the step. The numbers count from zero.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in commands to workers.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID parses a name that TaskID.String returned.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, result.Errorf(result.JobBad, "invalid task name %q", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, result.Errorf(result.JobBad, "invalid task name %q", name)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Phase is the stored phase of a task.
type Phase uint8

// The phases of a task.
const (
	Pending Phase = iota // no run of the task exists
	Placed               // a run may exist on Progress.Worker
	Done                 // a run has ended successfully
	Lent                 // only the shard named in Progress.Worker may run the task
)

// Crashes counts the workers that were lost one after the other with a run of a task.
type Crashes struct {
	Total   int `json:"cr,omitempty"` // since a run of the task last worked for long, but for losses that something else explains
	AtStart int `json:"cs,omitempty"` // since a run last outlived its start; those lost soon after they had begun the run
}

// Progress is the stored state of one task.
type Progress struct {
	Phase       Phase  `json:"p,omitempty"`
	Run         int    `json:"r,omitempty"`  // number of the latest run, counted from 1, or of the loan while Lent
	Failures    int    `json:"f,omitempty"`  // number of runs that failed; of a gang, on its first member
	FailedRuns  []int  `json:"fr,omitempty"` // numbers of these runs, the newest ones, if the task ends by itself
	FailedOn    string `json:"fo,omitempty"` // worker of the last of these runs
	Worker      string `json:"w,omitempty"`  // id of the worker while Placed, the borrower's shard while Lent
	Incarnation int64  `json:"l,omitempty"`  // start time of the worker's process in Unix milliseconds
	Checkpoint  string `json:"c,omitempty"`  // latest checkpoint
	Crashes
}

// maxFailedRuns bounds FailedRuns. Configurations allow fewer attempts than that.
const maxFailedRuns = 16

// CountFailure counts the failure of a run and reports whether it was not counted before. The end of one
// run may be reported by several members of a gang, again to another owner, or after a later run has
// begun.
func (p *Progress) CountFailure(run int) bool {
	if slices.Contains(p.FailedRuns, run) {
		return false
	}
	p.Failures++
	p.FailedRuns = append(p.FailedRuns, run)
	if n := len(p.FailedRuns) - maxFailedRuns; n > 0 {
		p.FailedRuns = slices.Delete(p.FailedRuns, 0, n)
	}
	return true
}

// ListsFailures reports whether FailedRuns names the counted runs. An earlier version has only counted
// them.
func (p *Progress) ListsFailures() bool { return len(p.FailedRuns) >= min(p.Failures, maxFailedRuns) }

// MergeFailures adds the failures that o counts and p does not.
func (p *Progress) MergeFailures(o *Progress) {
	for _, run := range o.FailedRuns {
		p.CountFailure(run)
	}
	p.Failures = max(p.Failures, o.Failures)
}

// Merge adds to p, which stands for a gang, what another member of the gang knows: the latest run, a
// checkpoint, which is valid for all members, and the crashes of its workers.
func (p *Progress) Merge(o *Progress) {
	p.Run = max(p.Run, o.Run)
	p.Total, p.AtStart = max(p.Total, o.Total), max(p.AtStart, o.AtStart)
	if p.Checkpoint == "" {
		p.Checkpoint = o.Checkpoint
	}
}

// FailedBefore reports whether a run other than the given one has failed.
func (p *Progress) FailedBefore(run int) bool {
	n := p.Failures
	if slices.Contains(p.FailedRuns, run) {
		n--
	}
	return n > 0
}

// equal reports whether p and o are the same.
func (p *Progress) equal(o *Progress) bool {
	return p.Phase == o.Phase && p.Run == o.Run && p.Failures == o.Failures && slices.Equal(p.FailedRuns, o.FailedRuns) && p.FailedOn == o.FailedOn &&
		p.Worker == o.Worker && p.Incarnation == o.Incarnation && p.Checkpoint == o.Checkpoint && p.Crashes == o.Crashes
}
