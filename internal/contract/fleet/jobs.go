package fleet

import (
	"context"

	"skylarkport/internal/workload"
)

// Jobs is what callers ask of any instance. Errors carry a result code:
// JobBad, JobUnknown, JobNotStored (the job was not accepted and never runs),
// OutcomeUnknown (it may have been accepted), NotReady.
type Jobs interface {
	// Config is the configuration in force, or nil.
	Config() *Config
	// Submit returns nil once the job is stored. Submitting the same id again
	// is the same job.
	Submit(ctx context.Context, q *Queue, s workload.Spec) error
	State(ctx context.Context, id string) (workload.State, error)
	// Cancel returns nil once the cancellation is stored.
	Cancel(ctx context.Context, id string) error
	// Pending counts the accepted jobs of a queue that have not started.
	Pending(ctx context.Context, queue string) (int, error)
}
