package assembler

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/platform"
)

// Values of the metric label for the outcome of a call.
const (
	outcomeServed   = "served"
	outcomeFailed   = "failed"
	outcomeRefused  = "refused"
	outcomeBroken   = "broken"
	outcomeCanceled = "caller-left"
)

// countedEvents are the log events that are counted as metrics.
// docs/OPERATIONS.md lists those that increase when a guarantee is at risk.
var countedEvents = []string{
	"adapter-load-ordered", "adapter-unload-ordered", "base-load-ordered", "load-given-up", "report-failed",
	"call-stopped", "crash-marked", "limit-changed", "limit-not-told", "quota-owner-unresponsive", "turn-asked", "part-probed", "part-quarantined", "part-released", "quarantine-not-stored", "calls-cut", "place-asked", "reservation-over-share", "send-lost", "send-not-made", "send-refused", "stream-broken", "stream-lost", "stream-resumed",
	"claim-lost", "claim-uncertain", "engines-claimed", "lease-not-renewed", "lease-taken", "owner-changed",
	"key-missing", "key-unknown", "key-not-checked", "configuration-not-read", "poll-repeated", "rows-copied", "rows-not-copied",
	"configuration-in-force", "version-named", "operator-row-not-read", "entry-not-read",
	"dependency-lost", "dependency-regained", "history-lost", "source-passed-over", "table-copied-from-seed",
	"connection-refused",
	"endpoint-arrived", "endpoint-draining", "endpoint-gone", "endpoint-lapsed", "endpoint-leaving", "endpoint-limit-lowered", "endpoint-paused",
	"host-silent", "evidence-not-told", "engine-speed-changed",
	"engine-released", "release-uncertain",
	"stream-pinned", "stream-looked-up", "stream-version-unknown", "stream-not-recorded", "records-not-stored", "record-not-replicated", "record-lookup-failed",
}

// callMetrics are the metrics of calls and of logged events.
type callMetrics struct {
	calls     *meter.Counters
	events    *meter.Counters
	sends     tally.Counter
	firstByte tally.Histogram
	duration  tally.Histogram
}

// Buckets of the latency histograms: their bounds double from 5 ms to 20 s.
const (
	firstBucket  = 5 * time.Millisecond
	bucketFactor = 2
	buckets      = 13
)

func newCallMetrics(scope tally.Scope) *callMetrics {
	bounds := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, buckets)
	return &callMetrics{
		calls:     meter.NewCounters(scope, "calls", "outcome", outcomeServed, outcomeFailed, outcomeRefused, outcomeBroken, outcomeCanceled),
		events:    meter.NewCounters(scope, "events", "event", countedEvents...),
		sends:     scope.Counter("sends"),
		firstByte: scope.Histogram("first_byte_seconds", bounds),
		duration:  scope.Histogram("call_seconds", bounds),
	}
}

// recordCall logs a finished call and updates the metrics.
func (h *Host) recordCall(o platform.Outcome) {
	duration := time.Since(o.ReceivedAt())
	fields := []logger.Field{
		logger.Request(o.ID()), logger.With(logger.KeyStatus, strconv.Itoa(o.Status())),
		logger.With(logger.KeyDuration, duration.Milliseconds()), logger.With(logger.KeyAttempt, o.Sends()),
	}
	if o.Endpoint() != "" {
		fields = append(fields, logger.With(logger.KeyEndpoint, o.Endpoint()), logger.With(logger.KeyCount, o.Bytes()),
			logger.With(logger.KeyWait, o.FirstByteAt().Sub(o.ReceivedAt()).Milliseconds()), logger.With(logger.KeyGap, o.LongestGap().Milliseconds()))
		h.callMetrics.firstByte.RecordDuration(o.FirstByteAt().Sub(o.ReceivedAt()))
		h.callMetrics.duration.RecordDuration(duration)
		h.callMetrics.sends.Inc(int64(o.Sends()))
	}
	outcome := outcomeServed
	switch {
	case o.Status() == 0:
		outcome = outcomeCanceled
	case o.BodyError() != nil:
		outcome = outcomeBroken
		fields = append(fields, logger.Err(o.BodyError()))
	case o.Fault() != nil:
		outcome = outcomeRefused
		fields = append(fields, logger.Err(o.Fault()))
	case o.Status() >= 500:
		outcome = outcomeFailed
	}
	h.callMetrics.calls.Inc(outcome)
	h.clientMetrics.recordBody(o.Fault())
	h.log.Info("call-"+outcome, fields...)
}
