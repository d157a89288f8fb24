package scheduler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Defaults of the optional properties.
const (
	// defaultReportEvery keeps a lost engine visible for less than the few
	// seconds that promise P6 allows.
	defaultReportEvery = 500 * time.Millisecond
	// defaultGuard is the guard time of leases: an order of the previous owner
	// may still be under way for that long.
	defaultGuard = time.Second
	// defaultQueueBatches bounds the queue in multiples of the batch. A request
	// behind eight full batches is better placed elsewhere.
	defaultQueueBatches = 8
	// allowanceShare is the part of a batch that is sent in advance, so that the
	// engine can fill a place without a round trip to its owner.
	allowanceShare = 8
	// publishEvery coalesces changes of counts; changes of residency are
	// published at once.
	publishEvery = 20 * time.Millisecond
	// loadTimeout ends an order that never returns. The weight store slows down
	// in proportion to its load, so that a load may take several seconds.
	loadTimeout = time.Minute
	// staleReports is how many reports may fail before the engine takes no new
	// work.
	staleReports = 4
)

// CrashSink hears of jobs that ran on an engine when it restarted.
type CrashSink interface {
	Crashed(engine string, jobs []connector.Job)
}

// Option sets an optional property of a Scheduler.
type Option func(*Scheduler)

// WithCrashSink reports the jobs of a crashed engine to sink.
func WithCrashSink(sink CrashSink) Option { return func(s *Scheduler) { s.crashes = sink } }

// WithLoadWaits passes the time that each job waited for its adapter to be loaded;
// it is 0 for a job that found the adapter resident.
func WithLoadWaits(record func(adapter string, d time.Duration)) Option {
	return func(s *Scheduler) { s.stalls = record }
}

// WithSeed fixes the jitter of retries.
func WithSeed(seed uint64) Option { return func(s *Scheduler) { s.seed = seed } }

// WithReportInterval sets how often the engine is asked for its report.
func WithReportInterval(d time.Duration) Option { return func(s *Scheduler) { s.reportEvery = d } }

// WithGuard sets how long after it was first seen an unknown resident adapter
// may still serve a job of a previous owner.
func WithGuard(d time.Duration) Option { return func(s *Scheduler) { s.guard = d } }

// WithQueueLimit bounds the number of requests that wait for the engine.
func WithQueueLimit(n int) Option { return func(s *Scheduler) { s.queueLimit = n } }

// WithOvercommit sets how many jobs beyond the batch are sent to the engine.
func WithOvercommit(n int) Option { return func(s *Scheduler) { s.allowance = n } }
