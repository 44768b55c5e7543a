// Package operator serves the operator API of a scheduler over HTTP.
package operator

import (
	"context"

	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
)

// Backend implements the calls of the API. Its errors carry a result code.
type Backend interface {
	// Submit stores the job. created is false when the same job is stored
	// already; a different job under the same id returns result.JobExists.
	Submit(ctx context.Context, spec job.Spec) (created bool, err error)
	// List returns the jobs of kind, or all jobs for an empty kind.
	List(ctx context.Context, kind job.Kind) (api.JobList, error)
	// Show returns one job, or result.JobUnknown if there is none with the id.
	Show(ctx context.Context, id string) (api.Job, error)
	// Cancel records the cancellations in as few commits as possible.
	Cancel(ctx context.Context, ids []string) (api.CancelReply, error)
	// Workers returns the workers of every shard whose owner answers.
	Workers(ctx context.Context) (api.WorkerList, error)
	// Status returns the deployment as this instance sees it.
	Status(ctx context.Context) (api.Status, error)
	// Explain returns the events kept for a task, job or request.
	Explain(ctx context.Context, subject string) (api.Explanation, error)
}
