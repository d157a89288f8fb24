package breaker

import (
	"time"
)

// crash is one event that a request was part of.
type crash struct {
	id        string // "" while it is not confirmed
	engine    string
	seen      time.Time
	confirmed bool
}

// evidence is what is known against one request. It never changes.
type evidence struct {
	crashes []crash
}

// unconfirmedLife is how long a broken stream counts without confirmation. The
// engine's owner reads reports every second, and a cold restart takes longer
// than the next report.
const unconfirmedLife = 10 * time.Second

// alive returns the crashes that still count.
func (e *evidence) alive(now time.Time, life time.Duration) []crash {
	if e == nil {
		return nil
	}
	var kept []crash
	for _, c := range e.crashes {
		if c.confirmed && now.Sub(c.seen) < life || !c.confirmed && now.Sub(c.seen) < unconfirmedLife {
			kept = append(kept, c)
		}
	}
	return kept
}

// with returns the evidence with one more crash. A confirmed crash replaces the
// unconfirmed one of the same engine; a crash that is known already changes
// nothing.
func (e *evidence) with(c crash, now time.Time, life time.Duration) *evidence {
	next := &evidence{}
	for _, old := range e.alive(now, life) {
		if c.confirmed && old.id == c.id {
			return e
		}
		if old.engine == c.engine && !old.confirmed {
			if !c.confirmed {
				return e
			}
			continue
		}
		if old.engine == c.engine && !c.confirmed && now.Sub(old.seen) < unconfirmedLife {
			return e // the broken stream belongs to the crash that is known
		}
		next.crashes = append(next.crashes, old)
	}
	next.crashes = append(next.crashes, c)
	return next
}

// counts returns the number of confirmed and unconfirmed crashes.
func (e *evidence) counts(now time.Time, life time.Duration) (confirmed, unconfirmed int) {
	for _, c := range e.alive(now, life) {
		if c.confirmed {
			confirmed++
		} else {
			unconfirmed++
		}
	}
	return confirmed, unconfirmed
}
