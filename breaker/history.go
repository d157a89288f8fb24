package breaker

import (
	"time"
)

// crash is one crash or broken stream of an engine that ran a request.
type crash struct {
	id        string // "" while it is not confirmed
	engine    string
	seen      time.Time
	confirmed bool
}

// crashHistory is the list of crashes of one request. It is immutable.
type crashHistory struct {
	crashes []crash
}

// unconfirmedTTL is how long a broken stream counts without confirmation. The
// engine's owner polls its reports every second, but a cold restart takes longer
// than one poll interval.
const unconfirmedTTL = 10 * time.Second

// unexpired returns the crashes that still count.
func (h *crashHistory) unexpired(now time.Time, ttl time.Duration) []crash {
	if h == nil {
		return nil
	}
	var kept []crash
	for _, c := range h.crashes {
		if c.confirmed && now.Sub(c.seen) < ttl || !c.confirmed && now.Sub(c.seen) < unconfirmedTTL {
			kept = append(kept, c)
		}
	}
	return kept
}

// with returns the history with one more crash. A confirmed crash replaces the
// unconfirmed one of the same engine; a crash that is already in the history changes
// nothing.
func (h *crashHistory) with(c crash, now time.Time, ttl time.Duration) *crashHistory {
	next := &crashHistory{}
	for _, old := range h.unexpired(now, ttl) {
		if c.confirmed && old.id == c.id {
			return h
		}
		if old.engine == c.engine && !old.confirmed {
			if !c.confirmed {
				return h
			}
			continue
		}
		if old.engine == c.engine && !c.confirmed && now.Sub(old.seen) < unconfirmedTTL {
			return h // the broken stream was caused by the crash in the history
		}
		next.crashes = append(next.crashes, old)
	}
	next.crashes = append(next.crashes, c)
	return next
}

// counts returns the number of confirmed and unconfirmed crashes.
func (h *crashHistory) counts(now time.Time, ttl time.Duration) (confirmed, unconfirmed int) {
	for _, c := range h.unexpired(now, ttl) {
		if c.confirmed {
			confirmed++
		} else {
			unconfirmed++
		}
	}
	return confirmed, unconfirmed
}
