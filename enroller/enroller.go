package enroller

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

var processStart = time.Now()

// LocalHost describes the host that this process runs on.
type LocalHost struct {
	name       string
	callers    string
	peers      string
	dataCentre string
	region     string
	link       uint64
}

// NewLocalHost returns the description of a host. Link is the bandwidth of its
// network link in Mbit/s, or 0 if it is not known.
func NewLocalHost(name, callers, peers, dataCentre, region string, link uint64) LocalHost {
	return LocalHost{name: name, callers: callers, peers: peers, dataCentre: dataCentre, region: region, link: link}
}

// Timing holds the intervals and timeouts of the membership protocol.
type Timing struct {
	renew         time.Duration
	lease         time.Duration
	guard         time.Duration
	takeoverDelay time.Duration
	lostAfter     time.Duration
}

// NewTiming returns the timing of the membership protocol: renew is the
// interval between renewals of the host row, lease how long a renewal entitles
// the host to send orders, guard what other hosts add to the lease before they
// take engines over, takeoverDelay how long a new owner waits before its first
// order, and lostAfter how long a host may go without a renewal before callers
// are sent elsewhere.
func NewTiming(renew, lease, guard, takeoverDelay, lostAfter time.Duration) Timing {
	return Timing{renew: renew, lease: lease, guard: guard, takeoverDelay: takeoverDelay, lostAfter: lostAfter}
}

// Option sets an optional property of an Enroller.
type Option func(*Enroller)

// WithClock replaces the clock by which lease times are measured.
func WithClock(now func() time.Duration) Option { return func(e *Enroller) { e.clock = now } }

// WithReportInterval sets the time between two reports of an engine to the store.
func WithReportInterval(d time.Duration) Option {
	return func(e *Enroller) { e.reportInterval = d }
}

// Enroller renews the row of this host and caches the rows of all hosts and
// engines.
type Enroller struct {
	self   LocalHost
	timing Timing
	store  storer.Committer
	log    *logger.Logger
	clock  func() time.Duration

	reportInterval time.Duration // of engines

	leaseEnd atomic.Int64 // on clock; 0 before the first lease
	// leaseVersion is the row version of the first renewal after a period
	// without a lease. Other hosts may have taken engines over before that
	// version.
	leaseVersion  atomic.Uint64
	leaving       atomic.Bool
	sequence      uint64
	renewed       bool // the last renewal succeeded
	pending       atomic.Pointer[renewal]
	storeAnswered chan struct{} // holds a value after the store has answered
	restored      chan struct{} // holds a value after the store has been restored
	process       uint64        // random

	mu             sync.Mutex // serialises writers of view
	view           atomic.Pointer[View]
	earliestOrders atomic.Pointer[map[string]time.Duration] // by engine: when orders may first be sent, on clock
	releases       atomic.Pointer[map[string]release]       // engines of this host that have no entry
	claims         claims                                   // used by Claim only
	startedAt      time.Time
	joinedAt       time.Time // when this process first wrote its row
	// After a restore of the store, another host may act on rows that are lost until
	// settledAt, on clock. Kept holds the engines that this host owned without
	// interruption.
	settledAt time.Duration
	kept      map[string]bool
	copiedAt  map[uint64]time.Time // by era, a time up to which the copy that began it has all writes
}

