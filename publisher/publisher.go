package publisher

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/validator"
)

// State is the result of the control pipeline as requests read it. It is
// immutable.
type State struct {
	current  *bundler.Snapshot
	prepared *bundler.Snapshot
	upToDate bool
}

// Current returns the bundle in force, or nil before the first one.
func (s *State) Current() *bundler.Snapshot { return s.current }

// Prepared returns the bundle that may come into force at any moment, or nil.
func (s *State) Prepared() *bundler.Snapshot { return s.prepared }

// UpToDate reports whether the current bundle is known to be in force: the node
// had contact recently enough to have received any acceptance, and it has
// received none whose bundle it lacks. While it is false, a prepared bundle may
// already be in force.
func (s *State) UpToDate() bool { return s.upToDate }

// Publisher holds the current State. Load takes no lock; writers copy the
// state, change the copy and swap it in.
type Publisher struct {
	views         atomic.Pointer[views]
	lastContact   atomic.Int64 // time of the last contact, in nanoseconds after start
	start         time.Time
	maxContactAge time.Duration
	asserts       *asserter.Asserter
	mu            sync.Mutex // serialises writers
	minEpoch      uint64     // highest epoch known to have been accepted
	forceOutdated bool       // set by SetUpToDate
}

// views holds the state for a recent and for a stale contact, so that Load does
// not allocate.
type views struct {
	recent *State
	stale  *State
}

// Option configures a Publisher.
type Option func(*Publisher)

// WithAsserter makes the publisher check that epochs never decrease.
func WithAsserter(a *asserter.Asserter) Option { return func(p *Publisher) { p.asserts = a } }

// MaxContactAge is the maximum age of the last contact that the design sets: a
// node without contact for longer does not count as up to date.
const MaxContactAge = 3 * time.Second

// WithMaxContactAge makes the state outdated when the last contact is older
// than limit. Without this option the age of the contact is not checked.
func WithMaxContactAge(limit time.Duration) Option {
	return func(p *Publisher) {
		p.maxContactAge = limit
		p.lastContact.Store(noContact)
	}
}

// noContact means that there was no contact yet. It is earlier than any start,
// and half of the smallest value so that subtracting it does not overflow.
const noContact = math.MinInt64 / 2

// New returns a Publisher without a bundle.
func New(options ...Option) *Publisher {
	p := &Publisher{start: time.Now()}
	for _, o := range options {
		o(p)
	}
	p.swap(nil, nil)
	return p
}

// Load returns the current state. It checks the age of the last contact itself
// instead of relying on a timer, because a process that resumes after a pause
// serves requests before its timers fire. It reads the contact before the
// state: a state newer than the contact is harmless, but an older one would
// wrongly count as up to date.
func (p *Publisher) Load() *State {
	contact := p.lastContact.Load()
	v := p.views.Load()
	if p.maxContactAge > 0 && time.Since(p.start)-time.Duration(contact) > p.maxContactAge {
		return v.stale
	}
	return v.recent
}

// RecordContact records that the state was up to date at the given time. The
// caller must take the time before it sends the request that confirms the
// state, and must publish the state first. A time before the recorded one has
// no effect.
func (p *Publisher) RecordContact(at time.Time) {
	contact := int64(at.Sub(p.start))
	for {
		old := p.lastContact.Load()
		if old >= contact || p.lastContact.CompareAndSwap(old, contact) {
			return
		}
	}
}

// ContactAge returns the time since the last contact, and false if there was no
// contact yet.
func (p *Publisher) ContactAge() (time.Duration, bool) {
	contact := p.lastContact.Load()
	return time.Since(p.start) - time.Duration(contact), contact != noContact
}

// swap replaces the state. The caller must hold mu, except in New.
func (p *Publisher) swap(current, prepared *bundler.Snapshot) {
	if old := p.views.Load(); old != nil && old.recent.current != nil && p.asserts != nil {
		before := old.recent.current.Epoch()
		p.asserts.Check(asserter.EpochNeverFalls, current != nil && current.Epoch() >= before,
			"bundle of epoch %d would be replaced by an older one", before)
	}
	p.views.Store(&views{
		recent: &State{current: current, prepared: prepared, upToDate: !p.forceOutdated && (current == nil || current.Epoch() >= p.minEpoch)},
		stale:  &State{current: current, prepared: prepared},
	})
}

// RecordAccepted records that an epoch was accepted. From then on no lower
// epoch is published, even before the bundle of this epoch is available.
func (p *Publisher) RecordAccepted(epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch <= p.minEpoch {
		return
	}
	p.minEpoch = epoch
	old := p.views.Load().recent
	p.swap(old.current, old.prepared)
}

// SetUpToDate with false makes the state outdated regardless of the last
// contact; true ends that. It is meant for nodes without a watcher.
func (p *Publisher) SetUpToDate(upToDate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forceOutdated = !upToDate
	old := p.views.Load().recent
	p.swap(old.current, old.prepared)
}

// Publish puts a bundle in force. It returns false and changes nothing if the
// node already serves this epoch or a higher epoch is known to have been
// accepted.
func (p *Publisher) Publish(s *bundler.Snapshot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publish(s)
}

func (p *Publisher) publish(s *bundler.Snapshot) bool {
	old := p.views.Load().recent
	if s.Epoch() < p.minEpoch || (old.current != nil && old.current.Epoch() >= s.Epoch()) {
		return false
	}
	p.minEpoch = s.Epoch()
	prepared := old.prepared
	if prepared != nil && prepared.Epoch() <= s.Epoch() {
		prepared = nil
	}
	p.swap(s, prepared)
	return true
}

// Promote puts the prepared bundle in force if it has the given epoch and
// manifest digest. It reports whether it did.
func (p *Publisher) Promote(epoch uint64, manifest bundler.Hash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	prepared := p.views.Load().recent.prepared
	if prepared == nil || prepared.Epoch() != epoch || prepared.Manifest().Digest() != manifest {
		return false
	}
	return p.publish(prepared)
}

// Prepare records a bundle that may come into force; a nil snapshot clears it.
// It returns false and changes nothing if the epoch is not higher than the one
// in force and every epoch known to have been accepted.
func (p *Publisher) Prepare(s *bundler.Snapshot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.views.Load().recent.current
	if s != nil && (s.Epoch() <= p.minEpoch || (current != nil && current.Epoch() >= s.Epoch())) {
		return false
	}
	p.swap(current, s)
	return true
}

// ErrOldEpoch is returned for a bundle whose epoch is not higher than the
// accepted one.
var ErrOldEpoch = eris.New("the same or a higher epoch was already accepted")

// Apply is the last stage of the control pipeline: it publishes an accepted
// bundle and prepares any other, and returns the new state.
func (p *Publisher) Apply(_ context.Context, v *validator.Verified) (*State, error) {
	applied := false
	if v.Accepted() {
		applied = p.Publish(v.Snapshot())
	} else {
		applied = p.Prepare(v.Snapshot())
	}
	if !applied {
		return nil, fmt.Errorf("publish epoch %d: %w", v.Epoch(), ErrOldEpoch)
	}
	return p.Load(), nil
}
