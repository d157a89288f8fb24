package pacer

import (
	"math"
	"time"
)

const (
	// targetWaiting is the number of waiting calls per slot that the limits aim at. The
	// arrivals of many hosts vary, and a slot without a waiting call would stay idle.
	targetWaiting = 0.75
	// minTargetWaiting is the least number of waiting calls that the limits aim at.
	minTargetWaiting = 1.0
	// ceilingShare is the share of a queue, as a refusal has shown its length, that the
	// limits aim at.
	ceilingShare = 0.4
	// gain is the exponent of the ratio between the load that is aimed at and the one
	// reported. A limit changes in several steps, because other hosts change theirs by the
	// same report.
	gain = 0.5
	// maxRise and maxFall bound one change of the limit by a report.
	maxRise = 2.0
	maxFall = 0.25
	// idleShare is the share of the slots below which an endpoint counts as idle. The limit
	// then follows the load in one step of at most maxIdleRise, and rises up to idleLimit
	// also if it is not in use, so that a small burst of calls meets no limit.
	idleShare   = 0.5
	maxIdleRise = 4.0
	idleLimit   = 2.0
	// probeTime is the longest time between two calls of a host that has no answer yet, or
	// whose last answer showed an idle endpoint.
	probeTime = 2 * time.Second
	// slowStartRise and probeRise are the changes of a limit that is in use, by an answer
	// without a load: before and after the first sign of overload.
	slowStartRise = 1.6
	probeRise     = 1.03
	// refusalFall, timeoutFall and brokenFall are the changes by a refusal, by a time-out
	// and by a broken connection.
	refusalFall = 0.7
	timeoutFall = 0.7
	brokenFall  = 0.25
	// minShare is the lowest limit, as a share of the equal share of the slots. The calls
	// that it lets through show when the endpoint recovers.
	minShare = 0.2
	// brokenShare is the same after broken connections, which are no sign of overload.
	brokenShare = 0.25
	// recovery is the time constant with which a limit returns to the equal share while
	// no answer changes it.
	recovery = 2 * time.Second
	// holdCycles is the number of times between two calls, at the present limit, for which
	// a limit stays without an answer.
	holdCycles = 2.0
	minHold    = time.Second
	// defaultUsual is the assumed time that a call takes, if nothing at all is known.
	defaultUsual = 200 * time.Millisecond
	minWork      = time.Millisecond
	// maxPaceHold bounds the time for which the pace holds until the next call.
	maxPaceHold = 10 * time.Second
	// minWait is the shortest time after which a host looks for room again.
	minWait = 5 * time.Millisecond
)

// Pacer holds the limit of one endpoint process as one host sees it. It is not safe for
// concurrent use.
type Pacer struct {
	slots      float64
	ceiling    float64 // total of calls at which the endpoint refused one; 0 if it did not
	rate       float64 // requests a second that the endpoint accepts from all hosts; 0 if it named none
	limit      float64 // 0 before the first answer: the equal share of the slots
	changedAt  time.Time
	updatedAt  time.Time // of the latest answer or change
	blocked    bool      // a call found no room since the latest change
	idle       bool      // the latest load was that of an idle endpoint
	overloaded bool      // the endpoint has shown signs of overload
	credit     float64   // of the last, fractional call; a call takes 1
	begun      bool      // this host has sent a call
	creditAt   time.Time
	waiting    float64 // waiting calls per slot in the latest load
	speed      speed
}

// New returns the pacer of an endpoint process that the host learns of at a time. Phase is a
// random number from 0 to 1, so that the hosts do not send their first calls at the same
// time.
func New(now time.Time, slots int, phase float64) *Pacer {
	return &Pacer{slots: float64(max(slots, 1)), credit: min(max(phase, 0), 1), creditAt: now}
}

// Limit returns the number of calls that this host may have in flight.
func (p *Pacer) Limit(m Moment) float64 { return p.limitAt(m) }

// Pace returns the duration of work as a multiple of the usual one.
func (p *Pacer) Pace(m Moment) float64 { return p.pace(m) }

// pace returns the pace at a time. The latest one holds until the host's next call is due.
func (p *Pacer) pace(m Moment) float64 {
	if p.limit == 0 || !p.speed.reported {
		return p.speed.current(m.now, 0)
	}
	due := p.speed.pace.value * p.usual(m).Seconds() / p.limit
	return p.speed.current(m.now, min(seconds(due), maxPaceHold))
}

