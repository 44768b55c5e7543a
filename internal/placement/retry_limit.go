package placement

import (
	"fmt"

	"skylarkport/internal/quarantine"
)

// retryLimit sets aside a task that failed more often than its job allows, or whose workers
// restart when they start it. Failures on workers in quarantine or on probation do not count.
type retryLimit struct{}

// maxCrashes is how many workers in a row may restart soon after they have started a task. Tasks
// beside the cause run again at different times, and rarely meet it so often.
const maxCrashes = 5

func (retryLimit) name() string { return StageRetryLimit }

func (retryLimit) check(c *cycle, t *candidate) (Step, string) {
	if n := t.pending.Crashes; n >= maxCrashes {
		return SetAside, fmt.Sprintf("%d workers restarted one after the other soon after they had started it", n)
	}
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
