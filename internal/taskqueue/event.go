package taskqueue

import "skylarkport/internal/placement"

// Event is a change that may make a task schedulable.
type Event uint16

// The events.
const (
	RoomFreed       Event = 1 << iota // a run ended or shrank
	WorkerAdded                       // a worker came, or grew
	WorkerCleared                     // a worker is healthy or out of quarantine again
	QuotaGrew                         // of any tenant
	LoadFell                          // services are calmer
	SettingsChanged                   // a bundle was accepted
	Retried                           // an operator asked
)

// helps returns the events that may help a task that waits for reason.
func helps(r placement.Reason) Event {
	switch r.Stage {
	case placement.StageNeverRuns:
		return WorkerAdded | SettingsChanged | Retried
	case placement.StageRetryLimit:
		return SettingsChanged | Retried
	case placement.StageHeadroom:
		return QuotaGrew | RoomFreed | SettingsChanged | Retried
	default:
		return RoomFreed | WorkerAdded | WorkerCleared | LoadFell | SettingsChanged | Retried
	}
}
