package fleet

import "context"

// Adviser names the workers that may run a step where a queue's policy allows
// only some.
type Adviser interface {
	// Approve returns a ticket for each approved worker.
	Approve(ctx context.Context, step string, workers []string) (map[string]string, error)
}
