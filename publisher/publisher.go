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

// State is what a request may read of the control pipeline. It never changes.
type State struct {
	current  *bundler.Snapshot
	prepared *bundler.Snapshot
	informed bool
}

// Current returns the bundle in force, or nil before the first one.
func (s *State) Current() *bundler.Snapshot { return s.current }

// Prepared returns a bundle that may come into force at any moment, or nil.
func (s *State) Prepared() *bundler.Snapshot { return s.prepared }

// UpToDate reports whether the node knows that its current bundle is in force:
// it would have heard of an acceptance, and has heard of none that it lacks.
// While it is false and a bundle is prepared, that one may be in force.
func (s *State) UpToDate() bool { return s.informed }

// Publisher holds the state in force. Load takes no lock; the writers copy the
// state, change the copy and swap it.
type Publisher struct {
	views   atomic.Pointer[views]
	contact atomic.Int64 // last contact in nanoseconds after start
	start   time.Time
	limit   time.Duration
	asserts *asserter.Asserter
	mu      sync.Mutex // serialises writers
	floor   uint64     // highest epoch that is known to have been accepted
	unsure  bool       // set by SetUpToDate
}

// views holds the state as seen by a node that is informed and by one that is
// not, so that Load allocates nothing.
type views struct {
	informed   *State
	uninformed *State
}

// Option changes a publisher.
type Option func(*Publisher)

// WithAsserter makes the publisher check that epochs never fall.
func WithAsserter(a *asserter.Asserter) Option { return func(p *Publisher) { p.asserts = a } }

// MaxContactAge is the contact limit of the design page.
const MaxContactAge = 3 * time.Second

// WithMaxContactAge makes the node uninformed when its last contact is older than
// limit. Without this option a node is always informed.
func WithMaxContactAge(limit time.Duration) Option {
	return func(p *Publisher) {
		p.limit = limit
		p.contact.Store(noContact)
	}
}

// noContact lies before every start and leaves room for subtraction.
const noContact = math.MinInt64 / 2

// New returns a publisher without a bundle.
func New(options ...Option) *Publisher {
	p := &Publisher{start: time.Now()}
	for _, o := range options {
		o(p)
	}
	p.swap(nil, nil)
	return p
}

// Load returns the state in force. The age of the last contact is checked here
// and not by a timer, because a process that wakes from a pause serves requests
// before its timers run. The contact is read before the state: a state that is
// newer than the contact does no harm, an older one would pass as informed.
func (p *Publisher) Load() *State {
	contact := p.contact.Load()
	v := p.views.Load()
	if p.limit > 0 && time.Since(p.start)-time.Duration(contact) > p.limit {
		return v.uninformed
	}
	return v.informed
}

// RecordContact records that the state was up to date at a time, which must be taken
// before the request that showed it was sent. The state itself must be published
// first. An earlier time than the recorded one changes nothing.
func (p *Publisher) RecordContact(at time.Time) {
	contact := int64(at.Sub(p.start))
	for {
		old := p.contact.Load()
		if old >= contact || p.contact.CompareAndSwap(old, contact) {
			return
		}
	}
}

// ContactAge returns the time since the last contact, and false if there was
// none.
func (p *Publisher) ContactAge() (time.Duration, bool) {
	contact := p.contact.Load()
	return time.Since(p.start) - time.Duration(contact), contact != noContact
}

// swap replaces the state; the caller holds mu or is the constructor.
func (p *Publisher) swap(current, prepared *bundler.Snapshot) {
	if old := p.views.Load(); old != nil && old.informed.current != nil && p.asserts != nil {
		before := old.informed.current.Epoch()
		p.asserts.Check(asserter.EpochNeverFalls, current != nil && current.Epoch() >= before,
			"bundle of epoch %d would be replaced by an older one", before)
	}
	p.views.Store(&views{
		informed:   &State{current: current, prepared: prepared, informed: !p.unsure && (current == nil || current.Epoch() >= p.floor)},
		uninformed: &State{current: current, prepared: prepared},
	})
}

// RecordAccepted records that an epoch was accepted, so that no lower one is published
// from now on, even if the bundle of this epoch is not at hand yet.
func (p *Publisher) RecordAccepted(epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch <= p.floor {
		return
	}
	p.floor = epoch
	old := p.views.Load().informed
	p.swap(old.current, old.prepared)
}

// SetUpToDate makes the node uninformed whatever its contact, or ends that. It is
// for nodes without a watcher.
func (p *Publisher) SetUpToDate(informed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsure = !informed
	old := p.views.Load().informed
	p.swap(old.current, old.prepared)
}

// Publish puts a bundle in force. It reports false and changes nothing when the
// node already serves this epoch or has heard of a higher one.
func (p *Publisher) Publish(s *bundler.Snapshot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publish(s)
}

func (p *Publisher) publish(s *bundler.Snapshot) bool {
	old := p.views.Load().informed
	if s.Epoch() < p.floor || (old.current != nil && old.current.Epoch() >= s.Epoch()) {
		return false
	}
	p.floor = s.Epoch()
	prepared := old.prepared
	if prepared != nil && prepared.Epoch() <= s.Epoch() {
		prepared = nil
	}
	p.swap(s, prepared)
	return true
}

// Promote puts the prepared bundle in force if it has the given epoch and
// manifest.
func (p *Publisher) Promote(epoch uint64, manifest bundler.Hash) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	prepared := p.views.Load().informed.prepared
	if prepared == nil || prepared.Epoch() != epoch || prepared.Manifest().Digest() != manifest {
		return false
	}
	return p.publish(prepared)
}

// Prepare records a bundle that may come into force. A nil snapshot clears it.
// It reports false and changes nothing when the epoch is not above the one in
// force.
func (p *Publisher) Prepare(s *bundler.Snapshot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.views.Load().informed.current
	if s != nil && (s.Epoch() <= p.floor || (current != nil && current.Epoch() >= s.Epoch())) {
		return false
	}
	p.swap(current, s)
	return true
}

// ErrOldEpoch reports a bundle whose epoch is not above the one in force.
var ErrOldEpoch = eris.New("a higher epoch was accepted already")

// Apply is the last stage of the control pipeline.
func (p *Publisher) Apply(_ context.Context, v *validator.Verified) (*State, error) {
	done := false
	if v.Accepted() {
		done = p.Publish(v.Snapshot())
	} else {
		done = p.Prepare(v.Snapshot())
	}
	if !done {
		return nil, fmt.Errorf("publish epoch %d: %w", v.Epoch(), ErrOldEpoch)
	}
	return p.Load(), nil
}
