package selector

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// Distances in units of a full endpoint: a farther endpoint is used when the
	// nearer one is busier by this share of its slots.
	otherZone   = 0.25
	otherRegion = 0.6
	// failurePenalty makes an endpoint that fails all calls as unattractive as one
	// with three times its slots in use.
	failurePenalty = 3.0
	// spread is how many more calls than the least busy engine a first choice may
	// have, as a share of the slots, before the next choice is taken.
	spread = 0.15
	// fullFactor is the number of calls per slot from which an endpoint is given
	// no more.
	fullFactor = 1.25
	// maxWaiting is how many calls may wait in an engine that is given more.
	maxWaiting = 8
	// queueFactor is the number of calls per slot at which a plain endpoint's
	// queue is taken as full.
	queueFactor = 4.0

	retryFull      = 400 * time.Millisecond
	retryNobody    = 500 * time.Millisecond
	retryForgotten = time.Second
)

// Choice is the endpoint for a call.
type Choice struct {
	endpoint *tracker.Endpoint
	named    int64
	present  bool
}

// Endpoint returns the endpoint.
func (c Choice) Endpoint() *tracker.Endpoint { return c.endpoint }

// Named returns the newest named version of the call's model, or 0.
func (c Choice) Named() int64 { return c.named }

// Present reports whether the endpoint is believed to hold what the call needs.
func (c Choice) Present() bool { return c.present }

// Selector chooses for the calls of one host.
type Selector struct {
	fleet  *tracker.Tracker
	zone   string
	region string
}

// New returns a selector for a host in a data centre and region.
func New(fleet *tracker.Tracker, zone, region string) *Selector {
	return &Selector{fleet: fleet, zone: zone, region: region}
}

// Choose returns the endpoint for a call, or a fault. Endpoints for which avoid
// returns true are left out.
func (s *Selector) Choose(r *router.Routed, avoid func(*tracker.Endpoint) bool) (Choice, error) {
	snapshot := s.fleet.Current()
	now := time.Now()
	usable := healthy(snapshot.Usable(r.Service().Name()), avoid, now)
	if len(usable) == 0 {
		return Choice{}, classifier.NewUnavailable("no endpoint of the service is left", classifier.RetryAfter(retryNobody))
	}
	if r.Service().Engines() == nil || r.Model().Base() == "" {
		return s.plain(usable, now)
	}
	return s.engine(snapshot, r.Model(), usable, now)
}

// healthy returns the endpoints that may be chosen. If all of them are ejected,
// ejection means nothing.
func healthy(list []*tracker.Endpoint, avoid func(*tracker.Endpoint) bool, now time.Time) []*tracker.Endpoint {
	var good, ejected []*tracker.Endpoint
	for _, e := range list {
		switch {
		case avoid(e):
		case e.Ejected(now):
			ejected = append(ejected, e)
		default:
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		return ejected
	}
	return good
}

func (s *Selector) distance(e *tracker.Endpoint) float64 {
	switch {
	case e.Zone() == s.zone:
		return 0
	case e.Region() == s.region:
		return otherZone
	default:
		return otherRegion
	}
}

func (s *Selector) plain(list []*tracker.Endpoint, now time.Time) (Choice, error) {
	var best *tracker.Endpoint
	var bestCost float64
	for _, e := range list {
		fill := e.Busy(now) / float64(e.Slots())
		cost := fill + s.distance(e) + failurePenalty*e.Failing()
		if fill < queueFactor && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Choice{}, full(len(list))
	}
	return Choice{endpoint: best, present: true}, nil
}

func full(n int) error {
	return classifier.NewOverloaded(fmt.Sprintf("all %d endpoints are full", n), classifier.RetryAfter(retryFull))
}

// ranked is an engine with its place in the order for one model.
type ranked struct {
	endpoint *tracker.Endpoint
	hash     uint64
	busy     float64
	far      bool
	holds    bool
}

func (s *Selector) engine(snapshot *tracker.Snapshot, m connector.Model, list []*tracker.Endpoint, now time.Time) (Choice, error) {
	named := snapshot.Named(m)
	seed := xxhash.Sum64String(m.Base() + "/" + m.Adapter())
	order := make([]ranked, 0, len(list))
	based := 0
	for _, e := range list {
		if !e.HoldsBase(m.Base()) {
			continue
		}
		based++
		busy := e.Busy(now)
		if busy >= fullFactor*float64(e.Slots()) || e.Waiting(now) > maxWaiting {
			continue
		}
		order = append(order, ranked{
			endpoint: e, hash: mix(seed ^ e.Hash()), busy: busy + failurePenalty*e.Failing()*float64(e.Slots()),
			far: e.Region() != s.region, holds: e.Holds(m, named),
		})
	}
	if len(order) == 0 {
		if based == 0 {
			return Choice{}, classifier.NewUnavailable("no engine holds the base model", classifier.RetryAfter(retryForgotten))
		}
		return Choice{}, full(based)
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	best := pick(order)
	return Choice{endpoint: best.endpoint, named: named, present: best.holds}, nil
}

// pick returns the first engine in the order of the model that holds it and is
// not much busier than the others, else the first that is not much busier. The
// engines of the own region come first.
func pick(order []ranked) ranked {
	for _, far := range []bool{false, true} {
		least := -1.0
		for _, r := range order {
			if r.far == far && (least < 0 || r.busy < least) {
				least = r.busy
			}
		}
		if least < 0 {
			continue
		}
		var home *ranked
		for i := range order {
			r := &order[i]
			if r.far != far || r.busy > least+spread*float64(r.endpoint.Slots()) {
				continue
			}
			if r.holds {
				return *r
			}
			if home == nil {
				home = r
			}
		}
		return *home
	}
	return order[0]
}

// mix is the finaliser of splitmix64. It makes the order of the engines for one
// model independent of that for another.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
