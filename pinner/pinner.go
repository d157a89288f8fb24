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
	era   uint64
}

// NewState returns a state. Base is the version at which the streams without a record
// began. Mixed tells that other versions serve or have served lately.
func NewState(base string, mixed bool) State { return State{base: base, mixed: mixed} }

// InEra returns the state with the latest era of the store of which it is known that no
// record is missing.
func (s State) InEra(era uint64) State {
	s.era = era
	return s
}

// Era returns the latest era of the store of which it is known that no record is missing.
func (s State) Era() uint64 { return s.era }

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

// Reading tells when the tables were read last, directly or through another host.
type Reading struct {
	endpoints time.Time
	states    time.Time
}

// NewReading returns when the table of the endpoints and that of the services' states were
// read last; zero if never.
func NewReading(endpoints, states time.Time) Reading {
	return Reading{endpoints: endpoints, states: states}
}

const (
	// Ages up to which tables count as current. They are read every 1.1 and 2.2 s from
	// copies that are 1.3 and 3 s old at most.
	maxEndpointsAge = 3500 * time.Millisecond
	maxStatesAge    = 6 * time.Second
	// newVersionDelay is how long streams avoid a version that has just been seen, so that
	// all hosts whose tables are current know it before a stream begins at it.
	newVersionDelay = 5 * time.Second
	// maxGap is the time without an observation after which a host has stood still, or has
	// been without the tables, for so long that it may have missed versions and records.
	maxGap = 5 * time.Second
	// firstEra is the latest era in which a service without a state can be new. Numbers of
	// eras start at 0 or 1.
	firstEra = 1
)

// current reports whether the tables were read lately.
func (r Reading) current(now time.Time) bool {
	return elapsed(r.endpoints, now) <= maxEndpointsAge && elapsed(r.states, now) <= maxStatesAge
}

