package claimer

import "time"

// Settings bounds what a claimer does. The zero value of a field means its
// default.
type Settings struct {
	// Hold is how long an attempt may stay in claimed.
	Hold time.Duration
	// Guard is added to the hold before another attempt takes the row over. It
	// covers clocks of different speed and pauses between clock and table.
	Guard time.Duration
	// Window is how long the first write of a group waits for others.
	Window time.Duration
	// Interval is the mean time between the starts of two commits.
	Interval time.Duration
	// Burst is how many commits may follow each other without the interval after
	// idle time.
	Burst int
	// CommitTimeout bounds one commit or read.
	CommitTimeout time.Duration
	// MaxGroup bounds the rows of one commit.
	MaxGroup int
	// MaxQueue bounds the writes that wait for a commit.
	MaxQueue int
	// MaxAnswer bounds a stored answer in bytes.
	MaxAnswer int
	// MaxMemory bounds the keys that the node remembers as sent.
	MaxMemory int
	// Retention is how long finished claims are kept.
	Retention time.Duration
	// SweepInterval is the time between two pages of the sweeper. Zero means the
	// default, a negative value turns the sweeper off.
	SweepInterval time.Duration
	// SweepPage bounds the rows that one sweep reads and deletes.
	SweepPage int
}

// Defaults of Settings.
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

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	return Settings{
		Hold:          orDefault(s.Hold, defaultHold),
		Guard:         orDefault(s.Guard, defaultGuard),
		Window:        orDefault(s.Window, defaultWindow),
		Interval:      orDefault(s.Interval, defaultInterval),
		Burst:         orDefault(s.Burst, defaultBurst),
		CommitTimeout: orDefault(s.CommitTimeout, defaultCommitTimeout),
		MaxGroup:      orDefault(s.MaxGroup, defaultMaxGroup),
		MaxQueue:      orDefault(s.MaxQueue, defaultMaxQueue),
		MaxAnswer:     orDefault(s.MaxAnswer, defaultMaxAnswer),
		MaxMemory:     orDefault(s.MaxMemory, defaultMaxMemory),
		Retention:     orDefault(s.Retention, defaultRetention),
		SweepInterval: orDefault(s.SweepInterval, defaultSweepInterval),
		SweepPage:     orDefault(s.SweepPage, defaultSweepPage),
	}
}
