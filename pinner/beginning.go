package pinner

import "time"

// Recording is how the version at which a stream begins has to be kept: NotRecorded, Shared
// or Stored.
type Recording interface{ recording() }

type (
	// NotRecorded means that the absence of a record says enough.
	NotRecorded struct{}
	// Shared means that the record is sent to other hosts in the background, because the absence of a record may not prove
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
