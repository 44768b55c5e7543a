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

// reportInterval is how often the scope hands its values to the scraped registry.
const reportInterval = time.Second

// Metrics is the metrics of one process.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns metrics whose names begin with prefix and "_".
func NewMetrics(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	logger := Logger("metrics")
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		OnRegisterError: func(err error) { logger.WithError(err).Error("a metric was refused") },
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

// Scope is the root of the process's metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler answers a scrape in the Prometheus text form.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports what is left and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
