package fleet

import "context"

// Adviser approves workers for the steps of queues with an AdvicePolicy, whose tasks
// may run only on approved workers.
type Adviser interface {
	// Approve returns the approved ones of workers, each with a ticket that a Start on
	// the worker must carry.
	Approve(ctx context.Context, step string, workers []string) (map[string]string, error)
}
