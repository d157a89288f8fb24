package leaser

import "time"

// Defaults of the settings.
const (
	// DefaultLease is how long a lease holds after the start of its renewal.
	DefaultLease = 6 * time.Second
	// DefaultGuard covers a write of the old owner that is already in a socket
	// buffer when its lease ends.
	DefaultGuard = time.Second
	// DefaultScan is the time between scans of the lease rows.
	DefaultScan = time.Second
	// DefaultHostLag is how far the host list is behind. An extension needs twice
	// this time to notice that a dead member is gone, which has to fit into a
	// lease.
	DefaultHostLag = 2 * time.Second
	// DefaultRetention is how long the row of an ended lease stays. It must exceed
	// every pause that a process survives: a row that was deleted and written anew
	// starts with low versions again.
	DefaultRetention = 10 * time.Minute
)

const (
	renewalsPerLease = 3
	// retryDelay is the pause after a write that failed.
	retryDelay = 500 * time.Millisecond
	// writeGap bounds the rate of writes that changed epochs cause.
	writeGap = 250 * time.Millisecond
	// newcomerLeases is how many lease times a new member waits before it takes an
	// engine over from an expired owner.
	newcomerLeases = 2
	// refreshPolls is how many scans go by between reads of the own assignment row
	// that no other row asked for.
	refreshPolls = 15
)

// Settings are the times of a leaser. Zero values stand for the defaults.
type Settings struct {
	lease     time.Duration
	guard     time.Duration
	renew     time.Duration // default: a third of the lease
	scan      time.Duration
	hostLag   time.Duration
	retention time.Duration
}

// NewSettings returns the times of a lease, of its guard and of its renewals.
func NewSettings(lease, guard, renew time.Duration) Settings {
	return Settings{lease: lease, guard: guard, renew: renew}
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.lease, DefaultLease)
	setDefault(&s.guard, DefaultGuard)
	setDefault(&s.renew, s.lease/renewalsPerLease)
	setDefault(&s.scan, DefaultScan)
	setDefault(&s.hostLag, DefaultHostLag)
	setDefault(&s.retention, DefaultRetention)
	return s
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Option sets an optional property of a Leaser.
type Option func(*Leaser)

// WithSettings replaces the default times. All nodes of a deployment must use the
// same lease and guard.
func WithSettings(s Settings) Option { return func(l *Leaser) { l.settings = s.withDefaults() } }

// WithInstance sets the id of the process; the default is random.
func WithInstance(id string) Option { return func(l *Leaser) { l.instance = id } }

// WithPeers lets the node extend its lease through peers while the table is down.
func WithPeers(p Peers) Option { return func(l *Leaser) { l.peers = p } }

// WithEngines sets where the engines of the data centre come from. Without it the
// node assigns none.
func WithEngines(source func() Engines) Option { return func(l *Leaser) { l.engines = source } }

// WithErrorHandler sets the function that receives the error of each failed table
// operation. It must not block.
func WithErrorHandler(report func(error)) Option { return func(l *Leaser) { l.failed = report } }
