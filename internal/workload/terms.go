package workload

import "skylarkport/internal/result"

// Terms are the policies of the queue that accepted a job, as they were then. They go with the job to other shards
// and owners: a configuration may drop or replace the queue while the job runs. An earlier version stored none.
type Terms struct {
	Service      string       `json:"svc"`
	Priority     int          `json:"p,omitempty"`
	Attempts     int          `json:"a,omitempty"` // failed runs of a task after which the job fails
	Slack        float64      `json:"s,omitempty"`
	TargetMillis int64        `json:"t,omitempty"`
	Advice       *AdviceTerms `json:"adv,omitempty"` // nil if any worker may run the tasks
}

// AdviceTerms are the times of the adviser of the workers, in milliseconds.
type AdviceTerms struct {
	DecisionMillis  int64 `json:"d,omitempty"`
	PerWorkerMillis int64 `json:"w,omitempty"`
	ValidityMillis  int64 `json:"v,omitempty"`
}

// validate returns an error with the code JobBad if the terms are those of no queue.
func (t *Terms) validate() error {
	if t != nil && t.Attempts <= 0 {
		return result.Errorf(result.JobBad, "terms with %d attempts", t.Attempts)
	}
	return nil
}
