package obs

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the tally scope copies its values to the Prometheus
// registry, so a scrape may be that much behind.
const reportInterval = time.Second

// Metrics holds the metrics of one process.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns a set of metrics whose names begin with prefix and "_", with
// the Go runtime's and the process's own metrics.
func NewMetrics(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	logger := Logger("metrics")
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		OnRegisterError: func(err error) { logger.WithError(err).Error("cannot register metric") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope of the process's metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves scrapes in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close copies the latest values to the registry and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
