// Package workload defines the jobs that a shard runs, as graphs of steps that consist
// of tasks, and the stored form of their progress.
package workload

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Limits of one job. They keep the record of its progress within one row of the store.
const (
	MaxSteps = 64  // the largest jobs seen have five steps
	maxTasks = 600 // a row holds 64 KiB, and a task takes up to 90 bytes
	// MaxOpenTasks bounds the tasks of the occurrences of a job that have begun and not ended. The owner
	// holds them in memory, in some hundred bytes each. Later occurrences begin as earlier ones end.
	MaxOpenTasks = 8 * maxTasks
)

// Step is a set of identical tasks that may start at the same time.
type Step struct {
	Tasks          int             `json:"n"`
	Needs          resource.Vector `json:"needs"`
	EstimateMillis int64           `json:"est,omitempty"`      // declared duration of a task
	After          []int           `json:"after,omitempty"`    // indexes of the earlier steps that must be done first
	Checkpoints    bool            `json:"ckpt,omitempty"`     // tasks save their progress and can resume from it
	Gang           bool            `json:"gang,omitempty"`     // all tasks run at the same time; if one ends early, all end
	OneRack        bool            `json:"one_rack,omitempty"` // tasks are slower if they run on several racks
	Label          string          `json:"label,omitempty"`    // label that the worker must have
	Rack           string          `json:"rack,omitempty"`     // rack that holds the tasks' data
	MaxPerWorker   int             `json:"per_worker,omitempty"`
	Copies         bool            `json:"copies,omitempty"`  // a task may run as several copies at the same time
	LongRunning    bool            `json:"lasting,omitempty"` // tasks run until the job is cancelled
	Image          string          `json:"image,omitempty"`
	TargetMillis   int64           `json:"target,omitempty"` // bound of the tail latency of a long-running task
	Backfill       bool            `json:"fills,omitempty"`  // backfill: tasks use only the CPU that other tasks leave unused
	MissesAllowed  int             `json:"misses,omitempty"` // tasks that the scheduler itself may keep from running at a time
}

// Committed returns the resources that one task of the step reserves on a worker.
// Backfill tasks reserve no CPU.
func (s *Step) Committed() resource.Vector {
	v := s.Needs
	if s.Backfill {
		v.MilliCPU = 0
	}
	return v
}

// MilliCPU returns the CPU that all tasks of the step need together, in thousandths of
// a core.
func (s *Step) MilliCPU() int64 { return int64(s.Tasks) * s.Needs.MilliCPU }

// Schedule repeats a job's steps at fixed times. The zero value runs them once and
// immediately.
type Schedule struct {
	Times          int   `json:"times,omitempty"` // number of occurrences; 0 without a schedule
	StartMillis    int64 `json:"start,omitempty"` // Unix time of occurrence 0
	IntervalMillis int64 `json:"every,omitempty"`
}

// Spec is a job as it was submitted.
type Spec struct {
	ID       string   `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload"` // passed to every task unchanged
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	Terms    *Terms   `json:"terms,omitempty"` // under which the job was accepted; nil if they are not known
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Schedule.Times) }

// TasksPerOccurrence returns the number of tasks of all steps.
func (s *Spec) TasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Tasks
	}
	return n
}

// Timed reports whether the steps run at fixed times.
func (s *Spec) Timed() bool { return s.Schedule.Times > 0 }

// LongRunning reports whether a step has long-running tasks, which run until the job is
// cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// DueMillis returns the Unix time of occurrence k of a timed job, in milliseconds.
func (s *Spec) DueMillis(k int) int64 {
	return s.Schedule.StartMillis + int64(k)*s.Schedule.IntervalMillis
}

// Validate returns an error with the code JobBad if the steps or the schedule are not
// valid.
func (s *Spec) Validate() error {
	if len(s.Steps) == 0 {
		return result.Errorf(result.JobBad, "no steps")
	}
	if len(s.Steps) > MaxSteps {
		return result.Errorf(result.JobBad, "%d steps, at most %d", len(s.Steps), MaxSteps)
	}
	if err := s.Schedule.validate(); err != nil {
		return err
	}
	if err := s.Terms.validate(); err != nil {
		return err
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Tasks
	}
	if tasks > maxTasks {
		return result.Errorf(result.JobBad, "%d tasks, at most %d", tasks, maxTasks)
	}
	return nil
}

// validate also rejects a schedule whose last time is not representable: occurrences would seem to be
// due before their time.
func (s *Schedule) validate() error {
	if s.Times < 0 || s.IntervalMillis < 0 {
		return result.Errorf(result.JobBad, "the schedule has a negative number of times or interval")
	}
	if s.Times > 0 && s.IntervalMillis > (math.MaxInt64-max(0, s.StartMillis))/int64(s.Times) {
		return result.Errorf(result.JobBad, "the schedule of %d times every %d ms ends too late", s.Times, s.IntervalMillis)
	}
	return nil
}

func (s *Step) validate(i int) error {
	if s.Tasks <= 0 {
		return result.Errorf(result.JobBad, "step %d has no tasks", i)
	}
	if s.Tasks > maxTasks {
		return result.Errorf(result.JobBad, "step %d has %d tasks, at most %d", i, s.Tasks, maxTasks)
	}
	if !s.Needs.Valid() {
		return result.Errorf(result.JobBad, "step %d needs a negative amount of a resource", i)
	}
	if s.MaxPerWorker < 0 || s.EstimateMillis < 0 || s.MissesAllowed < 0 {
		return result.Errorf(result.JobBad, "step %d has a negative bound", i)
	}
	for _, a := range s.After {
		if a == i {
			return result.Errorf(result.JobBad, "step %d waits for itself", i)
		}
		if a < 0 || a > i {
			return result.Errorf(result.JobBad, "step %d waits for step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}

// CriticalPaths returns, per step, the length of the critical path from the start of the
// step: the duration of the longest chain of dependent steps that begins with it. The
// function of returns the duration of a step.
func CriticalPaths(steps []Step, durationOf func(step int) int64) []int64 {
	chain := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		longest := int64(0)
		for j := i + 1; j < len(steps); j++ {
			if slices.Contains(steps[j].After, i) {
				longest = max(longest, chain[j])
			}
		}
		chain[i] = longest + durationOf(i)
	}
	return chain
}

// Summary describes the steps in a few characters each, for logs: tasks,
// thousandths of a core, declared milliseconds, and a letter per property.
func (s *Spec) Summary() string {
	var b strings.Builder
	for i := range s.Steps {
		st := &s.Steps[i]
		fmt.Fprintf(&b, "[%dx%dm/%dms", st.Tasks, st.Needs.MilliCPU, st.EstimateMillis)
		for _, p := range []struct {
			set    bool
			letter string
		}{
			{st.LongRunning, " long-running"},
			{st.Backfill, " backfill"},
			{st.Checkpoints, " ckpt"},
			{st.Gang, " gang"},
			{st.Copies, " copies"},
			{st.MaxPerWorker > 0, " max-per-worker"},
			{st.Label != "", " label"},
			{st.Rack != "", " rack"},
		} {
			if p.set {
				b.WriteString(p.letter)
			}
		}
		if st.MissesAllowed > 0 {
			fmt.Fprintf(&b, " misses%d", st.MissesAllowed)
		}
		if st.Image != "" {
			fmt.Fprintf(&b, " %s<%d", st.Image, st.TargetMillis)
		}
		if len(st.After) > 0 {
			fmt.Fprintf(&b, " after%v", st.After)
		}
		b.WriteByte(']')
	}
	return b.String()
}
