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
// began. Mixed is whether other versions serve or have served lately.
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
	// firstEra is the era of a store that was never restored, in which a service without a
	// state is new. The platform counts from 1; a store that names no era is in era 0.
	firstEra = 1
)

// service is what is known of a service. It is immutable.
type service struct {
	state     State
	stored    bool
	firstSeen map[string]time.Time // when a version was seen first
	seen      map[string]time.Time // when a version last served
	current   time.Time            // last observation with current tables
	since     time.Time            // start of the observations with current tables without a gap
	observed  time.Time            // last observation
	running   time.Time            // start of the observations without a gap, or earlier after CatchUp
	resumed   time.Time            // start of the observations without a gap
	caughtUp  bool                 // since then other hosts have sent the records that this host lacked
	restated  uint64               // latest era in which hosts have stored again what the restore may have lost
	coversAll bool                 // no stream that began before this host started can have a record
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

// Observe records that versions of a service serve, from tables of the age that reading gives.
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

// Learn records that a stream began at a version at a time, as another host reports. This
// host may not have read yet that the version serves.
func (p *Pinner) Learn(name, version string, at, now time.Time) {
	if s := p.service(name); version == "" || s.stored && s.state.base == version || elapsed(s.seen[version], at) < time.Second {
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
		seen[version] = at
		s.seen, s.firstSeen = seen, firstSeen
	})
}

// observeTime records that the service was observed now, and what that says of the streams
// that began before.
func (p *Pinner) observeTime(s *service, reading Reading, now time.Time) {
	if elapsed(s.observed, now) > maxGap {
		s.running, s.resumed, s.coversAll, s.caughtUp = now, now, false, false
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
		s.coversAll = true
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

// Coverage returns how far back this host would hold the records of streams of a service
// that other hosts send to it.
func (p *Pinner) Coverage(name string, now time.Time) Coverage {
	s := p.service(name)
	switch {
	case s.observed.IsZero(), elapsed(s.observed, now) > maxGap:
		return Incomplete{}
	case s.coversAll:
		return NewComplete(p.lifetime)
	}
	return NewComplete(elapsed(s.running, now))
}

// covered reports whether this host would hold the records of all streams that may go on.
func (p *Pinner) covered(s service, now time.Time) bool {
	return s.coversAll || elapsed(s.running, now) >= p.lifetime
}

// MayCatchUp reports whether other hosts may hold records that this host lacks, and since
// when it has received those of streams that begin. It lacks none while one version serves.
func (p *Pinner) MayCatchUp(now time.Time) (since time.Time, ok bool) {
	for _, s := range *p.services.Load() {
		if s.resumed.IsZero() || s.caughtUp || p.covered(s, now) || !p.mixed(s, now) {
			continue
		}
		if ok = true; s.resumed.After(since) {
			since = s.resumed
		}
	}
	return since, ok
}

// CatchUp records that other hosts have sent the records that this host lacked, and from
// which time on it lacks none of a service.
func (p *Pinner) CatchUp(name string, from time.Time) {
	p.update(name, func(s *service) {
		s.caughtUp = true
		if from.Before(s.running) {
			s.running = from
		}
	})
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
