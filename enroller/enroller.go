package enroller

import (
	"context"
	"maps"
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
	name    string
	callers string
	peers   string
	zone    string
	region  string
	link    uint64
}

// NewLocalHost returns the description of a host. Link is the bandwidth of its
// network link in Mbit/s, or 0 if it is not known.
func NewLocalHost(name, callers, peers, zone, region string, link uint64) LocalHost {
	return LocalHost{name: name, callers: callers, peers: peers, zone: zone, region: region, link: link}
}

// Timing holds the intervals and timeouts of the membership protocol.
type Timing struct {
	renew time.Duration
	lease time.Duration
	guard time.Duration
	rest  time.Duration
	lost  time.Duration
}

// NewTiming returns the timing of the membership protocol: renew is the interval
// between renewals of the host row, lease how long a renewal entitles the host to
// send orders, guard what other hosts add to the lease before they take engines
// over, rest how long a new owner waits before its first order, and lost how long
// a host may go without a renewal before callers are sent elsewhere.
func NewTiming(renew, lease, guard, rest, lost time.Duration) Timing {
	return Timing{renew: renew, lease: lease, guard: guard, rest: rest, lost: lost}
}

// Option sets an optional property of an Enroller.
type Option func(*Enroller)

// WithClock replaces the clock that leases are counted on.
func WithClock(now func() time.Duration) Option { return func(e *Enroller) { e.clock = now } }

// Enroller keeps the row of this host and knows those of the others.
type Enroller struct {
	self  LocalHost
	times Timing
	store storer.Committer
	log   *logger.Logger
	clock func() time.Duration

	leaseEnd atomic.Int64 // on clock; 0 while there is no lease
	// leaseVersion is that of the first renewal after a time without a lease. Other
	// hosts may have taken engines over before it.
	leaseVersion atomic.Uint64
	leaving      atomic.Bool
	beat         uint64
	renewed      bool // whether the last renewal succeeded
	pending      atomic.Pointer[renewal]
	heard        chan struct{} // holds a value after the store was heard of

	mu     sync.Mutex // serialises writers of view
	view   atomic.Pointer[View]
	rests  atomic.Pointer[map[string]time.Duration] // engine → earliest order, on clock
	joined time.Time                                // when the first row of this process was written
}

// New returns an enroller that is not running.
func New(self LocalHost, times Timing, store storer.Committer, log *logger.Logger, opts ...Option) *Enroller {
	e := &Enroller{self: self, times: times, store: store, log: log.Component("enroller"), clock: bootTime, heard: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(e)
	}
	e.view.Store(&View{wait: times.lost})
	e.rests.Store(&map[string]time.Duration{})
	return e
}

// View returns the membership.
func (e *Enroller) View() *View { return e.view.Load() }

// Self returns the name of this host.
func (e *Enroller) Self() string { return e.self.name }

// Zone returns the data centre of this host.
func (e *Enroller) Zone() string { return e.self.zone }

// Region returns the region of this host.
func (e *Enroller) Region() string { return e.self.region }

// Ownership is the right to send orders to an engine.
type Ownership struct {
	token uint64
	left  time.Duration
}

// Token returns the fencing token.
func (o Ownership) Token() uint64 { return o.token }

// Remaining returns how long this host may still send orders.
func (o Ownership) Remaining() time.Duration { return o.left }

// Owns returns the right to send orders to an engine now, if this host has it.
func (e *Enroller) Owns(engine string) (Ownership, bool) {
	view := e.View()
	owner, ok := view.Owner(engine)
	if !ok || owner.host != e.self.name || e.leaving.Load() || uint64(view.version) < e.leaseVersion.Load() {
		return Ownership{}, false
	}
	now := e.clock()
	left := time.Duration(e.leaseEnd.Load()) - now
	if left <= 0 || now < (*e.rests.Load())[engine] {
		return Ownership{}, false
	}
	return Ownership{token: owner.Token(), left: left}, true
}

