package tracker

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/pacer"
)

// WithAdaptiveLimits makes the endpoints learn from answers how many calls this host may have
// in flight at them. Hosts returns the number of hosts that share the endpoints. If ifReported
// is true, the limits apply to services whose endpoints report how long work takes.
func WithAdaptiveLimits(hosts func() int, ifReported bool) Option {
	return func(t *Tracker) {
		t.paces = &paces{hosts: hosts, ifReported: ifReported, usual: make(map[string]*usualTime)}
	}
}

// paces creates the pacing state of endpoints.
type paces struct {
	hosts      func() int
	ifReported bool
	usual      map[string]*usualTime // by service; guarded by the tracker's mu
}

// endpoint returns the state of a new endpoint process, or nil without adaptive limits.
func (p *paces) endpoint(e Entry) *pacing {
	if p == nil {
		return nil
	}
	if p.usual[e.service] == nil {
		p.usual[e.service] = &usualTime{}
	}
	phase := rand.Float64()
	if time.Since(time.UnixMilli(e.born)) > newProcess {
		// Other hosts know the endpoint already. Only this host starts.
		phase = 1
	}
	return &pacing{hosts: p.hosts, ifReported: p.ifReported, usual: p.usual[e.service], pacer: pacer.New(time.Now(), e.slots, phase), announced: math.Inf(1)}
}

// newProcess is the age up to which all hosts may send an endpoint their first call at the
// same time.
const newProcess = 10 * time.Second

// usualTime is the time that a call of a service usually takes without waiting.
type usualTime struct {
	nanoseconds atomic.Int64
	reported    atomic.Bool // an endpoint of the service has reported how long work takes
}

// usualWeight is the weight of one call in the moving average of the usual time.
const usualWeight = 0.05

func (u *usualTime) add(d time.Duration) {
	old := u.nanoseconds.Load()
	next := int64(d)
	if old > 0 {
		next = old + int64(usualWeight*float64(int64(d)-old))
	}
	u.nanoseconds.CompareAndSwap(old, next) // a sample may be lost to a concurrent one
}

func (u *usualTime) get() time.Duration { return time.Duration(u.nanoseconds.Load()) }

// pacing is the adaptive limit of an endpoint.
type pacing struct {
	hosts      func() int
	ifReported bool
	usual      *usualTime
	claimed    atomic.Int64 // calls that have chosen the endpoint and are not yet in flight
	mu         sync.Mutex   // held for arithmetic only
	pacer      *pacer.Pacer
	announced  float64 // the limit that was last announced as lowered, or a higher one since
}

// at returns the present moment. Prior is the expected time of a call if none of the service
// has been answered.
func (p *pacing) at(now time.Time, prior time.Duration) pacer.Moment {
	if d := p.usual.get(); d > 0 {
		prior = d
	}
	return pacer.At(now, p.hosts(), prior)
}

