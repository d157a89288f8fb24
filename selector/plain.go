package selector

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// ErrNoRoom is the cause of a refusal because all endpoints are at the limit of the calls
// that this host may have in flight, or cannot complete the call in its time. The retry
// delay of the fault is when room is expected.
var ErrNoRoom = eris.New("no endpoint has room")

const (
	// otherDataCentreLatency and otherRegionLatency are the durations of a round trip to
	// an endpoint outside the host's own data centre or region.
	otherDataCentreLatency = 5 * time.Millisecond
	otherRegionLatency     = 40 * time.Millisecond
	// remoteFactor is how many times the usual time a call must be expected to take in the
	// host's own region before an endpoint of another region is considered. Traffic
	// between regions is costly.
	remoteFactor = 2.0
	// priorShare is the expected time of a call of a service that has answered none, as a
	// share of the route's objective.
	priorShare   = 0.25
	defaultPrior = 100 * time.Millisecond
	// maxWaitShare is the share of a call's remaining time that it may be expected to spend
	// in an endpoint's queue.
	maxWaitShare = 0.8
)

// plainChoice is the search for an endpoint of a service without engines.
type plainChoice struct {
	selector  *Selector
	avoid     func(*tracker.Endpoint) bool
	now       time.Time
	prior     time.Duration // expected time of a call if none is known
	remaining time.Duration // of the call
	usable    int           // endpoints that accept calls
	room      time.Duration // until the first of them is expected to have room; 0 if none is known
}

// expectedTime returns the time that a call of a route is expected to take as long as no
// call of its service was answered.
func expectedTime(r *router.Route) time.Duration {
	if r.Objective() > 0 {
		return time.Duration(priorShare * float64(r.Objective()))
	}
	return defaultPrior
}

// choosePaced chooses among all endpoints of a service without engines, and claims the chosen
// one. It allocates nothing unless it refuses the call.
func (s *Selector) choosePaced(r *router.Routed, all []*tracker.Endpoint, avoid func(*tracker.Endpoint) bool, now time.Time) (Choice, error) {
	c := plainChoice{selector: s, avoid: avoid, now: now, prior: expectedTime(r.Route()), remaining: r.Remaining()}
	for _, ejected := range [...]bool{false, true} {
		if e := c.search(all, ejected); e != nil {
			return Choice{endpoint: e, modelLoaded: true, claimed: true}, nil
		}
		if c.usable > 0 {
			return Choice{}, classifier.NewOverloaded(fmt.Sprintf("none of %d endpoints has room", c.usable),
				classifier.RetryAfter(max(c.room, minRoomWait)), classifier.Cause(ErrNoRoom))
		}
	}
	return Choice{}, classifier.NewUnavailable("no endpoint of the service is left", classifier.RetryAfter(retryWhenPaused(all, now)))
}

const minRoomWait = 5 * time.Millisecond

// pair compares two random endpoints of a place. With more of them, hosts that know the same
// old loads would choose the same endpoint.
func (c *plainChoice) pair(all []*tracker.Endpoint, ejected bool, at place) (best *tracker.Endpoint, cost time.Duration) {
	first := c.draw(all, ejected, at, nil)
	if first == nil {
		return nil, 0
	}
	best, cost = first, c.cost(first)
	if second := c.draw(all, ejected, at, first); second != nil {
		if d := c.cost(second); d < cost {
			best, cost = second, d
		}
	}
	return best, cost
}

// draw returns a random endpoint of a place that has room, other than skip, or nil. Ejected
// is whether it looks at those that are ejected, or at the others.
func (c *plainChoice) draw(all []*tracker.Endpoint, ejected bool, at place, skip *tracker.Endpoint) *tracker.Endpoint {
	start := rand.IntN(len(all))
	for i := range all {
		e := all[(start+i)%len(all)]
		if e == skip || c.selector.place(e) != at || e.Ejected(c.now) != ejected || !acceptsCalls(e, c.now) || c.avoid(e) {
			continue
		}
		c.usable++
		if c.hasRoom(e) {
			return e
		}
	}
	return nil
}

// search claims the endpoint with the least expected time among two random ones of the host's
// own region and, if that is long, two of other regions. It returns nil if there is none.
func (c *plainChoice) search(all []*tracker.Endpoint, ejected bool) *tracker.Endpoint {
	if len(all) == 0 {
		return nil
	}
	near, cost := c.pair(all, ejected, local)
	if near == nil || c.long(near, cost) {
		far, farCost := c.pair(all, ejected, remote)
		if far != nil && (near == nil || farCost < cost) && far.Claim(c.now, c.prior) {
			return far
		}
	}
	if near != nil && near.Claim(c.now, c.prior) {
		return near
	}
	return nil
}

// hasRoom reports whether an endpoint can take the call, and records when it is expected to.
func (c *plainChoice) hasRoom(e *tracker.Endpoint) bool {
	wait, ok := e.Room(c.now, c.prior)
	if ok {
		queue := e.Expect(c.now).Wait(c.prior)
		if float64(queue) <= maxWaitShare*float64(c.remaining) {
			return true
		}
		wait = queue
	}
	if c.room == 0 || wait < c.room {
		c.room = wait
	}
	return false
}

// cost returns the expected time until the call is complete. Failures count as lost time.
func (c *plainChoice) cost(e *tracker.Endpoint) time.Duration {
	x := e.Expect(c.now)
	cost := x.Work(c.prior) + x.Wait(c.prior) + time.Duration(failurePenalty*e.FailureRate()*float64(c.usual(x)))
	switch {
	case e.DataCentre() == c.selector.dataCentre:
		return cost
	case e.Region() == c.selector.region:
		return cost + otherDataCentreLatency
	default:
		return cost + otherRegionLatency
	}
}

func (c *plainChoice) usual(x tracker.Expectation) time.Duration {
	if x.Usual() > 0 {
		return x.Usual()
	}
	return c.prior
}

// long reports whether a cost is much longer than the usual time of a call at an endpoint.
func (c *plainChoice) long(e *tracker.Endpoint, cost time.Duration) bool {
	return float64(cost) > remoteFactor*float64(c.usual(e.Expect(c.now)))
}
