package scheduler

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Defaults of the optional properties.
const (
	// defaultReportInterval is short enough that a lost engine is detected within the
	// few seconds that promise P6 allows.
	defaultReportInterval = 500 * time.Millisecond
	// defaultGuard is the guard time of leases: an order of the previous owner may
	// still arrive within it.
	defaultGuard = time.Second
	// defaultQueueBatches bounds the queue in multiples of the batch. A request that
	// would queue behind eight full batches should go to another engine.
	defaultQueueBatches = 8
	// overcommitShare is the divisor of the batch that yields the default number of
	// jobs sent beyond it, so that the engine can fill a free place in its batch
	// without a round trip to its owner.
	overcommitShare = 8
	// publishInterval is the time within which changes are coalesced into one view;
	// a change after a quiet interval is published at once.
	publishInterval = 20 * time.Millisecond
	// loadTimeout ends an order without an answer. The weight store slows down
	// in proportion to its load, so that a load may take several seconds.
	loadTimeout = time.Minute
	// maxFailedReports is how many consecutive reports may fail before the engine
	// accepts no new work.
	maxFailedReports = 4
)

// CrashSink receives the jobs that ran on an engine when it restarted.
type CrashSink interface {
	Crashed(engine string, jobs []connector.Job)
}

// Option sets an optional property of a Scheduler.
type Option func(*Scheduler)

// WithCrashSink sets the sink for the jobs of a crashed engine.
func WithCrashSink(sink CrashSink) Option { return func(s *Scheduler) { s.crashes = sink } }

// WithLoadWaits sets a function that records how long each job waited for its
// adapter to be loaded; it is 0 if the adapter was resident.
func WithLoadWaits(record func(adapter string, d time.Duration)) Option {
	return func(s *Scheduler) { s.loadWaits = record }
}

// WithSeed sets the seed of the retry jitter.
func WithSeed(seed uint64) Option { return func(s *Scheduler) { s.seed = seed } }

// WithReportInterval sets the time between two requests for the engine's report.
func WithReportInterval(d time.Duration) Option { return func(s *Scheduler) { s.reportInterval = d } }

// WithGuard sets how long a resident adapter that this owner did not load counts as
// in use by a job of a previous owner after it was first reported.
func WithGuard(d time.Duration) Option { return func(s *Scheduler) { s.guard = d } }

// WithQueueLimit sets the maximum number of requests that wait for the engine.
func WithQueueLimit(n int) Option { return func(s *Scheduler) { s.queueLimit = n } }

// WithOvercommit sets how many jobs beyond the batch are sent to the engine.
func WithOvercommit(n int) Option { return func(s *Scheduler) { s.overcommit = n } }
