package selector

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
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
	// have, as a share of the slots, before the next choice is taken. The owners of
	// the engines see to it that prompts come one after the other, so that a busier
	// engine costs little and a load elsewhere costs much.
	spread = 0.5
	// fullFactor is the number of calls per slot from which an endpoint is given
	// no more.
	fullFactor = 1.25
	// maxWaiting is how many calls may wait in an engine that is given more.
	maxWaiting = 8
	// queueFactor is the number of calls per slot at which a plain endpoint's
	// queue is taken as full.
	queueFactor = 4.0

	// maxFar is how many calls for one model a host sends to another region before
	// it has the model loaded in its own. A load from the weight store costs as
	// much as the traffic of a dozen calls, which the hosts of a region share.
	maxFar = 4

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

// MinVersion returns the newest named version of the call's model, or 0.
func (c Choice) MinVersion() int64 { return c.named }

// ModelLoaded reports whether the endpoint is believed to hold what the call needs.
func (c Choice) ModelLoaded() bool { return c.present }

// Selector chooses for the calls of one host.
type Selector struct {
	fleet  *tracker.Tracker
	zone   string
	region string
	far    sync.Map // connector.Model → *atomic.Int32, calls sent to another region
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
	if r.Service().EngineSpec() == nil || r.Model().Base() == "" {
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
		fill := e.EstimatedCalls(now) / float64(e.Slots())
		cost := fill + s.distance(e) + failurePenalty*e.FailureRate()
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
	warm     bool
}

func (s *Selector) engine(snapshot *tracker.Snapshot, m connector.Model, list []*tracker.Endpoint, now time.Time) (Choice, error) {
	named := snapshot.NamedVersion(m)
	seed := xxhash.Sum64String(m.Base() + "/" + m.Adapter())
	order := make([]ranked, 0, len(list))
	based := 0
	for _, e := range list {
		if !e.HoldsBase(m.Base()) {
			continue
		}
		based++
		busy := e.EstimatedCalls(now)
		if busy >= fullFactor*float64(e.Slots()) || e.Waiting(now) > maxWaiting || e.Full(now) {
			continue
		}
		order = append(order, ranked{
			endpoint: e, hash: mix(seed ^ e.Hash()), busy: busy + failurePenalty*e.FailureRate()*float64(e.Slots()),
			far: e.Region() != s.region, holds: e.Holds(m, named), warm: e.RecentlyHeld(m),
		})
	}
	if len(order) == 0 {
		if based == 0 {
			return Choice{}, classifier.NewUnavailable("no engine holds the base model", classifier.RetryAfter(retryForgotten))
		}
		return Choice{}, full(based)
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	best := s.pick(order, m)
	return Choice{endpoint: best.endpoint, named: named, present: best.holds}, nil
}

// pick returns an engine for a model from those in the model's order: one in the
// own region that holds it or can load it fast, one in another region that does,
// or the first one of the own region. Engines that are much busier than the others
// of their region are left out.
func (s *Selector) pick(order []ranked, m connector.Model) ranked {
	near, far := idle(order, false), idle(order, true)
	if r, ok := first(near, ranked.quick); ok {
		return r
	}
	if r, ok := first(far, ranked.quick); ok && (len(near) == 0 || s.mayGoFar(m)) {
		return r
	}
	if len(near) > 0 {
		return near[0]
	}
	return far[0]
}

// mayGoFar counts a call that goes to another region for its model.
func (s *Selector) mayGoFar(m connector.Model) bool {
	n, ok := s.far.Load(m)
	if !ok {
		n, _ = s.far.LoadOrStore(m, &atomic.Int32{})
	}
	return n.(*atomic.Int32).Add(1) <= maxFar
}

// idle returns the engines of the own or of other regions that are not much busier
// than the least busy one of them.
func idle(order []ranked, far bool) []ranked {
	least := math.Inf(1)
	for _, r := range order {
		if r.far == far {
			least = min(least, r.busy)
		}
	}
	var list []ranked
	for _, r := range order {
		if r.far == far && r.busy <= least+spread*float64(r.endpoint.Slots()) {
			list = append(list, r)
		}
	}
	return list
}

func (r ranked) present() bool { return r.holds }

// quick reports whether a call need not wait for the weight store.
func (r ranked) quick() bool { return r.holds || r.warm }

// first returns the first engine that holds the model, else the first that will
// do.
func first(list []ranked, will func(ranked) bool) (ranked, bool) {
	for _, accept := range []func(ranked) bool{ranked.present, will} {
		if i := slices.IndexFunc(list, accept); i >= 0 {
			return list[i], true
		}
	}
	return ranked{}, false
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
