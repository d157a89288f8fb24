package leaser

import "time"

// Default settings.
const (
	// DefaultLease is how long a lease is valid, counted from the start of its
	// renewal.
	DefaultLease = 6 * time.Second
	// DefaultGuard is how long other nodes wait after the end of a lease. It
	// covers a write of the old owner that is still in a socket buffer when the
	// lease ends.
	DefaultGuard = time.Second
	// DefaultScan is the interval between scans of the lease rows.
	DefaultScan = time.Second
	// DefaultHostLag is how far the host list may lag behind. An extension
	// needs twice this time to detect that a dead member is missing from the
	// host list, which has to fit into a lease.
	DefaultHostLag = 2 * time.Second
	// DefaultRetention is how long the row of an ended lease is kept. It must
	// exceed every pause that a process can survive, because the versions of a
	// row that was deleted and written anew start low again.
	DefaultRetention = 10 * time.Minute
)

const (
	renewalsPerLease = 3
	// retryDelay is the delay before a failed write is retried.
	retryDelay = 500 * time.Millisecond
	// writeGap is the minimum time between writes, which limits the rate of
	// writes caused by epoch changes.
	writeGap = 250 * time.Millisecond
	// newMemberLeases is how many lease times a new member waits before it
	// takes engines over from an expired owner.
	newMemberLeases = 2
	// refreshScans is the number of scans after which the assignment of the
	// node's data centre is read even if no lease row names a newer version.
	refreshScans = 15
)

// Settings holds the timing of a leaser. Zero values select the defaults.
type Settings struct {
	lease     time.Duration
	guard     time.Duration
	renew     time.Duration // renewal interval and request timeout; default: a third of the lease
	scan      time.Duration
	hostLag   time.Duration
	retention time.Duration
}

// NewSettings returns settings with the lease time, the guard time and the
// renewal interval.
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

// WithSettings replaces the default settings. All nodes of a deployment must
// use the same lease and guard times.
func WithSettings(s Settings) Option { return func(l *Leaser) { l.settings = s.withDefaults() } }

// WithInstance sets the ID of the process, which is random by default.
func WithInstance(id string) Option { return func(l *Leaser) { l.instance = id } }

// WithPeers enables the node to extend its lease through peers while the table
// is unavailable.
func WithPeers(p Peers) Option { return func(l *Leaser) { l.peers = p } }

// WithEngines sets the source of the list of engines of the data centre.
// Without it the node assigns no engines.
func WithEngines(source func() Engines) Option { return func(l *Leaser) { l.engines = source } }

// WithErrorHandler sets the function that receives the error of each failed table
// operation. It must not block.
func WithErrorHandler(report func(error)) Option { return func(l *Leaser) { l.onError = report } }
