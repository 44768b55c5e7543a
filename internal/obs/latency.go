package obs

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Other is the label value of what is over the bound of distinct values.
const Other = "other"

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	100 * time.Microsecond, 200 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute,
}

// Latencies is a family of latency histograms per tenant and class. The number
// of tenants and of classes told apart is bounded; the rest are "other".
type Latencies struct {
	scope   tally.Scope
	name    string
	tenants *Labels
	classes *Labels
	series  sync.Map // of tally.Histogram by seriesKey
}

type seriesKey struct{ tenant, class string }

// maxClasses bounds the distinct classes of one family.
const maxClasses = 8

// NewLatencies returns the family name of scope with at most maxTenants tenants.
func NewLatencies(scope tally.Scope, name string, maxTenants int) *Latencies {
	return &Latencies{
		scope:   scope,
		name:    name,
		tenants: NewLabels(maxTenants),
		classes: NewLabels(maxClasses),
	}
}

// Record adds one latency. It allocates only for the first of a series.
func (l *Latencies) Record(tenant, class string, d time.Duration) {
	l.histogram(seriesKey{l.tenants.Value(tenant), l.classes.Value(class)}).RecordDuration(d)
}

func (l *Latencies) histogram(k seriesKey) tally.Histogram {
	if h, ok := l.series.Load(k); ok {
		return h.(tally.Histogram)
	}
	scope := l.scope.Tagged(map[string]string{"tenant": k.tenant, "class": k.class})
	h, _ := l.series.LoadOrStore(k, scope.Histogram(l.name, latencyBuckets))
	return h.(tally.Histogram)
}

// Labels bounds the distinct values of a label.
type Labels struct {
	mu     sync.RWMutex
	limit  int
	values map[string]bool
}

// NewLabels returns a bound of limit distinct values.
func NewLabels(limit int) *Labels {
	return &Labels{limit: limit, values: make(map[string]bool, limit)}
}

// Value returns v for the first limit distinct values and Other for the rest.
func (l *Labels) Value(v string) string {
	l.mu.RLock()
	known, full := l.values[v], len(l.values) >= l.limit
	l.mu.RUnlock()
	if known {
		return v
	}
	if full {
		return Other
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.values[v] && len(l.values) >= l.limit {
		return Other
	}
	l.values[v] = true
	return v
}
