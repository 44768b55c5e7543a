package placement

import (
	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
)

// workerProbation admits one batch run at a time to a worker on probation after a
// quarantine.
type workerProbation struct{}

func (workerProbation) name() string { return "WorkerProbation" }

func (workerProbation) check(_ *cycle, n *node, t *candidate) string {
	if n.quarantineStatus != quarantine.Probation {
		return ""
	}
	if t.pending.Spec.Kind != job.Batch || n.liveRuns > 0 {
		return "WorkerProbation"
	}
	return ""
}
