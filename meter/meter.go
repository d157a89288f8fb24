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

// prefix is the prefix of all metric names.
const prefix = "dragonflyford"

// interval is the time between updates of the values that Prometheus scrapes.
// Scrapes are usually ten seconds or more apart.
const interval = time.Second

// Meter owns the root scope of a node.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// New returns a meter. It calls onError for each metric that cannot be
// registered, for instance because its name is already used with other labels.
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

// sanitizer returns options that keep dashes and dots in label values, so that
// the names of nodes and data centres are the same as in the settings.
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

// Close reports the final values and stops the reporting goroutine.
func (m *Meter) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
