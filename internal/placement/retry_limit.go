package placement

import (
	"fmt"

	"skylarkport/internal/quarantine"
)

// retryLimit sets aside a task that failed more often than its job allows.
// Failures on workers in quarantine or on probation do not count.
type retryLimit struct{}

func (retryLimit) name() string { return StageRetryLimit }

func (retryLimit) check(c *cycle, t *candidate) (Step, string) {
	own := t.pending.Failures
	for _, w := range t.pending.FailedOn {
		if c.view.Quarantine[w] != quarantine.Clear {
			own--
		}
	}
	if own <= max(t.pending.Spec.Retries, 0) {
		return "", ""
	}
	return SetAside, fmt.Sprintf("failed %d times, %d retries allowed", own, t.pending.Spec.Retries)
}
