package claimer

import "time"

// settings bounds what a claimer does.
type settings struct {
	// hold is how long an attempt may stay in claimed.
	hold time.Duration
	// guard is added to the hold before another attempt takes the row over. It
	// covers clocks of different speed and pauses between clock and table.
	guard time.Duration
	// window is how long the first write of a group waits for others.
	window time.Duration
	// interval is the mean time between the starts of two commits.
	interval time.Duration
	// burst is how many commits may follow each other without the interval after
	// idle time.
	burst int
	// commitTimeout bounds one commit or read.
	commitTimeout time.Duration
	// maxGroup bounds the rows of one commit.
	maxGroup int
	// maxQueue bounds the writes that wait for a commit.
	maxQueue int
	// maxAnswer bounds a stored answer in bytes.
	maxAnswer int
	// maxMemory bounds the keys that the node remembers as sent.
	maxMemory int
	// retention is how long finished claims are kept.
	retention time.Duration
	// sweepInterval is the time between two pages of the sweeper. A negative value
	// turns the sweeper off.
	sweepInterval time.Duration
	// sweepPage bounds the rows that one sweep reads and deletes.
	sweepPage int
}

// Defaults.
const (
	defaultHold          = 5 * time.Second
	defaultGuard         = time.Second
	defaultWindow        = 5 * time.Millisecond
	defaultInterval      = 30 * time.Millisecond // 8 nodes stay below 300 commits/s
	defaultBurst         = 6                     // two postings in sequence
	defaultCommitTimeout = 2 * time.Second
	defaultMaxGroup      = 64
	defaultMaxQueue      = 1024
	defaultMaxAnswer     = 64 << 10
	defaultMaxMemory     = 1 << 15 // about 5 MB
	defaultRetention     = 24 * time.Hour
	// 500 rows per 5 s and node keep up with 800 new claims per second on 8 nodes.
	defaultSweepInterval = 5 * time.Second
	defaultSweepPage     = 500
)

// Waits of an attempt that finds its key taken.
const (
	firstPoll = 50 * time.Millisecond
	maxPoll   = time.Second
)

const (
	retryWithoutTable = time.Second
	retryWhenFull     = time.Second
	settleInterval    = 500 * time.Millisecond
	maxSettlements    = 1024
	maxSightings      = 4096
	maxWriteTries     = 3 // lost answers that one step resolves before it gives up
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
		maxMemory:     defaultMaxMemory,
		retention:     defaultRetention,
		sweepInterval: defaultSweepInterval,
		sweepPage:     defaultSweepPage,
	}
}
