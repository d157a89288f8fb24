package leaser

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Errors of leases.
var (
	// ErrNameInUse is returned when another process holds the lease of the
	// name.
	ErrNameInUse = eris.New("another process holds the lease of this name")
	// ErrNoSuccessor is returned when no other member can take the engines
	// over.
	ErrNoSuccessor = eris.New("no other member can take the engines over")
)

// Leaser maintains a node's lease and the engines assigned to it.
type Leaser struct {
	self     Identity
	instance string
	table    storer.Table
	hosts    storer.Hosts
	peers    Peers
	settings Settings
	engines  func() Engines
	onError  func(error)

	ownership  atomic.Pointer[ownership]
	view       atomic.Pointer[Membership]
	changed    chan struct{}
	renewNow   chan struct{}
	cancel     context.CancelFunc
	background sync.WaitGroup

	ownRow ownRow

	// mu is never held during a wait.
	mu              sync.Mutex
	stopped         bool
	draining        bool
	inForce         uint64
	prepared        uint64
	holder          Holder // zero before the first lease
	leaseEnd        time.Time
	extension       extension
	observer        *observer
	assignments     map[string]storedAssignment // by data centre
	takeoverPending bool                        // a write that takes engines over may still be applied
	handoverPending map[string]bool             // engines handed over by a write that may still be applied
	memberSince     time.Time                   // when the node first found itself among the members
	grantedUntil    map[string]time.Time        // end of the grant given to each node, by name
	announcedAt     map[string]time.Time        // when each expired owner first answered the announcement of this node, by name
	engineOwners    map[string]Entry            // of all cached assignments, by engine name; nil when it must be rebuilt
	contact         tableContact
	scans           int
	missingSince    map[string]time.Time // when Expired was first called for an ID without a row, by ID
}

// storedAssignment is an assignment and the version of its row.
type storedAssignment struct {
	assignment *Assignment
	version    storer.Version
}

// tableContact records whether the table answers.
type tableContact struct {
	lastSuccess time.Time // end of the last successful request
	lastFailed  bool      // the most recent request failed
}

// New starts a leaser, which runs until Close or Abandon.
func New(self Identity, table storer.Table, hosts storer.Hosts, opts ...Option) *Leaser {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leaser{
		self:            self,
		instance:        rand.Text(),
		table:           table,
		hosts:           hosts,
		peers:           noPeers{},
		settings:        Settings{}.withDefaults(),
		engines:         func() Engines { return Engines{} },
		onError:         func(error) {},
		changed:         make(chan struct{}, 1),
		renewNow:        make(chan struct{}, 1),
		cancel:          cancel,
		ownRow:          ownRow{sem: make(chan struct{}, 1)},
		assignments:     make(map[string]storedAssignment),
		handoverPending: make(map[string]bool),
		missingSince:    make(map[string]time.Time),
		grantedUntil:    make(map[string]time.Time),
		announcedAt:     make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.observer = newObserver(l.settings.lease, l.settings.guard)
	l.ownership.Store(&ownership{})
	l.view.Store(&Membership{})
	l.background.Go(func() { l.runRenewals(ctx) })
	l.background.Go(func() { l.runScans(ctx) })
	l.background.Go(func() { l.runExtensions(ctx) })
	return l
}

// Membership returns the nodes found by the last scan.
func (l *Leaser) Membership() *Membership { return l.view.Load() }

// Self returns the node's identity.
func (l *Leaser) Self() Identity { return l.self }

// ID returns the identity of the node's process in the form that Expired accepts.
func (l *Leaser) ID() string { return l.self.name + idSeparator + l.instance }

// SetEpochs sets the bundle epoch in force at the node and the highest epoch
// that it has verified. If one of them changed, the lease row is written
// without waiting for the next renewal.
func (l *Leaser) SetEpochs(inForce, prepared uint64) {
	l.mu.Lock()
	same := l.inForce == inForce && l.prepared == prepared
	l.inForce, l.prepared = inForce, prepared
	l.mu.Unlock()
	if !same {
		notify(l.renewNow)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Drain marks the node as draining and hands its engines over to other members.
// It returns once the node owns none. The lease is renewed until Close.
func (l *Leaser) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for {
		l.rebalance(ctx)
		if len(l.Owned()) == 0 {
			notify(l.renewNow) // the row must show the node as draining even if it owned nothing
			return nil
		}
		if !l.hasSuccessor() {
			return ErrNoSuccessor
		}
		select {
		case <-time.After(l.settings.scan / 4):
		case <-ctx.Done():
			return fmt.Errorf("hand engines over: %w", context.Cause(ctx))
		}
	}
}

func (l *Leaser) hasSuccessor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.candidates(), func(c Candidate) bool { return !c.draining })
}

// Close stops the node and ends its lease in the table, so that the other
// members can take its engines over at once.
func (l *Leaser) Close(ctx context.Context) error {
	l.Abandon()
	return l.releaseLease(ctx)
}

// Abandon stops the node without writing to the table, as a kill of the process
// would. The lease then expires.
func (l *Leaser) Abandon() {
	l.mu.Lock()
	l.stopped = true
	l.publishOwnership()
	l.mu.Unlock()
	l.cancel()
	l.background.Wait()
}

// publishOwnership recomputes and publishes the ownership snapshot. The caller
// must hold mu.
func (l *Leaser) publishOwnership() {
	old := l.ownership.Load()
	next := &ownership{owned: make(map[string]Entry), leaseEnd: l.leaseEnd, validUntil: l.leaseEnd}
	if until := l.extension.until; until.After(next.validUntil) {
		next.validUntil = until
	}
	if l.stopped {
		next.leaseEnd, next.validUntil = time.Time{}, time.Time{}
	}
	if a := l.assignments[l.self.dataCentre].assignment; a != nil && !l.stopped && !l.holder.IsZero() {
		for _, e := range a.entries {
			if e.owner == l.holder && !l.handoverPending[e.engine] {
				next.owned[e.engine] = e
				next.entries = append(next.entries, e)
			}
		}
	}
	if a := l.assignments[l.self.dataCentre].assignment; a != nil && l.memberSince.IsZero() && slices.Contains(a.members, l.holder) {
		l.memberSince = time.Now()
	}
	l.ownership.Store(next)
	if !slices.Equal(old.entries, next.entries) {
		notify(l.changed)
	}
}

// recordContact records whether a request to the table succeeded.
func (l *Leaser) recordContact(succeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.lastFailed = !succeeded
	if succeeded {
		l.contact.lastSuccess = time.Now()
	}
}
