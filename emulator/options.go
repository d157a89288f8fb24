package emulator

import "time"

// Defaults of the fakes.
const (
	defaultSlots          = 4
	defaultBatch          = 8
	defaultStepTime       = 25 * time.Millisecond
	defaultPrefill        = 40 * time.Millisecond
	defaultPrefillBlock   = 5 * time.Millisecond
	defaultCacheBlocks    = 1024
	defaultModelLoadTime  = 5 * time.Second
	defaultLoadTime       = 250 * time.Millisecond
	defaultLoadsFullSpeed = 8
)

type settings struct {
	name          string
	seed          uint64
	latency       time.Duration
	base          string
	slots         int
	batch         int
	stepTime      time.Duration
	prefill       time.Duration
	prefillBlock  time.Duration
	cacheBlocks   int
	modelLoadTime time.Duration
	lag           time.Duration
	eventDelay    time.Duration
	eventGaps     float64
	fencing       bool
	duration      time.Duration
	readRate      float64
	writeRate     float64
	loadRate      float64
	loadTime      time.Duration
	fullSpeed     int
}

func newSettings(opts []Option) *settings {
	s := &settings{
		name:          "engine",
		slots:         defaultSlots,
		batch:         defaultBatch,
		stepTime:      defaultStepTime,
		prefill:       defaultPrefill,
		prefillBlock:  defaultPrefillBlock,
		cacheBlocks:   defaultCacheBlocks,
		modelLoadTime: defaultModelLoadTime,
		loadTime:      defaultLoadTime,
		fullSpeed:     defaultLoadsFullSpeed,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Option sets a property of a fake. A fake ignores options that do not apply to
// it.
type Option func(*settings)

// WithName sets the prefix of an engine's instance ids.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithSeed fixes the random choices of any fake.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithLatency sets the one-way latency of the requests to any fake and of their
// responses.
func WithLatency(d time.Duration) Option { return func(s *settings) { s.latency = d } }

// WithBase sets the initial base model of an engine. An engine without a base
// model accepts adapters of any base.
func WithBase(base string) Option { return func(s *settings) { s.base = base } }

// WithSlots sets how many adapters an engine holds.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithBatch sets how many jobs of an engine run together.
func WithBatch(n int) Option { return func(s *settings) { s.batch = n } }

// WithStepTime sets how long an engine takes for one token of each running job.
func WithStepTime(d time.Duration) Option { return func(s *settings) { s.stepTime = d } }

// WithPrefill sets the time before an engine's first step for a job: base, and
// perBlock for each block of the prompt that is not in the prefix cache.
func WithPrefill(base, perBlock time.Duration) Option {
	return func(s *settings) {
		s.prefill = base
		s.prefillBlock = perBlock
	}
}

// WithCacheBlocks bounds the prefix cache of an engine.
func WithCacheBlocks(n int) Option { return func(s *settings) { s.cacheBlocks = n } }

// WithCacheEvents sets the delay after which an engine publishes changes of its
// prefix cache, and the share of them, from 0 to 1, that it never publishes.
func WithCacheEvents(delay time.Duration, gaps float64) Option {
	return func(s *settings) {
		s.eventDelay = delay
		s.eventGaps = gaps
	}
}

// WithModelLoadTime sets how long an engine takes to load a base model.
func WithModelLoadTime(d time.Duration) Option { return func(s *settings) { s.modelLoadTime = d } }

// WithLag sets the age of an engine's reports or of the host list.
func WithLag(d time.Duration) Option { return func(s *settings) { s.lag = d } }

// WithFencing makes an engine reject stale fencing tokens, and a service accept
// revocations.
func WithFencing() Option { return func(s *settings) { s.fencing = true } }

// WithDuration sets how long a service works on one operation.
func WithDuration(d time.Duration) Option { return func(s *settings) { s.duration = d } }

// WithRates sets how many reads and commits a table serves per second. Requests
// above the rate wait. Zero means no limit. A commit counts once, however many
// rows it writes.
func WithRates(reads, writes float64) Option {
	return func(s *settings) {
		s.readRate = reads
		s.writeRate = writes
	}
}

// WithLoadRate sets how many loads per second a weight store starts. Loads
// above the rate wait. Zero means no limit.
func WithLoadRate(perSecond float64) Option { return func(s *settings) { s.loadRate = perSecond } }

// WithLoadTime sets how long one load takes while at most fullSpeed loads are in
// flight. Beyond that, all loads in flight slow down in proportion.
func WithLoadTime(d time.Duration, fullSpeed int) Option {
	return func(s *settings) {
		s.loadTime = d
		s.fullSpeed = fullSpeed
	}
}