// ReportedPace returns the pace if the endpoint reports it itself, else 1.
func (p *Pacer) ReportedPace(m Moment) float64 {
	if !p.speed.reported {
		return 1
	}
	return p.pace(m)
}

// Usual returns the time that a call usually takes without waiting, or 0 if none has been
// answered.
func (p *Pacer) Usual() time.Duration { return seconds(p.speed.usual) }

// Slots returns the number of calls that the endpoint runs at once.
func (p *Pacer) Slots() float64 { return p.slots }

// share returns the equal share of the endpoint's slots.
func (p *Pacer) share(m Moment) float64 { return p.slots / float64(m.hosts) }

// target returns the total of calls that the limits aim at.
func (p *Pacer) target() float64 {
	total := p.slots + max(targetWaiting*p.slots, minTargetWaiting)
	if p.ceiling > 0 {
		total = min(total, p.slots+ceilingShare*(p.ceiling-p.slots))
	}
	if p.rate > 0 && !p.speed.occupancy.at.IsZero() {
		total = min(total, max(p.rate*p.speed.occupancy.value, 1))
	}
	return max(total, 1)
}

// limitAt returns the limit at a time: the latest one, returning to the equal share once
// no answer has come for long.
func (p *Pacer) limitAt(m Moment) float64 {
	share := p.share(m)
	if p.limit == 0 {
		return share
	}
	hold := max(minHold, seconds(holdCycles*p.work(m).Seconds()/min(p.limit, 1)))
	idle := m.now.Sub(p.updatedAt) - hold
	if idle <= 0 {
		return p.limit
	}
	return share + (p.limit-share)*math.Exp(-float64(idle)/float64(recovery))
}

// work returns the time that a call is expected to take at present without waiting. The time
// in the endpoint's queue is left out: the limit follows the length of the queue already.
func (p *Pacer) work(m Moment) time.Duration {
	usual := p.usual(m)
	return max(time.Duration(p.pace(m)*float64(usual)), minWork)
}

// usual returns the time that a call usually takes without waiting.
func (p *Pacer) usual(m Moment) time.Duration {
	switch {
	case p.speed.usual > 0:
		return seconds(p.speed.usual)
	case m.usual > 0:
		return m.usual
	default:
		return defaultUsual
	}
}

// Room reports whether the host may send one more call to the endpoint while own calls of
// it are in flight. If not, it returns when room is expected.
func (p *Pacer) Room(m Moment, own int) (wait time.Duration, ok bool) {
	limit := p.limitAt(m)
	whole := math.Floor(limit)
	p.accrue(m, limit-whole)
	work := p.work(m)
	switch {
	case float64(own) < whole:
		return 0, true
	case float64(own) == whole && p.credit >= p.price(m):
		return 0, true
	case float64(own) == whole && limit > whole:
		wait = seconds((p.price(m) - p.credit) / p.creditRate(m, limit-whole))
		if own > 0 {
			wait = min(wait, work/time.Duration(own))
		}
	default:
		wait = work / time.Duration(own)
	}
	p.blocked = true
	return max(wait, minWait), false
}

// Take is Room for a call that is sent at once.
func (p *Pacer) Take(m Moment, own int) bool {
	if _, ok := p.Room(m, own); !ok {
		return false
	}
	if float64(own) >= math.Floor(p.limitAt(m)) {
		p.credit = max(p.credit-1, 0)
	}
	p.begun = true
	return true
}

// price returns the credit that a call needs. The first one needs less: an idle endpoint takes
// as many calls at once as the limits aim at.
func (p *Pacer) price(m Moment) float64 {
	if p.begun {
		return 1
	}
	return max(1-p.target()/float64(m.hosts), 0)
}

// accrue adds the credit since the last call of accrue. The credit of a limit of 0.25
// reaches one call in four times the time for which a call is in flight.
func (p *Pacer) accrue(m Moment, fraction float64) {
	elapsed := max(m.now.Sub(p.creditAt), 0)
	p.creditAt = m.now
	p.credit = min(p.credit+elapsed.Seconds()*p.creditRate(m, fraction), 1)
}

// creditRate returns the credit that a fraction of a call yields in a second.
func (p *Pacer) creditRate(m Moment, fraction float64) float64 {
	rate := fraction / p.work(m).Seconds()
	if (p.updatedAt.IsZero() || p.idle) && fraction > 0 {
		return max(rate, 1/probeTime.Seconds())
	}
	return rate
}

