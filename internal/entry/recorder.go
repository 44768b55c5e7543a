package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

// maxTenants bounds the tenants that the latency histograms tell apart.
const maxTenants = 128

// recorder counts requests. It implements forward.Recorder.
type recorder struct {
	scope     tally.Scope
	latencies *obs.Latencies
	attempts  tally.Counter
	discarded tally.Counter
	keyEnds   tally.Counter
	results   sync.Map // tally.Counter by result.Code
}

func newRecorder(scope tally.Scope) *recorder {
	return &recorder{
		scope:     scope,
		latencies: obs.NewLatencies(scope, "request_latency", maxTenants),
		attempts:  scope.Counter("upstream_attempts"),
		discarded: scope.Counter("answers_discarded"),
		keyEnds:   scope.Counter("key_ends_lost"),
	}
}

// RecordResult implements forward.Recorder.
func (r *recorder) RecordResult(tenant, class string, code result.Code, d time.Duration) {
	r.result(code).Inc(1)
	if tenant != "" {
		r.latencies.Record(tenant, class, d)
	}
}

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
func (r *recorder) RecordLostKeyOutcome() { r.keyEnds.Inc(1) }
