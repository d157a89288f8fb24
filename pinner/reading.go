package pinner

import "time"

// Reading holds when the tables were read last, directly or through another host.
type Reading struct {
	endpoints time.Time
	states    time.Time
}

// NewReading returns when the table of the endpoints and that of the services' states were
// read last; zero if never.
func NewReading(endpoints, states time.Time) Reading {
	return Reading{endpoints: endpoints, states: states}
}

// current reports whether the tables were read lately.
func (r Reading) current(now time.Time) bool {
	return elapsed(r.endpoints, now) <= maxEndpointsAge && elapsed(r.states, now) <= maxStatesAge
}

// elapsed returns the time since at by the clock that has advanced more: the monotonic one
// stands still while the machine is suspended.
func elapsed(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
