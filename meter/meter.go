package meter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// prefix starts the name of every metric.
const prefix = "dragonflyford"

// interval is how often values are handed to Prometheus. Scrapes are usually ten
// seconds or more apart.
const interval = time.Second

// Meter owns the root scope of a node.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// New returns a meter. OnError hears of a metric that cannot be registered, for
// instance a name that is used with two sets of labels.
func New(node, region, dataCentre string, onError func(error)) *Meter {
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"node": node, "region": region, "data_centre": dataCentre},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, interval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// sanitizer keeps dashes and dots in label values, so that the names of nodes and
// data centres read as they do in the settings.
func sanitizer() *tally.SanitizeOptions {
	opts := promreporter.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	}
	return &opts
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler serves the metrics to Prometheus.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values and stops the reporting goroutine.
func (m *Meter) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
