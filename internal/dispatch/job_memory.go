package dispatch

import (
	"sync"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// What jobs cost in the memory of their owner, in bytes. A task has its state, its progress and its name; a body of
// 150 bytes may ask for 4,800 of them.
const (
	jobBytes  = 4 << 10
	stepBytes = 512
	taskBytes = 1 << 10
	// WithdrawnBytes is what a job costs that was cancelled before it was known.
	WithdrawnBytes = jobBytes + stepBytes
)

// JobMemory bounds what the jobs of an instance's shards hold in memory. Jobs that have been accepted count, and are
// never refused: those of an earlier owner, moved ones and loans.
type JobMemory struct {
	limit int64 // bytes

	mu   sync.Mutex
	held map[*Shard]int64
}

// NewJobMemory returns a bound of limit bytes.
func NewJobMemory(limit int64) *JobMemory { return &JobMemory{limit: limit, held: map[*Shard]int64{}} }

// set records what the jobs of a shard hold. All methods accept nil, which is no bound.
func (m *JobMemory) set(s *Shard, bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[s] = bytes
}

// add records that a shard has another job.
func (m *JobMemory) add(s *Shard, bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[s] += bytes
}

// forget drops a shard that this instance does not own any more.
func (m *JobMemory) forget(s *Shard) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, s)
}

// hasRoom reports whether a job of that size can be accepted.
func (m *JobMemory) hasRoom(bytes int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.held {
		bytes += b
	}
	return bytes <= m.limit
}

// Limit returns the bound in bytes.
func (m *JobMemory) Limit() int64 { return m.limit }

// fullFraction is the part of the bound that is left when it counts as full.
const fullFraction = 8

// Full reports whether so little is left that jobs are about to be refused.
func (m *JobMemory) Full() bool { return m != nil && !m.hasRoom(m.limit/fullFraction) }

// errNoJobMemory is the refusal of a new job.
func errNoJobMemory() error {
	return result.Errorf(result.JobRefused, "the owner's memory is full of accepted jobs")
}

// specBytes returns what a job without tasks holds.
func specBytes(s *workload.Spec) int64 {
	n := jobBytes + 2*len(s.Payload) + stepBytes*len(s.Steps)
	for i := range s.Steps {
		st := &s.Steps[i]
		n += len(st.Label) + len(st.Rack) + len(st.Image)
	}
	return int64(n)
}

// NewJobBytes returns what a new job will hold at the most in the memory of its owner.
func NewJobBytes(s *workload.Spec) int64 {
	tasks := int64(s.TasksPerOccurrence()) * int64(min(s.Occurrences(), workload.MaxOpenTasks))
	return specBytes(s) + taskBytes*min(tasks, workload.MaxOpenTasks)
}

// heldBytes returns what the jobs of the shard hold, including the tasks that those which have not ended will have.
// The caller holds the lock.
func (s *Shard) heldBytes() int64 {
	var n int64
	for _, j := range s.jobs {
		if !j.record.State.Final() {
			n += NewJobBytes(&j.spec)
			continue
		}
		n += specBytes(&j.spec)
		for _, tasks := range j.tasks {
			n += taskBytes * int64(len(tasks))
		}
	}
	return n
}
