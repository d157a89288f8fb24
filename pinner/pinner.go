package pinner

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// State is what the store holds of a service.
type State struct {
	base  string
	mixed bool
}

// NewState returns a state. Base is the version at which the streams without a record
// began. Mixed tells that other versions serve or have served lately.
func NewState(base string, mixed bool) State { return State{base: base, mixed: mixed} }

// Base returns the version at which the streams without a record began.
func (s State) Base() string { return s.base }

// Mixed reports whether other versions serve or have served lately.
func (s State) Mixed() bool { return s.mixed }

// Verdict is where a stream may go on: Anywhere, Only or Undecided.
type Verdict interface{ verdict() }

type (
	// Anywhere means that only one version has served since the stream can have begun.
	Anywhere struct{}
	// Only means that the stream may go on at one version only.
	Only struct{ version string }
	// Undecided means that the version at which the stream began is not known now.
	Undecided struct{}
)

// NewOnly returns the verdict that a stream may go on at a version.
func NewOnly(version string) Only { return Only{version: version} }

// Version returns the version at which the stream may go on.
func (o Only) Version() string { return o.version }

// String returns the verdict for logs and messages.
func (Anywhere) String() string { return "anywhere" }

// String returns the version.
func (o Only) String() string { return o.version }

// String returns the verdict for logs and messages.
func (Undecided) String() string { return "undecided" }

func (Anywhere) verdict()  {}
func (Only) verdict()      {}
func (Undecided) verdict() {}

// Record is what is known of the record of a stream: Recorded, Unrecorded or Unread.
type Record interface{ record() }

type (
	// Recorded is a stream that began at a version.
	Recorded struct{ version string }
	// Unrecorded is a stream that has no record, and would have one if it had begun at
	// another version than the base version.
	Unrecorded struct{}
	// Unread is a stream whose record could not be read, or may not be stored yet.
	Unread struct{}
)

// NewRecorded returns the record of a stream that began at a version.
func NewRecorded(version string) Recorded { return Recorded{version: version} }

func (Recorded) record()   {}
func (Unrecorded) record() {}
func (Unread) record()     {}

// service is what is known of a service. It is immutable.
type service struct {
	state  State
	stored bool
	seen   map[string]time.Time // when a version last served
	since  time.Time            // of the first observation
}

// others reports whether another version than the base version has served since a time.
func (s service) others(since time.Time) bool {
	for version, at := range s.seen {
		if version != s.state.base && at.After(since) {
			return true
		}
	}
	return false
}

// Pinner holds the versions of each service. It is safe for concurrent use; calls read it
// without a lock.
type Pinner struct {
	lifetime time.Duration
	mu       sync.Mutex // serialises writers
	services atomic.Pointer[map[string]service]
}

// New returns a pinner. Lifetime is the time after which a stream is over.
func New(lifetime time.Duration) *Pinner {
	p := &Pinner{lifetime: lifetime}
	p.services.Store(&map[string]service{})
	return p
}

func (p *Pinner) service(name string) service { return (*p.services.Load())[name] }

func (p *Pinner) update(name string, change func(*service)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := maps.Clone(*p.services.Load())
	s := next[name]
	change(&s)
	next[name] = s
	p.services.Store(&next)
}

// Observe records that versions of a service serve now.
func (p *Pinner) Observe(name string, now time.Time, versions ...string) {
	p.update(name, func(s *service) {
		seen := make(map[string]time.Time, len(versions))
		for version, at := range s.seen {
			if now.Sub(at) <= p.lifetime {
				seen[version] = at
			}
		}
		for _, version := range versions {
			seen[version] = now
		}
		s.seen = seen
		if s.since.IsZero() {
			s.since = now
		}
	})
}

// Store records the state of a service that the store holds.
func (p *Pinner) Store(name string, state State) {
	p.update(name, func(s *service) { s.state, s.stored = state, true })
}

// Forget records that the store holds no state of a service.
func (p *Pinner) Forget(name string) {
	p.update(name, func(s *service) { s.state, s.stored = State{}, false })
}

// Services returns the services that are known, in order.
func (p *Pinner) Services() []string { return slices.Sorted(maps.Keys(*p.services.Load())) }

// NeedsRecord reports whether a stream that begins at a version has to be recorded.
func (p *Pinner) NeedsRecord(name, version string) bool {
	s := p.service(name)
	return version != "" && !(s.stored && s.state.base == version)
}

// NeedsLookup reports whether the record of a stream that goes on has to be read.
func (p *Pinner) NeedsLookup(name string, now time.Time) bool {
	s := p.service(name)
	return !s.stored || s.state.mixed || s.others(now.Add(-p.lifetime))
}

// Decide returns where a stream of a service may go on.
func (p *Pinner) Decide(name string, r Record, now time.Time) Verdict {
	s := p.service(name)
	switch r := r.(type) {
	case Recorded:
		return NewOnly(r.version)
	case Unread:
		if p.NeedsLookup(name, now) {
			return Undecided{}
		}
		return Anywhere{}
	case Unrecorded:
		switch {
		case !p.NeedsLookup(name, now):
			return Anywhere{}
		case s.stored:
			return NewOnly(s.state.base)
		}
	}
	return Undecided{}
}

// Plan returns the state that the store should hold of a service, and false if it does.
// The base version changes once no other version has served for the lifetime of a stream,
// so that no stream without a record can have begun at the old one.
func (p *Pinner) Plan(name string, now time.Time) (State, bool) {
	s := p.service(name)
	versions := slices.Sorted(maps.Keys(s.seen))
	switch {
	case len(versions) == 0:
		return State{}, false
	case !s.stored:
		return NewState(versions[0], len(versions) > 1), true
	case !s.state.mixed && s.others(now.Add(-p.lifetime)):
		return NewState(s.state.base, true), true
	case s.state.mixed && len(versions) == 1 && now.Sub(s.since) > p.lifetime:
		return NewState(versions[0], false), true
	}
	return State{}, false
}
