package fleet

import (
	"context"

	"skylarkport/internal/workload"
)

// Jobs is the interface for callers, which every instance serves for all jobs. Errors
// carry a code of package result: JobBad, JobUnknown, JobRefused (the job was not
// accepted and never runs), OutcomeUnknown (it may have been accepted) or NotReady.
type Jobs interface {
	// Config returns the configuration in force, or nil before one is known.
	Config() *Config
	// Submit returns nil once the job is stored. A second submission with the same id
	// refers to the same job and has no effect.
	Submit(ctx context.Context, q *Queue, s workload.Spec) error
	State(ctx context.Context, id string) (workload.State, error)
	// Cancel returns nil once the cancellation is stored.
	Cancel(ctx context.Context, id string) error
	// Pending counts the accepted jobs of a queue that have not started.
	Pending(ctx context.Context, queue string) (int, error)
}
