package claimer

import "time"

// settings are the limits and intervals of a Claimer.
type settings struct {
	// hold is how long an attempt may stay in claimed.
	hold time.Duration
	// guard is added to the hold before another attempt takes the row over. It
	// covers clock drift and pauses between reading the clock and the table.
	guard time.Duration
	// window is how long the first write of a group waits for others.
	window time.Duration
	// interval is the mean time between the starts of two commits.
	interval time.Duration
	// burst is how many commits may start back to back after idle time, without
	// waiting for the interval.
	burst int
	// commitTimeout is the timeout of one commit or read.
	commitTimeout time.Duration
	// maxGroup is the maximum number of rows in one commit.
	maxGroup int
	// maxQueue is the maximum number of writes that wait for a commit.
	maxQueue int
	// maxAnswer is the maximum size of a stored answer in bytes.
	maxAnswer int
	// maxSentKeys is the maximum number of sent keys that the node caches.
	maxSentKeys int
	// retention is how long finished claims are kept.
	retention time.Duration
	// sweepInterval is the time between two pages of the sweeper. A negative value
	// disables the sweeper.
	sweepInterval time.Duration
	// sweepPage is the maximum number of rows that one sweep reads and deletes.
	sweepPage int
}

// Defaults.
const (
	defaultHold          = 5 * time.Second
	defaultGuard         = time.Second
	defaultWindow        = 5 * time.Millisecond
	defaultInterval      = 30 * time.Millisecond // 8 nodes stay below 300 commits/s
	defaultBurst         = 6                     // enough for two postings in sequence, 3 commits each
	defaultCommitTimeout = 2 * time.Second
	defaultMaxGroup      = 64
	defaultMaxQueue      = 1024
	defaultMaxAnswer     = 64 << 10
	defaultMaxSentKeys   = 1 << 15 // about 5 MB
	defaultRetention     = 24 * time.Hour
	// 500 rows per 5 s and node keep up with 800 new claims per second on 8 nodes.
	defaultSweepInterval = 5 * time.Second
	defaultSweepPage     = 500
)

// Poll intervals of an attempt that waits for another attempt with its key.
const (
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
)

const (
	retryWithoutTable = time.Second
	retryWhenFull     = time.Second
	finalWriteRetry   = 500 * time.Millisecond
	maxFinalWrites    = 1024
	maxObservations   = 4096
	maxWriteTries     = 3 // tries per step after conflicts or lost answers
)

func defaultSettings() settings {
	return settings{
		hold:          defaultHold,
		guard:         defaultGuard,
		window:        defaultWindow,
		interval:      defaultInterval,
		burst:         defaultBurst,
		commitTimeout: defaultCommitTimeout,
		maxGroup:      defaultMaxGroup,
		maxQueue:      defaultMaxQueue,
		maxAnswer:     defaultMaxAnswer,
		maxSentKeys:   defaultMaxSentKeys,
		retention:     defaultRetention,
		sweepInterval: defaultSweepInterval,
		sweepPage:     defaultSweepPage,
	}
}