// Leave makes this host give up its engines and tells callers and hosts that it
// stops.
func (e *Enroller) Leave(ctx context.Context) {
	e.leaving.Store(true) // no order follows
	if err := e.renew(ctx); err != nil {
		e.log.Warn("leave-not-written", logger.Err(err))
	}
}

// Contact records that the store answered up to now. After a silence the rows of
// all hosts count as seen now, because their renewals may have been missed. A
// renewal that failed, or hangs since the silence, is made again at once.
func (e *Enroller) Contact(version storer.Version, clock time.Duration) {
	e.update(func(v *View) {
		now := time.Now()
		if clock > 0 {
			v.epoch = now.Add(-clock)
		}
		if silent := now.Sub(v.contact); silent > presumed {
			for name, h := range v.hosts {
				again := *h
				if !v.contact.IsZero() {
					again.excused += min(silent, now.Sub(v.stamped(h)))
				}
				again.changed = now
				v.hosts[name] = &again
			}
		}
		v.contact, v.version = now, version
	})
	if r := e.pending.Load(); r != nil && time.Since(r.began) >= youngRenewal {
		r.cancel()
	}
	select {
	case e.heard <- struct{}{}:
	default: // one is enough
	}
}

// Replace takes over all rows of the table.
func (e *Enroller) Replace(rows []storer.Change) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key()] = true
	}
	var gone []storer.Change
	v := e.View()
	for name, h := range v.hosts {
		if !listed[hostPrefix+name] {
			gone = append(gone, storer.NewRemoval(hostPrefix+name, h.version))
		}
	}
	for engine, o := range v.owners {
		if !listed[ownerPrefix+engine] {
			gone = append(gone, storer.NewRemoval(ownerPrefix+engine, o.version))
		}
	}
	e.Apply(append(gone, rows...))
}

// Apply takes over rows that changed.
func (e *Enroller) Apply(changes []storer.Change) {
	if len(changes) == 0 {
		return
	}
	e.update(func(v *View) {
		for _, c := range changes {
			if name, ok := strings.CutPrefix(c.Key(), hostPrefix); ok {
				e.learnHost(v, name, c)
			} else if engine, ok := strings.CutPrefix(c.Key(), ownerPrefix); ok {
				e.learnOwner(v, engine, c)
			}
		}
	})
}

func (e *Enroller) update(change func(v *View)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.view.Load()
	next := &View{hosts: maps.Clone(old.hosts), owners: maps.Clone(old.owners), contact: old.contact, version: old.version, epoch: old.epoch, wait: old.wait}
	if next.hosts == nil {
		next.hosts, next.owners = make(map[string]*Host), make(map[string]Owner)
	}
	change(next)
	next.live = next.countLive()
	e.view.Store(next)
}

func (e *Enroller) learnHost(v *View, name string, c storer.Change) {
	old := v.hosts[name]
	switch {
	case old != nil && c.Version() < old.version:
		return // an answer that was overtaken
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
	h := &Host{name: name, doc: doc, version: c.Version(), changed: now, first: now, started: now}
	if old == nil || old.doc.Leaving != doc.Leaving {
		e.log.Info("host-seen", logger.With(logger.KeyPeer, name),
			logger.With(logger.KeyVersion, uint64(c.Version())), logger.With(logger.KeyOutcome, hostState(doc.Leaving)))
	}
	if old != nil {
		h.first = old.first
		if doc.Beat > old.doc.Beat {
			h.started = old.started
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

func (e *Enroller) learnOwner(v *View, engine string, c storer.Change) {
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
	if _, claimed := (*e.rests.Load())[engine]; doc.Host == e.self.name && doc.Takeover && !claimed {
		// An earlier process of this host took the engine over and may not have
		// waited to the end.
		e.setRests([]string{engine}, e.clock()+e.times.rest)
	}
	v.owners[engine] = Owner{host: doc.Host, version: c.Version()}
	if !known || old.host != doc.Host {
		e.log.Info("owner-changed", logger.With(logger.KeyEndpoint, engine), logger.With(logger.KeyPeer, doc.Host),
			logger.With(logger.KeyToken, uint64(c.Version())))
	}
}
