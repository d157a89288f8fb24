package pacer

import "time"

// Moment is what a decision depends on besides the endpoint's answers.
type Moment struct {
	now   time.Time
	hosts int
	usual time.Duration
}

// At returns a moment. Hosts is the number of hosts that share the endpoint. Usual is the
// time that a call is expected to take as long as the endpoint has not answered any, or 0.
func At(now time.Time, hosts int, usual time.Duration) Moment {
	return Moment{now: now, hosts: max(hosts, 1), usual: usual}
}

// Load is the load that an endpoint reports in an answer. The zero value stands for an
// answer without one.
type Load struct {
	known            bool
	running, waiting int
	slots            int     // 0 if not reported
	pace             float64 // 0 if not reported
}

// NewLoad returns a load: the calls of all hosts that run and wait.
func NewLoad(running, waiting int) Load { return Load{known: true, running: running, waiting: waiting} }

// WithSlots returns the load with the number of calls that the endpoint runs at once.
func (l Load) WithSlots(n int) Load {
	l.slots = n
	return l
}

// WithPace returns the load with the duration of work as a multiple of the usual one.
func (l Load) WithPace(pace float64) Load {
	l.pace = pace
	return l
}

// Calls returns the calls of all hosts that run and wait, or false if they are not reported.
func (l Load) Calls() (running, waiting int, ok bool) { return l.running, l.waiting, l.known }

// Slots returns the number of calls that the endpoint runs at once, or 0 if it is not
// reported.
func (l Load) Slots() int { return l.slots }

// Pace returns the duration of work as a multiple of the usual one, or 0 if it is not
// reported.
func (l Load) Pace() float64 { return l.pace }

func (l Load) total() float64 { return float64(l.running + l.waiting) }
