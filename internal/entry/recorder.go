package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

// maxOrganisations is the maximum number of organisations with a latency histogram
// of their own.
const maxOrganisations = 128

// recorder exports the metrics of requests. It implements forward.Recorder.
type recorder struct {
	scope           tally.Scope
	latencies       *obs.Latencies
	attempts        tally.Counter
	discarded       tally.Counter
	lostKeyOutcomes tally.Counter
	results         sync.Map // tally.Counter by result.Code
}

func newRecorder(scope tally.Scope) *recorder {
	return &recorder{
		scope:           scope,
		latencies:       obs.NewLatencies(scope, "request_latency", maxOrganisations),
		attempts:        scope.Counter("upstream_attempts"),
		discarded:       scope.Counter("answers_discarded"),
		lostKeyOutcomes: scope.Counter("key_ends_lost"),
	}
}

// RecordResult implements forward.Recorder.
func (r *recorder) RecordResult(organisation, class string, code result.Code, d time.Duration) {
	r.result(code).Inc(1)
	if organisation != "" {
		r.latencies.Record(organisation, class, d)
	}
}

// result returns the counter of the requests that ended with code.
func (r *recorder) result(code result.Code) tally.Counter {
	if c, ok := r.results.Load(code); ok {
		return c.(tally.Counter)
	}
	tagged := r.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code)), "name": code.String()})
	c, _ := r.results.LoadOrStore(code, tagged.Counter("requests"))
	return c.(tally.Counter)
}

// RecordAttempt implements forward.Recorder.
func (r *recorder) RecordAttempt() { r.attempts.Inc(1) }

// RecordDiscardedResponse implements forward.Recorder.
func (r *recorder) RecordDiscardedResponse() { r.discarded.Inc(1) }

// RecordLostKeyOutcome implements forward.Recorder.
func (r *recorder) RecordLostKeyOutcome() { r.lostKeyOutcomes.Inc(1) }