func (p *pacing) answered(sent time.Time, refused bool, l pacer.Load) {
	if l.Pace() > 0 && !p.usual.reported.Load() {
		p.usual.reported.Store(true)
	}
	m := p.at(time.Now(), 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if refused {
		p.pacer.Refused(m, sent, l)
		return
	}
	p.pacer.Answered(m, sent, l)
}

func (p *pacing) broken() {
	m := p.at(time.Now(), 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Broken(m)
}

// setRate sets the rate of requests that the endpoint accepts, or 0 if it named none.
func (p *pacing) setRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.SetRate(perSecond)
}

// Paced reports whether the adaptive limit of the endpoint applies.
func (e *Endpoint) Paced() bool {
	return e.pacing != nil && (!e.pacing.ifReported || e.pacing.usual.reported.Load())
}

// Completed records that a call ran to its end and for how long it was in flight.
func (e *Endpoint) Completed(took time.Duration) {
	if e.pacing == nil {
		return
	}
	p := e.pacing
	m := p.at(time.Now(), 0)
	p.mu.Lock()
	p.pacer.Completed(m, took)
	usual := p.pacer.Usual()
	p.mu.Unlock()
	p.usual.add(usual)
}

// timeoutFactor is how many times longer than usual a call without an answer must have taken
// to show overload. A call with little time left may end before an idle endpoint answers.
const timeoutFactor = 2

// TimedOut records that a call, sent at a time, got no answer in time.
func (e *Endpoint) TimedOut(sent time.Time) {
	if e.pacing == nil {
		return
	}
	p, now := e.pacing, time.Now()
	m := p.at(now, 0)
	if now.Sub(sent) < timeoutFactor*p.usual.get() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.TimedOut(m, sent)
}

// own returns the calls of this host that are in flight or about to be sent.
func (e *Endpoint) own() int { return e.Outstanding() + int(e.pacing.claimed.Load()) }

// Room reports whether this host may send one more call to the endpoint. If not, it returns
// when room is expected. Prior is the expected time of a call if none is known. The endpoint
// must be paced.
func (e *Endpoint) Room(now time.Time, prior time.Duration) (wait time.Duration, ok bool) {
	p := e.pacing
	m := p.at(now, prior)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Room(m, e.own())
}

// Claim is Room for a call that is sent at once. The call counts as in flight until Unclaim.
func (e *Endpoint) Claim(now time.Time, prior time.Duration) bool {
	p := e.pacing
	m := p.at(now, prior)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pacer.Take(m, e.own()) {
		return false
	}
	p.claimed.Add(1)
	return true
}

// Unclaim ends a claim, because the call has begun or is not sent.
func (e *Endpoint) Unclaim() { e.pacing.claimed.Add(-1) }

// Expectation is how long a call is expected to take at an endpoint.
type Expectation struct {
	usual time.Duration
	pace  float64
	queue float64
}

// Usual returns the time that a call usually takes without waiting, or 0 if it is not known.
func (x Expectation) Usual() time.Duration { return x.usual }

// Work returns the time that a call takes at the present pace without waiting.
func (x Expectation) Work(prior time.Duration) time.Duration {
	if x.usual > 0 {
		prior = x.usual
	}
	return time.Duration(x.pace * float64(prior))
}

// Wait returns the time for which a call waits before it runs.
func (x Expectation) Wait(prior time.Duration) time.Duration {
	return time.Duration(x.queue * float64(x.Work(prior)))
}

// Expect returns how long a call is expected to take. The endpoint must be paced.
func (e *Endpoint) Expect(now time.Time) Expectation {
	p := e.pacing
	m := p.at(now, 0)
	p.mu.Lock()
	usual, pace, slots := p.pacer.Usual(), p.pacer.Pace(m), p.pacer.Slots()
	p.mu.Unlock()
	if usual == 0 {
		usual = p.usual.get()
	}
	total := float64(e.own()) + e.othersCalls(now, time.Duration(pace*float64(usual)))
	// Calls that wait are processed by all slots.
	queue := max(total+1-slots, 0) / slots
	return Expectation{usual: usual, pace: pace, queue: queue}
}

// othersMemory is the time constant, as a multiple of the time of a call, with which the
// latest report of the calls of other hosts loses its weight after loadTTL.
const othersMemory = 2

// othersCalls estimates the number of calls of other hosts that are in flight at the endpoint,
// where a call takes the time work.
func (e *Endpoint) othersCalls(now time.Time, work time.Duration) float64 {
	l := e.load.Load()
	if l == nil {
		return 0
	}
	others := max(float64(l.running+l.waiting-l.own), 0)
	age := now.Sub(l.seen) - loadTTL
	if age <= 0 || others == 0 {
		return others
	}
	return others * math.Exp(-float64(age)/float64(max(othersMemory*work, time.Millisecond)))
}

// Pace returns how long work takes at the endpoint at present as a multiple of the usual
// time. It is 1 without adaptive limits.
func (e *Endpoint) Pace(now time.Time) float64 {
	return e.pace(now, (*pacer.Pacer).Pace)
}

// ReportedPace is Pace if the endpoint reports it itself, else 1. The durations of an
// engine's calls differ with their prompts and outputs, and do not show its pace.
func (e *Endpoint) ReportedPace(now time.Time) float64 {
	return e.pace(now, (*pacer.Pacer).ReportedPace)
}

func (e *Endpoint) pace(now time.Time, kind func(*pacer.Pacer, pacer.Moment) float64) float64 {
	if e.pacing == nil {
		return 1
	}
	m := e.pacing.at(now, 0)
	e.pacing.mu.Lock()
	defer e.pacing.mu.Unlock()
	return kind(e.pacing.pacer, m)
}

// AdaptiveLimit returns how many calls this host may have in flight at the endpoint, or false
// without adaptive limits.
func (e *Endpoint) AdaptiveLimit(now time.Time) (limit float64, ok bool) {
	if !e.Paced() {
		return 0, false
	}
	m := e.pacing.at(now, 0)
	e.pacing.mu.Lock()
	defer e.pacing.mu.Unlock()
	return e.pacing.pacer.Limit(m), true
}

// announceFall is the factor by which a limit must have fallen to be announced again.
const announceFall = 0.5

// AnnounceLimit returns the limit if it has fallen by half since it was last announced or
// was highest.
func (e *Endpoint) AnnounceLimit(now time.Time) (limit float64, fallen bool) {
	limit, ok := e.AdaptiveLimit(now)
	if !ok {
		return 0, false
	}
	e.pacing.mu.Lock()
	defer e.pacing.mu.Unlock()
	fallen = limit <= announceFall*e.pacing.announced && !math.IsInf(e.pacing.announced, 1)
	if fallen || limit > e.pacing.announced || math.IsInf(e.pacing.announced, 1) {
		e.pacing.announced = limit
	}
	return limit, fallen
}
