package assembler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/meter"
)

// Buckets of the duration of a draw: their bounds double from 0.5 ms to 1 s.
const (
	firstDrawBucket = 500 * time.Microsecond
	drawBuckets     = 12
)

// quotaMetrics are the metrics of the quotas of workspaces.
type quotaMetrics struct {
	draws    *meter.Counters
	refusals *meter.Counters
	duration tally.Histogram
}

func newQuotaMetrics(scope tally.Scope) *quotaMetrics {
	var sources []string
	for _, s := range allotter.Sources() {
		sources = append(sources, s.String())
	}
	return &quotaMetrics{
		draws:    meter.NewCounters(scope, "quota_draws", "source", sources...),
		refusals: meter.NewCounters(scope, "quota_refusals", "source", sources...),
		duration: scope.Histogram("quota_draw_seconds", tally.MustMakeExponentialDurationBuckets(firstDrawBucket, bucketFactor, drawBuckets)),
	}
}

// RecordDraw implements allotter.Observer.
func (m *quotaMetrics) RecordDraw(s allotter.Source, v accountant.Verdict, took time.Duration) {
	m.draws.Inc(s.String())
	if _, exceeded := v.(accountant.Exceeded); exceeded {
		m.refusals.Inc(s.String())
	}
	m.duration.RecordDuration(took)
}
