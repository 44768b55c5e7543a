package node

import (
	"github.com/uber-go/tally/v4"

	"skylarkport/internal/result"
)

// metrics counts the callers' submissions by their outcome.
type metrics struct {
	accepted, refused, unknown tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		accepted: scope.Counter("jobs_accepted"),
		refused:  scope.Counter("jobs_refused"),
		unknown:  scope.Counter("jobs_unknown"),
	}
}

// submitted counts one submission.
func (m *metrics) submitted(err error, mayBeAccepted bool) {
	switch {
	case result.Of(err) == result.OK:
		m.accepted.Inc(1)
	case mayBeAccepted:
		m.unknown.Inc(1)
	default:
		m.refused.Inc(1)
	}
}
