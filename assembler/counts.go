package assembler

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/platform"
)

// Outcomes of calls as metrics count them.
const (
	outcomeServed  = "served"
	outcomeFailed  = "failed"
	outcomeRefused = "refused"
	outcomeBroken  = "broken"
	outcomeLeft    = "caller-left"
)

// countedEvents are the decisions that are counted. docs/OPERATIONS.md says which
// of them move when a promise is at risk.
var countedEvents = []string{
	"adapter-load-ordered", "adapter-unload-ordered", "base-load-ordered", "load-given-up", "report-failed",
	"call-stopped", "calls-cut", "place-asked", "send-lost", "send-not-made", "send-refused", "stream-broken", "stream-resumed",
	"claim-lost", "claim-uncertain", "engines-claimed", "lease-not-renewed", "lease-taken", "owner-changed",
	"configuration-in-force", "version-named", "operator-row-not-read", "entry-not-read",
	"dependency-lost", "dependency-regained", "history-lost", "source-passed-over",
	"endpoint-arrived", "endpoint-draining", "endpoint-gone", "endpoint-lapsed",
	"host-silent", "evidence-not-told",
}

// counts are the metrics of calls and decisions.
type counts struct {
	calls  *meter.Counters
	events *meter.Counters
	sends  tally.Counter
	first  tally.Histogram
	whole  tally.Histogram
}

// firstBucket and the others bound the latency histograms: 5 ms to 20 s.
const (
	firstBucket  = 5 * time.Millisecond
	bucketFactor = 2
	buckets      = 13
)

func newCounts(scope tally.Scope) *counts {
	bounds := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, buckets)
	return &counts{
		calls:  meter.NewCounters(scope, "calls", "outcome", outcomeServed, outcomeFailed, outcomeRefused, outcomeBroken, outcomeLeft),
		events: meter.NewCounters(scope, "events", "event", countedEvents...),
		sends:  scope.Counter("sends"),
		first:  scope.Histogram("first_byte_seconds", bounds),
		whole:  scope.Histogram("call_seconds", bounds),
	}
}

// ended logs and counts the end of a call.
func (h *Host) ended(o platform.Outcome) {
	took := time.Since(o.ReceivedAt())
	fields := []logger.Field{
		logger.Request(o.ID()), logger.With(logger.KeyStatus, strconv.Itoa(o.Status())),
		logger.With(logger.KeyDuration, took.Milliseconds()), logger.With(logger.KeyAttempt, o.Sends()),
	}
	if o.Endpoint() != "" {
		fields = append(fields, logger.With(logger.KeyEndpoint, o.Endpoint()), logger.With(logger.KeyCount, o.Bytes()),
			logger.With(logger.KeyWait, o.FirstByteAt().Sub(o.ReceivedAt()).Milliseconds()), logger.With(logger.KeyGap, o.LongestGap().Milliseconds()))
		h.counts.first.RecordDuration(o.FirstByteAt().Sub(o.ReceivedAt()))
		h.counts.whole.RecordDuration(took)
		h.counts.sends.Inc(int64(o.Sends()))
	}
	outcome := outcomeServed
	switch {
	case o.Status() == 0:
		outcome = outcomeLeft
	case o.BodyError() != nil:
		outcome = outcomeBroken
		fields = append(fields, logger.Err(o.BodyError()))
	case o.Fault() != nil:
		outcome = outcomeRefused
		fields = append(fields, logger.Err(o.Fault()))
	case o.Status() >= 500:
		outcome = outcomeFailed
	}
	h.counts.calls.Inc(outcome)
	h.log.Info("call-"+outcome, fields...)
}
