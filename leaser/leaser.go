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
	// ErrNameInUse reports that another process holds the lease of the name.
	ErrNameInUse = eris.New("another process holds the lease of this name")
	// ErrNoSuccessor reports that no other member can take the engines.
	ErrNoSuccessor = eris.New("no other member can take the engines over")
)

// Leaser keeps one node's lease and its share of the engines.
type Leaser struct {
	self     Identity
	instance string
	table    storer.Table
	hosts    storer.Hosts
	peers    Peers
	settings Settings
	engines  func() Engines
	failed   func(error)

	right   atomic.Pointer[right]
	view    atomic.Pointer[Membership]
	changed chan struct{}
	wake    chan struct{}
	cancel  context.CancelFunc
	work    sync.WaitGroup

	keeper keeper

	// mu is never held during a wait.
	mu         sync.Mutex
	stopped    bool
	leaving    bool
	inForce    uint64
	prepared   uint64
	holder     Holder // zero before the first lease
	leaseEnd   time.Time
	extension  extension
	observer   *observer
	known      map[string]version   // assignments, by data centre
	taking     bool                 // a write that takes engines over may still be applied
	dropped    map[string]bool      // engines given up by a write that may still be applied
	memberFrom time.Time            // when the node first saw itself as a member
	promises   map[string]time.Time // until when the node takes nothing over from another, by name
	heard      map[string]time.Time // when an expired node first answered this newcomer, by name
	owners     map[string]Entry     // of all known assignments; nil when it must be rebuilt
	contact    contact
	polls      int
	missing    map[string]time.Time // ids without a row that Gone was asked for
}

// version is an assignment and the version of its row.
type version struct {
	assignment *Assignment
	row        storer.Version
}

// contact tells whether the table answers.
type contact struct {
	last   time.Time // end of the last exchange that succeeded
	failed bool      // the most recent exchange failed
}

// New returns a leaser and starts it. Close or Abandon ends it.
func New(self Identity, table storer.Table, hosts storer.Hosts, opts ...Option) *Leaser {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leaser{
		self:     self,
		instance: rand.Text(),
		table:    table,
		hosts:    hosts,
		peers:    noPeers{},
		settings: Settings{}.withDefaults(),
		engines:  func() Engines { return Engines{} },
		failed:   func(error) {},
		changed:  make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		cancel:   cancel,
		keeper:   keeper{turn: make(chan struct{}, 1)},
		known:    make(map[string]version),
		dropped:  make(map[string]bool),
		missing:  make(map[string]time.Time),
		promises: make(map[string]time.Time),
		heard:    make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.observer = newObserver(l.settings.lease, l.settings.guard)
	l.right.Store(&right{})
	l.view.Store(&Membership{})
	l.work.Go(func() { l.keep(ctx) })
	l.work.Go(func() { l.watch(ctx) })
	l.work.Go(func() { l.extend(ctx) })
	return l
}

// Membership returns the nodes of the last scan.
func (l *Leaser) Membership() *Membership { return l.view.Load() }

// Self returns the node's identity.
func (l *Leaser) Self() Identity { return l.self }

// ID returns the identity of the node's process in the form that Gone takes.
func (l *Leaser) ID() string { return l.self.name + idSeparator + l.instance }

// SetEpochs states the epoch in force at the node and the highest one that it has
// verified. The row is written at once if one of them changed.
func (l *Leaser) SetEpochs(inForce, prepared uint64) {
	l.mu.Lock()
	same := l.inForce == inForce && l.prepared == prepared
	l.inForce, l.prepared = inForce, prepared
	l.mu.Unlock()
	if !same {
		notify(l.wake)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Drain marks the node as leaving and gives its engines to other members. It
// returns when it owns none. The lease is renewed until Close.
func (l *Leaser) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	for {
		l.manage(ctx)
		if len(l.Owned()) == 0 {
			notify(l.wake) // the row must say that the node leaves, also if it owned nothing
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
	return slices.ContainsFunc(l.candidates(), func(c Candidate) bool { return !c.leaving })
}

// Close stops the node and ends its lease in the table, so that the other members
// take its engines at once.
func (l *Leaser) Close(ctx context.Context) error {
	l.Abandon()
	return l.release(ctx)
}

// Abandon stops without any write, as a kill does.
func (l *Leaser) Abandon() {
	l.mu.Lock()
	l.stopped = true
	l.publishRight()
	l.mu.Unlock()
	l.cancel()
	l.work.Wait()
}

// publishRight recomputes what the node may do. The caller holds mu.
func (l *Leaser) publishRight() {
	old := l.right.Load()
	next := &right{owned: make(map[string]Entry), lease: l.leaseEnd, until: l.leaseEnd}
	if until := l.extension.until; until.After(next.until) {
		next.until = until
	}
	if l.stopped {
		next.lease, next.until = time.Time{}, time.Time{}
	}
	if a := l.known[l.self.dataCentre].assignment; a != nil && !l.stopped && !l.holder.IsZero() {
		for _, e := range a.entries {
			if e.owner == l.holder && !l.dropped[e.engine] {
				next.owned[e.engine] = e
				next.list = append(next.list, e)
			}
		}
	}
	if a := l.known[l.self.dataCentre].assignment; a != nil && l.memberFrom.IsZero() && slices.Contains(a.members, l.holder) {
		l.memberFrom = time.Now()
	}
	l.right.Store(next)
	if !slices.Equal(old.list, next.list) {
		notify(l.changed)
	}
}

// noteContact records whether an exchange with the table succeeded.
func (l *Leaser) noteContact(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.failed = !ok
	if ok {
		l.contact.last = time.Now()
	}
}