// elapsed returns the time since at by the clock that has advanced more: the monotonic one
// stands still while the machine is suspended.
func elapsed(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// service is what is known of a service. It is immutable.
type service struct {
	state      State
	stored     bool
	firstSeen  map[string]time.Time // when a version was seen first
	seen       map[string]time.Time // when a version last served
	current    time.Time            // last observation with current tables
	since      time.Time            // start of the observations with current tables without a gap
	observed   time.Time            // last observation
	running    time.Time            // start of the observations without a gap
	coveredNow bool                 // no stream of before the start of this host can have a record
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
	era      atomic.Pointer[eraStart]
}

// eraStart is the latest era of the store, and when this host learned of it.
type eraStart struct {
	era uint64
	at  time.Time
}

// New returns a pinner. Lifetime is the time after which a stream is over.
func New(lifetime time.Duration) *Pinner {
	p := &Pinner{lifetime: lifetime}
	p.services.Store(&map[string]service{})
	p.era.Store(&eraStart{})
	return p
}

// ReachEra records the latest era of the store. A store that is restored from an older copy
// begins a new one and may have lost records.
func (p *Pinner) ReachEra(era uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.era.Load(); last.at.IsZero() || era > last.era {
		p.era.Store(&eraStart{era: era, at: now})
	}
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

// Observe records that versions of a service serve, as read when reading tells.
func (p *Pinner) Observe(name string, reading Reading, now time.Time, versions ...string) {
	p.update(name, func(s *service) {
		seen, firstSeen := make(map[string]time.Time, len(versions)), make(map[string]time.Time, len(versions))
		for version, at := range s.seen {
			if now.Sub(at) <= p.lifetime {
				seen[version], firstSeen[version] = at, s.firstSeen[version]
			}
		}
		for _, version := range versions {
			if _, known := seen[version]; !known {
				firstSeen[version] = now
			}
			seen[version] = now
		}
		s.seen, s.firstSeen = seen, firstSeen
		p.observeTime(s, reading, now)
	})
}

// Learn records that a stream began at a version, as another host tells. This host may not
// have read yet that the version serves.
func (p *Pinner) Learn(name, version string, now time.Time) {
	if s := p.service(name); version == "" || s.stored && s.state.base == version || elapsed(s.seen[version], now) < time.Second {
		return
	}
	p.update(name, func(s *service) {
		seen, firstSeen := maps.Clone(s.seen), maps.Clone(s.firstSeen)
		if seen == nil {
			seen, firstSeen = make(map[string]time.Time), make(map[string]time.Time)
		}
		if _, known := seen[version]; !known {
			firstSeen[version] = now
		}
		seen[version] = now
		s.seen, s.firstSeen = seen, firstSeen
	})
}

// observeTime records that the service was observed now, and what that says of the streams
// that began before.
func (p *Pinner) observeTime(s *service, reading Reading, now time.Time) {
	if elapsed(s.observed, now) > maxGap {
		s.running, s.coveredNow = now, false
	}
	s.observed = now
	if !reading.current(now) {
		return
	}
	if elapsed(s.current, now) > maxGap {
		s.since = now
	}
	s.current = now
	if s.stored && !s.state.mixed && p.completeState(*s) && !s.others(now.Add(-p.lifetime)) {
		s.coveredNow = true
	}
}

// completeState reports whether the stored state holds for the latest era.
func (p *Pinner) completeState(s service) bool { return s.stored && s.state.era >= p.era.Load().era }

// Store records the state of a service that the store holds.
func (p *Pinner) Store(name string, state State) {
	p.update(name, func(s *service) { s.state, s.stored = state, true })
}

// Forget records that the store holds no state of a service. The base version that it held
// last is kept for the next state.
func (p *Pinner) Forget(name string) {
	p.update(name, func(s *service) { s.stored = false })
}

// Services returns the services that are known, in order.
func (p *Pinner) Services() []string { return slices.Sorted(maps.Keys(*p.services.Load())) }

// Recording is how the version at which a stream begins has to be kept: NotRecorded, Shared
// or Stored.
type Recording interface{ recording() }

type (
	// NotRecorded means that the absence of a record says enough.
	NotRecorded struct{}
	// Shared means that other hosts are told, because the absence of a record may not prove
	// to them that the stream began at the base version.
	Shared struct{}
	// Stored means that the record has to outlive this host before an event goes out.
	Stored struct{}
)

func (NotRecorded) recording() {}
func (Shared) recording()      {}
func (Stored) recording()      {}

// Recording returns how a stream that begins at a version has to be recorded.
func (p *Pinner) Recording(name, version string, now time.Time) Recording {
	s := p.service(name)
	switch {
	case version == "":
		return NotRecorded{}
	case !s.stored || s.state.base != version:
		return Stored{}
	case p.mixed(s, now) && !p.covered(s, now):
		return Shared{}
	}
	return NotRecorded{}
}

// Beginning is whether a stream may begin at a version: Allowed, Avoided or Barred.
type Beginning interface{ beginning() }

type (
	// Allowed means that a stream may begin at the version.
	Allowed struct{}
	// Avoided means that a stream should begin at another version if one can take it.
	Avoided struct{}
	// Barred means that a stream must not begin at the version.
	Barred struct{}
)

func (Allowed) beginning() {}
func (Avoided) beginning() {}
func (Barred) beginning()  {}

// Beginning returns whether a stream may begin at a version. If records cannot be stored,
// those of the streams that begin are lost if all hosts end, so that the streams would go on
// at the base version if that serves.
func (p *Pinner) Beginning(name, version string, storing bool, now time.Time) Beginning {
	_, recorded := p.Recording(name, version, now).(Stored)
	switch {
	case !recorded:
		return Allowed{}
	case !storing && p.BaseServes(name):
		return Barred{}
	case !storing || p.Young(name, version, now):
		return Avoided{}
	}
	return Allowed{}
}

// BaseServes reports whether the base version of a service serves.
func (p *Pinner) BaseServes(name string) bool {
	s := p.service(name)
	at, seen := s.seen[s.state.base]
	return s.stored && seen && at.Equal(s.observed)
}

// Young reports whether a version was seen first so lately that other hosts may not know it.
func (p *Pinner) Young(name, version string, now time.Time) bool {
	s := p.service(name)
	first, known := s.firstSeen[version]
	return s.stored && known && elapsed(first, now) < newVersionDelay && s.state.base != version
}

// Coverage returns how far back this host would hold the records of streams of a service
// that it is told of.
func (p *Pinner) Coverage(name string, now time.Time) Coverage {
	s := p.service(name)
	switch {
	case s.observed.IsZero(), elapsed(s.observed, now) > maxGap:
		return Incomplete{}
	case s.coveredNow:
		return NewComplete(p.lifetime)
	}
	return NewComplete(elapsed(s.running, now))
}

// covered reports whether this host would hold the records of all streams that may go on.
func (p *Pinner) covered(s service, now time.Time) bool {
	return s.coveredNow || elapsed(s.running, now) >= p.lifetime
}

// mixed reports whether several versions serve or have served lately.
func (p *Pinner) mixed(s service, now time.Time) bool {
	return s.state.mixed || s.others(now.Add(-p.lifetime))
}

// StoreCoverage returns how far back the records of the store reach.
func (p *Pinner) StoreCoverage(name string, now time.Time) Coverage {
	if p.completeState(p.service(name)) {
		return NewComplete(p.lifetime)
	}
	if era := p.era.Load(); !era.at.IsZero() {
		return NewComplete(elapsed(era.at, now))
	}
	return Incomplete{}
}

// NeedsLookup reports whether the record of a stream that goes on has to be looked for. It
// need not if the tables, read as reading tells, show that one version only has served for
// as long as a stream lasts.
func (p *Pinner) NeedsLookup(name string, reading Reading, now time.Time) bool {
	s := p.service(name)
	return !s.stored || p.mixed(s, now) || !reading.current(now) || !p.completeState(s) && !p.covered(s, now)
}

// Decide returns where a stream of a service may go on.
func (p *Pinner) Decide(name string, r Record, reading Reading, now time.Time) Verdict {
	s := p.service(name)
	switch r := r.(type) {
	case Recorded:
		return NewOnly(r.version)
	case Unread:
		if p.NeedsLookup(name, reading, now) {
			return Undecided{}
		}
		return Anywhere{}
	case Unrecorded:
		switch {
		case !p.NeedsLookup(name, reading, now):
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
func (p *Pinner) Plan(name string, reading Reading, now time.Time) (State, bool) {
	s := p.service(name)
	versions := slices.Sorted(maps.Keys(s.seen))
	switch {
	case len(versions) == 0 || !reading.current(now):
		return State{}, false
	case !s.stored:
		return p.firstState(s, versions), true
	case !s.state.mixed && s.others(now.Add(-p.lifetime)):
		return NewState(s.state.base, true).InEra(s.state.era), true
	case s.state.mixed && len(versions) == 1 && elapsed(s.since, now) > p.lifetime:
		return NewState(versions[0], false).InEra(p.era.Load().era), true
	case !p.completeState(s) && p.nothingLost(s, now):
		return NewState(s.state.base, s.state.mixed).InEra(p.era.Load().era), true
	}
	return State{}, false
}

// firstState returns the state of a service that has none. It may be new, or its state may
// have been lost.
func (p *Pinner) firstState(s service, versions []string) State {
	era := p.era.Load().era
	if s.state.base != "" {
		return NewState(s.state.base, len(versions) > 1 || versions[0] != s.state.base).InEra(s.state.era)
	}
	state := NewState(versions[0], len(versions) > 1)
	if era <= firstEra {
		return state.InEra(era)
	}
	return state
}

// nothingLost reports whether no stream that may go on has lost its record: no other version
// has served, or the store was restored so long ago that all streams of before are over.
func (p *Pinner) nothingLost(s service, now time.Time) bool {
	return s.coveredNow && !p.mixed(s, now) || elapsed(p.era.Load().at, now) > p.lifetime
}
