package pinner

import (
	"maps"
	"slices"
	"time"
)

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
// has served, hosts have stored again what was lost, or the store was restored so long ago
// that all streams of before are over.
func (p *Pinner) nothingLost(s service, now time.Time) bool {
	latest := p.era.Load()
	return s.coversAll && !p.mixed(s, now) || s.restated == latest.era || elapsed(latest.at, now) > p.lifetime
}