// New returns an enroller. Run starts the renewals.
func New(self LocalHost, timing Timing, store storer.Committer, log *logger.Logger, opts ...Option) *Enroller {
	e := &Enroller{
		self: self, timing: timing, store: store, log: log.Component("enroller"), clock: bootTime, reportInterval: defaultReportInterval, storeAnswered: make(chan struct{}, 1),
		restored: make(chan struct{}, 1), process: rand.Uint64(), kept: make(map[string]bool),
		copiedAt: make(map[uint64]time.Time), startedAt: time.Now(),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.view.Store(&View{lostAfter: timing.lostAfter})
	e.earliestOrders.Store(&map[string]time.Duration{})
	e.releases.Store(&map[string]release{})
	return e
}

// View returns the current membership.
func (e *Enroller) View() *View { return e.view.Load() }

// Self returns the name of this host.
func (e *Enroller) Self() string { return e.self.name }

// Process returns the id of this process, which differs from that of the one before it.
func (e *Enroller) Process() uint64 { return e.process }

// DataCentre returns the data centre of this host.
func (e *Enroller) DataCentre() string { return e.self.dataCentre }

// Region returns the region of this host.
func (e *Enroller) Region() string { return e.self.region }

// Ownership entitles this host to send orders to an engine for a limited time.
type Ownership struct {
	token     uint64
	remaining time.Duration
}

// Token returns the fencing token that accompanies each order.
func (o Ownership) Token() uint64 { return o.token }

// Remaining returns how long the ownership lasts unless the lease is renewed.
func (o Ownership) Remaining() time.Duration { return o.remaining }

// Owns returns this host's ownership of an engine, and false if the host may
// not send orders to it now.
func (e *Enroller) Owns(engine string) (Ownership, bool) { return e.owns(e.View(), engine) }

func (e *Enroller) owns(view *View, engine string) (Ownership, bool) {
	owner, ok := view.Owner(engine)
	if !ok || owner.host != e.self.name || e.leaving.Load() || uint64(view.version) < e.leaseVersion.Load() {
		return Ownership{}, false
	}
	now := e.clock()
	left := time.Duration(e.leaseEnd.Load()) - now
	if left <= 0 || now < (*e.earliestOrders.Load())[engine] || (*e.releases.Load())[engine].stops() {
		return Ownership{}, false
	}
	return Ownership{token: owner.Token(), remaining: left}, true
}

// Expects reports whether this process started within joinDelay and may soon send orders to an
// engine: the last known owner is this host and its lease is not confirmed yet, or no rows have
// been read.
func (e *Enroller) Expects(engine string) bool {
	if time.Since(e.startedAt) >= joinDelay || e.leaving.Load() {
		return false
	}
	v := e.View()
	owner, ok := v.Owner(engine)
	if !ok {
		return v.lastContact.IsZero()
	}
	if owner.host != e.self.name || e.clock() < (*e.earliestOrders.Load())[engine] {
		return false
	}
	_, owns := e.owns(v, engine)
	return !owns
}

// Leave gives up the engines of this host and writes a row that marks the host
// as leaving.
func (e *Enroller) Leave(ctx context.Context) {
	e.leaving.Store(true) // from here on Owns returns false
	if err := e.renew(ctx); err != nil {
		e.log.Warn("leave-not-written", logger.Err(err))
	}
}

// Leaving reports whether this host has begun to leave. Others may not know yet.
func (e *Enroller) Leaving() bool { return e.leaving.Load() }

// Contact records that the store answered and that all rows up to version have
// been applied. clock is the store's steady clock, or 0 if it is unknown, and age how long
// ago the store confirmed the rows, if they are from the copy of another host. After
// a loss of contact the rows of all hosts count as renewed now, because their
// renewals may have been missed. A renewal that failed, or has been pending
// since the contact was lost, is retried at once.
func (e *Enroller) Contact(version storer.Version, clock, age time.Duration) {
	e.update(func(v *View) {
		now := time.Now()
		if clock > 0 {
			v.storeClockZero = now.Add(-clock)
		}
		if v.lastContact.IsZero() && e.eraUnsettled(v, version.Era()) {
			e.awaitSettled()
			e.delayRestoredOwnerships(v)
		}
		if sinceContact := now.Sub(v.lastContact); sinceContact > contactTimeout {
			for name, h := range v.hosts {
				again := *h
				if !v.lastContact.IsZero() {
					again.storeOutage += min(sinceContact, now.Sub(v.writtenAt(h)))
				}
				again.changedAt = now
				v.hosts[name] = &again
			}
		}
		v.reachEra(version.Era(), now)
		v.lastContact, v.confirmed, v.version = now, now.Add(-age), version
	})
	if r := e.pending.Load(); r != nil && time.Since(r.began) >= hungAfter {
		r.cancel()
	}
	select {
	case e.storeAnswered <- struct{}{}:
	default: // a signal is already pending
	}
}

// Replace applies a snapshot of all rows of the table.
func (e *Enroller) Replace(rows []storer.Change) {
	e.observeCopy(rows)
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key()] = true
	}
	var gone []storer.Change
	v := e.View()
	for name, h := range v.hosts {
		if !listed[HostPrefix+name] {
			gone = append(gone, storer.NewRemoval(HostPrefix+name, h.version))
		}
	}
	for engine, o := range v.owners {
		if !listed[ownerPrefix+engine] {
			gone = append(gone, storer.NewRemoval(ownerPrefix+engine, o.version))
		}
	}
	e.Apply(append(gone, rows...))
}

