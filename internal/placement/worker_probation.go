package placement

import (
	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
)

// workerProbation lets a worker that comes out of quarantine take one batch run
// at a time.
type workerProbation struct{}

func (workerProbation) name() string { return "WorkerProbation" }

func (workerProbation) check(_ *cycle, n *node, t *candidate) string {
	if n.status != quarantine.Probation {
		return ""
	}
	if t.p.Spec.Kind != job.Batch || n.live > 0 {
		return "WorkerProbation"
	}
	return ""
}