// Answered records an answer to a call that was sent at a time.
func (p *Pacer) Answered(m Moment, sent time.Time, l Load) {
	p.record(m, l)
	if !p.begin(m, sent) {
		return
	}
	switch {
	case l.known:
		p.followLoad(m, max(l.total(), 1))
	case p.pace(m) > p.target()/p.slots:
		// Longer durations may come from a queue or from a slow machine. The equal share of
		// the slots does not overload it in either case.
		p.overloaded = true
		p.follow(m, p.target()/p.slots/p.pace(m), 1)
	case p.limit < p.share(m):
		p.change(m, min(p.share(m)/p.limit, maxRise), minShare)
	case p.blocked && p.overloaded:
		p.change(m, probeRise, minShare)
	case p.blocked:
		p.change(m, slowStartRise, minShare)
	}
}

// followLoad changes the limit by the number of calls at the endpoint.
func (p *Pacer) followLoad(m Moment, total float64) {
	ratio := p.target() / total
	if total <= p.slots && p.limit < p.share(m) {
		p.change(m, p.share(m)/p.limit, minShare)
		return
	}
	switch {
	case !p.idle:
		p.follow(m, ratio, minShare)
	case p.blocked:
		p.change(m, min(ratio, maxIdleRise), minShare)
	case p.limit < idleLimit:
		p.change(m, min(ratio, maxIdleRise, idleLimit/p.limit), minShare)
	}
}

// follow scales the limit by a ratio between the load that is aimed at and the present
// one. A limit that is not in use does not rise: the load says nothing about it.
func (p *Pacer) follow(m Moment, ratio, floor float64) {
	if ratio > 1 && !p.blocked {
		return
	}
	p.change(m, min(max(math.Pow(ratio, gain), maxFall), maxRise), floor)
}

// Refused records a refusal of a call that was sent at a time.
func (p *Pacer) Refused(m Moment, sent time.Time, l Load) {
	p.record(m, l)
	p.overloaded, p.idle = true, false
	factor := refusalFall
	if total := l.total(); l.known && total >= p.slots {
		p.ceiling = total
		factor = min(factor, p.target()/total)
	}
	if p.begin(m, sent) {
		p.change(m, max(factor, maxFall), minShare)
	}
}

// TimedOut records a call, sent at a time, that the endpoint did not answer in time.
func (p *Pacer) TimedOut(m Moment, sent time.Time) {
	p.overloaded, p.idle = true, false
	if p.begin(m, sent) {
		p.change(m, timeoutFall, minShare)
	}
}

// Broken records a connection that could not be opened, or that broke.
func (p *Pacer) Broken(m Moment) {
	p.idle = true // it may have lost its calls, and is probed as a new one
	p.limit = p.limitAt(m)
	p.change(m, brokenFall, brokenShare)
}

// Completed records that a call ran to its end and for how long it was in flight.
func (p *Pacer) Completed(m Moment, took time.Duration) {
	p.speed.addDuration(took, p.waiting, m.now)
}

// SetRate sets the number of requests a second that the endpoint accepts from all hosts,
// or 0 if it accepts any.
func (p *Pacer) SetRate(perSecond float64) { p.rate = perSecond }

// record records the parts of a load that do not change the limit.
func (p *Pacer) record(m Moment, l Load) {
	if l.slots > 0 && float64(l.slots) != p.slots {
		// What a refusal showed of the queue no longer holds.
		p.slots, p.ceiling = float64(l.slots), 0
	}
	if l.slots == 0 && float64(l.running) > p.slots {
		p.slots = float64(l.running)
	}
	if l.pace > 0 {
		p.speed.addPace(l.pace, m.now)
	}
	if l.known {
		p.waiting = float64(l.waiting) / p.slots
		p.idle = l.total() < max(idleShare*p.slots, 1+idleShare)
		if l.total() > p.ceiling {
			p.ceiling = 0
		}
	}
}

// begin prepares a change by the answer to a call. It reports false if the call was sent
// before the latest change, whose effect the answer does not show.
func (p *Pacer) begin(m Moment, sent time.Time) bool {
	p.limit = p.limitAt(m)
	p.updatedAt = m.now
	return !sent.Before(p.changedAt)
}

// change scales the limit, which stays above floor as a share of the equal share of the
// slots.
func (p *Pacer) change(m Moment, factor, floor float64) {
	next := max(p.limit*factor, min(floor*p.share(m), p.limit))
	highest := p.target()
	if p.rate == 0 {
		highest = max(highest, p.share(m))
	}
	p.limit = min(next, highest)
	p.changedAt, p.updatedAt, p.blocked = m.now, m.now, false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
