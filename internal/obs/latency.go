package obs

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// OtherValue is the label value that replaces the values beyond the limit of a
// LabelLimiter.
const OtherValue = "other"

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	100 * time.Microsecond, 200 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute,
}

// Latencies is a family of latency histograms, one per organisation and class.
// The number of distinct organisations and classes is bounded, which bounds the
// number of series; values beyond the bound are recorded as "other".
type Latencies struct {
	scope         tally.Scope
	name          string
	organisations *LabelLimiter
	classes       *LabelLimiter
	series        sync.Map // of tally.Histogram by seriesKey
}

type seriesKey struct{ organisation, class string }

// maxClasses bounds the distinct classes of one family.
const maxClasses = 8

// NewLatencies returns the histograms called name in scope, with at most
// maxOrganisations distinct organisations.
func NewLatencies(scope tally.Scope, name string, maxOrganisations int) *Latencies {
	return &Latencies{
		scope:         scope,
		name:          name,
		organisations: NewLabelLimiter(maxOrganisations),
		classes:       NewLabelLimiter(maxClasses),
	}
}

// Record adds one latency. It allocates only for the first value of a series.
func (l *Latencies) Record(organisation, class string, d time.Duration) {
	l.histogram(seriesKey{l.organisations.Value(organisation), l.classes.Value(class)}).RecordDuration(d)
}

func (l *Latencies) histogram(k seriesKey) tally.Histogram {
	if h, ok := l.series.Load(k); ok {
		return h.(tally.Histogram)
	}
	scope := l.scope.Tagged(map[string]string{"tenant": k.organisation, "class": k.class})
	h, _ := l.series.LoadOrStore(k, scope.Histogram(l.name, latencyBuckets))
	return h.(tally.Histogram)
}

// LabelLimiter bounds the number of distinct values of a metric label.
type LabelLimiter struct {
	mu     sync.RWMutex
	limit  int
	values map[string]bool
}

// NewLabelLimiter returns a limiter that admits limit distinct values.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, values: make(map[string]bool, limit)}
}

// Value returns v for the first limit distinct values and OtherValue for the rest.
func (l *LabelLimiter) Value(v string) string {
	l.mu.RLock()
	known, full := l.values[v], len(l.values) >= l.limit
	l.mu.RUnlock()
	if known {
		return v
	}
	if full {
		return OtherValue
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.values[v] && len(l.values) >= l.limit {
		return OtherValue
	}
	l.values[v] = true
	return v
}
