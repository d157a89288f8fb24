package elector

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/storer"
)

// forgetAfter is how long the announcement of a host is kept. A host announces its state
// several times a second while it runs.
const forgetAfter = time.Minute

// Announcement is the state of a host's copy of the table, as the host reports it.
type Announcement struct {
	latest    storer.Version
	age       time.Duration
	confirmed bool
}

// NewAnnouncement returns the announcement of a host whose copy the store has confirmed age
// ago. Latest is the version of the latest row that the host has.
func NewAnnouncement(latest storer.Version, age time.Duration) Announcement {
	return Announcement{latest: latest, age: age, confirmed: true}
}

// NewUnconfirmed returns the announcement of a host that the store has not answered yet.
func NewUnconfirmed(latest storer.Version) Announcement { return Announcement{latest: latest} }

// Latest returns the version of the latest row of the host.
func (a Announcement) Latest() storer.Version { return a.latest }

// Age returns how long ago the store confirmed the copy, or false if it never has.
func (a Announcement) Age() (time.Duration, bool) { return a.age, a.confirmed }

// sighting is the latest announcement of another host.
type sighting struct {
	latest      storer.Version
	confirmedAt time.Time // zero if the store has never confirmed the copy
	receivedAt  time.Time
	preferred   bool // over this host
}

// Elector holds what a host knows of the copies in its data centre.
type Elector struct {
	table  string
	self   string
	timing Timing

	mu          sync.Mutex
	confirmedAt time.Time // of this host's copy
	others      map[string]sighting
}

// New returns an elector of the host self for a table.
func New(table, self string, timing Timing) *Elector {
	return &Elector{table: table, self: self, timing: timing, others: make(map[string]sighting)}
}

// Timing returns the times that the hosts agree on.
func (e *Elector) Timing() Timing { return e.timing }

// rank orders the hosts: those with a higher rank are preferred.
func (e *Elector) rank(host string) uint64 { return xxhash.Sum64String(e.table + "\x00" + host) }

// Record records the announcement of another host.
func (e *Elector) Record(host string, a Announcement, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := sighting{latest: a.latest, receivedAt: now, preferred: e.rank(host) > e.rank(e.self)}
	if a.confirmed {
		s.confirmedAt = now.Add(-a.age)
	}
	if _, known := e.others[host]; !known {
		e.forgetEnded(now)
	}
	e.others[host] = s
}

// forgetEnded removes the hosts that have ended. It requires mu.
func (e *Elector) forgetEnded(now time.Time) {
	for name, s := range e.others {
		if now.Sub(s.receivedAt) > forgetAfter {
			delete(e.others, name)
		}
	}
}

// Confirm records that the store has answered this host.
func (e *Elector) Confirm(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = now
}

// Announce returns the announcement of this host.
func (e *Elector) Announce(latest storer.Version, now time.Time) Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.IsZero() {
		return NewUnconfirmed(latest)
	}
	return NewAnnouncement(latest, now.Sub(e.confirmedAt))
}

// Checks reports whether this host has to check the table: no host that is preferred has done
// so lately.
func (e *Elector) Checks(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.checkedAt().Add(e.timing.Takeover()).After(now)
}

// checkedAt returns when a preferred host last checked the table. It requires mu.
func (e *Elector) checkedAt() time.Time {
	var latest time.Time
	for _, s := range e.others {
		if s.preferred && s.confirmedAt.After(latest) {
			latest = s.confirmedAt
		}
	}
	return latest
}

// Deadline returns the time at which this host has to check the table, unless a preferred host
// has done so by then.
func (e *Elector) Deadline() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.checkedAt()
	if e.confirmedAt.After(at) {
		at = e.confirmedAt
	}
	return at.Add(e.timing.Takeover())
}

// Ahead returns the host with the latest row of all that are ahead of a version, or false if
// none is.
func (e *Elector) Ahead(of storer.Version, now time.Time) (host string, latest storer.Version, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest = of
	for name, s := range e.others {
		if now.Sub(s.receivedAt) > forgetAfter {
			continue // it may have ended
		}
		if s.latest > latest || ok && s.latest == latest && e.rank(name) > e.rank(host) {
			host, latest, ok = name, s.latest, true
		}
	}
	return host, latest, ok
}
