// Package workload describes the work that a shard runs: jobs as graphs of
// steps, the tasks of a step, and the progress of both as it is stored.
package workload

import (
	"fmt"
	"slices"
	"strings"

	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Limits of one job, so that its progress fits a row of the store.
const (
	maxSteps = 64  // far above the five steps seen in the largest jobs
	maxTasks = 600 // 64 KiB a row at up to 90 bytes a task
)

// Step is a set of equal tasks that may start together.
type Step struct {
	Tasks          int             `json:"n"`
	Needs          resource.Vector `json:"needs"`
	EstimateMillis int64           `json:"est,omitempty"`   // declared duration of a task
	After          []int           `json:"after,omitempty"` // earlier steps that must be done
	Checkpoints    bool            `json:"ckpt,omitempty"`
	Gang           bool            `json:"gang,omitempty"`     // tasks run together and end together
	OneRack        bool            `json:"one_rack,omitempty"` // slower when spread over racks
	Label          string          `json:"label,omitempty"`    // that a worker must have
	Rack           string          `json:"rack,omitempty"`     // where the data is
	MaxPerWorker   int             `json:"per_worker,omitempty"`
	Copies         bool            `json:"copies,omitempty"`  // tasks may run in parallel copies
	Lasting        bool            `json:"lasting,omitempty"` // runs until the job is cancelled
	Image          string          `json:"image,omitempty"`
	TargetMillis   int64           `json:"target,omitempty"` // bound of a lasting task's tail latency
	Fills          bool            `json:"fills,omitempty"`  // uses only what other tasks leave unused
	MissesAllowed  int             `json:"misses,omitempty"` // tasks that may be away by our own orders
}

// Committed returns what a task of the step takes from a worker's capacity.
func (s *Step) Committed() resource.Vector {
	v := s.Needs
	if s.Fills {
		v.MilliCPU = 0
	}
	return v
}

// MilliCPU is what all tasks of the step need together, in thousandths of a core.
func (s *Step) MilliCPU() int64 { return int64(s.Tasks) * s.Needs.MilliCPU }

// Schedule repeats a job's steps at fixed times. The zero value runs them once,
// at once.
type Schedule struct {
	Times          int   `json:"times,omitempty"`
	StartMillis    int64 `json:"start,omitempty"` // Unix time of occurrence 0
	IntervalMillis int64 `json:"every,omitempty"`
}

// Spec is a job as it was submitted.
type Spec struct {
	ID       string   `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload"` // handed to every task unchanged
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
}

// Occurrences is how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Schedule.Times) }

// Timed reports whether the steps run at fixed times.
func (s *Spec) Timed() bool { return s.Schedule.Times > 0 }

// Lasting reports whether a step runs until the job is cancelled.
func (s *Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// DueMillis is the Unix time of occurrence k of a timed job.
func (s *Spec) DueMillis(k int) int64 {
	return s.Schedule.StartMillis + int64(k)*s.Schedule.IntervalMillis
}

// Validate returns what is wrong with the graph, with the code JobBad.
func (s *Spec) Validate() error {
	if len(s.Steps) == 0 {
		return result.Errorf(result.JobBad, "no steps")
	}
	if len(s.Steps) > maxSteps {
		return result.Errorf(result.JobBad, "%d steps, at most %d", len(s.Steps), maxSteps)
	}
	if s.Schedule.Times < 0 || s.Schedule.IntervalMillis < 0 {
		return result.Errorf(result.JobBad, "a negative schedule")
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

func (s *Step) validate(i int) error {
	if s.Tasks <= 0 {
		return result.Errorf(result.JobBad, "step %d has no tasks", i)
	}
	if s.Tasks > maxTasks {
		return result.Errorf(result.JobBad, "step %d has %d tasks, at most %d", i, s.Tasks, maxTasks)
	}
	if !s.Needs.Valid() {
		return result.Errorf(result.JobBad, "step %d needs a negative amount", i)
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

// Chain returns, per step, the time from its start to the end of the longest
// chain of steps that begins with it, by the durations that of returns.
func Chain(steps []Step, of func(step int) int64) []int64 {
	chain := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		longest := int64(0)
		for j := i + 1; j < len(steps); j++ {
			if slices.Contains(steps[j].After, i) {
				longest = max(longest, chain[j])
			}
		}
		chain[i] = longest + of(i)
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
			{st.Lasting, " lasting"},
			{st.Fills, " fills"},
			{st.Checkpoints, " ckpt"},
			{st.Gang, " gang"},
			{st.Copies, " copies"},
			{st.MaxPerWorker > 0, " apart"},
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