// Apply applies changes of rows.
func (e *Enroller) Apply(changes []storer.Change) {
	if len(changes) == 0 {
		return
	}
	e.update(func(v *View) {
		for _, c := range changes {
			if name, ok := strings.CutPrefix(c.Key(), HostPrefix); ok {
				e.applyHostRow(v, name, c)
			} else if engine, ok := strings.CutPrefix(c.Key(), ownerPrefix); ok {
				e.applyOwnerRow(v, engine, c)
			}
		}
	})
}

func (e *Enroller) update(change func(v *View)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.view.Load()
	next := &View{hosts: maps.Clone(old.hosts), owners: maps.Clone(old.owners), lastContact: old.lastContact, confirmed: old.confirmed, version: old.version, storeClockZero: old.storeClockZero, lostAfter: old.lostAfter, awaited: old.awaited}
	if next.hosts == nil {
		next.hosts, next.owners = make(map[string]*Host), make(map[string]Owner)
	}
	change(next)
	next.liveCount = next.countLive()
	e.view.Store(next)
}

func (e *Enroller) applyHostRow(v *View, name string, c storer.Change) {
	old := v.hosts[name]
	switch {
	case old != nil && c.Version() < old.version:
		return // a newer version has already been applied
	case c.Removed():
		delete(v.hosts, name)
		return
	case old != nil && c.Version() == old.version:
		return
	}
	doc, err := encoder.Unmarshal[hostDocument](c.Value())
	if err != nil {
		e.log.Warn("row-not-read", logger.With(logger.KeyPeer, name), logger.Err(err))
		return
	}
	now := time.Now()
	h := &Host{name: name, doc: doc, version: c.Version(), changedAt: now, firstSeen: now, processSeen: now}
	if old != nil && c.Version().Era() > old.version.Era() {
		h.takeNewer(old, v)
	}
	if old == nil || old.doc.Leaving != h.doc.Leaving {
		e.log.Info("host-seen", logger.With(logger.KeyPeer, name),
			logger.With(logger.KeyVersion, c.Version().Number()), logger.With(logger.KeyOutcome, hostState(h.doc.Leaving)))
	}
	if old != nil {
		h.firstSeen = old.firstSeen
		if h.doc.Process == old.doc.Process {
			h.processSeen = old.processSeen
		}
	}
	v.hosts[name] = h
}

func hostState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "serving"
}

func (e *Enroller) applyOwnerRow(v *View, engine string, c storer.Change) {
	old, known := v.owners[engine]
	switch {
	case known && c.Version() <= old.version && !c.Removed(), known && c.Version() < old.version:
		return
	case c.Removed():
		delete(v.owners, engine)
		return
	}
	doc, err := encoder.Unmarshal[ownerDocument](c.Value())
	if err != nil {
		e.log.Warn("row-not-read", logger.With(logger.KeyEndpoint, engine), logger.Err(err))
		return
	}
	if _, claimed := (*e.earliestOrders.Load())[engine]; doc.Host == e.self.name && doc.Takeover && !claimed {
		// An earlier process of this host took the engine over and may have stopped
		// before the end of its takeover delay.
		e.setEarliestOrders([]string{engine}, e.clock()+e.timing.takeoverDelay)
	}
	e.applyRestored(engine, doc.Host)
	v.owners[engine] = Owner{host: doc.Host, version: c.Version()}
	if !known || old.host != doc.Host {
		e.log.Info("owner-changed", logger.With(logger.KeyEndpoint, engine), logger.With(logger.KeyPeer, doc.Host),
			logger.With(logger.KeyToken, uint64(c.Version())))
	}
}
