package taskqueue

import "skylarkport/internal/placement"

// Event is a change that may make a task schedulable.
type Event uint16

// Events that are passed to Queue.Notify.
const (
	CapacityFreed    Event = 1 << iota // a run ended or holds less
	WorkerAdded                        // a worker joined or has more capacity
	WorkerRecovered                    // a worker is healthy again or left quarantine
	QuotaRaised                        // of any organisation
	InterferenceFell                   // latencies of services fell
	SettingsChanged                    // a bundle was accepted
	RetryRequested                     // by an operator
)

// eventsFor returns the events that may let a task be placed that waits for reason
// r.
func eventsFor(r placement.Reason) Event {
	switch r.Stage {
	case placement.StageNeverRuns:
		return WorkerAdded | SettingsChanged | RetryRequested
	case placement.StageRetryLimit:
		return SettingsChanged | RetryRequested
	case placement.StageOrganisationHeadroom:
		return QuotaRaised | CapacityFreed | SettingsChanged | RetryRequested
	default:
		return CapacityFreed | WorkerAdded | WorkerRecovered | InterferenceFell | SettingsChanged | RetryRequested
	}
}
