package placement

import (
	"fmt"

	"skylarkport/internal/quarantine"
)

// retryLimit sets a task aside that failed more often than its job allows.
// Failures on workers that are in quarantine are not the task's own.
type retryLimit struct{}

func (retryLimit) name() string { return StageRetryLimit }

func (retryLimit) check(c *cycle, t *candidate) (Step, string) {
	own := t.p.Failures
	for _, w := range t.p.FailedOn {
		if c.v.Quarantine[w] != quarantine.Clear {
			own--
		}
	}
	if own <= max(t.p.Spec.Retries, 0) {
		return "", ""
	}
	return SetAside, fmt.Sprintf("failed %d times, %d retries allowed", own, t.p.Spec.Retries)
}
